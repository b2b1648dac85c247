"""Preserve acknowledged records while a store restored from a copy is brought up to date.

A restored store has lost its last seconds. Its first list of a new era contains records that were
removed since the copy was taken, and lacks records created since; operators and replicas write
these again within seconds. Until then the records that this box knew of before stay in force:

- A record known to be removed stays removed, unless it is written again or stays listed for longer
  than the entry of a stopped writer would.
- Boxes and evacuations missing from the list are kept for a while. Missing replicas are kept by
  their table, as after an outage.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.evacuations import Evacuation
from calicopath_core.fleet.feed import FeedHandler
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import Change, Listing, RecordKind
from calicopath_core.scheduling.election import BoxAddress

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.positions import Position
    from calicopath_core.fleet.store import Record

KEPT_KINDS = frozenset({RecordKind.BOX, RecordKind.EVACUATION})
"""Kinds whose records are kept for a while if the list lacks them."""

KEEP_MISSING_S = 10.0
"""How long a missing record is kept for its writer to write it again: some seconds, as for
replicas, and as much again for an operator's tools."""

TOMBSTONE_RETENTION_S = 120.0
"""How long removed records are remembered: longer than the age of any copy that the user
documentation mentions."""


class Tombstone(NamedTuple):
    """Hold a removed record and when it was removed, in monotonic seconds."""

    record: Record
    removed_at: float


class Unconfirmed(NamedTuple):
    """Hold the listed state of a record and when it takes effect, in monotonic seconds."""

    record: Record | None
    confirmed_at: float


class KindState:
    """Hold the records of one kind as passed on to the inner handler."""

    def __init__(self) -> None:
        self.position: Position | None = None
        self.published: dict[str, Record] = {}
        self.tombstones: dict[str, Tombstone] = {}
        self.unconfirmed: dict[str, Unconfirmed] = {}

    def publish(self, name: str, record: Record | None, now: float) -> None:
        """Store a record's newest state, and a tombstone if it was removed."""
        known = self.published.pop(name, None)
        if record is not None:
            self.tombstones.pop(name, None)
            self.published[name] = record
        elif known is not None:
            self.tombstones[name] = Tombstone(known, now)


class RestoreFilter(FeedHandler):
    """Pass records from feeds to the `inner` handler, except unconfirmed ones.

    `entry_ttl_s` is how long the entry of a stopped replica remains in the store. `on_restored` is
    called for each list of a new era with its kind, its position, and the numbers of records kept
    and held back.
    """

    def __init__(
        self,
        *,
        inner: FeedHandler,
        clock: Clock,
        entry_ttl_s: float,
        on_restored: Callable[[RecordKind, Position, int, int], None],
    ) -> None:
        self.inner = inner
        self.clock = clock
        self.entry_ttl_s = entry_ttl_s
        self.on_restored = on_restored
        self.kinds = {kind: KindState() for kind in RecordKind}

    def on_disrupted(self) -> None:
        """Handle the end of a time in which the store could not be read."""
        self.inner.on_disrupted()

    def on_listing(self, kind: RecordKind, listing: Listing) -> None:
        """Handle the complete list of a kind's records."""
        held = self.kinds[kind]
        restored = held.position is not None and listing.position.era > held.position.era
        held.position = listing.position
        held.unconfirmed = self.find_unconfirmed(kind, listing.records, restored=restored)
        if restored:
            self.inner.on_disrupted()
            kept = sum(item.record is None for item in held.unconfirmed.values())
            self.on_restored(kind, listing.position, kept, len(held.unconfirmed) - kept)
        records = self.confirmed_records(kind, listing.records)
        now = self.clock.monotonic()
        for name in held.published.keys() - records.keys():
            held.publish(name, None, now)
        for name, record in records.items():
            held.publish(name, record, now)
        self.inner.on_listing(kind, Listing(records, listing.position))

    def find_unconfirmed(
        self, kind: RecordKind, records: dict[str, Record], *, restored: bool
    ) -> dict[str, Unconfirmed]:
        """Return the records whose listed state is not confirmed.

        Only the first list of an era adds such records; later lists of the era update them.
        """
        held, now = self.kinds[kind], self.clock.monotonic()
        found: dict[str, Unconfirmed] = {}
        for name in held.tombstones.keys() & records.keys():
            if is_same_incarnation(held.tombstones[name].record, records[name]):
                found[name] = Unconfirmed(records[name], now + self.hold_back_s(kind))
        if kind in KEPT_KINDS:
            for name in held.published.keys() - records.keys():
                found[name] = Unconfirmed(None, now + KEEP_MISSING_S)
        if restored:
            return found
        return {
            name: held.unconfirmed[name]._replace(record=item.record)
            for name, item in found.items()
            if name in held.unconfirmed
        }

    def hold_back_s(self, kind: RecordKind) -> float:
        """Return how long a removed record that is listed again is held back, in seconds."""
        if kind is RecordKind.BOX:
            # A box has a new incarnation with each start, so a removed one is never valid again.
            return math.inf
        return self.entry_ttl_s if kind is RecordKind.REPLICA else KEEP_MISSING_S

    def confirmed_records(self, kind: RecordKind, records: dict[str, Record]) -> dict[str, Record]:
        """Return a list with the kept records and without those held back."""
        held = self.kinds[kind]
        found = {name: item for name, item in records.items() if name not in held.unconfirmed}
        kept = (name for name, item in held.unconfirmed.items() if item.record is None)
        return found | {name: held.published[name] for name in kept}

    def on_changes(self, kind: RecordKind, position: Position, changes: list[Change]) -> None:
        """Handle the new state of records; a change written in this era is confirmed."""
        held, now = self.kinds[kind], self.clock.monotonic()
        held.position = position
        for change in changes:
            held.unconfirmed.pop(change.name, None)
            held.publish(change.name, change.record, now)
        self.inner.on_changes(kind, position, changes)

    def stale_boxes(self) -> list[BoxAddress]:
        """Return the boxes that have stopped and that the store lists again."""
        pending = self.kinds[RecordKind.BOX].unconfirmed.values()
        return [item.record for item in pending if isinstance(item.record, BoxAddress)]

    def expire(self) -> None:
        """Apply states whose time has come, and remove old tombstones."""
        now = self.clock.monotonic()
        for kind, held in self.kinds.items():
            due = [name for name, item in held.unconfirmed.items() if item.confirmed_at <= now]
            changes = [Change(name, held.unconfirmed[name].record) for name in due]
            if changes and held.position is not None:
                self.on_changes(kind, held.position, changes)
            for name in [
                name
                for name, item in held.tombstones.items()
                if item.removed_at < now - TOMBSTONE_RETENTION_S
            ]:
                if name not in held.unconfirmed:
                    del held.tombstones[name]


def is_same_incarnation(removed: Record, listed: Record) -> bool:
    """Tell whether a listed record is the removed one, not a later one of the same name."""
    if isinstance(removed, Replica) and isinstance(listed, Replica):
        return listed.started_ms <= removed.started_ms
    if isinstance(removed, BoxAddress) and isinstance(listed, BoxAddress):
        return listed.incarnation == removed.incarnation
    # The revision distinguishes successive evacuations of the same failure domain.
    return isinstance(removed, Evacuation) and removed == listed
