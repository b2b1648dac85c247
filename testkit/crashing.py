"""Stand for engines and plain services that a request ends as they begin to run it."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from calicopath_core.backends.base import ConnectionBroken, NotStarted, ProbeResult
from calicopath_core.fleet.store import RecordKind
from testkit.gateway_replicas import FakeBody, FakeReplicas, FakeStages, FakeStream

if TYPE_CHECKING:
    from calicopath_core.exchanges.messages import (
        AnswerHead,
        Exchange,
        OutboundRequest,
        ReplicaAnswer,
    )
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.interfaces import PieceCall, PieceResult
    from testkit.gateway_store import FakeStore

CRASH_AFTER_S = 0.1
"""How long a run lasts that ends its replica."""

REPLACED_AFTER_S = 3.5
"""When another replica stands at the address of one that has ended."""

ENTRY_EXPIRY_S = 3.6
"""When the entry of a replica that has ended lapses in the store: three heartbeats of 1.2 s."""

RESPONSE_HEAD_S = 0.01
PROBE_TIMEOUT_S = 0.3


class Arrival:
    """Note a request that reached a replica; times are the loop's."""

    def __init__(self, *, target: str, call_id: str, replica: str, at: float) -> None:
        self.target = target
        self.call_id = call_id
        self.replica = replica
        self.at = at


class CrashableBody(FakeBody):
    """Break as soon as its replica ends."""

    def __init__(self, *, head: AnswerHead, body: bytes, crashed: asyncio.Event) -> None:
        super().__init__(head=head, body=body)
        self.crashed = crashed

    async def read(self) -> bytes | None:
        """Return the body; raise `ConnectionBroken` if the replica has ended."""
        if self.crashed.is_set():
            raise ConnectionBroken('the connection was lost: None')
        return await super().read()


class CrashableStream(FakeStream):
    """Give events until the replica ends."""

    def __init__(
        self, *, engine: FakeReplicas, outbound: OutboundRequest, crashed: asyncio.Event, event_gap_s: float
    ) -> None:
        super().__init__(engine=engine, outbound=outbound, status=200, break_after=None)
        self.crashed = crashed
        self.event_gap_s = event_gap_s

    async def read(self) -> bytes | None:
        """Return the next event; raise `ConnectionBroken` as soon as the replica has ended."""
        try:
            async with asyncio.timeout(self.event_gap_s):
                await self.crashed.wait()
        except TimeoutError:
            return await super().read()
        raise ConnectionBroken('the connection was lost: None')


class CrashingReplicas(FakeReplicas):
    """Stand for replicas that end under certain requests, and come back under new identifiers.

    The port of one that ends closes `port_closes_s` after its connections; one that `ends_dark`
    says nothing any more.

    `crashing` holds the targets under which they end; `resetting` those whose connection is reset
    while their replica lives on. Whatever else runs at a replica that ends breaks with it.
    """

    def __init__(self, *, store: FakeStore, event_gap_s: float = 0.1) -> None:
        super().__init__()
        self.store = store
        self.event_gap_s = event_gap_s
        self.crashing_targets: set[str] = set()
        self.resetting_targets: set[str] = set()
        self.crashing_bodies: set[bytes] = set()
        self.arrivals: list[Arrival] = []
        self.crashes: list[Arrival] = []
        self.crash_events: dict[str, asyncio.Event] = {}
        self.crashed_at: dict[str, float] = {}
        self.port_close_delay_s = 0.0
        self.silent: set[str] = set()
        self.silent_after_crash = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.replacement_numbers = itertools.count(1)

    def crash_event(self, replica: Replica) -> asyncio.Event:
        """Return what tells that a replica has ended."""
        return self.crash_events.setdefault(replica.id, asyncio.Event())

    async def send(self, outbound: OutboundRequest) -> ReplicaAnswer:
        """Run a request; it may end its replica a moment later."""
        replica, exchange = outbound.replica, outbound.exchange
        ended = self.crash_event(replica)
        await asyncio.sleep(RESPONSE_HEAD_S)
        if ended.is_set():
            raise NotStarted(f'{replica.address} cannot be reached: connection refused')
        arrival = Arrival(
            target=exchange.target,
            call_id=exchange.call_id,
            replica=replica.id,
            at=asyncio.get_running_loop().time(),
        )
        self.arrivals.append(arrival)
        if exchange.target in self.resetting_targets:
            raise ConnectionBroken("the connection was lost: ConnectionResetError(104, 'reset')")
        if self.is_crashing_request(exchange):
            self.start_crash(replica, arrival)
        if replica.service == 'engine':
            self.running.add(exchange.call_id)
            return CrashableStream(engine=self, outbound=outbound, crashed=ended, event_gap_s=self.event_gap_s)
        answer = await super().send(outbound)
        await asyncio.sleep(2 * CRASH_AFTER_S if exchange.target in self.crashing_targets else 0)
        return CrashableBody(head=answer.head, body=exchange.call_id.encode(), crashed=ended)

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return what an attempt to connect shows, at the end of the watch."""
        await asyncio.sleep(RESPONSE_HEAD_S)
        if replica.id in self.silent:
            await asyncio.sleep(PROBE_TIMEOUT_S)
            return ProbeResult.SILENT
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + watch_s
        while not self.is_port_closed(replica) and loop.time() < ends_at:
            await asyncio.sleep(RESPONSE_HEAD_S)
        return ProbeResult.REFUSED if self.is_port_closed(replica) else ProbeResult.OPEN

    def is_port_closed(self, replica: Replica) -> bool:
        """Tell whether a replica's port is closed: it closes after the connections have."""
        at = self.crashed_at.get(replica.id)
        return at is not None and asyncio.get_running_loop().time() >= at + self.port_close_delay_s

    def is_crashing_request(self, exchange: Exchange) -> bool:
        """Tell whether a request ends the replicas that run it."""
        return exchange.target in self.crashing_targets or exchange.body in self.crashing_bodies

    def start_crash(self, replica: Replica, arrival: Arrival) -> None:
        """End a replica in a moment."""
        task = asyncio.get_running_loop().create_task(self.crash(replica, arrival))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def crash(self, replica: Replica, arrival: Arrival) -> None:
        """End a replica; another comes back at its address, and its entry lapses."""
        await asyncio.sleep(CRASH_AFTER_S)
        ended = self.crash_event(replica)
        if ended.is_set():
            return
        self.crashed_at[replica.id] = asyncio.get_running_loop().time()
        if self.silent_after_crash:
            self.silent.add(replica.id)
        ended.set()
        self.crashes.append(arrival)
        await asyncio.sleep(REPLACED_AFTER_S)
        name = f'{replica.service}-life-{next(self.replacement_numbers)}'
        self.store.write(RecordKind.REPLICA, name, replica._replace(id=name))
        await asyncio.sleep(ENTRY_EXPIRY_S - REPLACED_AFTER_S)
        self.store.write(RecordKind.REPLICA, replica.id, None)

    def crash_times(self, target: str) -> list[float]:
        """Return when replicas have ended under a request, in order."""
        return sorted(item.at + CRASH_AFTER_S for item in self.crashes if item.target == target)

    def count_arrivals_after(self, target: str, at: float) -> int:
        """Return how often a request has reached replicas later than some time."""
        return sum(item.target == target and item.at > at for item in self.arrivals)


class CrashingStages(FakeStages):
    """Stand for stages' replicas that end under the pieces of certain requests."""

    def __init__(self, *, replicas: CrashingReplicas) -> None:
        super().__init__()
        self.replicas = replicas
        self.crashing_targets: set[str] = set()

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return what an attempt to connect shows."""
        return await self.replicas.probe(replica, watch_s)

    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call; break with the replica."""
        ended = self.replicas.crash_event(replica)
        if ended.is_set():
            raise NotStarted(f'{replica.address} cannot be reached: connection refused')
        for call in calls:
            if call.piece_key in self.crashing_targets:
                now = asyncio.get_running_loop().time()
                arrival = Arrival(
                    target=call.piece_key, call_id=call.call_id, replica=replica.id, at=now
                )
                self.replicas.arrivals.append(arrival)
                self.replicas.start_crash(replica, arrival)
        answer = asyncio.ensure_future(super().run(replica, calls))
        broken = asyncio.ensure_future(ended.wait())
        await asyncio.wait({answer, broken}, return_when=asyncio.FIRST_COMPLETED)
        broken.cancel()
        if ended.is_set():
            answer.cancel()
            self.lose_results(replica.id)
            raise ConnectionBroken('the connection was lost: None')
        return answer.result()
