"""Hold the jobs whose stages are done and that wait for a place at an engine.

Answers a burst, and a failure domain of engines that is lost or comes back cold: for a moment every
engine is at its bound. What the stages have made is not thrown away for that; the first place that
comes goes to the job that can make most of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.scheduling.waiting import Rank, rank_job

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from calicopath_core.scheduling.jobs import Job


class EngineQueue:
    """Hold waiting jobs; `engine_s` tells what an engine takes to a job's first event."""

    def __init__(self, *, first_event_s: Callable[[Job], float]) -> None:
        self.first_event_s = first_event_s
        self.jobs: dict[str, Job] = {}

    def __len__(self) -> int:
        return len(self.jobs)

    def add(self, job: Job) -> None:
        """Let a job wait."""
        self.jobs[job.id] = job

    def drop(self, job: Job) -> None:
        """Let a job wait no more."""
        self.jobs.pop(job.id, None)

    def ordered(self, now: float) -> list[Job]:
        """Return the jobs in the order in which they get places."""
        return sorted(self.jobs.values(), key=lambda job: self.rank(job, now))

    def rank(self, job: Job, now: float) -> Rank:
        """Return by what a job is served, least first: as pieces are that wait for calls."""
        return rank_job(job, job.objective_at - now - self.first_event_s(job))

    def infeasible(self, now: float) -> Iterator[Job]:
        """Yield the jobs that no engine can begin to answer before their deadline any more."""
        for job in list(self.jobs.values()):
            if now + self.first_event_s(job) > job.deadline_at:
                yield job
