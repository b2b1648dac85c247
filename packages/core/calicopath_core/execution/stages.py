"""Call a stage at one endpoint after another until it answers or its attempts are used up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.backends.base import MayHaveRun, NotStarted
from calicopath_core.execution.attempts import (
    CallAttempt,
    StageBudget,
    StageContext,
    TimedOut,
    acquire_slot,
    check_for_crash,
    check_time_left,
    may_leave_slow_call,
    stage_failure,
)
from calicopath_core.structure.calls import StageCall, StageOutput
from calicopath_core.structure.outcomes import StageTiming
from calicopath_core.structure.stages import StageKind
from calicopath_core.waiting import cancel_and_wait, wait_until

if TYPE_CHECKING:
    from calicopath_core.backends.base import PlainService, StagePool
    from calicopath_core.execution.run import PipelineRun
    from calicopath_core.routing.pools import Slot
    from calicopath_core.structure.stages import StagePlan


class CallRunner:
    """Run stages whose answer is not streamed."""

    def __init__(self, *, context: StageContext) -> None:
        self.context = context

    async def run(self, run: PipelineRun, budget: StageBudget) -> StageOutput:
        """Return the output of the stage; raise `StageFailed` once its attempts are used up."""
        tried: set[str] = set()
        last: NotStarted | MayHaveRun | None = None
        queued_s = 0.0
        for number in range(1, self.context.policy.max_attempts + 1):
            slot = await acquire_slot(self.context, run, budget, tried)
            queued_s += slot.queued_s
            started = self.context.clock.monotonic()
            try:
                output = await self.attempt(run, budget, slot, {*tried, slot.endpoint.name})
            except NotStarted as error:
                last = error
            except MayHaveRun as error:
                last = error
                service = budget.stage.service
                await check_for_crash(self.context, run, slot, service, error, answered=False)
                check_time_left(self.context, budget)
                if run.runs_at_most_once(budget.stage) or not self.context.retry_budget.try_spend():
                    break
            else:
                self.context.crashes.on_answer_began(run.stage_content, budget.stage.service)
                self.context.crashes.on_survived(run.content, budget.stage.service)
                served_s = self.context.clock.monotonic() - started
                timing = StageTiming(
                    budget.stage.name, slot.endpoint.name, number, queued_s, served_s
                )
                run.finish_stage(budget.stage, output, timing)
                return output
            tried.add(slot.endpoint.name)
        raise stage_failure(budget, last)

    async def attempt(
        self, run: PipelineRun, budget: StageBudget, slot: Slot, tried: set[str]
    ) -> StageOutput:
        """Make one call; raise `TimedOut` at its deadline, or earlier if another may be made."""
        stage = budget.stage
        with CallAttempt(context=self.context, run=run, budget=budget, slot=slot) as attempt:
            deadline = self.attempt_deadline(run, budget, attempt.started_at)
            call = StageCall(
                id=run.next_call_id(stage),
                params=stage.params,
                input=run.input,
                timeout_s=budget.deadline - attempt.started_at,
                priority=run.request.priority,
                idempotency_key=run.request.key if run.runs_at_most_once(stage) else None,
            )
            sending = asyncio.create_task(self.send(run, stage, slot, call))
            try:
                await wait_until(self.context.clock, sending, deadline)
                if not sending.done() and not may_leave_slow_call(self.context, budget, tried):
                    await wait_until(self.context.clock, sending, budget.deadline)
                if sending.done():
                    return sending.result()
                raise TimedOut(f'endpoint {slot.endpoint.name} did not answer in time')
            finally:
                await cancel_and_wait(sending)

    async def send(
        self, run: PipelineRun, stage: StagePlan, slot: Slot, call: StageCall
    ) -> StageOutput:
        """Send the call; one that must not run twice continues when its waiter is cancelled."""
        answer = self.adapter(stage).call(slot.endpoint, call)
        if not run.runs_at_most_once(stage):
            return await answer
        task = asyncio.get_running_loop().create_task(answer)
        task.add_done_callback(mark_exception_retrieved)
        run.late_call = task
        try:
            return await asyncio.shield(task)
        finally:
            if task.done():
                run.late_call = None

    def adapter(self, stage: StagePlan) -> StagePool | PlainService:
        """Return the client for stages of this kind."""
        if stage.kind is StageKind.SERVICE:
            return self.context.backends.service
        return self.context.backends.pool

    def attempt_deadline(self, run: PipelineRun, budget: StageBudget, now: float) -> float:
        """Return when an attempt times out; a repeatable stage keeps time for another attempt."""
        if run.runs_at_most_once(budget.stage):
            return budget.deadline
        policy = self.context.policy
        now += self.context.lag.value_s
        return min(
            budget.deadline,
            now
            + max(policy.min_attempt_timeout_s, budget.expected_s * policy.attempt_timeout_factor),
        )


def mark_exception_retrieved(task: asyncio.Task[StageOutput]) -> None:
    """Mark the exception as retrieved, so that the event loop does not log it."""
    if not task.cancelled():
        task.exception()
