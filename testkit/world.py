"""Assemble boxes with one fake store and one fake fleet."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING, Any

from calicopath_core.claims.executors import GroupingConfig, LocalExecutor
from calicopath_core.claims.keys import body_digest
from calicopath_core.claims.registry import ClaimRegistry
from calicopath_core.execution.admission import PipelineAdmission
from calicopath_core.execution.attempts import StageContext
from calicopath_core.execution.executor import PipelineExecutor
from calicopath_core.execution.policy import ExecutionPolicy
from calicopath_core.execution.requests import DiscardSink, NullObserver, PipelineRequest, TokenSink
from calicopath_core.limits.concurrency import FixedLimit
from calicopath_core.limits.lag import LoopLag
from calicopath_core.limits.retry import RetryBudget
from calicopath_core.routing.pools import ServicePool
from calicopath_core.routing.registry import PoolRegistry
from calicopath_core.routing.selectors import ExpectedCompletionSelector
from calicopath_core.routing.subset import SubsetChooser
from calicopath_core.store.feed import StoreFeed
from calicopath_core.store.view import ConfigView, ViewUpdate
from calicopath_core.structure.endpoints import Endpoint, EndpointState
from calicopath_core.structure.keys import endpoint_key, pipeline_key, template_key
from calicopath_core.structure.stages import StageKind
from testkit.fake_endpoints import FakeEndpoint, FakeFleet, Timing
from testkit.fake_store import FakeStore, Gate, StoreState
from testkit.ledgers import new_guard
from testkit.virtual import WALL_START_S, VirtualClock

if TYPE_CHECKING:
    from calicopath_core.structure.outcomes import Outcome

SERVICES = {
    'encoders': StageKind.ENCODER,
    'retrievers': StageKind.RETRIEVER,
    'rerankers': StageKind.RERANKER,
    'drafting': StageKind.ENGINE,
    'desk': StageKind.SERVICE,
}
EXPECTED_MS = {
    StageKind.ENCODER: 10,
    StageKind.RETRIEVER: 10,
    StageKind.RERANKER: 10,
    StageKind.ENGINE: 300,
    StageKind.SERVICE: 10,
}


def stage_spec(service: str, *, repeatable: bool = True) -> dict[str, Any]:
    """Return the document of a stage that uses `service`."""
    kind = SERVICES[service]
    spec: dict[str, Any] = {
        'name': service,
        'kind': kind.value,
        'service': service,
        'expected_ms': EXPECTED_MS[kind],
        'params': {},
    }
    if kind is StageKind.SERVICE:
        spec['repeatable'] = repeatable
        spec['params'] = {'operation': 'act'}
    return spec


ANSWER_STAGES = [stage_spec(name) for name in ('encoders', 'retrievers', 'rerankers', 'drafting')]
ACT_STAGES = [*ANSWER_STAGES, stage_spec('desk', repeatable=False)]
TEMPLATES = {
    'answer': {'kind': 'template', 'name': 'answer', 'stages': ANSWER_STAGES},
    'act': {'kind': 'template', 'name': 'act', 'stages': ACT_STAGES},
}


def pipeline_spec(name: str, *, workspace: str = 'towpath', priority: int = 5) -> dict[str, Any]:
    """Return the document of a pipeline of the template with the same name."""
    return {
        'kind': 'pipeline',
        'workspace': workspace,
        'name': name,
        'template': name,
        'deadline_ms': 2000,
        'priority': priority,
    }


def endpoint_spec(endpoint: Endpoint) -> dict[str, Any]:
    """Return the document of an endpoint."""
    return {
        'kind': 'endpoint',
        'name': endpoint.name,
        'service': endpoint.service,
        'stage': endpoint.kind.value,
        'address': endpoint.address,
        'failure_domain': endpoint.failure_domain,
        'concurrency': endpoint.concurrency,
        'state': endpoint.state.value,
        'version': endpoint.version,
    }


def new_fleet(replicas: int = 2, concurrency: int = 8, timing: Timing = Timing()) -> FakeFleet:  # noqa: B008
    """Return a fleet with a few replicas of each service."""
    return FakeFleet(
        [
            FakeEndpoint(
                endpoint=Endpoint(
                    name=f'{service}-{number}',
                    service=service,
                    kind=kind,
                    address=f'http://127.0.0.1:{9000 + number}',
                    failure_domain=f'domain-{number}',
                    concurrency=concurrency,
                ),
                timing=timing,
            )
            for service, kind in SERVICES.items()
            for number in range(replicas)
        ]
    )


def config_updates(fleet: FakeFleet, version: int = 1) -> list[ViewUpdate]:
    """Return the whole configuration as the updates that a box receives."""
    updates = [
        ViewUpdate(endpoint_key(name), version, endpoint_spec(item.endpoint))
        for name, item in fleet.endpoints.items()
    ]
    for name, template in TEMPLATES.items():
        updates.append(ViewUpdate(template_key(name), version, template))
        updates.append(ViewUpdate(pipeline_key('towpath', name), version, pipeline_spec(name)))
    return updates


class FakeBox:
    """Run the execution logic of one box against the fakes."""

    def __init__(
        self,
        *,
        fleet: FakeFleet,
        state: StoreState,
        seed: int = 1,
        policy: ExecutionPolicy = ExecutionPolicy(),  # noqa: B008 - a tuple of constants
        clock: VirtualClock | None = None,
        shards: int = 4,
    ) -> None:
        self.clock = clock or VirtualClock()
        self.gate = Gate()
        self.store = FakeStore(state=state, gate=self.gate)
        self.view = ConfigView()
        self.lag = LoopLag(clock=self.clock)
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.name = f'box{seed}'
        self.feed = StoreFeed(store=self.store, view=self.view, clock=self.clock)
        subset = SubsetChooser(box=self.name, failure_domain='domain-0')
        self.pools = PoolRegistry(view=self.view, subset=subset, new_pool=self.new_pool)
        plan = GroupingConfig(shards=shards)
        self.local_claims = LocalExecutor(store=self.store, clock=self.clock, grouping=plan)
        self.claims = ClaimRegistry(
            local=self.local_claims, executor=self.local_claims, new_nonce=self.new_id
        )
        context = StageContext(
            pools=self.pools,
            backends=fleet.backends(self.gate),
            clock=self.clock,
            policy=policy,
            retry_budget=RetryBudget(),
            observer=NullObserver(),
            lag=self.lag,
            crashes=new_guard(),
        )
        admission = PipelineAdmission(
            pools=self.pools, margin=policy.admission_margin, lag=self.lag
        )
        self.executor = PipelineExecutor(context=context, admission=admission, claims=self.claims)

    def new_pool(self, service: str) -> ServicePool:
        """Return a pool with fixed limits."""
        return ServicePool(
            service=service,
            clock=self.clock,
            selector=ExpectedCompletionSelector(rng=self.rng),
            new_limit=lambda endpoint: FixedLimit(limit=endpoint.concurrency),
        )

    def new_id(self) -> str:
        """Return a new identifier that contains the name of the box."""
        return f'{self.name}-{next(self.numbers)}'

    def configure(self, fleet: FakeFleet, version: int = 1) -> FakeBox:
        """Give the box its configuration without a store."""
        self.view.apply_all(config_updates(fleet, version))
        return self

    async def send(
        self,
        pipeline: str,
        text: str = 'Where may we moor after dusk?',
        *,
        key: str | None = None,
        repeatable: bool = True,
        deadline_s: float | None = None,
        sink: TokenSink | None = None,
    ) -> Outcome:
        """Run one request of workspace `towpath` and return its outcome."""
        result = self.view.plan('towpath', pipeline)
        assert result is not None
        plan = result.unwrap()
        now = self.clock.monotonic()
        request = PipelineRequest(
            id=self.new_id(),
            text=text,
            arrived_at=now,
            deadline=now + (plan.deadline_s if deadline_s is None else deadline_s),
            priority=plan.priority,
            repeatable=repeatable,
            key=key,
            body_digest=body_digest(text.encode()),
        )
        return await self.executor.run(request, plan, sink or DiscardSink())

    def kill(self) -> None:
        """Cancel all work of the box, as a crash would."""
        self.gate.pause()
        writers = self.local_claims.writers.values()
        tasks = [*self.executor.background_tasks, *(writer.task for writer in writers)]
        for task in tasks:
            if task is not None:
                task.cancel()

    async def wait_background_tasks(self) -> None:
        """Wait until all background tasks have finished."""
        while self.executor.background_tasks:
            await asyncio.wait(set(self.executor.background_tasks))

    def drain(self, name: str, version: int) -> None:
        """Drain an endpoint on this box only."""
        key = endpoint_key(name)
        spec = self.view.entries[key].spec
        assert spec is not None
        state = EndpointState.DRAINING.value
        self.view.apply(ViewUpdate(key, version, {**spec, 'state': state}))


class TextSink(TokenSink):
    """Record the streamed text."""

    def __init__(self) -> None:
        self.pieces: list[str] = []

    @property
    def text(self) -> str:
        """Return the whole text."""
        return ''.join(self.pieces)

    async def write(self, text: str) -> None:
        """Record a piece."""
        self.pieces.append(text)


def uuid7(time_s: float = WALL_START_S, number: int = 0) -> str:
    """Return an idempotency key made at `time_s`."""
    time_ms = int(time_s * 1000)
    value = (time_ms << 80) | (0x7 << 76) | (0x2 << 62) | number
    text = f'{value:032x}'
    return f'{text[:8]}-{text[8:12]}-{text[12:16]}-{text[16:20]}-{text[20:]}'
