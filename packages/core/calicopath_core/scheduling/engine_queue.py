"""Queue the jobs whose stages are done until an engine accepts them.

During a burst, or when a failure domain with engines is lost or returns cold, every engine is at
its limit for a moment. The queue keeps the results of the stages, and gives the first free place to
the job that profits most from it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.scheduling.waiting import Rank, rank_job

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from calicopath_core.scheduling.jobs import Job


class EngineQueue:
    """Hold waiting jobs; `first_event_s` estimates the seconds until a job's first event."""

    def __init__(self, *, first_event_s: Callable[[Job], float]) -> None:
        self.first_event_s = first_event_s
        self.jobs: dict[str, Job] = {}

    def __len__(self) -> int:
        return len(self.jobs)

    def add(self, job: Job) -> None:
        """Add a job to the queue."""
        self.jobs[job.id] = job

    def drop(self, job: Job) -> None:
        """Remove a job from the queue, if it is there."""
        self.jobs.pop(job.id, None)

    def ordered(self, now: float) -> list[Job]:
        """Return the jobs in the order in which they are placed."""
        return sorted(self.jobs.values(), key=lambda job: self.rank(job, now))

    def rank(self, job: Job, now: float) -> Rank:
        """Return a job's sort key, least first: the one by which pieces wait for calls."""
        return rank_job(job, job.objective_at - now - self.first_event_s(job))

    def infeasible(self, now: float) -> Iterator[Job]:
        """Yield the jobs that no engine can start to answer before their deadline any more."""
        for job in list(self.jobs.values()):
            if now + self.first_event_s(job) > job.deadline_at:
                yield job
