"""Keep what was acknowledged while a store that came back from a copy is brought up to date.

Answers a store that lost its last seconds. Its first list of a new era holds what was removed since
the copy was taken, and lacks what was made since; operators and replicas write that again within
seconds. Until then what this box knew of before goes on holding:

- what it knew to be gone is not back, unless it is written anew or outlasts a dead writer's entry;
- boxes and failure domains taken out that the list lacks are kept for a while. Replicas that it
  lacks are doubted as after an outage, by their table.
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
"""Kinds of which a record that the list lacks is kept for a while."""

KEEP_MISSING_S = 10.0
"""How long it is kept for its writer to write it again: some seconds, as for replicas, and as much
again for an operator's tools."""

TOMBSTONE_RETENTION_S = 120.0
"""How long it is remembered what is gone: longer than any copy is old that the pages speak of."""


class Tombstone(NamedTuple):
    """Hold a record that is gone, and since when (monotonic seconds)."""

    record: Record
    gone_at: float


class Unconfirmed(NamedTuple):
    """Hold what the list says of a record, and when that is believed (monotonic seconds)."""

    record: Record | None
    confirmed_at: float


class KindState:
    """Hold one kind of records as the tables know it."""

    def __init__(self) -> None:
        self.position: Position | None = None
        self.published: dict[str, Record] = {}
        self.tombstones: dict[str, Tombstone] = {}
        self.unconfirmed: dict[str, Unconfirmed] = {}

    def publish(self, name: str, record: Record | None, now: float) -> None:
        """Take in a record's newest state."""
        known = self.published.pop(name, None)
        if record is not None:
            self.tombstones.pop(name, None)
            self.published[name] = record
        elif known is not None:
            self.tombstones[name] = Tombstone(known, now)


class RestoreFilter(FeedHandler):
    """Hand on what feeds bring to the tables behind, `inner`.

    `lapse_s` is how long the entry of a replica stands that writes no more; `on_restored` learns of
    each list of a new era: its position, how many records are kept and how many held back.
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
        """Note that the store could not be read until now."""
        self.inner.on_disrupted()

    def on_listing(self, kind: RecordKind, listing: Listing) -> None:
        """Take in every record of a kind."""
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
        """Return what a list says that is not believed yet; later ones of an era add nothing."""
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
        """Return how long a record that was gone is held back."""
        if kind is RecordKind.BOX:
            # A box has a new life with each start.
            return math.inf
        return self.entry_ttl_s if kind is RecordKind.REPLICA else KEEP_MISSING_S

    def confirmed_records(self, kind: RecordKind, records: dict[str, Record]) -> dict[str, Record]:
        """Return a list with what is kept, and without what is held back."""
        held = self.kinds[kind]
        found = {name: item for name, item in records.items() if name not in held.unconfirmed}
        kept = (name for name, item in held.unconfirmed.items() if item.record is None)
        return found | {name: held.published[name] for name in kept}

    def on_changes(self, kind: RecordKind, position: Position, changes: list[Change]) -> None:
        """Take in the new state of records; what was written in this era is believed."""
        held, now = self.kinds[kind], self.clock.monotonic()
        held.position = position
        for change in changes:
            held.unconfirmed.pop(change.name, None)
            held.publish(change.name, change.record, now)
        self.inner.on_changes(kind, position, changes)

    def stale_boxes(self) -> list[BoxAddress]:
        """Return the boxes that have ended and that the store lists again."""
        pending = self.kinds[RecordKind.BOX].unconfirmed.values()
        return [item.record for item in pending if isinstance(item.record, BoxAddress)]

    def expire(self) -> None:
        """Believe what has stood for long enough, and forget what is long gone."""
        now = self.clock.monotonic()
        for kind, held in self.kinds.items():
            due = [name for name, item in held.unconfirmed.items() if item.confirmed_at <= now]
            changes = [Change(name, held.unconfirmed[name].record) for name in due]
            if changes and held.position is not None:
                self.on_changes(kind, held.position, changes)
            for name in [
                name
                for name, item in held.tombstones.items()
                if item.gone_at < now - TOMBSTONE_RETENTION_S
            ]:
                if name not in held.unconfirmed:
                    del held.tombstones[name]


def is_same_incarnation(gone: Record, listed: Record) -> bool:
    """Tell whether a listed record is what is known to be gone, not a later one of its name."""
    if isinstance(gone, Replica) and isinstance(listed, Replica):
        return listed.started_ms <= gone.started_ms
    if isinstance(gone, BoxAddress) and isinstance(listed, BoxAddress):
        return listed.incarnation == gone.incarnation
    # The revision at which a failure domain was taken out tells one time from another.
    return isinstance(gone, Evacuation) and gone == listed
