"""Queue the jobs whose stages are done until an engine accepts them.

During a burst, or when a failure domain with engines is lost or returns cold, every engine is at
its limit for a moment. The queue keeps the results of the stages, and gives the first free place to
the job that profits most from it.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.scheduling.due_times import DueTimes
from calicopath_core.scheduling.estimates import size_class_of
from calicopath_core.scheduling.lanes import (
    ALLOWED_TIER,
    FIRST_TIER,
    OVER_ALLOWANCE_TIER,
    LaneKey,
    Lanes,
    Position,
    Rank,
)
from calicopath_core.scheduling.waiting import rank_job

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from calicopath_core.scheduling.jobs import Job


class EngineNeed(NamedTuple):
    """Hold what jobs that wait for the same engines with the same estimate have in common."""

    service: str
    size_class: int


class EngineQueue:
    """Hold waiting jobs; `first_event_s` estimates the seconds until a job's first event.

    The estimate is the same for jobs of one service and one size class of prompts. It changes as it
    is learned, so jobs are sorted by their objective, and the estimate is subtracted when they are
    read. `on_inconsistent` is told of an order that had to be rebuilt, with the number of jobs.
    """

    def __init__(
        self,
        *,
        first_event_s: Callable[[Job], float],
        on_inconsistent: Callable[[int], None] = lambda count: None,
    ) -> None:
        self.first_event_s = first_event_s
        self.jobs: dict[str, Job] = {}
        self.numbers: dict[str, int] = {}
        self.last_number = 0
        self.lanes: Lanes[Job] = Lanes(on_inconsistent=on_inconsistent)
        self.deadlines: dict[EngineNeed, DueTimes] = {}

    def __len__(self) -> int:
        return len(self.jobs)

    def add(self, job: Job) -> None:
        """Add a job to the queue."""
        if job.id in self.jobs:
            return
        self.last_number += 1
        self.jobs[job.id] = job
        self.numbers[job.id] = self.last_number
        self.lanes.put(self.last_number, job, position_of(job))
        self.deadlines.setdefault(need_of(job), DueTimes()).set(job.id, job.deadline_at)

    def drop(self, job: Job) -> None:
        """Remove a job from the queue, if it is there."""
        if self.jobs.pop(job.id, None) is None:
            return
        self.lanes.drop(self.numbers.pop(job.id))
        deadlines = self.deadlines.get(need_of(job))
        if deadlines is None:
            return  # `infeasible` has returned all jobs with this need.
        deadlines.drop(job.id)
        if not deadlines:
            del self.deadlines[need_of(job)]

    def services(self) -> set[str]:
        """Return the services whose engines jobs wait for."""
        return {key.shared.service for key in self.lanes.lanes}

    def ordered(self, now: float, service: str | None = None) -> Iterator[Job]:
        """Yield the jobs, of one service if it is given, in the order in which they are placed.

        The queue must not change meanwhile.
        """
        return self.lanes.ordered(
            now, lambda key: service in (None, key.shared.service), self.lead_s
        )

    def first(self, now: float, service: str, start: int, count: int) -> list[Job]:
        """Return `count` jobs of a service in order, after the first `start`."""
        return list(itertools.islice(self.ordered(now, service), start, start + count))

    def lead_s(self, key: LaneKey) -> float:
        """Return how long before their objective jobs of a lane must be placed."""
        return self.first_event_s(self.lanes.lanes[key][0][2])

    def rank(self, job: Job, now: float) -> Rank:
        """Return a job's sort key, least first: the one by which pieces wait for calls."""
        slack_s = job.objective_at - now - self.first_event_s(job)
        return rank_job(job, slack_s)

    def infeasible(self, now: float) -> list[Job]:
        """Return the jobs that no engine can start to answer before their deadline any more.

        Each is returned once, in the order of arrival.
        """
        found = []
        for need, deadlines in list(self.deadlines.items()):
            first_event_s = self.first_event_s(self.jobs[next(iter(deadlines.times))])
            found.extend(deadlines.pop_before(now + first_event_s))
            if not deadlines:
                del self.deadlines[need]
        return [self.jobs[name] for name in sorted(found, key=self.numbers.__getitem__)]


def need_of(job: Job) -> EngineNeed:
    """Return what a job needs of an engine."""
    return EngineNeed(job.place.service, size_class_of(job.place.prompt.tokens_in))


def position_of(job: Job) -> Position:
    """Return where a job waits."""
    if job.resumed:
        return Position(LaneKey(FIRST_TIER, 0, need_of(job)), job.arrived_at)
    tier = OVER_ALLOWANCE_TIER if job.is_over_allowance else ALLOWED_TIER
    return Position(LaneKey(tier, job.order_priority, need_of(job)), job.objective_at)
