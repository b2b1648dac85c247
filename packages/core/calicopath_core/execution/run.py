"""Track the state of one request while its stages run."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from calicopath_core.crashes.suspects import CONTENT_SEPARATOR, request_fingerprint
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
DOCUMENT_DIGEST_BYTES = 8
MAX_DOCUMENTS = 32
"""Documents in a fingerprint, 17 bytes each; endpoints are not blamed on later ones."""


class StageFailed(CalicopathError):
    """Report that a stage gave no answer and will not be retried.

    `detail` is meant for callers, `cause` for the log.
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
    """Hold the state of a request while its stages run.

    `possibly_run_calls` counts the calls that were sent and are not proved unstarted: a request may
    be refused as not run only while it is 0. `possible_side_effects` counts those of them that must
    not run twice. `late_call` is such a call that is still running when its caller stops waiting.
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
        """Return the request fingerprint: digests of workspace and pipeline, and of the body."""
        path = f'{self.plan.workspace}/{self.plan.pipeline}'.encode()
        pipeline = hashlib.blake2b(path, digest_size=PIPELINE_DIGEST_BYTES).hexdigest()
        return request_fingerprint(pipeline, self.request.body_digest)

    @property
    def stage_content(self) -> str:
        """Return the request fingerprint with the documents that the next stage receives.

        Requests of different callers share documents as prompts share parts.
        """
        documents = self.input.get('documents', [])[:MAX_DOCUMENTS]
        digests = dict.fromkeys(
            hashlib.blake2b(item.encode(), digest_size=DOCUMENT_DIGEST_BYTES).hexdigest()
            for item in documents
        )
        pipeline, body = self.content.split(CONTENT_SEPARATOR)
        return request_fingerprint(pipeline, body, parts=digests)

    @property
    def repeatable(self) -> bool:
        """Return whether the complete request may run again."""
        return self.request.repeatable and self.plan.repeatable

    def runs_at_most_once(self, stage: StagePlan) -> bool:
        """Return whether a stage must not be called again after a call that may have run.

        In a request marked not repeatable these are the calls to plain services, which have side
        effects. If its plan calls no plain service, they are all its calls.
        """
        if not stage.repeatable:
            return True
        if self.request.repeatable:
            return False
        return stage.kind is StageKind.SERVICE or not self.calls_services

    @property
    def calls_services(self) -> bool:
        """Return whether any stage calls a plain service."""
        return any(stage.kind is StageKind.SERVICE for stage in self.plan.stages)

    def next_call_id(self, stage: StagePlan) -> CallId:
        """Return a new ID for a call."""
        self.call_count += 1
        return CallId(self.request.id, stage.name, self.call_count)

    def on_sent(self, stage: StagePlan, now: float) -> None:
        """Record that a call is about to be sent, at the monotonic time `now`."""
        self.last_sent_at = now
        self.possibly_run_calls += 1
        self.possible_side_effects += self.runs_at_most_once(stage)

    def on_not_started(self, stage: StagePlan) -> None:
        """Record that a call provably did not start."""
        self.possibly_run_calls -= 1
        self.possible_side_effects -= self.runs_at_most_once(stage)

    def add_pending(self, pools: dict[str, ServicePool]) -> None:
        """Register this request with the pools, given by stage name, as a future slot request."""
        self.pending_pools = pools
        for pool in pools.values():
            pool.add_pending(self.request.priority)

    def remove_pending(self, stage: StagePlan) -> None:
        """Remove this request from the future slot requests of a stage's pool."""
        pool = self.pending_pools.pop(stage.name, None)
        if pool is not None:
            pool.remove_pending(self.request.priority)

    def remove_all_pending(self) -> None:
        """Remove this request from the future slot requests of every pool."""
        for stage in self.plan.stages:
            self.remove_pending(stage)

    def finish_stage(self, stage: StagePlan, output: StageOutput, timing: StageTiming) -> None:
        """Record the timing of a stage and pass its output to the next stages."""
        self.timings.append(timing)
        self.merge_output(stage, output)

    def merge_output(self, stage: StagePlan, output: StageOutput) -> None:
        """Merge the output of a stage into the input of the next stages."""
        if 'vector' in output:
            self.input['vector'] = output['vector']
        if 'documents' in output:
            self.input['documents'] = output['documents']
        if 'output' in output:
            self.input['output'] = output['output']
        if 'result' in output:
            results = self.input.get('results', {})
            self.input['results'] = {**results, stage.name: output['result']}
