"""Replace one mechanism of a scheduler by its plain form, to measure its effect."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from calicopath_core.scheduling.admission import Admission, AdmissionDecision
from calicopath_core.scheduling.arrivals import ArrivalRates
from calicopath_core.scheduling.evenness import Evenness
from calicopath_core.scheduling.fairness import Allowances
from calicopath_core.scheduling.overload import OverloadAdmission
from calicopath_core.scheduling.pacing import Pacing, PacingClass, full_batch_rate
from testkit.replay.world import Variant

if TYPE_CHECKING:
    from collections.abc import Mapping

    from calicopath_core.scheduling.backlog import Backlog
    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.scheduler import Scheduler
    from calicopath_core.scheduling.stages import StageQueue


class NoAllowances(Allowances):
    """Never treat a workspace as over its allowance."""

    def charge(self, workspace: str, cost_s: float, now: float) -> bool:
        """Return that the workspace is within its allowance."""
        return False


class NoPacing(Pacing):
    """Hold no job back before its first stage."""

    def find_held(self, backlog: Backlog, queues: Mapping[str, StageQueue]) -> set[PacingClass]:
        """Return no held classes."""
        return set()


FIXED_BACKLOG_S = 0.8


class FixedBacklog(Pacing):
    """Allow the same backlog, in seconds of work, before every stage."""

    def allowed_backlog_s(self, job: Job, queues: Mapping[str, StageQueue]) -> dict[int, float]:
        """Return `FIXED_BACKLOG_S` of typical calls for every phase, in seconds of full calls."""
        allowed_s: dict[int, float] = {}
        for number, phase in enumerate(job.place.phases):
            queue = queues[phase.service]
            allowed_s[number] = FIXED_BACKLOG_S * queue.pieces_per_s() / full_batch_rate(queue)
        return allowed_s


class NoAdmission(Admission):
    """Admit every job."""

    def decide(
        self,
        job: Job,
        backlog: Backlog,
        queues: Mapping[str, StageQueue],
        engine_s: float,
        now: float,
    ) -> AdmissionDecision:
        """Admit the job."""
        return AdmissionDecision(True, engine_s)


def without_allowances(scheduler: Scheduler) -> None:
    """Never treat a workspace as over its allowance."""
    scheduler.shares.rule = NoAllowances()


def without_pacing(scheduler: Scheduler) -> None:
    """Disable pacing."""
    scheduler.stages.pacing = NoPacing()


def with_fixed_backlog(scheduler: Scheduler) -> None:
    """Use the same allowed backlog for every stage."""
    scheduler.stages.pacing = FixedBacklog()


def without_admission(scheduler: Scheduler) -> None:
    """Disable admission control."""
    scheduler.admission = NoAdmission()


class StrictRanks(Evenness):
    """Order jobs strictly by rank, whatever their attainment."""

    def effective_rank(self, rank: int) -> int:
        """Return the rank unchanged."""
        return rank


def with_strict_ranks(scheduler: Scheduler) -> None:
    """Order jobs strictly by rank."""
    scheduler.evenness = StrictRanks()


def without_start_limit(scheduler: Scheduler) -> None:
    """Remove the limit on the rate of run starts at engines."""
    for pool in scheduler.engine_pools.values():
        pool.start_limit = None


def without_overload_rule(scheduler: Scheduler) -> None:
    """Admit every job that can finish before its deadline, in the order of its slack."""
    scheduler.returning.is_enabled = False


class NoReturning(OverloadAdmission):
    """Never send a caller away for a while."""

    def reserve(self, *details: Any, **named: Any) -> float | None:
        """Reserve nothing."""
        return None


def with_late_only(scheduler: Scheduler) -> None:
    """Admit jobs that will be late behind the others, without refusing any."""
    returning = scheduler.returning
    returning.decisions = NoReturning(
        reservations=returning.reservations, arrivals=returning.arrivals
    )


class NoArrivals(ArrivalRates):
    """Reserve capacity as if no new requests would arrive."""

    def up_to(self, service: str, priority: int, now: float) -> float:
        """Return no arrivals."""
        return 0.0


class ReturnAlways(OverloadAdmission):
    """Send away every job that is not surely in time."""

    def is_surely_late(self, *details: Any) -> bool:
        """Return that the job is late."""
        return True


def with_return_always(scheduler: Scheduler) -> None:
    """Send away whoever can be served later, also when new requests need the capacity."""
    returning = scheduler.returning
    returning.arrivals = NoArrivals()
    returning.decisions = ReturnAlways(
        reservations=returning.reservations, arrivals=returning.arrivals
    )


def without_pace(scheduler: Scheduler) -> None:
    """Take all engines for equally fast at all times, with the prompt speed of the constant."""
    scheduler.pace.on_report = ignore_pace  # type: ignore[method-assign]
    for pool in scheduler.engine_pools.values():
        pool.learn_speed = ignore_pace  # type: ignore[method-assign]


def ignore_pace(*values: Any, **named: Any) -> None:
    """Ignore a report or an observation."""


OURS = Variant('ours')
VARIANTS = (
    OURS,
    Variant('no allowances', without_allowances),
    Variant('no pacing', without_pacing),
    Variant('same ahead', with_fixed_backlog),
    Variant('no door', without_admission),
    Variant('ranks alone', with_strict_ranks),
    Variant('no start bound', without_start_limit),
    Variant('no overload rule', without_overload_rule),
    Variant('late only', with_late_only),
    Variant('return always', with_return_always),
    Variant('no pace', without_pace),
)
