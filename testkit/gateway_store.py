"""Stand for the store that gateway boxes follow."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.fleet.store import (
    Change,
    Changes,
    FleetStore,
    FleetStoreError,
    HistoryLost,
    Listing,
    Record,
    RecordKind,
)

if TYPE_CHECKING:
    from calicopath_core.crashes.keeping import KeptRequest
    from calicopath_core.scheduling.election import BoxAddress


class FakeStore:
    """Hold the platform's records; every change raises one revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[RecordKind, dict[str, Record]] = {kind: {} for kind in RecordKind}
        self.log: list[tuple[int, RecordKind, Change]] = []
        self.forgotten = 0
        self.deaf = False
        self.relays: tuple[BoxAddress, ...] | None = None
        self.blocked: tuple[KeptRequest, ...] = ()
        self.changed = asyncio.Event()

    def write(self, kind: RecordKind, name: str, record: Record | None) -> None:
        """Change one record."""
        self.revision += 1
        if record is None:
            self.records[kind].pop(name, None)
        else:
            self.records[kind][name] = record
        self.log.append((self.revision, kind, Change(name, record)))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def compact(self, deaf_s: float) -> None:
        """Tell watches nothing for a while, then cut them and lose what has changed so far."""
        self.deaf = True
        await asyncio.sleep(deaf_s)
        self.deaf = False
        self.forget_history()
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def forget_history(self) -> None:
        """Lose what has changed so far."""
        self.forgotten = self.revision


CALL_TIMEOUT_S = 0.8
"""How long a call to a silent store hangs beyond what it was asked to wait, as the adapter's do."""


class FakeStoreClient(FleetStore):
    """Give one box the store; `cut` keeps it away at once, `silent` after the time a call takes.

    `silent_watches` are kinds whose next watch hears no change: its connection went silent.
    """

    def __init__(self, *, store: FakeStore) -> None:
        self.store = store
        self.cut = False
        self.silent = False
        self.silent_watches: set[RecordKind] = set()
        self.blocked_cut = False
        self.calls = 0

    def check(self) -> None:
        """Count a call, and fail it if the box is cut off."""
        self.calls += 1
        if self.cut:
            raise FleetStoreError('cut off')

    async def hang(self, wait_s: float) -> None:
        """Fail a call as a silent store does."""
        self.calls += 1
        await asyncio.sleep(wait_s + CALL_TIMEOUT_S)
        raise FleetStoreError('silent')

    async def hear_nothing(self, wait_s: float) -> None:
        """Wait as a watch does that is told nothing, until it is cut or overdue."""
        try:
            async with asyncio.timeout(wait_s + CALL_TIMEOUT_S):
                while self.store.deaf:
                    await asyncio.sleep(0.01)
        except TimeoutError:
            pass
        raise FleetStoreError('cut')

    async def list(self, kind: RecordKind) -> Listing:
        """Return every record."""
        await asyncio.sleep(0.004)
        if self.silent:
            await self.hang(0.0)
        self.check()
        return Listing(dict(self.store.records[kind]), self.store.revision)

    async def watch(self, kind: RecordKind, revision: int, wait_s: float) -> Changes:
        """Return what has changed."""
        self.check()
        began = asyncio.get_running_loop().time()
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            if self.store.deaf:
                await self.hear_nothing(wait_s)
            if revision < self.store.forgotten:
                raise HistoryLost(kind.value)
            found = [item for at, of, item in self.store.log if at > revision and of is kind]
            left_s = ends_at - asyncio.get_running_loop().time()
            if self.silent or kind in self.silent_watches:
                self.silent_watches.discard(kind)
                await self.hang(wait_s - (asyncio.get_running_loop().time() - began))
            if found or left_s <= 0:
                self.check()
                return Changes(tuple(found), self.store.revision)
            try:
                async with asyncio.timeout(left_s):
                    await self.store.changed.wait()
            except TimeoutError:
                continue

    async def read_relays(self) -> tuple[BoxAddress, ...] | None:
        """Return the relays that are written down."""
        await asyncio.sleep(0.004)
        if self.silent:
            await self.hang(0.0)
        self.check()
        return self.store.relays

    async def write_relays(self, relays: tuple[BoxAddress, ...]) -> None:
        """Write down which boxes are relays."""
        if self.silent:
            await self.hang(0.0)
        self.check()
        self.store.relays = relays

    async def read_blocked(self) -> tuple[KeptRequest, ...]:
        """Return the requests that are kept as blocked."""
        await asyncio.sleep(0.004)
        if self.silent or self.blocked_cut:
            await self.hang(0.0)
        self.check()
        return self.store.blocked

    async def write_blocked(self, kept: tuple[KeptRequest, ...]) -> None:
        """Keep requests as blocked."""
        if self.silent:
            await self.hang(0.0)
        self.check()
        self.store.blocked = kept

    async def register(self, box: BoxAddress) -> None:
        """Write the box's record."""
        self.check()
        record = box._replace(order=self.store.revision + 1)
        self.store.write(RecordKind.BOX, box.name, record)

    async def withdraw(self, box: BoxAddress) -> None:
        """Remove the box's record."""
        self.check()
        self.store.write(RecordKind.BOX, box.name, None)
