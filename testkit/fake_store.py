"""Fake the platform's object store in memory, with faults between each box and the store."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter
from typing import TYPE_CHECKING, Any

from calicopath_core.store import versions
from calicopath_core.store.base import (
    ABSENT_VERSION,
    ObjectStore,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
    WriteUnknown,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

LATE_WRITE_DELAY_S = 0.3


class Gate:
    """Block everything that one box sends and receives while the box is paused."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()

    async def wait_open(self) -> None:
        """Wait until the box is not paused."""
        await self.open.wait()

    def pause(self) -> None:
        """Pause the box."""
        self.open.clear()

    def resume(self) -> None:
        """Resume the box."""
        self.open.set()


class WriteOutcome(enum.Enum):
    """Name what happens to a write and its response."""

    DONE = 'done'
    LOST_BEFORE = 'lost before it took effect'
    LOST_AFTER = 'took effect, answer lost'
    LATE = 'takes effect after the writer gave up'


class StoreState:
    """Hold the objects that all boxes share.

    `era` counts the restores from a snapshot; each restore resets `sequence` to the snapshot's.
    """

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.sequence = 0
        self.era = 0
        self.watchers: list[tuple[str, asyncio.Queue[StoredObject | None]]] = []
        self.counts: Counter[str] = Counter()
        self.down = False

    def write(self, key: str, value: dict[str, Any], expected: int) -> StoredObject:
        """Write an object; raise `VersionConflict` unless its version is `expected`."""
        held = self.objects.get(key)
        if (held.version if held else ABSENT_VERSION) != expected:
            raise VersionConflict(f'{key} is not at version {expected}')
        self.sequence += 1
        version = versions.join(versions.StoreVersion(self.era, self.sequence))
        stored = StoredObject(key, version, value)
        self.objects[key] = stored
        for prefix, queue in self.watchers:
            if key.startswith(prefix):
                queue.put_nowait(stored)
        return stored

    def snapshot(self) -> tuple[int, dict[str, StoredObject]]:
        """Return a snapshot for `restore`."""
        return self.sequence, dict(self.objects)

    def restore(self, snapshot: tuple[int, dict[str, StoredObject]]) -> None:
        """Restore a snapshot: later writes are lost and their sequence numbers are reused."""
        self.sequence, self.objects = snapshot[0], dict(snapshot[1])
        self.era += 1
        self.end_watches()

    def end_watches(self) -> None:
        """End every watch, as an outage does."""
        for _, queue in self.watchers:
            queue.put_nowait(None)


class FakeStore(ObjectStore):
    """Access a `StoreState` from one box, over a link that can be cut, slow or lossy."""

    def __init__(
        self, *, state: StoreState, latency_s: float = 0.002, gate: Gate | None = None
    ) -> None:
        self.state = state
        self.gate = gate or Gate()
        self.latency_s = latency_s
        self.cut = False
        self.write_outcome: Callable[[str], WriteOutcome] = lambda key: WriteOutcome.DONE
        self.deliver: Callable[[StoredObject], list[StoredObject]] = lambda stored: [stored]

    async def begin_call(self, kind: str) -> None:
        """Wait for the latency; raise `StoreUnavailable` if the store is unreachable."""
        await self.gate.wait_open()
        self.state.counts[kind] += 1
        await asyncio.sleep(self.latency_s)
        if self.cut or self.state.down:
            raise StoreUnavailable('the store cannot be reached')

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or `None` if it does not exist."""
        await self.begin_call('read')
        return self.state.objects.get(key)

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return every object below `prefix`."""
        await self.begin_call('read')
        return [item for key, item in self.state.objects.items() if key.startswith(prefix)]

    async def put(self, key: str, value: dict[str, Any], expected_version: int) -> StoredObject:
        """Write if the version is the expected one, with the fault that `write_outcome` returns."""
        await self.begin_call('write')
        fate = self.write_outcome(key)
        if fate is WriteOutcome.LOST_BEFORE:
            raise WriteUnknown('lost before it took effect')
        if fate is WriteOutcome.LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_WRITE_DELAY_S, self.write_late, key, value, expected_version)
            raise WriteUnknown('not answered in time')
        stored = self.state.write(key, value, expected_version)
        if fate is WriteOutcome.LOST_AFTER:
            raise WriteUnknown('the answer was lost')
        await self.gate.wait_open()
        return stored

    def write_late(self, key: str, value: dict[str, Any], expected: int) -> None:
        """Perform a delayed write, which may conflict with a newer version."""
        try:
            self.state.write(key, value, expected)
        except VersionConflict:
            self.state.counts['late conflict'] += 1

    async def watch(self, prefix: str) -> AsyncIterator[StoredObject]:
        """Yield changes below `prefix`, as transformed by `deliver`."""
        await self.begin_call('watch')
        queue: asyncio.Queue[StoredObject | None] = asyncio.Queue()
        entry = (prefix, queue)
        self.state.watchers.append(entry)
        try:
            while (stored := await queue.get()) is not None:
                await asyncio.sleep(self.latency_s)
                if self.cut or self.state.down:
                    continue
                await self.gate.wait_open()
                for item in self.deliver(stored):
                    yield item
        finally:
            self.state.watchers.remove(entry)
