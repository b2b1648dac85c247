"""Stand for the replicas of stages: calls one at a time, a short queue, room for results."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.backends.base import MayHaveRun, NotStarted, ProbeResult
from calicopath_core.scheduling.interfaces import PieceCall, PieceResult, StageCaller, StageReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.fleet.deployment import StageSpec
    from calicopath_core.fleet.replicas import Replica

QUEUE = 2
CALL_S = 0.004
"""What a call and its answer take on the way."""

LINK_BYTES_A_S = 1_250_000_000.0
DEAD_S = 0.01


class Kept(NamedTuple):
    """Hold a result: its maker, failure domain, size, end of life and what it took to make."""

    maker: str
    failure_domain: str
    size: int
    until: float
    work_s: float


class Maker:
    """Hold one replica's state; `slow` multiplies what calls take."""

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.waiting = 0
        self.slow = 1.0
        self.dead = False


class ReplayStages(StageCaller):
    """Stand for every replica of stages on the loop's time."""

    def __init__(self, *, specs: dict[str, StageSpec], size_of: Callable[[PieceCall], int]) -> None:
        self.specs = specs
        self.size_of = size_of
        self.result_numbers = itertools.count(1)
        self.makers: dict[str, Maker] = {}
        self.kept: dict[str, Kept] = {}
        self.calls = 0
        self.pieces = 0
        self.without_room = 0
        self.gone = 0
        self.work_s = 0.0
        self.crossed_bytes = 0

    def maker(self, name: str) -> Maker:
        """Return a replica's state."""
        return self.makers.setdefault(name, Maker())

    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call when its turn comes."""
        maker = self.maker(replica.id)
        await asyncio.sleep(CALL_S / 2)
        if maker.dead:
            await asyncio.sleep(DEAD_S)
            raise MayHaveRun(f'{replica.id} is gone')
        if maker.waiting > QUEUE:
            raise NotStarted(f'{replica.id} is full')
        maker.waiting += 1
        try:
            async with maker.lock:
                found = await self.work(replica, maker, calls)
        finally:
            maker.waiting -= 1
        await asyncio.sleep(CALL_S / 2)
        if maker.dead:
            raise MayHaveRun(f'{replica.id} is gone')
        return found

    async def work(
        self, replica: Replica, maker: Maker, calls: list[PieceCall]
    ) -> list[PieceResult]:
        """Fetch the inputs, work, and keep the results there is room for."""
        spec = self.specs[replica.service]
        self.calls += 1
        now = asyncio.get_running_loop().time()
        self.expire(now)
        free = self.free_bytes(replica, spec)
        reasons: list[str] = []
        for call in calls:
            reason = self.fetch(replica, call)
            if not reason and self.size_of(call) > free:
                reason = 'room'
                self.without_room += 1
            if not reason:
                free -= self.size_of(call)
            reasons.append(reason)
        took_s = (spec.call_s + spec.piece_s * len(calls)) * maker.slow
        handles = [
            self.new_result(replica, call, now + took_s + spec.result_ttl_s, took_s / len(calls))
            if not reason
            else None
            for call, reason in zip(calls, reasons, strict=True)
        ]
        self.pieces += len(calls)
        self.work_s += took_s
        await asyncio.sleep(took_s)
        return [
            PieceResult(handle, reason) for handle, reason in zip(handles, reasons, strict=True)
        ]

    def fetch(self, replica: Replica, call: PieceCall) -> str:
        """Return why a piece's inputs can't be had, nothing if they are."""
        for handle in call.inputs or ():
            item = self.kept.get(handle)
            if item is None:
                self.gone += 1
                return 'gone'
            if item.failure_domain != replica.failure_domain:
                self.crossed_bytes += item.size
        return ''

    def new_result(self, replica: Replica, call: PieceCall, until: float, work_s: float) -> str:
        """Keep a new result and return its handle."""
        handle = f'{replica.address}/{next(self.result_numbers)}'
        self.kept[handle] = Kept(
            replica.id, replica.failure_domain, self.size_of(call), until, work_s
        )
        return handle

    def expire(self, now: float) -> None:
        """Drop results that have run out."""
        for handle in [name for name, item in self.kept.items() if item.until <= now]:
            del self.kept[handle]

    def free_bytes(self, replica: Replica, spec: StageSpec) -> float:
        """Return a replica's room."""
        return spec.result_capacity_bytes - sum(
            item.size for item in self.kept.values() if item.maker == replica.id
        )

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Tell whether a maker is dead."""
        return ProbeResult.REFUSED if self.maker(replica.id).dead else ProbeResult.OPEN

    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Give results up."""
        await asyncio.sleep(CALL_S)
        for handle in handles:
            self.kept.pop(handle, None)

    async def report(self, replica: Replica) -> StageReport:
        """Tell a replica's room."""
        await asyncio.sleep(CALL_S)
        maker = self.maker(replica.id)
        if maker.dead:
            raise MayHaveRun(f'{replica.id} is gone')
        self.expire(asyncio.get_running_loop().time())
        free = self.free_bytes(replica, self.specs[replica.service])
        return StageReport(free, maker.waiting == 0)

    def kill(self, name: str) -> None:
        """End a replica and lose its results."""
        self.maker(name).dead = True
        self.kept = {handle: item for handle, item in self.kept.items() if item.maker != name}
