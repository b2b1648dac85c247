"""Build a scheduler with many waiting jobs, and take single decisions with it.

No time passes: calls of stages and runs of engines never end, so the jobs wait for as long as the
crowd is used.
"""

from __future__ import annotations

import asyncio
import itertools
import statistics
import sys
import time
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from calicopath_core.scheduling.messages import RunEnded
from testkit.replay.load import PATTERNS
from testkit.replay.world import Variant, World

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from types import FrameType

    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.messages import PlaceJob
    from calicopath_core.scheduling.scheduler import Scheduler
    from testkit.replay.fleet import Fleet

PATIENT_S = 10_000.0
"""Deadline of jobs in the crowd, so that the scheduler admits any number of them."""

OBJECTIVE_STEPS = 97
"""Number of different objectives in the crowd, which arrivals of many seconds would have."""


class Decision(NamedTuple):
    """Hold one decision to be measured."""

    kind: str
    take: Callable[[], object]


class Crowd:
    """Hold a scheduler with `waiting` jobs before the stages or, with `staged`, at the engines."""

    def __init__(self, *, fleet: Fleet, waiting: int, staged: bool = False) -> None:
        self.world = World(
            fleet=fleet, pattern=PATTERNS['burst-all'], seed=1, variant=Variant('ours')
        )
        self.staged = staged
        self.numbers = itertools.count()
        self.sample = max(self.world.arrivals, key=lambda item: len(item.phases))
        self.scheduler: Scheduler = self.world.new_scheduler()
        self.waiting = waiting
        self.add_jobs()
        if not staged:
            self.scheduler.stages.dispatch()

    def add_jobs(self) -> None:
        """Add jobs until enough wait."""
        scheduler = self.scheduler
        jobs = scheduler.engine_queue.jobs if self.staged else scheduler.unplaced
        for _ in range(sum(job.has_progress for job in jobs.values()) + self.waiting - len(jobs)):
            scheduler.on_place(self.next_place())
        while len(jobs) < self.waiting:
            scheduler.on_place(self.next_place())

    def next_place(self, *, is_sample: bool = False) -> PlaceJob:
        """Return the request for a new job, with `is_sample` always one with the same stages."""
        number = next(self.numbers)
        arrivals = self.world.arrivals
        arrival = self.sample if is_sample else arrivals[number % len(arrivals)]
        name = f'crowd-{number}'
        place = self.world.place_request(arrival, name, arrival.kind.deadline_s)
        objective_s = place.objective_s + 2.0 + 0.05 * (number % OBJECTIVE_STEPS)
        return msgspec.structs.replace(
            place,
            objective_s=objective_s,
            deadline_s=PATIENT_S,
            phases=() if self.staged else place.phases,
        )

    def decisions(self) -> Iterator[Decision]:
        """Yield one decision of each kind; each must be taken before the next is asked for."""
        self.add_jobs()
        if self.staged:
            yield self.placement()
            return
        yield self.arrival()
        yield self.dispatch()
        yield self.rejection()
        yield self.hand_over()

    def arrival(self) -> Decision:
        """Return the decision about a new job."""
        place = self.next_place(is_sample=True)
        return Decision('arrival', lambda: self.scheduler.on_place(place))

    def dispatch(self) -> Decision:
        """Return the decision about the next call of the stage with the largest backlog."""
        queue = max(self.scheduler.stages.queues.values(), key=lambda item: len(item.waiting))
        target = next(iter(queue.replicas.values()))
        target.open_calls = target.reserved_bytes = 0
        self.scheduler.stages.pacing.checked_at = -1.0
        return Decision('dispatch', self.scheduler.stages.dispatch)

    def rejection(self) -> Decision:
        """Return the decision about a job that can't meet its deadline any more."""
        now = self.world.clock.monotonic()
        job = self.waiting_job()
        job.deadline_at = now - 1.0
        job.mark_changed()
        return Decision('rejection', lambda: self.scheduler.rejections.check_waiting_jobs(now))

    def hand_over(self) -> Decision:
        """Return the hand-over of a job."""
        job = self.waiting_job()
        succession = self.scheduler.succession

        def take() -> None:
            succession.successor = 'successor'
            succession.hand_over(job)
            succession.successor = None

        return Decision('hand-over', take)

    def placement(self) -> Decision:
        """Return the decision about a place at an engine that has become free."""
        name = next(name for name, job in self.scheduler.jobs.items() if job.placed_on is not None)
        ended = RunEnded(job=name, sender='box', failed=False)
        return Decision('placement', lambda: self.scheduler.on_ended(ended))

    def placement_past_backoffs(self) -> Decision:
        """Return a placement that passes all waiting jobs, as an engine backs off their box."""
        by_box = self.scheduler.engine_pools.backoffs.by_box
        for job in self.scheduler.engine_queue.jobs.values():
            by_box[job.place.reply_to] = {'engine that backs off': PATIENT_S}
        return Decision('placement past boxes that back off', self.placement().take)

    def waiting_job(self) -> Job:
        """Return a new job that waits."""
        place = self.next_place(is_sample=True)
        self.scheduler.on_place(place)
        return self.scheduler.unplaced[place.job]

    async def close(self) -> None:
        """Stop the scheduler and its calls."""
        self.world.scheduler = self.scheduler
        await self.world.stop_scheduler()


def count_calls(take: Callable[[], object]) -> float:
    """Return how many functions are called, whatever the speed of the machine."""
    calls = 0

    def on_event(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ('call', 'c_call')

    sys.setprofile(on_event)
    try:
        take()
    finally:
        sys.setprofile(None)
    return calls


def measure_cpu_ms(take: Callable[[], object]) -> float:
    """Return the processor time that a decision takes, in milliseconds."""
    started = time.process_time_ns()
    take()
    return (time.process_time_ns() - started) / 1e6


async def measure_decisions(
    fleet: Fleet, waiting: int, repeats: int, measure: Callable[[Callable[[], object]], float]
) -> dict[str, float]:
    """Return the median measure of each kind of decision with that many waiting jobs."""
    found: dict[str, list[float]] = {}
    for staged in (False, True):
        crowd = Crowd(fleet=fleet, waiting=waiting, staged=staged)
        for _ in range(repeats):
            for decision in crowd.decisions():
                found.setdefault(decision.kind, []).append(measure(decision.take))
        await crowd.close()
        await asyncio.sleep(0)
    return {kind: statistics.median(values) for kind, values in found.items()}
