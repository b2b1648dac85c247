"""Follow one kind of records in the store: list them once, then watch for changes."""

from __future__ import annotations

import asyncio
import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from calicopath_core.fleet.contact import StoreContact
from calicopath_core.fleet.store import (
    FleetStoreError,
    HistoryLost,
    Listing,
    RecordKind,
    StoreAnswerTooLarge,
    StoreOutdated,
    StoreSilent,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.availability import StoreAvailability
    from calicopath_core.fleet.positions import Position
    from calicopath_core.fleet.store import Change, Changes, FleetStore, Record

PROBE_WAIT_S = 0.001
"""How long a watch waits while calls fail: the shortest time that the store takes, so that its
answer comes at once and cannot be cut while it waits. A call that hangs is detected within 0.8 s,
so a box notices that the store is back, and what changed meanwhile, in under 2 s. Users expect a
box to be in contact within 3 s of the store's return and a change in force within 2 s."""

QUICK_RETRIES_S = (0.02, 0.08)
"""How long to wait before a call that was cut, reset or refused is made again. Only if all of these
fail too does the feed count as failing."""

OVERDUE_S = 0.1
"""How long after the end of its wait a call counts as overdue: a store that had answered until then
would have answered it."""

MAX_CUT_WATCHES = 2
POLL_INTERVAL_S = 0.5
"""After how many cut watches in a row the feed polls instead, and how often. Each watch that is cut
costs two calls, and a removal must be in force 2 s after it was acknowledged."""

MAX_FAILURES_BESIDE_ANSWERS = 2
"""By how many failures in a row the pause between calls grows while the store answers other calls
of the box. A change must be in force in time although some calls fail."""

RELAY_CHECK_INTERVAL_S = 0.2
"""How often a box that uses a relay checks whether the relay is still usable."""


READ_CHECK_INTERVAL_S = 0.02
"""How often a box checks whether it may read the store itself."""

BATCH_DELAY_S = {
    RecordKind.DEPLOYMENT: 0.0,
    RecordKind.REPLICA: 0.04,
    RecordKind.BOX: 0.4,
    RecordKind.EVACUATION: 0.0,
}
"""How long to wait after a change so that the changes that follow arrive in the same call.
Otherwise the watch of boxes would return once for each of 195 starting boxes; nothing urgent
depends on a box that has just started."""


class FeedHandler(ABC):
    """Handle the records that a feed delivers."""

    @abstractmethod
    def on_listing(self, kind: RecordKind, listing: Listing) -> None:
        """Handle the complete list of a kind's records."""

    @abstractmethod
    def on_changes(self, kind: RecordKind, position: Position, changes: list[Change]) -> None:
        """Handle the new state of records that changed up to a position, each named once."""

    @abstractmethod
    def on_disrupted(self) -> None:
        """Handle the end of a time in which the store could not be read."""


class FollowPolicy(ABC):
    """Decide how a box follows the store."""

    @abstractmethod
    def uses_relay(self) -> bool:
        """Tell whether the box receives the store's changes through a relay."""

    @abstractmethod
    def may_read(self, kind: RecordKind) -> bool:
        """Tell whether the box may read a kind from the store, rather than wait for relays."""

    @abstractmethod
    def watch_wait_s(self, kind: RecordKind) -> float:
        """Return how long a watch waits, in seconds."""

    @abstractmethod
    async def wait_for_relays(self) -> None:
        """Give relays time to send what the store no longer has the history of."""

    @abstractmethod
    async def back_off(self, kind: RecordKind, failures: int) -> None:
        """Wait before the next call for a kind after a number of consecutive failures."""


class FeedObserver(ABC):
    """Observe a feed's contact with the store."""

    @abstractmethod
    def on_contact_lost(self, kind: RecordKind, error: Exception) -> None:
        """Record that the store stopped answering."""

    @abstractmethod
    def on_contact_restored(self, kind: RecordKind, silent_s: float) -> None:
        """Record that the store answers again, and for how long it was silent."""

    @abstractmethod
    def on_history_lost(self, kind: RecordKind, held: Position) -> None:
        """Record that the store's change history is lost and that all records are listed again."""

    @abstractmethod
    def on_listing_dropped(self, kind: RecordKind, held: Position, listed: Position) -> None:
        """Record that a list was dropped because its position is older than the one held."""


class RecordFeed:
    """Follow one kind of records and pass them to a handler; times are monotonic seconds.

    While `policy.uses_relay()` is true the store is not called, and records arrive through
    `apply_update`. Nothing older than the position held is passed on.
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
        availability: StoreAvailability,
    ) -> None:
        self.store = store
        self.kind = kind
        self.clock = clock
        self.observer = observer
        self.handler = handler
        self.policy = policy
        self.availability = availability
        self.position: Position | None = None
        self.records: dict[str, Record] = {}
        self.contact_at: float | None = None
        self.failing_since: float | None = None
        self.call_started_at = 0.0
        self.answer_due_at = 0.0
        self.cut_watches = 0
        self.is_retrying = False
        self.must_list = False
        self.has_listed = False
        self.calls = 0

    @property
    def synced(self) -> bool:
        """Tell whether all records were read once, directly or through a relay."""
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
                self.is_retrying = False
                losses = losses if self.has_listed else 0
                await asyncio.sleep(self.pause_s(changed=changed))
            except HistoryLost:
                self.availability.on_answer(self.clock.monotonic())
                self.cut_watches = 0
                # Entries did not lapse because of the loss, so records missing from the list are
                # gone.
                self.must_list = True
                losses += 1
                await self.wait_after_history_loss(losses)
            except FleetStoreError as error:
                failures += 1
                # A list has pages, each of which is small.
                self.must_list = self.must_list or isinstance(error, StoreAnswerTooLarge)
                self.availability.on_failure(self.unanswered_since())
                is_certain = isinstance(error, StoreSilent | StoreOutdated)
                self.is_retrying = failures <= len(QUICK_RETRIES_S) and not is_certain
                if self.is_retrying:
                    await asyncio.sleep(QUICK_RETRIES_S[failures - 1])
                    continue
                self.on_failure(error)
                await self.policy.back_off(self.kind, self.counted_failures(failures))

    async def step(self) -> bool:
        """Make one call and pass on its result; return whether it brought changes."""
        self.calls += 1
        self.has_listed = self.position is None or self.must_list
        self.call_started_at = self.answer_due_at = self.clock.monotonic()
        if self.position is None or self.must_list:
            listing = await self.store.list(self.kind)
            self.on_contact()
            self.apply_listing(listing)
            return False
        since = self.position
        found = await self.watch(since)
        self.on_contact()
        self.apply_watch_result(since, found)
        return bool(found.changes)

    async def watch(self, since: Position) -> Changes:
        """Make a watch; count those in a row that were made to wait and failed.

        Raise `FleetStoreError`, also if the answer is of an earlier era than the watch.
        """
        is_probe = self.is_retrying or self.failing_since is not None
        wait_s = PROBE_WAIT_S if is_probe else self.policy.watch_wait_s(self.kind)
        self.answer_due_at += wait_s
        self.cut_watches += not is_probe
        found = await self.store.watch(self.kind, since.revision, wait_s)
        if not is_probe:
            self.cut_watches = 0
        if found.position.era < since.era:
            raise StoreOutdated(f'store answered with era {found.position.era} after {since.era}')
        return found

    def pause_s(self, *, changed: bool) -> float:
        """Return how long to wait before the next call after one that was answered."""
        if self.cut_watches > MAX_CUT_WATCHES:
            return POLL_INTERVAL_S
        return BATCH_DELAY_S[self.kind] if changed else 0.0

    def counted_failures(self, failures: int) -> int:
        """Return for how many failures in a row to back off: few while other calls are answered."""
        if self.availability.answers(self.clock.monotonic()):
            return min(failures, MAX_FAILURES_BESIDE_ANSWERS)
        return failures

    def unanswered_since(self) -> float:
        """Return since when the store may not have answered, as the failed call shows."""
        now = self.clock.monotonic()
        is_overdue = now > self.answer_due_at + OVERDUE_S
        return self.call_started_at if is_overdue else now

    async def wait_after_history_loss(self, losses: int) -> None:
        """Wait before listing all records again; `losses` counts losses in a row."""
        assert self.position is not None
        self.observer.on_history_lost(self.kind, self.position)
        if losses > 1:
            await self.policy.back_off(self.kind, losses - 1)
        await self.policy.wait_for_relays()

    def apply_watch_result(self, since: Position, found: Changes) -> None:
        """Apply the result of a watch if it is of the era that the watch started in.

        The result lacks changes of a later era whose revisions are not above that of `since`, so a
        later era requires a new list.
        """
        if found.position.era > since.era:
            self.must_list = True
            return
        self.apply_changes(found.changes, found.position)

    def apply_listing(self, listing: Listing) -> None:
        """Replace all records by a list, unless newer records are held."""
        self.must_list = False
        if self.position is not None and listing.position < self.position:
            self.observer.on_listing_dropped(self.kind, self.position, listing.position)
            return
        self.records = dict(listing.records)
        self.position = listing.position
        self.handler.on_listing(self.kind, listing)

    def apply_changes(self, changes: Iterable[Change], position: Position) -> None:
        """Apply the changes that lead to a position, unless it is already held.

        Of several changes of one record only the last counts: earlier ones may be older than what a
        relay delivered meanwhile.
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
        """Tell whether a change modifies the record that is held.

        Without this check the heartbeats of 200 cold replicas would cause 200 changes a second at
        each box.
        """
        return change.record is None or change.record != self.records.get(change.name)

    def apply_update(
        self, since: Position | None, position: Position, changes: list[Change]
    ) -> None:
        """Apply a relay's update: the changes after `since`, or all records if it is `None`.

        The relay may be the first that a store answers which has been away.
        """
        if self.failing_since is not None:
            self.availability.report_if_away(self.clock.monotonic())
        if since is None:
            records = {change.name: change.record for change in changes if change.record}
            self.apply_listing(Listing(records, position))
        elif self.position is not None and since <= self.position and since.era == position.era:
            self.apply_changes(changes, position)

    def contact(self) -> StoreContact:
        """Return the state of this box's contact with the store."""
        now = self.clock.monotonic()
        age_s = math.inf if self.contact_at is None else now - self.contact_at
        failing_s = 0.0 if self.failing_since is None else now - self.failing_since
        return StoreContact(age_s, failing_s, self.availability.steady_s(now))

    def on_contact(self) -> None:
        """Record that the store answered."""
        now = self.clock.monotonic()
        self.availability.on_answer(now)
        self.clear_failure()
        self.contact_at = now

    def clear_failure(self) -> None:
        """Record that the store is reached again, directly or through a relay."""
        if self.failing_since is None:
            return
        self.failing_since = None
        now = self.clock.monotonic()
        self.observer.on_contact_restored(self.kind, now - (self.contact_at or now))

    def on_failure(self, error: FleetStoreError) -> None:
        """Record that the store did not answer."""
        now = self.clock.monotonic()
        if self.failing_since is None:
            self.failing_since = now
            self.observer.on_contact_lost(self.kind, error)
        self.availability.report_if_away(now)
