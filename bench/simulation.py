"""Simulate a deployment: the daemon's decision code, fake endpoints, and virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, NamedTuple

from bench.claiming import SingleShardOwner
from bench.deployments import Deployment, fill_store, new_documents, new_fleet
from bench.selectors import (
    LeastLoadedSelector,
    RandomSelector,
    ReportedLoads,
    TwoChoicesSelector,
)
from calicopath_core.claims.executors import ClaimExecutor, ForwardingExecutor, LocalExecutor
from calicopath_core.claims.keys import body_digest
from calicopath_core.claims.registry import ClaimRegistry
from calicopath_core.execution.admission import PipelineAdmission
from calicopath_core.execution.attempts import StageContext
from calicopath_core.execution.executor import PipelineExecutor
from calicopath_core.execution.requests import NullObserver, PipelineRequest, TokenSink
from calicopath_core.limits.concurrency import FixedLimit, GradientLimit
from calicopath_core.limits.lag import LoopLag
from calicopath_core.limits.retry import RetryBudget
from calicopath_core.routing.pools import ServicePool
from calicopath_core.routing.registry import PoolRegistry
from calicopath_core.routing.selectors import ExpectedCompletionSelector
from calicopath_core.routing.subset import SubsetChooser
from calicopath_core.store.base import StoreError
from calicopath_core.store.feed import StoreFeed
from calicopath_core.store.view import ConfigView
from calicopath_core.structure.outcomes import Answered, Outcome, RefusalReason, Refused
from testkit.fake_store import FakeStore, StoreState
from testkit.ledgers import new_guard
from testkit.naive import NaiveExecutor
from testkit.virtual import WALL_START_S, VirtualClock
from testkit.world import uuid7

if TYPE_CHECKING:
    from bench.deployments import Workload
    from bench.variants import Variant
    from calicopath_core.limits.concurrency import ConcurrencyLimit
    from calicopath_core.routing.replicas import Replica
    from calicopath_core.routing.selectors import Selector
    from calicopath_core.structure.endpoints import Endpoint
    from calicopath_core.structure.outcomes import Outcome as AnyOutcome
    from calicopath_core.structure.stages import Plan
    from testkit.fake_endpoints import FakeFleet

DEADLINE_S = 2.0
REPORT_LAG_S = 1.0


class RequestRecord(NamedTuple):
    """Hold the result of one request; `busy_s` is endpoint time by service."""

    workspace: str
    priority: int
    arrived_at: float
    duration_s: float
    outcome: str
    first_token_s: float | None
    token_gap_s: float | None
    served_by: str
    busy_s: dict[str, float]


class TimedSink(TokenSink):
    """Record the times of the tokens that arrive."""

    def __init__(self, *, arrived_at: float) -> None:
        self.arrived_at = arrived_at
        self.token_times: list[float] = []

    async def write(self, text: str) -> None:
        """Record the arrival of a token."""
        self.token_times.append(asyncio.get_running_loop().time())

    @property
    def first_token_s(self) -> float | None:
        """Return the seconds from the request's arrival to its first token."""
        return self.token_times[0] - self.arrived_at if self.token_times else None

    @property
    def token_gap_s(self) -> float | None:
        """Return the mean seconds between tokens, `None` for less than two."""
        if len(self.token_times) < 2:
            return None
        return (self.token_times[-1] - self.token_times[0]) / (len(self.token_times) - 1)


class SimulatedBox:
    """Run the decision code of one box: pools, limits, admission, claims and execution."""

    def __init__(self, *, name: str, world: World, seed: int) -> None:
        self.name = name
        self.world = world
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.is_accepting = True
        self.store = FakeStore(state=world.state)
        self.view = ConfigView()
        self.lag = LoopLag(clock=self.clock)
        self.feed = StoreFeed(store=self.store, view=self.view, clock=self.clock)
        self.reported_loads = ReportedLoads(fleet=world.fleet, lag_s=REPORT_LAG_S)
        subset = SubsetChooser(box=name, failure_domain='domain-0')
        self.pools = PoolRegistry(view=self.view, subset=subset, new_pool=self.new_pool)
        variant = world.variant
        self.retry_budget = RetryBudget(
            share=variant.retry_share, reserve=10 * variant.retry_share * 10
        )
        self.backends = world.fleet.backends()
        context = StageContext(
            pools=self.pools,
            backends=self.backends,
            clock=self.clock,
            policy=variant.policy,
            retry_budget=self.retry_budget,
            observer=NullObserver(),
            lag=self.lag,
            crashes=new_guard(),
        )
        local = LocalExecutor(store=self.store, clock=self.clock)
        executor = world.claim_executor(local)
        claims = ClaimRegistry(local=local, executor=executor, new_nonce=world.new_id)
        margin = variant.policy.admission_margin if variant.checks_admission else 0.0
        admission = PipelineAdmission(pools=self.pools, margin=margin, lag=self.lag)
        self.executor = PipelineExecutor(context=context, admission=admission, claims=claims)
        self.tasks: set[asyncio.Task[AnyOutcome]] = set()

    def new_pool(self, service: str) -> ServicePool:
        """Return a pool with the variant's selector and limit."""
        return ServicePool(
            service=service,
            clock=self.clock,
            selector=self.new_selector(),
            new_limit=self.new_limit,
        )

    def new_selector(self) -> Selector:
        """Return the variant's endpoint selector."""
        name = self.world.variant.selector
        if name == 'random':
            return RandomSelector(rng=self.rng)
        if name == 'least-loaded':
            return LeastLoadedSelector(rng=self.rng, loads=self.reported_loads)
        if name == 'two-choices':
            return TwoChoicesSelector(rng=self.rng, loads=self.reported_loads)
        return ExpectedCompletionSelector(rng=self.rng)

    def new_limit(self, endpoint: Endpoint) -> ConcurrencyLimit:
        """Return the variant's concurrency limit for an endpoint."""
        boxes = self.world.deployment.boxes
        name = self.world.variant.limit
        if name == 'none':
            return FixedLimit(limit=1_000_000)
        if name == 'fixed':
            return FixedLimit(limit=round(endpoint.concurrency / boxes))
        return GradientLimit(concurrency=endpoint.concurrency, boxes=boxes)

    def replicas(self) -> dict[str, Replica]:
        """Return this box's replica state by endpoint name."""
        return {
            name: item for pool in self.pools.pools.values() for name, item in pool.replicas.items()
        }

    async def handle(self, request: PipelineRequest, plan: Plan, sink: TokenSink) -> Outcome:
        """Run a request by the pipeline executor, or by the naive one."""
        if not self.is_accepting:
            return Refused(RefusalReason.STOPPING, 'stopping', 0.5)
        if not self.world.variant.is_naive:
            return await self.executor.run(request, plan, sink)
        naive = NaiveExecutor(
            endpoints=list(self.view.endpoints.values()), backends=self.backends, rng=self.rng
        )
        try:
            async with asyncio.timeout_at(request.deadline):
                return await naive.run(request, plan, sink)
        except TimeoutError:
            return Refused(RefusalReason.DEADLINE_PASSED, 'timed out', None)


class World:
    """Hold the boxes, endpoints and platform of a run, and the records of its requests."""

    def __init__(self, *, deployment: Deployment, variant: Variant, seed: int) -> None:
        self.deployment = deployment
        self.variant = variant
        self.rng = random.Random(seed)
        self.fleet: FakeFleet = new_fleet(deployment)
        self.state = StoreState()
        fill_store(self.state, new_documents(deployment, self.fleet))
        self.id_numbers = iter(range(10**9))
        self.claim_owner: LocalExecutor | None = None
        self.boxes = [
            SimulatedBox(name=f'box-{n}', world=self, seed=seed * 1000 + n)
            for n in range(deployment.boxes)
        ]
        self.balanced_boxes = list(self.boxes)
        self.records: list[RequestRecord] = []
        self.request_tasks: set[asyncio.Task[None]] = set()
        self.caller_retries = 0

    def claim_executor(self, local: LocalExecutor) -> ClaimExecutor:
        """Return an executor that forwards claims to the first box, as daemons do to owners."""
        if self.claim_owner is None:
            self.claim_owner = local
            return local
        return ForwardingExecutor(
            local=local, shard_owners=SingleShardOwner(owner=self.claim_owner)
        )

    def new_id(self) -> str:
        """Return a new identifier, unique in this world."""
        return f'id{next(self.id_numbers)}'

    async def start(self) -> None:
        """Start the boxes' background tasks and wait until they have a configuration."""
        loop = asyncio.get_running_loop()
        self.background_tasks = []
        for box in self.boxes:
            self.background_tasks.append(loop.create_task(box.feed.run()))
        await asyncio.sleep(1.0)
        if self.variant.selector in ('least-loaded', 'two-choices'):
            for box in self.boxes:
                self.background_tasks.append(
                    loop.create_task(box.reported_loads.run(box.replicas()))
                )

    async def stop(self) -> None:
        """Wait for the requests in progress, then cancel the background tasks."""
        while self.request_tasks:
            await asyncio.wait(set(self.request_tasks))
        for task in self.background_tasks:
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)

    def start_request(self, workload: Workload) -> None:
        """Start one request as a task."""
        task = asyncio.get_running_loop().create_task(self.send_with_retries(workload))
        self.request_tasks.add(task)
        task.add_done_callback(self.request_tasks.discard)

    async def send_with_retries(self, workload: Workload) -> None:
        """Send a request and its retries as a caller does, and record the result."""
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        busy_by_service: dict[str, float] = {}
        attempts = 0
        while True:
            box = self.rng.choice(self.balanced_boxes)
            sink = TimedSink(arrived_at=arrived_at)
            request_id, outcome = await self.send_once(box, workload, sink, arrived_at)
            for name, item in self.fleet.endpoints.items():
                busy_s = item.busy_by_request.pop(request_id, 0.0)
                if busy_s:
                    service = name.rpartition('-')[0]
                    busy_by_service[service] = busy_by_service.get(service, 0.0) + busy_s
            attempts += 1
            is_late = loop.time() >= arrived_at + DEADLINE_S
            if isinstance(outcome, Answered) or is_late or attempts > self.caller_retries:
                break
        self.records.append(
            RequestRecord(
                workspace=workload.workspace,
                priority=workload.priority,
                arrived_at=arrived_at,
                duration_s=loop.time() - arrived_at,
                outcome=type(outcome).__name__.lower(),
                first_token_s=sink.first_token_s,
                token_gap_s=sink.token_gap_s,
                served_by=box.name,
                busy_s=busy_by_service,
            )
        )

    async def send_once(
        self, box: SimulatedBox, workload: Workload, sink: TimedSink, arrived_at: float
    ) -> tuple[str, Outcome]:
        """Send one attempt to a box and return its identifier and outcome."""
        result = box.view.plan(workload.workspace, 'main')
        assert result is not None
        plan = result.unwrap()
        request_id = self.new_id()
        text = f'q{next(self.id_numbers)} ' + 'x' * 40
        key = uuid7(WALL_START_S, next(self.id_numbers)) if workload.template == 'act' else None
        request = PipelineRequest(
            id=request_id,
            text=text,
            arrived_at=asyncio.get_running_loop().time(),
            deadline=arrived_at + DEADLINE_S,
            priority=plan.priority,
            repeatable=True,
            key=key,
            body_digest=body_digest(text.encode()),
        )
        task = asyncio.get_running_loop().create_task(box.handle(request, plan, sink))
        box.tasks.add(task)
        task.add_done_callback(box.tasks.discard)
        try:
            return request_id, await task
        except (asyncio.CancelledError, StoreError):
            return request_id, Refused(RefusalReason.STOPPING, 'connection lost', None)
