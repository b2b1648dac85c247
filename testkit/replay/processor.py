"""Charge the cost of a scheduler's decisions to virtual time, on a box with a share of a core."""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from abc import ABC, abstractmethod
from collections import deque
from typing import TYPE_CHECKING, Any

from calicopath_core.scheduling.interfaces import StageCaller
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.backends.base import ProbeResult
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.interfaces import PieceCall, PieceResult, StageReport

S_PER_CALL = 0.25e-6
"""Processor time charged for each function call that is counted, in seconds."""


class CostMeter(ABC):
    """Measure the processor time of work."""

    @abstractmethod
    def start(self) -> None:
        """Start to measure."""

    @abstractmethod
    def take(self) -> float:
        """Return the seconds of processor time since the start or the last call."""

    @abstractmethod
    def stop(self) -> None:
        """Stop measuring."""


class MeasuredCost(CostMeter):
    """Measure processor time; the result depends on the machine."""

    def __init__(self) -> None:
        self.since = 0.0

    def start(self) -> None:
        """Start to measure."""
        self.since = time.process_time()

    def take(self) -> float:
        """Return the seconds since the start or the last call."""
        before, self.since = self.since, time.process_time()
        return self.since - before

    def stop(self) -> None:
        """Do nothing."""


class CountedCost(CostMeter):
    """Count calls of functions and resumed generators; the result is the same on every machine.

    The garbage collector rests meanwhile, since its callbacks would be counted.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.collects_garbage = True

    def on_event(self, frame: Any, event: str, argument: Any) -> None:
        """Count a call."""
        if event in ('call', 'c_call'):
            self.calls += 1

    def start(self) -> None:
        """Start to count."""
        self.collects_garbage = gc.isenabled()
        gc.disable()
        self.calls = 0
        sys.setprofile(self.on_event)

    def take(self) -> float:
        """Return the time of the calls since the start or the last call, in seconds."""
        calls, self.calls = self.calls, 0
        return calls * S_PER_CALL

    def stop(self) -> None:
        """Stop counting."""
        sys.setprofile(None)
        if self.collects_garbage:
            gc.enable()


class Processor:
    """Run the work of one box in order, each piece once the one before is done.

    `share` is the box's share of a core.
    """

    def __init__(self, *, share: float, meter: CostMeter) -> None:
        self.share = share
        self.meter = meter
        self.busy_until = 0.0
        self.charged_s = 0.0
        self.ready: deque[Callable[[], None]] = deque()
        self.is_waiting = False
        self.is_measuring = False

    def submit(self, work: Callable[[], None]) -> None:
        """Run some work after all work submitted before."""
        self.ready.append(work)
        if not self.is_waiting:
            self.is_waiting = True
            self.run_later()

    def run_later(self) -> None:
        """Run ready work as soon as the processor is free."""
        loop = asyncio.get_running_loop()
        loop.call_at(max(loop.time(), self.busy_until), self.run_ready)

    def run_ready(self) -> None:
        """Run ready work until the processor is busy."""
        now = asyncio.get_running_loop().time()
        while self.ready and self.busy_until <= now:
            self.ready.popleft()()
        self.is_waiting = bool(self.ready)
        if self.is_waiting:
            self.run_later()

    async def turn(self) -> None:
        """Wait until all work submitted before is done."""
        done = asyncio.get_running_loop().create_future()
        self.submit(lambda: None if done.done() else done.set_result(None))
        await done

    def charge(self, cost_s: float) -> None:
        """Keep the processor busy for work that takes a whole core `cost_s` seconds."""
        self.charged_s += cost_s
        now = asyncio.get_running_loop().time()
        self.busy_until = max(now, self.busy_until) + cost_s / self.share

    def delay_s(self) -> float:
        """Return the seconds until the work charged so far is done."""
        return max(0.0, self.busy_until - asyncio.get_running_loop().time())

    def charged(self, work: Callable[..., Any]) -> Callable[..., Any]:
        """Return a function that charges the cost of another, nested or not, when it returns."""

        def run(*args: Any, **named: Any) -> Any:
            outermost = not self.is_measuring
            if outermost:
                self.is_measuring = True
                self.meter.start()
            try:
                return work(*args, **named)
            finally:
                self.charge(self.meter.take())
                if outermost:
                    self.meter.stop()
                    self.is_measuring = False

        return run

    def wrap(self, target: Any, names: tuple[str, ...]) -> None:
        """Charge the cost of some methods of an object."""
        for name in names:
            setattr(target, name, self.charged(getattr(target, name)))


class ProcessorClock(VirtualClock):
    """Return virtual time plus the time of the work in progress."""

    def __init__(self, *, processor: Processor) -> None:
        super().__init__()
        self.processor = processor

    def monotonic(self) -> float:
        """Return seconds of virtual time."""
        return max(super().monotonic(), self.processor.busy_until)


class QueuedResults(StageCaller):
    """Pass the results of stage calls to a scheduler once its box has time for them."""

    def __init__(self, *, stages: StageCaller, processor: Processor) -> None:
        self.stages = stages
        self.processor = processor

    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call."""
        try:
            return await self.stages.run(replica, calls)
        finally:
            await self.processor.turn()

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Tell whether a replica is dead."""
        return await self.stages.probe(replica, watch_s)

    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Free results."""
        await self.stages.free(replica, handles)

    async def report(self, replica: Replica) -> StageReport:
        """Return the state that a replica reports."""
        return await self.stages.report(replica)
