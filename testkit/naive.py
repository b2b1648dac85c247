"""Serve requests naively, for comparison: any endpoint, unconditional retries, no claims.

Without faults it gives the same answers. It deliberately gives no guarantees, and only tests and
the bench use it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from calicopath_core.backends.base import BackendError
from calicopath_core.structure.calls import (
    CallId,
    GenerationCall,
    GenerationEnd,
    StageCall,
    StageInput,
)
from calicopath_core.structure.outcomes import Answered, RefusalReason, Refused, StageTiming
from calicopath_core.structure.stages import StageKind

if TYPE_CHECKING:
    import random

    from calicopath_core.backends.base import Backends
    from calicopath_core.execution.requests import PipelineRequest, TokenSink
    from calicopath_core.store.view import ViewUpdate
    from calicopath_core.structure.calls import StageOutput
    from calicopath_core.structure.endpoints import Endpoint
    from calicopath_core.structure.outcomes import Outcome
    from calicopath_core.structure.stages import Plan, StagePlan

MAX_ATTEMPTS = 3


class NaiveView:
    """Keep the last update of each object, whatever its version."""

    def __init__(self) -> None:
        self.specs: dict[str, Any] = {}

    def apply(self, update: ViewUpdate) -> None:
        """Apply an update, even an older one."""
        self.specs[update.key] = update.spec
        if update.spec is None:
            del self.specs[update.key]


class NaiveExecutor:
    """Call a random endpoint for each stage; call again after any error."""

    def __init__(
        self, *, endpoints: list[Endpoint], backends: Backends, rng: random.Random
    ) -> None:
        self.endpoints = endpoints
        self.backends = backends
        self.rng = rng

    async def run(self, request: PipelineRequest, plan: Plan, sink: TokenSink) -> Outcome:
        """Return the answer, or report every failure as a refusal."""
        data = StageInput(text=request.text)
        results: dict[str, Any] = {}
        timings = []
        now = asyncio.get_running_loop().time
        for stage in plan.stages:
            started = now()
            try:
                output = await self.run_stage(request, stage, data, sink)
            except BackendError as error:
                return Refused(RefusalReason.OVERLOADED, str(error), None)
            if 'vector' in output:
                data['vector'] = output['vector']
            if 'documents' in output:
                data['documents'] = output['documents']
            if 'output' in output:
                data['output'] = output['output']
            if 'result' in output:
                results[stage.name] = output['result']
            timings.append(StageTiming(stage.name, '', 1, 0.0, now() - started))
        return Answered(data.get('output', ''), results, tuple(timings), plan.digest)

    async def run_stage(
        self, request: PipelineRequest, stage: StagePlan, data: StageInput, sink: TokenSink
    ) -> StageOutput:
        """Run a stage with up to `MAX_ATTEMPTS` attempts, each from the start."""
        for attempt in range(MAX_ATTEMPTS):
            endpoint = self.pick(stage)
            try:
                return await self.call(request, stage, data, sink, endpoint, attempt)
            except BackendError:
                if attempt == MAX_ATTEMPTS - 1:
                    raise
        raise AssertionError('unreachable')

    def pick(self, stage: StagePlan) -> Endpoint:
        """Return any endpoint of the service, draining or not."""
        return self.rng.choice([item for item in self.endpoints if item.service == stage.service])

    async def call(
        self,
        request: PipelineRequest,
        stage: StagePlan,
        data: StageInput,
        sink: TokenSink,
        endpoint: Endpoint,
        attempt: int,
    ) -> StageOutput:
        """Make one call."""
        identity = CallId(request.id, stage.name, attempt)
        if stage.kind is StageKind.ENGINE:
            call = GenerationCall(identity, stage.params, data, 0.0, request.priority)
            return await self.generate(endpoint, call, sink)
        plain = StageCall(identity, stage.params, data, 0.0, request.priority)
        if stage.kind is StageKind.SERVICE:
            plain = plain._replace(idempotency_key=request.key)
            return await self.backends.service.call(endpoint, plain)
        return await self.backends.pool.call(endpoint, plain)

    async def generate(
        self, endpoint: Endpoint, call: GenerationCall, sink: TokenSink
    ) -> StageOutput:
        """Join all received tokens until the stream ends, without checks."""
        pieces: list[bytes] = []
        async for item in self.backends.engine.generate(endpoint, call):
            if isinstance(item, GenerationEnd):
                break
            pieces.append(item.data)
            await sink.write(item.data.decode(errors='replace'))
        return {'output': b''.join(pieces).decode(errors='replace')}
