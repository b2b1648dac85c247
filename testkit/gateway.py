"""Run gateway boxes in one virtual loop, before replicas and a store that are fakes."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from calicopath_core.backends.base import MayHaveRun, NotStarted
from calicopath_core.exchanges.budget import BudgetTerms
from calicopath_core.exchanges.messages import (
    AnswerHead,
    Exchange,
    ReplicaAnswer,
    ReplicaCaller,
    ReplySink,
)
from calicopath_core.fleet.deployment import (
    Deployment,
    EngineSpec,
    Phase,
    Route,
    RouteKind,
    ServiceSpec,
    StageSpec,
    Tenant,
    WeightedService,
)
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import (
    Change,
    Changes,
    FleetStore,
    FleetStoreError,
    HistoryLost,
    Listing,
    Record,
    RecordKind,
)
from calicopath_core.scheduling.interfaces import PieceCall, PieceResult, StageCaller
from calicopath_core.scheduling.messages import Prompt, PromptPart
from calicopathd.gateway.box import GatewayBox
from calicopathd.gateway.metrics import GatewayMetrics
from calicopathd.gateway.observer import GatewayObserver
from calicopathd.gateway.settings import GatewaySettings, HostPort
from testkit.fake_network import FakeNetwork, FakeTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.exchanges.messages import Headers, Outbound
    from calicopath_core.scheduling.election import BoxAddress

ZONES = ('north', 'south')
HOST = 'example.test'
KEY = 'key-1'
TERMS = BudgetTerms(0.2, 50.0, 10.0)
STAGE = StageSpec(
    concurrency=1, batch=4, call_s=0.2, piece_s=0.04, room_bytes=9_000_000, result_ttl_s=4.0
)
RESULT_BYTES = 1_000_000
EVENTS = 6
EVENT_GAP_S = 0.02


def route(name: str, kind: RouteKind, service: str, **changes: Any) -> Route:
    """Return a route of the test deployment."""
    fields: dict[str, Any] = {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_s': 8.0,
        'objective_s': 2.0,
        'priority': 0,
        'services': (WeightedService(service, 1.0),),
        'max_attempts': 2,
        'phases': (),
        'anonymous': False,
        'resumable': kind is RouteKind.STREAMING,
    }
    return Route(**(fields | changes))


def deployment(version: int = 1, **changes: Any) -> Deployment:
    """Return a deployment with a stream behind two stages, and a safe and an unsafe route."""
    fields: dict[str, Any] = {
        'version': version,
        'routes': (
            route(
                'draft',
                RouteKind.STREAMING,
                'engine',
                phases=(Phase('look', (), RESULT_BYTES), Phase('rank', (0,), RESULT_BYTES)),
            ),
            route('letter', RouteKind.STREAMING, 'engine', resumable=False),
            route('read', RouteKind.SAFE, 'desk', timeout_s=1.0),
            route('pay', RouteKind.UNSAFE, 'desk', timeout_s=1.0, max_attempts=1),
        ),
        'services': (
            ServiceSpec('engine', '/healthz', 100, None, EngineSpec(128, 250_000)),
            ServiceSpec('look', '/healthz', 100, STAGE, None),
            ServiceSpec('rank', '/healthz', 100, STAGE, None),
            ServiceSpec('desk', '/healthz', 100, None, None),
        ),
        'tenants': (Tenant('hire', (KEY,), None),),
    }
    return Deployment(**(fields | changes))


def replicas() -> list[Replica]:
    """Return the replicas of the test deployment: one of each service in each zone."""
    return [
        Replica(f'{service}-{zone}', service, f'{service}-{zone}:1', zone, 6, False)
        for service in ('engine', 'look', 'rank', 'desk')
        for zone in ZONES
    ]


def exchange(number: int, route_name: str, now: float, **changes: Any) -> Exchange:
    """Return a request on a route."""
    staged = route_name == 'draft'
    fields: dict[str, Any] = {
        'call_id': f'call-{number}',
        'method': 'POST',
        'target': f'/{route_name}/x',
        'path': f'/{route_name}/x',
        'host': HOST,
        'headers': (),
        'body': b'',
        'received_at': now,
        'deadline_s': 8.0,
        'key': KEY,
        'last_event_id': None,
        'prompt': Prompt('m', (PromptPart(f'p{number}', 500),), 500, EVENTS),
        'piece_counts': (2, 1) if staged else (),
        'piece_key': f'key-{number}',
    }
    return Exchange(**(fields | changes))


class FakeStore:
    """Hold the platform's records; every change raises one revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[RecordKind, dict[str, Record]] = {kind: {} for kind in RecordKind}
        self.log: list[tuple[int, RecordKind, Change]] = []
        self.forgotten = 0
        self.changed = asyncio.Event()

    def write(self, kind: RecordKind, name: str, record: Record | None) -> None:
        """Change one record."""
        self.revision += 1
        if record is None:
            self.records[kind].pop(name, None)
        else:
            self.records[kind][name] = record
        self.log.append((self.revision, kind, Change(name, record)))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def forget_history(self) -> None:
        """Lose what has changed so far."""
        self.forgotten = self.revision


class FakeStoreClient(FleetStore):
    """Give one box the store; `cut` keeps it away."""

    def __init__(self, *, store: FakeStore) -> None:
        self.store = store
        self.cut = False
        self.calls = 0

    def check(self) -> None:
        """Count a call, and fail it if the box is cut off."""
        self.calls += 1
        if self.cut:
            raise FleetStoreError('cut off')

    async def list(self, kind: RecordKind) -> Listing:
        """Return every record."""
        await asyncio.sleep(0.004)
        self.check()
        return Listing(dict(self.store.records[kind]), self.store.revision)

    async def watch(self, kind: RecordKind, revision: int, wait_s: float) -> Changes:
        """Return what has changed."""
        self.check()
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            if revision < self.store.forgotten:
                raise HistoryLost(kind.value)
            found = [item for at, of, item in self.store.log if at > revision and of is kind]
            left_s = ends_at - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                self.check()
                return Changes(tuple(found), self.store.revision)
            try:
                async with asyncio.timeout(left_s):
                    await self.store.changed.wait()
            except TimeoutError:
                continue

    async def register(self, box: BoxAddress) -> None:
        """Write the box's record."""
        self.check()
        record = box._replace(order=self.store.revision + 1)
        self.store.write(RecordKind.BOX, box.name, record)

    async def withdraw(self, box: BoxAddress) -> None:
        """Remove the box's record."""
        self.check()
        self.store.write(RecordKind.BOX, box.name, None)


class FakeStages(StageCaller):
    """Stand for every replica of stages; `broken` maps a replica to what it does instead."""

    def __init__(self) -> None:
        self.numbers = itertools.count(1)
        self.calls: list[tuple[str, list[PieceCall]]] = []
        self.live: dict[str, str] = {}
        self.broken: dict[str, str] = {}
        self.at_work: dict[str, int] = {}
        self.most_at_work = 0
        self.wrong_inputs = 0

    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call."""
        self.calls.append((replica.id, calls))
        fault = self.broken.get(replica.id)
        if fault == 'full':
            raise NotStarted('full')
        if fault == 'dead':
            raise MayHaveRun('reset')
        if fault == 'room':
            return [PieceResult(None, 'room') for _ in calls]
        self.at_work[replica.id] = self.at_work.get(replica.id, 0) + 1
        self.most_at_work = max(self.most_at_work, self.at_work[replica.id])
        try:
            await asyncio.sleep(0.005)
            gone = [self.missing(call) for call in calls]
            slow = 4 if fault == 'slow' else 1
            await asyncio.sleep(slow * (STAGE.call_s + STAGE.piece_s * len(calls)))
        finally:
            self.at_work[replica.id] -= 1
        return [
            PieceResult(None, 'gone') if lost else PieceResult(self.make(replica.id))
            for lost in gone
        ]

    def missing(self, call: PieceCall) -> bool:
        """Tell whether an input is gone; none at all where some are due is a fault."""
        if call.inputs is not None and not call.inputs:
            self.wrong_inputs += 1
        return any(handle not in self.live for handle in call.inputs or ())

    def make(self, replica: str) -> str:
        """Return a new result."""
        handle = f'{replica}/{next(self.numbers)}'
        self.live[handle] = replica
        return handle

    def lose(self, replica: str) -> None:
        """Lose every result of a replica that died."""
        self.live = {handle: maker for handle, maker in self.live.items() if maker != replica}

    async def free_bytes(self, replica: Replica) -> float:
        """Return the room that is left."""
        held = sum(maker == replica.id for maker in self.live.values())
        return max(0.0, STAGE.room_bytes - held * RESULT_BYTES)

    async def free(self, address: str, handles: list[str]) -> None:
        """Give results up."""
        for handle in handles:
            self.live.pop(handle, None)


class FakeStream(ReplicaAnswer):
    """Give events, and break after `break_after` of them."""

    def __init__(
        self, *, engine: FakeReplicas, outbound: Outbound, status: int, break_after: int | None
    ) -> None:
        self.engine = engine
        self.outbound = outbound
        self.next_id = int(outbound.last_event_id or 0) + 1
        self.break_after = break_after
        self.sent = 0
        self.closed = False
        self.head = AnswerHead(status, (('X-Replica', outbound.replica.id),), False, None)

    async def read(self) -> bytes | None:
        """Return the next event."""
        await asyncio.sleep(EVENT_GAP_S)
        if self.break_after is not None and self.sent >= self.break_after:
            if self.break_after == HANG:
                await asyncio.sleep(3600)
            raise MayHaveRun('broken')
        if self.next_id > EVENTS:
            self.engine.running.discard(self.outbound.exchange.call_id)
            return None
        data = f'id: {self.next_id}\ndata: t{self.next_id}\n\n'.encode()
        self.next_id += 1
        self.sent += 1
        return data

    def close(self) -> None:
        """Stop the run."""
        self.closed = True
        self.engine.running.discard(self.outbound.exchange.call_id)


ANY = '*'
"""Names the faults of whichever replica is called next."""

HANG = 0
"""A stream that breaks after no event hangs instead."""


class FakeBody(ReplicaAnswer):
    """Give a whole body."""

    def __init__(self, *, head: AnswerHead, body: bytes | None) -> None:
        self.head = head
        self.body = body

    async def read(self) -> bytes | None:
        """Return the body, then nothing."""
        body, self.body = self.body, None
        return body

    def close(self) -> None:
        """Do nothing: there is no connection."""


class FakeReplicas(ReplicaCaller):
    """Stand for engines and plain services; `faults` holds what a replica does, call by call."""

    def __init__(self) -> None:
        self.sent: list[Outbound] = []
        self.faults: dict[str, list[str]] = {}
        self.runs: dict[str, int] = {}
        self.running: set[str] = set()

    async def send(self, outbound: Outbound) -> ReplicaAnswer:
        """Answer as the replica's next fault says."""
        self.sent.append(outbound)
        await asyncio.sleep(0.01)
        waiting = self.faults.get(ANY) or self.faults.get(outbound.replica.id, [])
        fault = waiting.pop(0) if waiting else 'none'
        if fault == 'refused':
            raise NotStarted('refused')
        call_id = outbound.exchange.call_id
        if fault == 'declined':
            return FakeBody(head=AnswerHead(503, (), True, None), body=b'')
        self.runs[call_id] = self.runs.get(call_id, 0) + 1
        if fault == 'reset':
            raise MayHaveRun('reset')
        if fault == 'dark':
            await asyncio.sleep(3600)
        if fault == 'error':
            return FakeBody(head=AnswerHead(500, (), False, None), body=b'no')
        if outbound.replica.service == 'engine':
            self.running.add(call_id)
            after = int(fault.partition(':')[2]) if fault.startswith('break') else None
            return FakeStream(engine=self, outbound=outbound, status=200, break_after=after)
        return FakeBody(head=AnswerHead(200, (), False, None), body=call_id.encode())


class FakeSink(ReplySink):
    """Keep what a caller gets."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b''
        self.state = 'open'
        self.reason = ''
        self.retry_after_s: float | None = None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Keep a whole answer."""
        self.status, self.body, self.state = status, body, 'whole'

    def begin(self, status: int, headers: Headers) -> None:
        """Keep a head."""
        self.status = status

    async def send(self, data: bytes) -> None:
        """Keep some of a body."""
        self.body += data

    def finish(self) -> None:
        """Note the end."""
        self.state = 'whole'

    def cut(self) -> None:
        """Note a cut."""
        if self.state == 'open':
            self.state = 'cut'

    def refuse(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Keep an answer of the box's own."""
        self.status, self.reason, self.state = status, reason, 'refused'
        self.retry_after_s = retry_after_s

    @property
    def event_ids(self) -> list[int]:
        """Return the identifiers of the events that came."""
        lines = self.body.decode().splitlines()
        return [int(line[3:]) for line in lines if line.startswith('id:')]


class FleetBox:
    """Hold one box and its tasks."""

    def __init__(self, *, box: GatewayBox, store: FakeStoreClient) -> None:
        self.box = box
        self.store = store
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start what the runner starts, but for servers."""
        box = self.box
        await box.store.register(box.own)
        work: list[Callable[[], Any]] = [box.link.run, box.scheduler.run, box.client.run]
        work.extend(feed.run for feed in box.feeds)
        self.tasks = [asyncio.create_task(item()) for item in work]

    def kill(self) -> None:
        """End everything at once, as a kill does."""
        for task in [*self.tasks, *self.box.scheduler.stages.tasks]:
            task.cancel()


class GatewayFleet:
    """Hold boxes, store, network and replicas."""

    def __init__(self, *, count: int = 4, seed: int = 1) -> None:
        self.store = FakeStore()
        self.network = FakeNetwork(seed=seed)
        self.stages = FakeStages()
        self.replicas = FakeReplicas()
        self.boxes: dict[str, FleetBox] = {}
        self.served: list[asyncio.Task[None]] = []
        self.store.write(RecordKind.DEPLOYMENT, 'main', deployment())
        for replica in replicas():
            self.store.write(RecordKind.REPLICA, replica.id, replica)
        for number in range(count):
            self.add(f'box-{number}', ZONES[number % len(ZONES)])

    def add(self, name: str, zone: str) -> FleetBox:
        """Return a new box, not started."""
        client = FakeStoreClient(store=self.store)
        box = GatewayBox(
            settings=settings(name, zone),
            store=client,
            transport=FakeTransport(network=self.network, address=f'{name}:7'),
            exchanges=self.replicas,
            stages=self.stages,
            observer=GatewayObserver(metrics=GatewayMetrics(box=name)),
            seed=1,
        )
        self.boxes[name] = FleetBox(box=box, store=client)
        return self.boxes[name]

    async def start(self) -> None:
        """Start every box and let them hear each other."""
        for box in self.boxes.values():
            await box.start()
        await asyncio.sleep(2.0)

    def kill(self, name: str) -> None:
        """Kill a box; nobody hears it any more."""
        self.boxes.pop(name).kill()
        self.network.handlers.pop(f'{name}:7', None)

    def schedulers(self) -> set[str]:
        """Return the addresses that boxes take for the scheduler."""
        return {box.box.client.target for box in self.boxes.values()}

    def serve(self, name: str, request: Exchange) -> FakeSink:
        """Have a box serve a request; return where its answer goes."""
        sink = FakeSink()
        task = asyncio.create_task(self.boxes[name].box.executor.serve(request, sink))
        self.served.append(task)
        return sink

    async def settle(self, limit_s: float = 20.0) -> None:
        """Wait until every request has its answer."""
        async with asyncio.timeout(limit_s):
            await asyncio.gather(*self.served, return_exceptions=True)

    async def stop(self) -> None:
        """Stop every box."""
        for box in self.boxes.values():
            box.kill()
        await asyncio.sleep(0)


def settings(name: str, zone: str) -> GatewaySettings:
    """Return a box's settings."""
    nowhere = HostPort('127.0.0.1', 0)
    return GatewaySettings(
        box=name,
        ip='127.0.0.1',
        failure_domain=zone,
        exchange_listen=nowhere,
        ready_listen=nowhere,
        peer_listen=HostPort(name, 7),
        metrics_listen=nowhere,
        store=nowhere,
        drain_s=2.0,
        stop_grace_s=8.0,
        retry_budget=TERMS,
    )
