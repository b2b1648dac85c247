"""Follow one kind of records: one list, then one waiting watch at a time."""

from __future__ import annotations

import asyncio
import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from calicopath_core.fleet.contact import StoreContact
from calicopath_core.fleet.store import FleetStoreError, HistoryLost, Listing, RecordKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.positions import Position
    from calicopath_core.fleet.store import Change, Changes, FleetStore, Record

PROBE_WAIT_S = 0.1
"""How long a watch waits while the store does not answer: a call that hangs is then noticed within
0.9 s, so that a box hears of the store's return, and of what was changed since, in under 2 s. The
users count a box as in touch 3 s after it, and a change as in force 2 s after it was made."""

RELAY_CHECK_INTERVAL_S = 0.2
"""How often a box that hears the store through others looks whether it still does."""


READ_CHECK_INTERVAL_S = 0.02
"""How often a box looks whether it may read the store by itself by now."""

BATCH_DELAY_S = {
    RecordKind.DEPLOYMENT: 0.0,
    RecordKind.REPLICA: 0.04,
    RecordKind.BOX: 0.4,
    RecordKind.EVACUATION: 0.0,
}
"""How long changes that follow a change are gathered into one call. While 195 boxes start, a watch
of boxes would else return for each; nothing in time depends on a box that has just come."""


class FeedHandler(ABC):
    """Take in what a feed brings."""

    @abstractmethod
    def on_listing(self, kind: RecordKind, listing: Listing) -> None:
        """Take in every record of a kind."""

    @abstractmethod
    def on_changes(self, kind: RecordKind, position: Position, changes: list[Change]) -> None:
        """Take in the new state of records that changed up to a position, each named once."""

    @abstractmethod
    def on_disrupted(self) -> None:
        """Note that the store could not be read until now."""


class FollowPolicy(ABC):
    """Say how a box follows the store."""

    @abstractmethod
    def uses_relay(self) -> bool:
        """Tell whether the box hears the store through others."""

    @abstractmethod
    def may_read(self, kind: RecordKind) -> bool:
        """Tell whether the box may read a kind of the store: not while relays may still tell it."""

    @abstractmethod
    def watch_wait_s(self, kind: RecordKind) -> float:
        """Return how long a watch waits."""

    @abstractmethod
    async def wait_for_relays(self) -> None:
        """Give relays the time to tell what the store has forgotten the history of."""

    @abstractmethod
    async def back_off(self, kind: RecordKind, failures: int) -> None:
        """Wait before a kind is asked for again of which so many calls in a row have failed."""


class FeedObserver(ABC):
    """Learn how a feed does."""

    @abstractmethod
    def on_contact_lost(self, kind: RecordKind, error: Exception) -> None:
        """Note that the store stopped answering."""

    @abstractmethod
    def on_contact_restored(self, kind: RecordKind, silent_s: float) -> None:
        """Note that the store answers again."""

    @abstractmethod
    def on_history_lost(self, kind: RecordKind, held: Position) -> None:
        """Note that changes were lost and everything is read anew."""

    @abstractmethod
    def on_listing_dropped(self, kind: RecordKind, held: Position, listed: Position) -> None:
        """Note that a list was not taken in, as its position is before the one held."""


class RecordFeed:
    """Follow one kind and hand on what comes; times are monotonic seconds.

    While `follows` says so, what others have read of the store comes through `take_update` and the
    store is not asked. Nothing older than what is held is ever handed on.
    """

    def __init__(
        self,
        *,
        store: FleetStore,
        kind: RecordKind,
        clock: Clock,
        observer: FeedObserver,
        handler: FeedHandler,
        policy: FollowPolicy,
    ) -> None:
        self.store = store
        self.kind = kind
        self.clock = clock
        self.observer = observer
        self.handler = handler
        self.policy = policy
        self.position: Position | None = None
        self.records: dict[str, Record] = {}
        self.contact_at: float | None = None
        self.failing_since: float | None = None
        self.steady_since = 0.0
        self.must_list = False
        self.has_listed = False
        self.calls = 0

    @property
    def synced(self) -> bool:
        """Tell whether everything was read once, by this box or through others."""
        return self.position is not None or self.contact_at is not None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        failures = losses = 0
        while True:
            if not self.policy.may_read(self.kind):
                await asyncio.sleep(READ_CHECK_INTERVAL_S)
                continue
            if self.synced and self.policy.uses_relay():
                self.clear_failure()
                await asyncio.sleep(RELAY_CHECK_INTERVAL_S)
                continue
            try:
                changed = await self.step()
                failures = 0
                losses = losses if self.has_listed else 0
                await asyncio.sleep(BATCH_DELAY_S[self.kind] if changed else 0.0)
            except HistoryLost:
                # No entry lapses by that: what the list does not hold is gone.
                self.must_list = True
                losses += 1
                await self.wait_after_history_loss(losses)
            except FleetStoreError as error:
                self.on_failure(error)
                failures += 1
                await self.policy.back_off(self.kind, failures)

    async def step(self) -> bool:
        """Make one call and hand on what it brings; tell whether that was a change."""
        self.calls += 1
        self.has_listed = self.position is None or self.must_list
        if self.position is None or self.must_list:
            listing = await self.store.list(self.kind)
            self.on_contact()
            self.apply_listing(listing)
            return False
        since = self.position
        wait_s = (
            PROBE_WAIT_S if self.failing_since is not None else self.policy.watch_wait_s(self.kind)
        )
        found = await self.store.watch(self.kind, since.revision, wait_s)
        self.on_contact()
        self.apply_watch_result(since, found)
        return bool(found.changes)

    async def wait_after_history_loss(self, losses: int) -> None:
        """Wait before everything is read anew after so many losses without a change between."""
        assert self.position is not None
        self.observer.on_history_lost(self.kind, self.position)
        if losses > 1:
            await self.policy.back_off(self.kind, losses - 1)
        await self.policy.wait_for_relays()

    def apply_watch_result(self, since: Position, found: Changes) -> None:
        """Take in what a watch from a position brought, if it is of the same era.

        What was written in a later era under revisions up to that one is not among the changes.
        """
        if found.position.era < since.era:
            raise FleetStoreError(f'an answer of era {found.position.era} after {since.era}')
        if found.position.era > since.era:
            self.must_list = True
            return
        self.apply_changes(found.changes, found.position)

    def apply_listing(self, listing: Listing) -> None:
        """Take every record in, unless newer ones are held."""
        self.must_list = False
        if self.position is not None and listing.position < self.position:
            self.observer.on_listing_dropped(self.kind, self.position, listing.position)
            return
        self.records = dict(listing.records)
        self.position = listing.position
        self.handler.on_listing(self.kind, listing)

    def apply_changes(self, changes: Iterable[Change], position: Position) -> None:
        """Take changes in that lead to a position, unless that is held already.

        Of several changes of one record the last counts: those before it may be older than what
        came through others meanwhile.
        """
        if self.position is not None and position <= self.position:
            return
        self.position = position
        newest = {change.name: change for change in changes}
        newest = {name: item for name, item in newest.items() if self.is_change(item)}
        for change in newest.values():
            if change.record is None:
                self.records.pop(change.name, None)
            else:
                self.records[change.name] = change.record
        if newest:
            self.handler.on_changes(self.kind, position, list(newest.values()))

    def is_change(self, change: Change) -> bool:
        """Tell whether a change is one in what boxes know of the record.

        The beats of 200 cold replicas would else be 200 changes a second to each box.
        """
        return change.record is None or change.record != self.records.get(change.name)

    def apply_update(
        self, since: Position | None, position: Position, changes: list[Change]
    ) -> None:
        """Take in what a relay has sent: changes after `since`, or every record if that is none."""
        if since is None:
            records = {change.name: change.record for change in changes if change.record}
            self.apply_listing(Listing(records, position))
        elif self.position is not None and since <= self.position and since.era == position.era:
            self.apply_changes(changes, position)

    def contact(self) -> StoreContact:
        """Return how the store answers this box."""
        now = self.clock.monotonic()
        age_s = math.inf if self.contact_at is None else now - self.contact_at
        failing_s = 0.0 if self.failing_since is None else now - self.failing_since
        return StoreContact(age_s, failing_s, now - self.steady_since)

    def on_contact(self) -> None:
        """Note that the store answered."""
        if self.failing_since is not None:
            self.clear_failure()
            self.handler.on_disrupted()
        self.contact_at = self.clock.monotonic()

    def clear_failure(self) -> None:
        """Note that the store is heard again, by this box or through others."""
        if self.failing_since is None:
            return
        now = self.clock.monotonic()
        self.failing_since = None
        self.steady_since = now
        self.observer.on_contact_restored(self.kind, now - (self.contact_at or now))

    def on_failure(self, error: FleetStoreError) -> None:
        """Note that the store did not answer."""
        self.handler.on_disrupted()
        if self.failing_since is None:
            self.failing_since = self.clock.monotonic()
            self.observer.on_contact_lost(self.kind, error)
