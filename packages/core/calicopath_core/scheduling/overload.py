"""Decide what happens to a new job whose stages get more work than they can do.

The pattern that this responds to: for some seconds, more requests of one kind arrive than the
stages can serve within the objective. Whoever does not fit would become late half-way and take
calls from others that are still in time. A job that does not fit either comes back at a time for
which capacity is reserved, or waits as late, behind everything that is in time.
"""

from __future__ import annotations

import enum
import math
import zlib
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.scheduling.reservations import MAX_AHEAD_S, STEP_S, Reservation

if TYPE_CHECKING:
    from collections.abc import Mapping

    from calicopath_core.scheduling.arrivals import ArrivalRates
    from calicopath_core.scheduling.messages import PhaseWork
    from calicopath_core.scheduling.reservations import Reservations

MIN_RETURN_S = 0.4
"""Shortest time after which a refused caller may return: about one stage call, so that the backlog
has changed when it is back."""

MAX_RETURN_SHARE = 0.3
"""Longest time after which a refused caller returns, as a share of its time left; callers wait for
at most a third."""

RETURN_MARGIN_SHARE = 0.25
"""Share of the time that a returning job may wait within its objective which is kept free, so that
the errors of the estimates don't make it late: it can't be refused twice."""

WAIT_MARGIN_SHARE = 0.2
"""Share of the time that a job may wait within its objective which is kept free when it is admitted
as in time. Without it, errors of the estimate make jobs late after most of their work is done."""

MIN_PIECES_PER_S = 0.1
"""Minimum capacity assumed for a stage whose replicas are all gone."""

CRC32_RANGE = 2**32


class Verdict(enum.Enum):
    """Say what happens to a job."""

    ADMIT = 'admit'
    RETURN = 'return'
    LATE = 'late'


class StageCapacity(NamedTuple):
    """Hold the pieces per second that a stage completes, and the duration of a typical call."""

    pieces_per_s: float
    call_s: float


class NewJob(NamedTuple):
    """Describe a job to decide about; durations in seconds.

    `engine_s` is the expected time from the last result to the first event. `ahead` holds the
    pieces by service that go before the job's. `may_return` is false for a job that must not be
    refused.
    """

    id: str
    content: str
    priority: int
    objective_s: float
    deadline_s: float
    phases: tuple[PhaseWork, ...]
    engine_s: float
    ahead: Mapping[str, int]
    may_return: bool


class OverloadDecision(NamedTuple):
    """Hold the verdict, the expected seconds to the first event, and when the caller returns."""

    verdict: Verdict
    expected_s: float
    return_in_s: float = 0.0


class OverloadAdmission:
    """Decide about new jobs; the cost of a decision does not depend on how many jobs wait."""

    def __init__(self, *, reservations: Reservations, arrivals: ArrivalRates) -> None:
        self.reservations = reservations
        self.arrivals = arrivals

    def decide(
        self, job: NewJob, stages: Mapping[str, StageCapacity], now: float
    ) -> OverloadDecision:
        """Return whether a job is admitted, returns at a reserved time, or waits as late."""
        chain = chain_of(job, stages, {})
        waits = {
            phase.service: self.wait_s(job, phase.service, stages, now) for phase in job.phases
        }
        expected_s = chain_of(job, stages, waits).total_s
        slack_s = job.objective_s - chain.total_s
        margin_s = WAIT_MARGIN_SHARE * slack_s
        if expected_s <= job.objective_s - margin_s:
            return OverloadDecision(Verdict.ADMIT, expected_s)
        may_return = job.may_return and slack_s > 0 and self.is_surely_late(job, expected_s, stages)
        if may_return and self.helps_others(job, now):
            return_in_s = self.reserve(job, stages, chain, slack_s, now)
            if return_in_s is not None:
                return OverloadDecision(Verdict.RETURN, expected_s, return_in_s)
        if self.exceeds_capacity(job, stages, now):
            return OverloadDecision(Verdict.LATE, expected_s)
        return OverloadDecision(Verdict.ADMIT, expected_s)

    def exceeds_capacity(
        self, job: NewJob, stages: Mapping[str, StageCapacity], now: float
    ) -> bool:
        """Tell whether a stage of a job gets more work than it can do.

        Otherwise the backlog is about to shrink, and the order by slack serves more jobs in time:
        urgent jobs with little slack would yield to others after a cluster of requests.
        """
        return any(
            self.arrivals.up_to(phase.service, job.priority, now)
            > stages[phase.service].pieces_per_s
            for phase in job.phases
            if phase.pieces and phase.service in stages
        )

    def is_surely_late(
        self, job: NewJob, expected_s: float, stages: Mapping[str, StageCapacity]
    ) -> bool:
        """Tell whether a job is late even if its stages are a call ahead of the estimate.

        The estimate does not know when replicas finish the calls in progress. A refusal costs the
        caller half of the worth of an answer that would have been in time.
        """
        calls_s = [stages[phase.service].call_s for phase in job.phases if phase.service in stages]
        return expected_s > job.objective_s + max(calls_s, default=0.0)

    def wait_s(
        self, job: NewJob, service: str, stages: Mapping[str, StageCapacity], now: float
    ) -> float:
        """Return the seconds until a stage is done with what goes before a job.

        That is the pieces ahead, and those of callers who were told to return until then.
        """
        if service not in stages:
            return 0.0
        rate = max(MIN_PIECES_PER_S, stages[service].pieces_per_s)
        ahead = job.ahead.get(service, 0)
        until = now + min(job.objective_s, ahead / rate)
        return (ahead + self.promised_until(service, until, now)) / rate

    def promised_until(self, service: str, until: float, now: float) -> int:
        """Return the pieces that are promised from now until a time."""
        first, last = int(now / STEP_S), int(min(until, now + MAX_AHEAD_S) / STEP_S)
        return sum(self.reservations.promised(service, step) for step in range(first, last + 1))

    def helps_others(self, job: NewJob, now: float) -> bool:
        """Tell whether other requests that arrive can use the capacity if a job is refused.

        Without others, refusing a job that is late only costs its caller.
        """
        return any(
            self.arrivals.all(phase.service, now) * job.objective_s > 2 * phase.pieces
            for phase in job.phases
            if phase.pieces
        )

    def reserve(
        self,
        job: NewJob,
        stages: Mapping[str, StageCapacity],
        chain: Chain,
        slack_s: float,
        now: float,
    ) -> float | None:
        """Reserve capacity and return in how many seconds the caller returns, `None` if none is.

        Until the caller returns, only the capacity counts that new requests of the same or a more
        urgent priority leave free; then the caller goes before new ones.
        """
        pieces = pieces_by_service(job.phases, stages)
        free_per_s = {
            name: stages[name].pieces_per_s - self.arrivals.up_to(name, job.priority, now)
            for name in pieces
        }
        if self.reservations.is_full or min(free_per_s.values(), default=0.0) <= 0:
            return None
        usable_slack_s = (1 - RETURN_MARGIN_SHARE) * slack_s
        max_return_s = min(MAX_AHEAD_S, MAX_RETURN_SHARE * job.deadline_s)
        step = math.ceil((now + MIN_RETURN_S) / STEP_S)
        ahead = {
            name: job.ahead.get(name, 0) + self.promised_until(name, (step - 1) * STEP_S, now)
            for name in pieces
        }
        while (step + 1) * STEP_S - now <= max_return_s:
            for name in pieces:
                ahead[name] += self.reservations.promised(name, step)
            return_in_s = step * STEP_S - now
            done_by = {
                name: free_per_s[name] * return_in_s
                + stages[name].pieces_per_s * (chain.begins_s[name] + usable_slack_s)
                for name in pieces
            }
            if all(
                ahead[name] + own <= done_by[name]
                and self.fits_step(name, step, own, free_per_s[name])
                for name, own in pieces.items()
            ):
                return self.record(job, pieces, step, now)
            step += 1
        return None

    def fits_step(self, service: str, step: int, own: int, free_per_s: float) -> bool:
        """Tell whether a step has capacity for more pieces; an empty step takes any job.

        Callers who are all told the same time would return as one burst.
        """
        promised = self.reservations.promised(service, step)
        return not promised or promised + own <= free_per_s * STEP_S

    def record(self, job: NewJob, pieces: dict[str, int], step: int, now: float) -> float | None:
        """Record a reservation within a step and return in how many seconds it is due."""
        spread = zlib.crc32(job.id.encode()) / CRC32_RANGE
        due_at = (step + spread) * STEP_S
        made = self.reservations.make(Reservation(job.content, due_at, pieces), now)
        return due_at - now if made else None


class Chain(NamedTuple):
    """Hold when a job's call to each service begins, and the seconds to its first event."""

    begins_s: Mapping[str, float]
    total_s: float


def chain_of(
    job: NewJob, stages: Mapping[str, StageCapacity], waits_s: Mapping[str, float]
) -> Chain:
    """Return the expected course of a job whose stages are free after `waits_s` seconds.

    A phase begins when its inputs are there and its stage is done with what goes before the job.
    The two overlap: while the job is in one stage, the next ones work on what is ahead of it.
    """
    done_at: list[float] = []
    begins_s: dict[str, float] = {}
    for phase in job.phases:
        begin_s = max((done_at[need] for need in phase.needs), default=0.0)
        if phase.service in stages and phase.pieces:
            begin_s = max(begin_s, waits_s.get(phase.service, 0.0))
            begins_s[phase.service] = min(begin_s, begins_s.get(phase.service, math.inf))
            begin_s += stages[phase.service].call_s
        done_at.append(begin_s)
    return Chain(begins_s, max(done_at, default=0.0) + job.engine_s)


def pieces_by_service(
    phases: tuple[PhaseWork, ...], stages: Mapping[str, StageCapacity]
) -> dict[str, int]:
    """Return the pieces of a job by service."""
    pieces: dict[str, int] = {}
    for phase in phases:
        if phase.pieces and phase.service in stages:
            pieces[phase.service] = pieces.get(phase.service, 0) + phase.pieces
    return pieces
