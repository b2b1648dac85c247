"""Apply the decisions about overload: refuse with a reservation, and recognise who comes back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.scheduling.admission import FIRST_TOKEN_LATENCY_S
from calicopath_core.scheduling.arrivals import ArrivalRates
from calicopath_core.scheduling.overload import (
    NewJob,
    OverloadAdmission,
    StageCapacity,
    Verdict,
)
from calicopath_core.scheduling.reservations import Reservations

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from calicopath_core.fleet.deployment import Deployment
    from calicopath_core.scheduling.backlog import Backlog
    from calicopath_core.scheduling.interfaces import SchedulerObserver
    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.stages import StageQueue

MIN_WORKSPACES = 2


def asks_for_reservations(deployment: Deployment) -> bool:
    """Tell whether callers of a deployment compete for stages and are promised times.

    They are where several workspaces share routes that have stages and an objective before their
    time limit.
    """
    return len(deployment.workspaces) >= MIN_WORKSPACES and any(
        route.phases and 0 < route.objective_s < route.timeout_s for route in deployment.routes
    )


class ReturningCallers:
    """Decide about new jobs under overload, and keep the promises to callers who return.

    `reject` ends a job with a reason and a retry delay. `allowed` is the operators' setting; the
    rule also needs a deployment that asks for it.
    """

    def __init__(
        self,
        *,
        queues: Mapping[str, StageQueue],
        observer: SchedulerObserver,
        reject: Callable[[Job, str, float], None],
        allowed: bool,
    ) -> None:
        self.allowed = allowed
        self.queues = queues
        self.observer = observer
        self.reject = reject
        self.is_enabled = False
        self.reservations = Reservations()
        self.arrivals = ArrivalRates()
        self.decisions = OverloadAdmission(reservations=self.reservations, arrivals=self.arrivals)

    def on_deployment(self, deployment: Deployment) -> None:
        """Take effect only where a deployment asks for it."""
        self.is_enabled = self.allowed and asks_for_reservations(deployment)

    def claim(self, job: Job, now: float) -> None:
        """Recognise a request that returns as it was told."""
        place = job.place
        if not self.is_enabled or place.resumed or place.asked_before:
            return
        job.is_returning = self.reservations.claim(place.content, now) is not None
        if not job.is_returning:
            self.arrivals.add(place, now)

    def admits(self, job: Job, backlog: Backlog, engine_s: float, now: float) -> bool:
        """Tell whether a job may start, and reject it if its caller is to return."""
        if not self.is_enabled or job.is_returning or job.resumed or not job.place.phases:
            return True
        stages = {
            phase.service: StageCapacity(queue.pieces_per_s(), queue.typical_call_s())
            for phase in job.place.phases
            if (queue := self.queues.get(phase.service)) is not None
        }
        ahead = backlog.pieces_ahead(job, now)
        decision = self.decisions.decide(new_job(job, ahead, engine_s), stages, now)
        if decision.verdict is Verdict.LATE:
            job.is_over_allowance = True
            self.observer.on_beyond_capacity(job, decision.expected_s)
        if decision.verdict is not Verdict.RETURN:
            return True
        self.observer.on_reservation_made(job, decision.return_in_s, decision.expected_s)
        self.reject(job, 'come-back', decision.return_in_s)
        return False

    def on_placed(self, job: Job, *, in_time: bool) -> None:
        """Record whether a caller who returned is served in time."""
        if job.is_returning:
            self.observer.on_reservation_used(job, kept=in_time)

    def on_rejected(self, job: Job) -> None:
        """Record that a caller who returned is refused again."""
        if job.is_returning:
            self.observer.on_reservation_used(job, kept=False)

    def expire(self, now: float) -> None:
        """Drop the reservations of callers who did not return."""
        expired = self.reservations.expire(now)
        if expired:
            self.observer.on_reservations_expired(len(expired))


def new_job(job: Job, ahead: Mapping[str, int], engine_s: float) -> NewJob:
    """Return what a decision needs to know of a job."""
    place = job.place
    return NewJob(
        id=job.id,
        content=place.content,
        priority=place.priority,
        objective_s=place.objective_s,
        deadline_s=place.deadline_s,
        phases=place.phases,
        engine_s=engine_s + FIRST_TOKEN_LATENCY_S,
        ahead=ahead,
        may_return=may_return(job),
    )


def may_return(job: Job) -> bool:
    """Tell whether a job can be refused with a reservation.

    A request that may have run, or that another scheduler admitted, keeps what it has. Requests
    over their workspace's allowance must not reserve capacity that others need.
    """
    place = job.place
    return (
        bool(place.content)
        and not place.asked_before
        and not place.may_have_run
        and not job.is_over_allowance
    )
