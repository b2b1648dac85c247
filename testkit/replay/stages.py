"""Simulate stage replicas: one call at a time, a short queue, limited space for results."""

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

QUEUE_LIMIT = 2
ROUND_TRIP_S = 0.004
"""Network time of a call and its response."""

LINK_BYTES_PER_S = 1_250_000_000.0
FAILED_CONNECT_S = 0.01


class StoredResult(NamedTuple):
    """Hold a result; `work_s` is the time that its computation took."""

    producer: str
    failure_domain: str
    size: int
    expires_at: float
    work_s: float


class ReplicaState:
    """Hold one replica's state; `slowdown` multiplies the duration of its calls."""

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.waiting = 0
        self.slowdown = 1.0
        self.is_dead = False


class ReplayStages(StageCaller):
    """Simulate every stage replica on the loop's time."""

    def __init__(self, *, specs: dict[str, StageSpec], size_of: Callable[[PieceCall], int]) -> None:
        self.specs = specs
        self.size_of = size_of
        self.result_numbers = itertools.count(1)
        self.replica_states: dict[str, ReplicaState] = {}
        self.results: dict[str, StoredResult] = {}
        self.called_at: list[float] = []
        self.pieces = 0
        self.rejected_for_space = 0
        self.missing_inputs = 0
        self.work_s = 0.0
        self.cross_domain_bytes = 0

    @property
    def calls(self) -> int:
        """Return the number of calls."""
        return len(self.called_at)

    def state_of(self, name: str) -> ReplicaState:
        """Return a replica's state."""
        return self.replica_states.setdefault(name, ReplicaState())

    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call after those that wait at the replica."""
        state = self.state_of(replica.id)
        await asyncio.sleep(ROUND_TRIP_S / 2)
        if state.is_dead:
            await asyncio.sleep(FAILED_CONNECT_S)
            raise MayHaveRun(f'{replica.id} is gone')
        if state.waiting > QUEUE_LIMIT:
            raise NotStarted(f'{replica.id} is full')
        state.waiting += 1
        try:
            async with state.lock:
                found = await self.execute(replica, state, calls)
        finally:
            state.waiting -= 1
        await asyncio.sleep(ROUND_TRIP_S / 2)
        if state.is_dead:
            raise MayHaveRun(f'{replica.id} is gone')
        return found

    async def execute(
        self, replica: Replica, state: ReplicaState, calls: list[PieceCall]
    ) -> list[PieceResult]:
        """Fetch the inputs, spend the time of the work, and store the results that fit."""
        spec = self.specs[replica.service]
        now = asyncio.get_running_loop().time()
        self.called_at.append(now)
        self.expire(now)
        free = self.free_bytes(replica, spec)
        reasons: list[str] = []
        for call in calls:
            reason = self.fetch(replica, call)
            if not reason and self.size_of(call) > free:
                reason = 'room'
                self.rejected_for_space += 1
            if not reason:
                free -= self.size_of(call)
            reasons.append(reason)
        took_s = (spec.call_s + spec.piece_s * len(calls)) * state.slowdown
        handles = [
            self.store_result(replica, call, now + took_s + spec.result_ttl_s, took_s / len(calls))
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
        """Return `gone` if an input of a piece is missing, else an empty string."""
        for handle in call.inputs or ():
            item = self.results.get(handle)
            if item is None:
                self.missing_inputs += 1
                return 'gone'
            if item.failure_domain != replica.failure_domain:
                self.cross_domain_bytes += item.size
        return ''

    def store_result(
        self, replica: Replica, call: PieceCall, expires_at: float, work_s: float
    ) -> str:
        """Store a new result and return its handle."""
        handle = f'{replica.address}/{next(self.result_numbers)}'
        self.results[handle] = StoredResult(
            replica.id, replica.failure_domain, self.size_of(call), expires_at, work_s
        )
        return handle

    def expire(self, now: float) -> None:
        """Drop expired results."""
        for handle in [name for name, item in self.results.items() if item.expires_at <= now]:
            del self.results[handle]

    def free_bytes(self, replica: Replica, spec: StageSpec) -> float:
        """Return a replica's free result space in bytes."""
        return spec.result_capacity_bytes - sum(
            item.size for item in self.results.values() if item.producer == replica.id
        )

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Tell whether a replica is dead."""
        return ProbeResult.REFUSED if self.state_of(replica.id).is_dead else ProbeResult.OPEN

    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Free results."""
        await asyncio.sleep(ROUND_TRIP_S)
        for handle in handles:
            self.results.pop(handle, None)

    async def report(self, replica: Replica) -> StageReport:
        """Return a replica's free result space and whether it is idle."""
        await asyncio.sleep(ROUND_TRIP_S)
        state = self.state_of(replica.id)
        if state.is_dead:
            raise MayHaveRun(f'{replica.id} is gone')
        self.expire(asyncio.get_running_loop().time())
        free = self.free_bytes(replica, self.specs[replica.service])
        return StageReport(free, state.waiting == 0)

    def kill(self, name: str) -> None:
        """Kill a replica and drop its results."""
        self.state_of(name).is_dead = True
        self.results = {
            handle: item for handle, item in self.results.items() if item.producer != name
        }
