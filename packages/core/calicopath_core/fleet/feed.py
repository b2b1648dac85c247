"""Follow one kind of records: one list, then one waiting watch at a time."""

from __future__ import annotations

import asyncio
import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from calicopath_core.fleet.contact import StoreContact
from calicopath_core.fleet.store import FleetStoreError, HistoryLost

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.store import Change, FleetStore, Listing, RecordKind

WAIT_S = 2.0
"""How long a watch waits. A store that falls silent is noticed only when a watch is overdue, and a
configuration must be in force 2 s after it was acknowledged."""

PROBE_S = 0.1
"""How long a watch waits while the store does not answer: a call that hangs is then noticed within
0.9 s, so that a box hears of the store's return, and of what was changed since, in under 2 s. The
users count a box as in touch 3 s after it, and a change as in force 2 s after it was made."""

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
"""How long a failed call is waited out: doubled each time, with jitter, so that boxes do not come
back together."""


class FeedObserver(ABC):
    """Learn how a feed does."""

    @abstractmethod
    def on_lost(self, kind: RecordKind, error: Exception) -> None:
        """Note that the store stopped answering."""

    @abstractmethod
    def on_regained(self, kind: RecordKind, silent_s: float) -> None:
        """Note that the store answers again."""

    @abstractmethod
    def on_history_lost(self, kind: RecordKind, revision: int) -> None:
        """Note that changes were lost and everything is read anew."""


class KindFeed:
    """Follow one kind and hand on what comes; times are monotonic seconds."""

    def __init__(
        self,
        *,
        store: FleetStore,
        kind: RecordKind,
        clock: Clock,
        rng: random.Random,
        observer: FeedObserver,
        on_listing: Callable[[Listing], None],
        on_change: Callable[[Change], None],
        on_disrupted: Callable[[], None],
    ) -> None:
        self.store = store
        self.kind = kind
        self.clock = clock
        self.rng = rng
        self.observer = observer
        self.on_listing = on_listing
        self.on_change = on_change
        self.on_disrupted = on_disrupted
        self.revision: int | None = None
        self.contact_at: float | None = None
        self.failing_since: float | None = None
        self.steady_since = 0.0
        self.calls = 0

    @property
    def synced(self) -> bool:
        """Tell whether everything was read once."""
        return self.contact_at is not None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                await self.step()
                pause_s = FIRST_PAUSE_S
            except HistoryLost:
                # No entry lapses by that: what the list does not hold is gone.
                self.observer.on_history_lost(self.kind, self.revision or 0)
                self.revision = None
            except FleetStoreError as error:
                self.on_failure(error)
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))
                pause_s = min(MAX_PAUSE_S, pause_s * 2)

    async def step(self) -> None:
        """Make one call and hand on what it brings."""
        self.calls += 1
        if self.revision is None:
            listing = await self.store.list(self.kind)
            self.on_contact()
            self.on_listing(listing)
            self.revision = listing.revision
            return
        wait_s = PROBE_S if self.failing_since is not None else WAIT_S
        found = await self.store.watch(self.kind, self.revision, wait_s)
        self.on_contact()
        for change in found.changes:
            self.on_change(change)
        self.revision = max(self.revision, found.revision)

    def contact(self) -> StoreContact:
        """Return how the store answers this box."""
        now = self.clock.monotonic()
        age_s = math.inf if self.contact_at is None else now - self.contact_at
        failing_s = 0.0 if self.failing_since is None else now - self.failing_since
        return StoreContact(age_s, failing_s, now - self.steady_since)

    def on_contact(self) -> None:
        """Note that the store answered."""
        now = self.clock.monotonic()
        if self.failing_since is not None:
            self.failing_since = None
            self.steady_since = now
            self.on_disrupted()
            self.observer.on_regained(self.kind, now - (self.contact_at or now))
        self.contact_at = now

    def on_failure(self, error: FleetStoreError) -> None:
        """Note that the store did not answer."""
        self.on_disrupted()
        if self.failing_since is None:
            self.failing_since = self.clock.monotonic()
            self.observer.on_lost(self.kind, error)
