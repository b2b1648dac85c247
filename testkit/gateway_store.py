"""Fake the store that gateway boxes follow."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.positions import Position
from calicopath_core.fleet.store import (
    Change,
    Changes,
    FleetStore,
    FleetStoreError,
    HistoryLost,
    Listing,
    Record,
    RecordKind,
    StoreSilent,
)
from calicopath_core.versions.keeping import StoredStreams

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.crashes.keeping import StoredRequest
    from calicopath_core.scheduling.election import BoxAddress
    from calicopath_core.versions.keeping import Versions
    from calicopath_core.versions.messages import BegunStreams


REWRITTEN_KINDS = (RecordKind.DEPLOYMENT, RecordKind.REPLICA, RecordKind.EVACUATION)
"""Kinds whose writers (operators and replicas) rewrite records that the store has lost."""


class StoreSnapshot(NamedTuple):
    """Hold the contents of the store at some time."""

    revision: int
    records: dict[RecordKind, dict[str, Record]]
    log: list[tuple[int, RecordKind, Change]]
    relays: tuple[BoxAddress, ...] | None
    blocked: tuple[StoredRequest, ...]
    streams: StoredStreams


class FakeStore:
    """Hold the platform's records; every change increments one revision.

    `era` counts the restores from a snapshot; while `down` is set, every call fails.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[RecordKind, dict[str, Record]] = {kind: {} for kind in RecordKind}
        self.log: list[tuple[int, RecordKind, Change]] = []
        self.compacted_revision = 0
        self.watches_silent = False
        self.relays: tuple[BoxAddress, ...] | None = None
        self.blocked: tuple[StoredRequest, ...] = ()
        self.streams = StoredStreams({}, None, ())
        self.streams_are_down = False
        self.stream_groups: dict[int, tuple[BegunStreams, ...]] = {}
        self.changed = asyncio.Event()
        self.era = 0
        self.down = False

    def write(self, kind: RecordKind, name: str, record: Record | None) -> None:
        """Change one record."""
        self.revision += 1
        if record is None:
            self.records[kind].pop(name, None)
        else:
            self.records[kind][name] = record
        self.log.append((self.revision, kind, Change(name, record)))
        self.wake_watches()

    def position(self) -> Position:
        """Return the store's current position."""
        return Position(self.era, self.revision)

    def wake_watches(self) -> None:
        """Have every waiting watch check for changes."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def snapshot(self) -> StoreSnapshot:
        """Return a snapshot for `restore`."""
        records = {kind: dict(held) for kind, held in self.records.items()}
        return StoreSnapshot(
            self.revision, records, list(self.log), self.relays, self.blocked, self.read_streams()
        )

    def read_streams(self) -> StoredStreams:
        """Return the declared versions and the records of all groups."""
        groups = tuple(item for group in self.stream_groups.values() for item in group)
        return self.streams._replace(groups=groups)

    async def restore(
        self, snapshot: StoreSnapshot, down_s: float, rewrite_delay_s: float = 0.0
    ) -> None:
        """Be down for `down_s`, then restore a snapshot.

        Writers rewrite the lost `REWRITTEN_KINDS` in order, `rewrite_delay_s` after the restore.
        """
        self.down = True
        self.wake_watches()
        await asyncio.sleep(down_s)
        lost = self.lost_since(snapshot)
        self.revision, self.log = snapshot.revision, list(snapshot.log)
        self.records = {kind: dict(held) for kind, held in snapshot.records.items()}
        self.relays, self.blocked = snapshot.relays, snapshot.blocked
        self.streams, self.stream_groups = snapshot.streams, {0: snapshot.streams.groups}
        self.era += 1
        self.down = False
        await asyncio.sleep(rewrite_delay_s)
        written = {(kind, item.name) for at, kind, item in self.log if at > snapshot.revision}
        for kind, name, record in lost:
            if (kind, name) not in written and self.records[kind].get(name) != record:
                self.write(kind, name, record)

    def lost_since(self, snapshot: StoreSnapshot) -> list[tuple[RecordKind, str, Record | None]]:
        """Return the newest state of rewritable records changed after a snapshot."""
        found = {
            (kind, change.name): change.record
            for at, kind, change in self.log
            if at > snapshot.revision and kind in REWRITTEN_KINDS
        }
        return [(kind, name, record) for (kind, name), record in found.items()]

    async def compact(self, silent_s: float) -> None:
        """Send watches nothing for `silent_s`, then end them and drop the history."""
        self.watches_silent = True
        await asyncio.sleep(silent_s)
        self.watches_silent = False
        self.drop_history()
        self.wake_watches()

    def drop_history(self) -> None:
        """Drop the history of changes up to the current revision."""
        self.compacted_revision = self.revision


CALL_TIMEOUT_S = 0.8
"""Timeout of a call to a silent store, added to the call's own wait, as in the real adapter."""


class FakeStoreClient(FleetStore):
    """Access the store from one box; with `cut` calls fail at once, with `silent` they time out.

    The next watch of a kind in `silent_watches` receives nothing and times out. `fails` decides for
    each call whether the store answers 429 or 503. The next `outdated_answers` watches are answered
    from an earlier era. `reads` counts lists and watches; `calls` counts all calls, and an answered
    watch twice.
    """

    def __init__(self, *, store: FakeStore) -> None:
        self.store = store
        self.cut = False
        self.silent = False
        self.silent_watches: set[RecordKind] = set()
        self.failing_calls = 0
        self.fails: Callable[[], bool] = lambda: False
        self.outdated_answers = 0
        self.watch_cuts = asyncio.Event()
        self.blocked_unreadable = False
        self.calls = 0
        self.reads = 0

    def cut_watches(self) -> None:
        """Cut the waiting watches of this box, as a sound store may."""
        cuts, self.watch_cuts = self.watch_cuts, asyncio.Event()
        cuts.set()
        self.store.wake_watches()

    def check_reachable(self) -> None:
        """Count a call; raise `FleetStoreError` if the store is unreachable or fails the call."""
        self.calls += 1
        if self.failing_calls:
            self.failing_calls -= 1
            raise FleetStoreError('the store answered 503')
        if self.cut or self.store.down:
            raise FleetStoreError('cut off')

    def check_served(self) -> None:
        """Raise `FleetStoreError` if the store refuses the call."""
        if self.fails():
            raise FleetStoreError('the store answered 429')

    async def time_out(self, wait_s: float) -> None:
        """Time out a call, as with a silent store."""
        self.calls += 1
        await asyncio.sleep(wait_s + CALL_TIMEOUT_S)
        raise StoreSilent('silent')

    async def wait_on_silent_watch(self, wait_s: float) -> None:
        """Wait without changes until the watch is ended or times out."""
        try:
            async with asyncio.timeout(wait_s + CALL_TIMEOUT_S):
                while self.store.watches_silent:
                    await asyncio.sleep(0.01)
        except TimeoutError:
            pass
        raise FleetStoreError('cut')

    async def list(self, kind: RecordKind) -> Listing:
        """Return every record."""
        self.reads += 1
        await asyncio.sleep(0.004)
        if self.silent:
            await self.time_out(0.0)
        self.check_reachable()
        self.check_served()
        return Listing(dict(self.store.records[kind]), self.store.position())

    async def watch(self, kind: RecordKind, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting up to `wait_s` for one."""
        self.reads += 1
        self.check_reachable()
        self.check_served()
        cuts = self.watch_cuts
        began = asyncio.get_running_loop().time()
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            if self.store.watches_silent:
                await self.wait_on_silent_watch(wait_s)
            if self.store.down or cuts.is_set():
                raise FleetStoreError('reset')
            if not self.store.compacted_revision <= revision <= self.store.revision:
                raise HistoryLost(kind.value)
            found = [item for at, of, item in self.store.log if at > revision and of is kind]
            left_s = ends_at - asyncio.get_running_loop().time()
            if self.silent or kind in self.silent_watches:
                self.silent_watches.discard(kind)
                await self.time_out(wait_s - (asyncio.get_running_loop().time() - began))
            if found or left_s <= 0:
                self.check_reachable()
                if self.outdated_answers:
                    self.outdated_answers -= 1
                    return Changes((), Position(self.store.era - 1, revision))
                return Changes(tuple(found), self.store.position())
            try:
                async with asyncio.timeout(left_s):
                    await self.store.changed.wait()
            except TimeoutError:
                continue

    async def read_relays(self) -> tuple[BoxAddress, ...] | None:
        """Return the relays that are recorded."""
        await asyncio.sleep(0.004)
        if self.silent:
            await self.time_out(0.0)
        self.check_reachable()
        return self.store.relays

    async def write_relays(self, relays: tuple[BoxAddress, ...]) -> int:
        """Record which boxes are relays."""
        if self.silent:
            await self.time_out(0.0)
        self.check_reachable()
        self.store.relays = relays
        return self.store.era

    async def read_blocked(self) -> tuple[StoredRequest, ...]:
        """Return the stored blocked requests."""
        await asyncio.sleep(0.004)
        if self.silent or self.blocked_unreadable:
            await self.time_out(0.0)
        self.check_reachable()
        return self.store.blocked

    async def write_blocked(self, kept: tuple[StoredRequest, ...]) -> int:
        """Store the blocked requests."""
        if self.silent:
            await self.time_out(0.0)
        self.check_reachable()
        self.store.blocked = kept
        return self.store.era

    async def read_streams(self) -> StoredStreams:
        """Return the declared versions and the records."""
        await self.wait_for_streams()
        return self.store.read_streams()

    async def wait_for_streams(self) -> None:
        """Take as long as a call for streams takes, and fail if the store does not answer."""
        await asyncio.sleep(0.004)
        if self.silent:
            await self.time_out(0.0)
        self.check_reachable()
        if self.store.streams_are_down:
            raise FleetStoreError('the store does not answer calls for streams')

    async def write_versions(self, versions: Versions, revision: int | None) -> int | None:
        """Replace the declared versions unless their revision is another one."""
        await self.wait_for_streams()
        if self.store.streams.revision != revision:
            return None
        self.store.revision += 1
        self.store.streams = StoredStreams(versions, self.store.revision, ())
        return self.store.revision

    async def write_streams(self, group: int, groups: tuple[BegunStreams, ...]) -> None:
        """Replace the records of a group."""
        await self.wait_for_streams()
        self.store.stream_groups[group] = groups

    async def register(self, box: BoxAddress) -> None:
        """Write the box's record."""
        self.check_reachable()
        record = box._replace(order=self.store.revision + 1)
        self.store.write(RecordKind.BOX, box.name, record)

    async def withdraw(self, box: BoxAddress) -> None:
        """Remove the box's record."""
        self.check_reachable()
        self.store.write(RecordKind.BOX, box.name, None)
