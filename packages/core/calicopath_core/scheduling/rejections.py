"""Reject jobs that can't be completed before their deadline, at admission and while they wait."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from calicopath_core.crashes.guard import CrashGuard
    from calicopath_core.permits.issuer import PermitIssuer
    from calicopath_core.scheduling.admission import Admission
    from calicopath_core.scheduling.backlog import Backlog
    from calicopath_core.scheduling.engine_pools import EnginePools
    from calicopath_core.scheduling.engine_queue import EngineQueue
    from calicopath_core.scheduling.engines import Engine
    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.stages import StageQueue

NO_ENGINE_RETRY_S = 1.2
"""Retry delay when no engine can serve a job; replicas send heartbeats this often."""


class Rejections:
    """Check jobs that have no engine yet, and reject those that can't be served in time.

    `reject` ends a job with a reason and a retry delay; `first_event_s` returns the estimated
    seconds that an engine takes to a job's first event.
    """

    def __init__(
        self,
        *,
        unplaced: Mapping[str, Job],
        backlog: Backlog,
        engine_pools: EnginePools,
        engine_queue: EngineQueue,
        queues: Mapping[str, StageQueue],
        admission: Admission,
        crashes: CrashGuard,
        permits: PermitIssuer,
        first_event_s: Callable[[Job], float],
        reject: Callable[[Job, str, float], None],
    ) -> None:
        self.unplaced = unplaced
        self.backlog = backlog
        self.engine_pools = engine_pools
        self.engine_queue = engine_queue
        self.queues = queues
        self.admission = admission
        self.crashes = crashes
        self.permits = permits
        self.first_event_s = first_event_s
        self.reject = reject

    def check_waiting_jobs(self, now: float) -> None:
        """Check every job that waits for stages or an engine."""
        self.reject_hopeless(now)
        self.reject_backing_off(now)
        self.reject_beyond_limits(now)

    def admits(self, job: Job, now: float) -> bool:
        """Tell whether a new job may start, and reject it if not."""
        return (
            self.check_not_blocked(job)
            and self.check_backoffs(job, now)
            and self.check_limits(job, self.limited_jobs_ahead(job, now), now)
        )

    def reject_hopeless(self, now: float) -> None:
        """Reject jobs that can no longer be completed before their deadline."""
        for job in self.backlog.hopeless(now):
            room_in_s = self.admission.backlog_wait_s(job, self.backlog, self.queues, now)
            self.reject(job, 'hopeless', self.admission.retry_after_s(job, room_in_s, now))
        for job in self.engine_queue.infeasible(now):
            self.reject(job, 'no-engine', self.admission.retry_after_s(job, NO_ENGINE_RETRY_S, now))

    def reject_backing_off(self, now: float) -> None:
        """Reject jobs whose engines back off their box for too long."""
        if self.engine_pools.backoffs.by_box:
            for job in list(self.unplaced.values()):
                self.check_backoffs(job, now)

    def check_backoffs(self, job: Job, now: float) -> bool:
        """Tell whether some engine accepts a job from its box in time, and reject it if not.

        The limit is the job's objective, so that its caller can still try another box, or its
        deadline once work was spent on it or a rejection would come too late for that.
        """
        pool = self.engine_pools.get(job.place.service)
        backoff_s = pool.min_backoff_s(job, now) if pool is not None else 0.0
        if backoff_s <= 0:
            return True
        first_event_s = self.first_event_s(job)
        ready_s = max(backoff_s, job.min_remaining_s() - first_event_s)
        must_finish = job.has_progress or job.place.may_have_run
        limit = job.deadline_at if must_finish else job.objective_at
        if now + ready_s + first_event_s <= limit:
            return True
        self.reject(job, 'backing-off', self.admission.retry_after_s(job, backoff_s, now))
        return False

    def check_limits(self, job: Job, jobs_ahead: int, now: float) -> bool:
        """Tell whether the limits of engines let a job start in time, and reject it if not."""
        pool = self.engine_pools.get(job.place.service)
        wait_s = pool.permit_wait_s(job, jobs_ahead) if pool is not None else 0.0
        if wait_s <= 0:
            return True
        first_event_s = self.first_event_s(job)
        ready_s = max(wait_s, job.min_remaining_s() - first_event_s)
        if now + ready_s + first_event_s <= job.deadline_at:
            return True
        self.reject(job, 'limited', self.admission.retry_after_s(job, wait_s, now))
        return False

    def limited_jobs_ahead(self, job: Job, now: float) -> int:
        """Return how many jobs get permits before a new one, 0 if not all engines have a limit."""
        pool = self.engine_pools.get(job.place.service)
        if pool is None or pool.permit_wait_s(job, 1) <= 0:
            return 0
        return self.backlog.jobs_ahead(job, now)

    def reject_beyond_limits(self, now: float) -> None:
        """Reject waiting jobs that the limits of engines keep from starting in time."""
        if not any(self.permits.rate_of(item.replica) for item in self.engines_waited_for()):
            return
        ahead: Counter[str] = Counter()
        for job in self.engine_queue.ordered(now):
            if self.check_limits(job, ahead[job.place.service], now):
                ahead[job.place.service] += 1

    def engines_waited_for(self) -> Iterator[Engine]:
        """Yield the engines of the services that jobs with finished stages wait for."""
        for service in {job.place.service for job in self.engine_queue.jobs.values()}:
            yield from self.engine_pools[service].engines.values()

    def reject_blocked(self) -> None:
        """Reject jobs that were admitted before their request was blocked."""
        if self.crashes.blocks_any:
            for job in list(self.unplaced.values()):
                self.check_not_blocked(job)

    def check_not_blocked(self, job: Job) -> bool:
        """Tell whether a job may continue; reject it if its request crashed too many replicas."""
        wait_s = self.crashes.blocked_s(job.place.content, job.place.services)
        if wait_s is None:
            return True
        # The box that gets this answer may become the scheduler, and must then reject the job too.
        self.crashes.send_evidence(job.place.reply_to, job.place.content, job.place.services)
        self.reject(job, 'crashes-replicas', wait_s)
        return False
