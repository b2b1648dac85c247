"""Run pipeline requests from admission to their final outcome."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, TypeVar

from calicopath_core.backends.base import MayHaveRun, NotStarted
from calicopath_core.claims.keys import InvalidKey, parse_key
from calicopath_core.claims.operations import ClaimState, StoredClaim
from calicopath_core.claims.registry import Granted, Taken
from calicopath_core.execution.attempts import StageContext, stage_budget
from calicopath_core.execution.generation import GenerationRunner
from calicopath_core.execution.run import PipelineRun, StageFailed
from calicopath_core.execution.stages import CallRunner
from calicopath_core.store.base import StoreUnavailable
from calicopath_core.structure.outcomes import (
    Answered,
    Failed,
    FailureReason,
    RefusalReason,
    Refused,
)
from calicopath_core.structure.stages import StageKind

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from calicopath_core.claims.registry import ClaimRegistry
    from calicopath_core.execution.admission import PipelineAdmission
    from calicopath_core.execution.requests import PipelineRequest, TokenSink
    from calicopath_core.structure.outcomes import Outcome
    from calicopath_core.structure.stages import Plan

T = TypeVar('T')

STORE_RETRY_S = 2.0
"""Retry delay while the object store is unavailable for claims."""

CLAIM_RETRY_S = 1.0
"""Retry delay for the answer of a request that is already running."""

REFUSAL_REASONS = {
    FailureReason.OVERLOADED: RefusalReason.OVERLOADED,
    FailureReason.NO_ENDPOINT: RefusalReason.NO_ENDPOINT,
    FailureReason.ENDPOINT_FAILED: RefusalReason.NO_ENDPOINT,
    FailureReason.CRASHES_ENDPOINTS: RefusalReason.CRASHES_ENDPOINTS,
    FailureReason.DEADLINE_PASSED: RefusalReason.DEADLINE_PASSED,
}
"""Refusal reason for each stage failure if no call of the request can have run."""


class PipelineExecutor:
    """Admit requests and run the stages of their plans in order, under one deadline."""

    def __init__(
        self, *, context: StageContext, admission: PipelineAdmission, claims: ClaimRegistry
    ) -> None:
        self.context = context
        self.admission = admission
        self.claims = claims
        self.call_runner = CallRunner(context=context)
        self.generation_runner = GenerationRunner(context=context)
        self.background_tasks: set[asyncio.Task[Any]] = set()

    async def run(self, request: PipelineRequest, plan: Plan, sink: TokenSink) -> Outcome:
        """Return the outcome of the request; write generated text to `sink` as it arrives."""
        run = PipelineRun(request=request, plan=plan, sink=sink)
        outcome = await self.admit_and_run(run)
        took_s = self.context.clock.monotonic() - request.arrived_at
        self.context.observer.on_outcome(plan, outcome, took_s, tuple(run.timings))
        return outcome

    async def admit_and_run(self, run: PipelineRun) -> Outcome:
        """Refuse the request, or run it; a request that is not repeatable needs a claim to run."""
        now = self.context.clock.monotonic()
        refused = self.admission.check(run.plan, run.request.priority, now, run.request.deadline)
        refused = refused or self.refuse_blocked(run)
        if refused is not None:
            return refused
        if run.repeatable:
            return await self.run_stages(run)
        return await self.run_claimed(run)

    def refuse_blocked(self, run: PipelineRun) -> Refused | None:
        """Return the refusal of a request that is blocked for crashing endpoints, or `None`."""
        services = [stage.service for stage in run.plan.stages]
        wait_s = self.context.crashes.blocked_s(run.content, services)
        if wait_s is None:
            return None
        detail = 'endpoints end under this request; it is not sent on for now'
        return Refused(RefusalReason.CRASHES_ENDPOINTS, detail, wait_s)

    async def run_claimed(self, run: PipelineRun) -> Outcome:
        """Claim the idempotency key, run the request, and record its answer or release the key."""
        claimed = await self.claim(run)
        if not isinstance(claimed, Granted):
            return claimed
        # The run continues if the caller disconnects, so that its answer can be recorded.
        task = self.spawn(self.run_stages(run))
        task.add_done_callback(
            lambda done: self.spawn(self.settle_claim(run, claimed, done.result()))
        )
        return await asyncio.shield(task)

    def spawn(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a background task that runs to its end even if its waiters are cancelled."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        return task

    async def claim(self, run: PipelineRun) -> Granted | Outcome:
        """Claim the idempotency key, or return the outcome of a request that cannot claim it."""
        request = run.request
        if request.key is None:
            return Refused(
                RefusalReason.KEY_MISSING,
                'a request that is not repeatable needs an idempotency key',
                None,
            )
        try:
            key = parse_key(
                run.plan.workspace, run.plan.pipeline, request.key, self.context.clock.wall()
            )
        except InvalidKey as error:
            return Refused(RefusalReason.KEY_INVALID, str(error), None)
        remaining_s = request.deadline - self.context.clock.monotonic()
        timeout_s = min(self.context.policy.claim_timeout_s, remaining_s)
        try:
            result = await self.claims.claim(key, request.body_digest, timeout_s)
        except StoreUnavailable as error:
            return Refused(RefusalReason.STORE_UNAVAILABLE, str(error), STORE_RETRY_S)
        if isinstance(result, Taken):
            return existing_claim_outcome(result.claim, run)
        return result

    async def settle_claim(self, run: PipelineRun, granted: Granted, outcome: Outcome) -> None:
        """Record the answer in the claim, or release the claim if no side effect can have happened.

        In any other case the claim stays as started, so that no retry runs the request again.
        """
        timeout_s = self.context.policy.claim_timeout_s
        if not isinstance(outcome, Answered):
            late_answer = await self.late_answer(run)
            outcome = late_answer or outcome
        with contextlib.suppress(StoreUnavailable):
            if isinstance(outcome, Answered):
                await self.claims.record(granted, answer_record(outcome), timeout_s)
            elif run.possible_side_effects == 0:
                await self.claims.release(granted, timeout_s)

    async def late_answer(self, run: PipelineRun) -> Answered | None:
        """Return the answer of a call that outlived the deadline, or `None` if it gives none."""
        if run.late_call is None:
            return None
        try:
            async with asyncio.timeout(self.context.policy.late_answer_timeout_s):
                output = await run.late_call
        except TimeoutError:
            return None
        except NotStarted:
            run.possible_side_effects -= 1
            return None
        except MayHaveRun:
            return None
        last = run.plan.stages[-1]
        if len(run.timings) < len(run.plan.stages) - 1:
            return None
        run.merge_output(last, output)
        return complete_answer(run)

    async def run_stages(self, run: PipelineRun) -> Outcome:
        """Run the stages in order and return the outcome."""
        pools = {stage.name: self.context.pools.pool(stage.service) for stage in run.plan.stages}
        run.add_pending(dict(pools))
        try:
            async with asyncio.timeout_at(run.request.deadline):
                for index, stage in enumerate(run.plan.stages):
                    await self.run_stage(run, index, pools[stage.name].slowness())
        except StageFailed as error:
            return self.failed_outcome(run, error)
        except TimeoutError:
            timeout_failure = StageFailed(FailureReason.DEADLINE_PASSED, 'the deadline passed')
            return self.failed_outcome(run, timeout_failure)
        finally:
            run.remove_all_pending()
        return complete_answer(run)

    async def run_stage(self, run: PipelineRun, index: int, slowness: float) -> None:
        """Run one stage within its time budget."""
        budget = stage_budget(run, index, slowness)
        if budget.stage.kind is StageKind.ENGINE:
            await self.generation_runner.run(run, budget)
        else:
            await self.call_runner.run(run, budget)

    def failed_outcome(self, run: PipelineRun, error: StageFailed) -> Outcome:
        """Return a refusal if every call provably did not start, and a failure otherwise."""
        if run.possibly_run_calls == 0 and error.reason in REFUSAL_REASONS:
            return Refused(
                REFUSAL_REASONS[error.reason], error.detail, error.retry_after_s, error.cause
            )
        timings = tuple(run.timings)
        return Failed(error.reason, error.detail, error.retry_after_s, timings, error.cause)


def existing_claim_outcome(claim: StoredClaim | None, run: PipelineRun) -> Outcome:
    """Return the outcome of a request whose key is already claimed.

    `claim` is `None` if claims of the key's age have been pruned.
    """
    if claim is None:
        return Failed(
            FailureReason.ALREADY_CLAIMED, 'the key is too old to tell whether it ran', None
        )
    if claim['body'] != run.request.body_digest:
        return Refused(
            RefusalReason.KEY_REUSED, 'the key was used before with another request', None
        )
    if claim['state'] == ClaimState.STARTED:
        return Failed(
            FailureReason.ALREADY_CLAIMED, 'the request was started before', CLAIM_RETRY_S
        )
    answer = claim.get('answer')
    if answer is None:
        return Failed(
            FailureReason.ANSWER_NOT_KEPT, 'the request ran; its answer was too large to keep', None
        )
    return Answered(
        output=answer['output'],
        results=answer['results'],
        timings=(),
        digest=answer['digest'],
        replayed=True,
    )


def complete_answer(run: PipelineRun) -> Answered:
    """Return the answer of a run after its last stage was answered."""
    return Answered(
        output=run.input.get('output', ''),
        results=run.input.get('results', {}),
        timings=tuple(run.timings),
        digest=run.plan.digest,
    )


def answer_record(answer: Answered) -> dict[str, Any]:
    """Return the part of an answer that is recorded in its claim."""
    return {'output': answer.output, 'results': answer.results, 'digest': answer.digest}
