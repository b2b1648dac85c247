"""Run gateway boxes on virtual time, some of them partitioned from all replicas."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any, TypeVar, cast

from calicopath_clients.http1.connections import UNACKED_TIMEOUT_MS
from calicopath_clients.http1.connectors import (
    DirectConnector,
    FallbackConnector,
    connect_result,
)
from calicopath_clients.http1.pool import CONNECT_TIMEOUT_S
from calicopath_clients.http1.tunnels import TunnelUnavailable
from calicopath_core.backends.base import ConnectionBroken, NotStarted, ProbeResult
from calicopath_core.exchanges.messages import ReplicaAnswer
from calicopath_core.fleet.reachability import ConnectResult
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import RecordKind
from testkit.gateway import GatewayFleet
from testkit.gateway_callers import BoxReplicas, BoxStages
from testkit.gateway_world import FAILURE_DOMAINS, exchange
from testkit.partition import Partition

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from calicopath_clients.http1.connections import Connection
    from calicopath_core.exchanges.messages import OutboundRequest
    from calicopath_core.scheduling.interfaces import PieceCall, PieceResult, StageReport
    from testkit.gateway import FleetBox
    from testkit.gateway_replicas import FakeSink

T = TypeVar('T')

OPEN_S = 0.001
FORWARD_S = 0.002
HANG_S = 3600.0
ROUTES = ('letter', 'read', 'pay', 'draft')


class FakePath:
    """Stand for an open connection; `boxes` are those that its packets pass."""

    def __init__(self, *, boxes: tuple[str, ...]) -> None:
        self.boxes = boxes
        self.lost = asyncio.Event()
        self.error = ''

    def abort(self) -> None:
        """Close the connection."""
        self.lose('closed')

    def lose(self, error: str) -> None:
        """End the connection."""
        if not self.lost.is_set():
            self.error = error
            self.lost.set()

    async def guard(self, work: Coroutine[Any, Any, T]) -> T:
        """Return the result of some work; raise `ConnectionBroken` if the connection ends first."""
        task = asyncio.ensure_future(work)
        lost = asyncio.ensure_future(self.lost.wait())
        try:
            await asyncio.wait({task, lost}, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                raise ConnectionBroken(self.error)
            return task.result()
        finally:
            task.cancel()
            lost.cancel()


class ReplicaLinks:
    """Hold the partitions by box, and the open connections."""

    def __init__(self) -> None:
        self.partitions: dict[str, Partition] = {}
        self.paths: set[FakePath] = set()

    def cut(self, box: str, partition: Partition) -> None:
        """Partition a box from all replicas."""
        self.partitions[box] = partition
        loop = asyncio.get_running_loop()
        for path in [item for item in self.paths if item.boxes[-1] == box]:
            if partition is Partition.REFUSED:
                path.lose('reset')
            elif partition is Partition.HANGING:
                loop.call_later(UNACKED_TIMEOUT_MS / 1000, path.lose, 'timed out')

    def heal(self, box: str) -> None:
        """End the partition of a box."""
        self.partitions.pop(box, None)

    async def open(self, boxes: tuple[str, ...]) -> FakePath:
        """Open a connection over some boxes; the last one connects to the replica."""
        partition = self.partitions.get(boxes[-1])
        if partition is Partition.HANGING:
            await asyncio.sleep(HANG_S)
        await asyncio.sleep(OPEN_S)
        if partition is not None:
            raise ConnectionRefusedError(boxes[-1])
        path = FakePath(boxes=boxes)
        self.paths.add(path)
        return path


class LinkConnector(DirectConnector):
    """Open the connections of one box."""

    def __init__(self, *, links: ReplicaLinks, box: str) -> None:
        self.links = links
        self.box = box

    async def open(self, address: str) -> Connection:
        """Return a new connection from this box."""
        return cast('Connection', await self.links.open((self.box,)))


class LinkedBox:
    """Open paths for the calls of one box, as its pool does."""

    def __init__(self, *, links: ReplicaLinks, box: str) -> None:
        self.links = links
        self.connector: LinkConnector | FallbackConnector = LinkConnector(links=links, box=box)

    async def open(self, replica: Replica) -> FakePath:
        """Return a new path to a replica; raise `NotStarted`."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self.connector.open(replica.address)
        except OSError as error:
            raise NotStarted(f'{replica.address} cannot be reached: {error!r}') from error
        return cast('FakePath', connection)

    async def probe(self, replica: Replica) -> ProbeResult:
        """Return the result of a connection attempt."""
        try:
            path = await self.open(replica)
        except NotStarted as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return ProbeResult.REFUSED if is_refused else ProbeResult.SILENT
        self.links.paths.discard(path)
        return ProbeResult.OPEN


class LinkedAnswer(ReplicaAnswer):
    """Read an answer as long as its path stands."""

    def __init__(self, *, answer: ReplicaAnswer, path: FakePath, links: ReplicaLinks) -> None:
        self.answer = answer
        self.path = path
        self.links = links
        self.head = answer.head

    async def read(self) -> bytes | None:
        """Return the next bytes of the body."""
        return await self.path.guard(self.answer.read())

    def close(self) -> None:
        """Close the answer and its path."""
        self.links.paths.discard(self.path)
        self.answer.close()


class LinkedReplicas(BoxReplicas):
    """Call engines and plain services over paths that a partition ends."""

    linked: LinkedBox

    async def send(self, outbound: OutboundRequest) -> ReplicaAnswer:
        """Send a request and return its answer."""
        path = await self.linked.open(outbound.replica)
        answer = await path.guard(super().send(outbound))
        return LinkedAnswer(answer=answer, path=path, links=self.linked.links)

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return the result of a connection attempt."""
        return await self.linked.probe(replica)


class LinkedStages(BoxStages):
    """Call the replicas of stages over paths that a partition ends."""

    linked: LinkedBox

    async def over_path(self, replica: Replica, work: Callable[[], Coroutine[Any, Any, T]]) -> T:
        """Do some work over a path of its own."""
        path = await self.linked.open(replica)
        try:
            return await path.guard(work())
        finally:
            self.linked.links.paths.discard(path)

    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call."""
        return await self.over_path(replica, lambda: super(LinkedStages, self).run(replica, calls))

    async def report(self, replica: Replica) -> StageReport:
        """Return a replica's report."""
        return await self.over_path(replica, lambda: super(LinkedStages, self).report(replica))

    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Free results."""
        await self.over_path(replica, lambda: super(LinkedStages, self).free(replica, handles))

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return the result of a connection attempt."""
        return await self.linked.probe(replica)


class PartitionedFleet(GatewayFleet):
    """Run boxes whose paths to replicas can be cut; with `forwards`, boxes forward for others."""

    def __init__(self, *, count: int = 8, forwards: bool = True, replicas: int = 8) -> None:
        self.links = ReplicaLinks()
        self.forwards = forwards
        self.numbers = itertools.count(1)
        self.routes = itertools.cycle(ROUTES)
        super().__init__(count=count)
        for service in ('engine', 'desk', 'look', 'rank'):
            for number in range(2, replicas):
                name = f'{service}-{number}'
                domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
                entry = Replica(name, service, f'{name}:1', domain, 6, False)
                self.store.write(RecordKind.REPLICA, name, entry)

    def add_box(self, name: str, failure_domain: str) -> FleetBox:
        """Return a new box whose calls go over the links."""
        found = super().add_box(name, failure_domain)
        box = found.box
        linked = LinkedBox(links=self.links, box=name)
        replicas = LinkedReplicas(replicas=self.replicas, notices=self.notices, box=name)
        stages = LinkedStages(stages=self.stages, notices=self.notices, box=name)
        replicas.interceptor = stages.interceptor = box.gate
        stages.pace = box.pace
        replicas.linked = stages.linked = linked
        box.executor.context = box.executor.context._replace(replica_client=replicas)
        box.scheduler.stages.caller = stages
        box.scheduler.stages.call_monitor.caller = stages
        box.scheduler.stages.freeing.caller = stages
        if not self.forwards:
            box.forwarders.boxes = list
        linked.connector = FallbackConnector(
            direct=LinkConnector(links=self.links, box=name),
            reachability=box.reachability,
            forwarders=box.forwarders,
            tunnel=lambda forwarder, address: self.tunnel(name, forwarder, address),
        )
        return found

    async def tunnel(self, box: str, forwarder: str, address: str) -> Connection:
        """Connect through another box, as its forwarding server does."""
        name = forwarder.partition(':')[0]
        await asyncio.sleep(FORWARD_S)
        found = self.boxes.get(name)
        if found is None or not found.box.forwarding.may_forward(address):
            raise TunnelUnavailable(name)
        reachability = found.box.reachability
        try:
            async with asyncio.timeout(1.0):
                path = await self.links.open((box, name))
        except OSError as error:
            result = connect_result(error)
            reachability.on_connect(address, result)
            if result is ConnectResult.REFUSED:
                raise
            raise TunnelUnavailable(name) from error
        reachability.on_connect(address, ConnectResult.OPENED)
        return cast('Connection', path)

    def send_next(self, box: str) -> FakeSink:
        """Send a box the next request, on each route in turn; return its reply sink."""
        return self.send_to(box, next(self.routes))

    def send_to(self, box: str, route: str) -> FakeSink:
        """Send a box a request on a route; return its reply sink."""
        number = next(self.numbers)
        now = asyncio.get_running_loop().time()
        target = f'/{route}/{number}'
        return self.serve(box, exchange(number, route, now, target=target, path=target))

    async def load(self, gap_s: float, for_s: float) -> dict[str, list[FakeSink]]:
        """Send requests to the boxes in turn; return their reply sinks by box."""
        sinks: dict[str, list[FakeSink]] = {name: [] for name in self.boxes}
        names = itertools.cycle(sorted(self.boxes))
        for _ in range(round(for_s / gap_s)):
            name = next(names)
            sinks[name].append(self.send_next(name))
            await asyncio.sleep(gap_s)
        return sinks
