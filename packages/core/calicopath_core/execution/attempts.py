"""Track the calls of a stage: their time budget, their slot and their result."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.backends.base import (
    ConnectionBroken,
    Declined,
    MayHaveRun,
    NotStarted,
    WrongAnswer,
)
from calicopath_core.crashes.probes import EndpointCrashProbe
from calicopath_core.execution.requests import CallResult
from calicopath_core.execution.run import PipelineRun, StageFailed
from calicopath_core.routing.pools import NoEndpoint, NoFreeSlot, Slot, SlotRequest
from calicopath_core.structure.outcomes import FailureReason
from calicopath_core.structure.stages import StageKind

if TYPE_CHECKING:
    from types import TracebackType

    from calicopath_core.backends.base import Backends
    from calicopath_core.clock import Clock
    from calicopath_core.crashes.guard import CrashGuard
    from calicopath_core.execution.policy import ExecutionPolicy
    from calicopath_core.execution.requests import Observer
    from calicopath_core.limits.lag import LoopLag
    from calicopath_core.limits.retry import RetryBudget
    from calicopath_core.routing.registry import PoolRegistry
    from calicopath_core.structure.stages import StagePlan

LATE_CALL_FACTOR = 2.0
"""A timed-out call counts as an endpoint failure from this multiple of the expected time on."""

FAILED_STAGE_RETRY_S = 1.0


class TimedOut(MayHaveRun):
    """Report a call that was cancelled at its timeout and may have run."""


class StageContext(NamedTuple):
    """Hold the collaborators that every stage call needs."""

    pools: PoolRegistry
    backends: Backends
    clock: Clock
    policy: ExecutionPolicy
    retry_budget: RetryBudget
    observer: Observer
    lag: LoopLag
    crashes: CrashGuard


class StageBudget(NamedTuple):
    """Hold the time budget of a stage; `deadline` is on the monotonic clock, in seconds."""

    stage: StagePlan
    deadline: float
    expected_s: float

    @property
    def latest_start(self) -> float:
        """Return the latest time at which a call can start and still meet the stage's deadline."""
        return self.deadline - self.expected_s


def stage_budget(run: PipelineRun, index: int, slowness: float) -> StageBudget:
    """Give a stage the remaining time, less what the later stages need when unloaded."""
    stage = run.plan.stages[index]
    later_s = sum(later.expected_s for later in run.plan.stages[index + 1 :])
    return StageBudget(
        stage=stage,
        deadline=run.request.deadline - later_s,
        expected_s=stage.expected_s * max(1.0, slowness),
    )


async def acquire_slot(
    context: StageContext,
    run: PipelineRun,
    budget: StageBudget,
    tried: set[str],
    version: str | None = None,
) -> Slot:
    """Acquire a slot for a stage; raise `StageFailed` if the request is blocked or gets none.

    Endpoints in `tried` are excluded, and those of other versions than `version` if it is given.
    """
    check_not_blocked(context, run, budget)
    pool = context.pools.pool(budget.stage.service)
    request = SlotRequest(
        workspace=run.plan.workspace,
        priority=run.request.priority,
        deadline=run.request.deadline,
        latest_start=budget.latest_start,
        expected_s=budget.stage.expected_s,
        exclude=frozenset(tried),
        affinity=affinity_key(context, run, budget),
        version=version,
    )
    try:
        slot = await pool.acquire(request)
    except NoEndpoint as error:
        raise StageFailed(
            FailureReason.NO_ENDPOINT, str(error), retry_after_s=FAILED_STAGE_RETRY_S
        ) from error
    except NoFreeSlot as error:
        raise StageFailed(
            FailureReason.OVERLOADED, str(error), retry_after_s=error.retry_after_s
        ) from error
    run.remove_pending(budget.stage)
    return slot


def may_leave_slow_call(
    context: StageContext, budget: StageBudget, tried: set[str], version: str | None = None
) -> bool:
    """Return whether another endpoint can take over a slow call, within the retry budget.

    Otherwise its answer is waited for: a slow endpoint may go on, and a call that is given up
    without another one loses its answer for certain. `tried` includes the slow endpoint.
    """
    if len(tried) >= context.policy.max_attempts or context.retry_budget.is_empty:
        return False
    return context.pools.pool(budget.stage.service).has_other_free_slot(tried, version)


def affinity_key(context: StageContext, run: PipelineRun, budget: StageBudget) -> str | None:
    """Return the key that routes calls with the same prompt prefix to one engine.

    `None` means that affinity is off or the stage is not an engine.
    """
    if not context.policy.affinity or budget.stage.kind is not StageKind.ENGINE:
        return None
    return run.plan.digest


def check_not_blocked(context: StageContext, run: PipelineRun, budget: StageBudget) -> None:
    """Raise `StageFailed` if the request is blocked for crashing the stage's endpoints."""
    wait_s = context.crashes.blocked_s(run.stage_content, [budget.stage.service])
    if wait_s is not None:
        detail = f'endpoints of stage {budget.stage.name!r} end under this request'
        raise StageFailed(FailureReason.CRASHES_ENDPOINTS, detail, retry_after_s=wait_s)


async def check_for_crash(
    context: StageContext,
    run: PipelineRun,
    slot: Slot,
    service: str,
    error: MayHaveRun,
    *,
    answered: bool,
) -> None:
    """Check whether a broken connection means a crash, before the request is retried.

    `answered` tells whether part of the response had arrived.
    """
    if isinstance(error, ConnectionBroken):
        probe = EndpointCrashProbe(
            prober=context.backends.prober,
            endpoint=slot.endpoint,
            others=[
                replica.endpoint
                for pool in context.pools.pools.values()
                for replica in pool.active()
            ],
        )
        await context.crashes.on_failed(
            [run.stage_content],
            service,
            probe,
            error,
            run_started_at=run.last_sent_at,
            answered=answered,
        )


def check_time_left(context: StageContext, budget: StageBudget) -> None:
    """Raise `StageFailed` if the stage's deadline has passed."""
    if context.clock.monotonic() >= budget.deadline:
        detail = f'stage {budget.stage.name!r} was not answered in time'
        raise StageFailed(FailureReason.DEADLINE_PASSED, detail)


def stage_failure(
    budget: StageBudget,
    last: Exception | None,
    reason: FailureReason = FailureReason.ENDPOINT_FAILED,
) -> StageFailed:
    """Return the error of a stage whose last call failed; its detail is meant for the caller."""
    if isinstance(last, NotStarted):
        detail = f'no endpoint of stage {budget.stage.name!r} could be reached'
    else:
        detail = f'an endpoint of stage {budget.stage.name!r} gave no whole answer'
    return StageFailed(reason, detail, retry_after_s=FAILED_STAGE_RETRY_S, cause=str(last))


class CallAttempt:
    """Track one call and report its result to the run, the pool and the observer.

    Streams set `first_response_s`. A call that is not streamed leaves it `None`, because its whole
    response arrives at once.
    """

    def __init__(
        self, *, context: StageContext, run: PipelineRun, budget: StageBudget, slot: Slot
    ) -> None:
        self.context = context
        self.run = run
        self.budget = budget
        self.slot = slot
        self.started_at = context.clock.monotonic()
        self.first_response_s: float | None = None

    def __enter__(self) -> CallAttempt:
        self.run.on_sent(self.budget.stage, self.started_at)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        served_s = self.context.clock.monotonic() - self.started_at
        result = call_result(error)
        if result is CallResult.NOT_STARTED:
            self.run.on_not_started(self.budget.stage)
        if result is CallResult.ANSWERED:
            self.context.retry_budget.on_success()
        self.release_slot(result, error, served_s)
        name = self.slot.endpoint.name
        self.context.observer.on_call(self.budget.stage, name, served_s, result)

    def release_slot(
        self, result: CallResult, error: BaseException | None, served_s: float
    ) -> None:
        """Release the slot and update the endpoint's statistics with the result of the call."""
        if result is CallResult.ANSWERED:
            first_s = served_s if self.first_response_s is None else self.first_response_s
            self.slot.answered(first_response_s=first_s, served_s=served_s)
        elif result is CallResult.ABANDONED:
            self.slot.abandoned()
        elif self.is_endpoint_failure(error, served_s):
            self.slot.failed()
        else:
            self.slot.declined(requested_backoff_s(error))

    def is_endpoint_failure(self, error: BaseException | None, served_s: float) -> bool:
        """Return whether the call counts as a failure of the endpoint, not as overload."""
        if isinstance(error, NotStarted):
            return not isinstance(error, Declined)
        if isinstance(error, TimedOut):
            return self.indicates_endpoint_failure(served_s)
        return True

    def indicates_endpoint_failure(self, served_s: float) -> bool:
        """Return whether a timed-out call counts as a failure of its endpoint.

        It does if the attempt's own timeout expired, or if the call took far longer than expected.
        A call that had only just started when the stage's deadline passed does not count.
        """
        in_time = self.context.clock.monotonic() < self.budget.deadline
        return in_time or served_s >= self.budget.expected_s * LATE_CALL_FACTOR


def requested_backoff_s(error: BaseException | None) -> float:
    """Return the backoff that a declining endpoint asked for, in seconds, or 0 if it gave none."""
    return (error.retry_after_s or 0.0) if isinstance(error, NotStarted) else 0.0


def call_result(error: BaseException | None) -> CallResult:
    """Return the result of a call that raised `error`, or `ANSWERED` for `None`."""
    if error is None:
        return CallResult.ANSWERED
    if isinstance(error, NotStarted):
        return CallResult.NOT_STARTED
    if isinstance(error, WrongAnswer):
        return CallResult.WRONG_ANSWER
    if isinstance(error, TimedOut):
        return CallResult.TIMED_OUT
    if isinstance(error, MayHaveRun):
        return CallResult.MAY_HAVE_RUN
    return CallResult.ABANDONED
