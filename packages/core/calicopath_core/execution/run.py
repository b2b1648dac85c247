"""Hold the state of one request while its stages run."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from calicopath_core.crashes.suspects import request_fingerprint
from calicopath_core.exceptions import CalicopathError
from calicopath_core.structure.calls import CallId, StageInput
from calicopath_core.structure.stages import StageKind

if TYPE_CHECKING:
    import asyncio

    from calicopath_core.execution.requests import PipelineRequest, TokenSink
    from calicopath_core.routing.pools import ServicePool
    from calicopath_core.structure.calls import StageOutput
    from calicopath_core.structure.outcomes import FailureReason, StageTiming
    from calicopath_core.structure.stages import Plan, StagePlan


PIPELINE_DIGEST_BYTES = 8


class StageFailed(CalicopathError):
    """Report that a stage gave no answer and will not be tried again.

    `detail` is for callers, `cause` for the log.
    """

    def __init__(
        self,
        reason: FailureReason,
        detail: str,
        *,
        retry_after_s: float | None = None,
        cause: str = '',
    ) -> None:
        super().__init__(detail)
        self.cause = cause
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s


class PipelineRun:
    """Follow a request through its stages.

    `unproved_calls` counts the calls that left the box and are not proved unstarted: only
    while it is zero may the request be refused as not run. `unproved_effects` counts those of
    them that must not happen twice. `late_call` is such a call that outlives the deadline.
    """

    def __init__(self, *, request: PipelineRequest, plan: Plan, sink: TokenSink) -> None:
        self.request = request
        self.plan = plan
        self.sink = sink
        self.input = StageInput(text=request.text)
        self.timings: list[StageTiming] = []
        self.possibly_run_calls = 0
        self.possible_side_effects = 0
        self.call_count = 0
        self.last_sent_at = 0.0
        self.first_token_at: float | None = None
        self.late_call: asyncio.Task[StageOutput] | None = None
        self.pending_pools: dict[str, ServicePool] = {}

    @property
    def content(self) -> str:
        """Return what names what is asked: pipeline and workspace, then the body."""
        asked = f'{self.plan.workspace}/{self.plan.pipeline}'.encode()
        pipeline = hashlib.blake2b(asked, digest_size=PIPELINE_DIGEST_BYTES).hexdigest()
        return request_fingerprint(pipeline, self.request.body_digest)

    @property
    def repeatable(self) -> bool:
        """Tell whether the whole request may be run again."""
        return self.request.repeatable and self.plan.repeatable

    def runs_at_most_once(self, stage: StagePlan) -> bool:
        """Tell whether a stage must not be called again once a call may have run.

        In a request marked not repeatable these are the calls of plain services, which have
        effects outside; where the plan has none, they are all its calls.
        """
        if not stage.repeatable:
            return True
        if self.request.repeatable:
            return False
        return stage.kind is StageKind.SERVICE or not self.calls_services

    @property
    def calls_services(self) -> bool:
        """Tell whether any stage calls a plain service."""
        return any(stage.kind is StageKind.SERVICE for stage in self.plan.stages)

    def next_call_id(self, stage: StagePlan) -> CallId:
        """Return a fresh identity for a call."""
        self.call_count += 1
        return CallId(self.request.id, stage.name, self.call_count)

    def on_sent(self, stage: StagePlan, now: float) -> None:
        """Note that a call is about to leave the box."""
        self.last_sent_at = now
        self.possibly_run_calls += 1
        self.possible_side_effects += self.runs_at_most_once(stage)

    def on_not_started(self, stage: StagePlan) -> None:
        """Note that a call is proved not to have started."""
        self.possibly_run_calls -= 1
        self.possible_side_effects -= self.runs_at_most_once(stage)

    def add_pending(self, pools: dict[str, ServicePool]) -> None:
        """Count this request, by stage name, among those that will ask the pools for slots."""
        self.pending_pools = pools
        for pool in pools.values():
            pool.add_pending(self.request.priority)

    def remove_pending(self, stage: StagePlan) -> None:
        """Count this request out of those that a stage's pool still expects."""
        pool = self.pending_pools.pop(stage.name, None)
        if pool is not None:
            pool.remove_pending(self.request.priority)

    def remove_all_pending(self) -> None:
        """Count this request out of every pool that still expects it."""
        for stage in self.plan.stages:
            self.remove_pending(stage)

    def finish_stage(self, stage: StagePlan, output: StageOutput, timing: StageTiming) -> None:
        """Hand a stage's output on to the next stages."""
        self.timings.append(timing)
        self.merge_output(stage, output)

    def merge_output(self, stage: StagePlan, output: StageOutput) -> None:
        """Merge a stage's output into the input of the next ones."""
        if 'vector' in output:
            self.input['vector'] = output['vector']
        if 'documents' in output:
            self.input['documents'] = output['documents']
        if 'output' in output:
            self.input['output'] = output['output']
        if 'result' in output:
            results = self.input.get('results', {})
            self.input['results'] = {**results, stage.name: output['result']}
