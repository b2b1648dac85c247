"""Fake engines, plain services and stage replicas that crash while they run certain requests."""

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
"""Time from the start of a crashing run to the crash."""

REPLACED_AFTER_S = 3.5
"""Time from a crash until a new replica serves the same address."""

ENTRY_EXPIRY_S = 3.6
"""Time from a crash until the replica's entry in the store expires: three heartbeats of 1.2 s."""

RESPONSE_HEAD_S = 0.01
PROBE_TIMEOUT_S = 0.3


class Arrival:
    """Record a request that reached a replica, at a time of the event loop in seconds."""

    def __init__(self, *, target: str, call_id: str, replica: str, at: float) -> None:
        self.target = target
        self.call_id = call_id
        self.replica = replica
        self.at = at


class CrashableBody(FakeBody):
    """Return a body, unless its replica has crashed."""

    def __init__(self, *, head: AnswerHead, body: bytes, crashed: asyncio.Event) -> None:
        super().__init__(head=head, body=body)
        self.crashed = crashed

    async def read(self) -> bytes | None:
        """Return the body; raise `ConnectionBroken` if the replica has crashed."""
        if self.crashed.is_set():
            raise ConnectionBroken('the connection was lost: None')
        return await super().read()


class CrashableStream(FakeStream):
    """Stream events until the replica crashes; `is_fatal` if it does before the first one.

    An unframed stream has neither a length nor chunks, so that a crash looks like its end.
    """

    def __init__(
        self,
        *,
        engine: FakeReplicas,
        outbound: OutboundRequest,
        crashed: asyncio.Event,
        event_gap_s: float,
        is_fatal: bool = False,
        is_unframed: bool = False,
    ) -> None:
        super().__init__(engine=engine, outbound=outbound, status=200, break_after=None)
        self.is_fatal = is_fatal
        self.is_unframed = is_unframed
        self.crashed = crashed
        self.event_gap_s = event_gap_s
        self.ends_with_connection = self.is_unframed

    async def read(self) -> bytes | None:
        """Return the next event; raise `ConnectionBroken` as soon as the replica crashes."""
        try:
            async with asyncio.timeout(None if self.is_fatal else self.event_gap_s):
                await self.crashed.wait()
        except TimeoutError:
            return await super().read()
        if self.is_unframed and self.sent:
            return None
        raise ConnectionBroken('the connection was lost: None')


class CrashingReplicas(FakeReplicas):
    """Fake replicas that crash during certain requests and are replaced under new identifiers.

    Requests for `crashing_targets`, or with one of `crashing_parts` in their prompts, crash their
    replica as it begins to write the answer, and with it every other run there. For
    `resetting_targets` only the connection is reset and the replica keeps running. The port of a
    crashed replica closes `port_close_delay_s` after its connections; with `silent_after_crash`
    it does not respond at all.
    """

    def __init__(self, *, store: FakeStore, event_gap_s: float = 0.1) -> None:
        super().__init__()
        self.store = store
        self.event_gap_s = event_gap_s
        self.crashing_targets: set[str] = set()
        self.resetting_targets: set[str] = set()
        self.crashing_bodies: set[bytes] = set()
        self.crashing_parts: set[str] = set()
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
        """Return the event that is set when a replica crashes."""
        return self.crash_events.setdefault(replica.id, asyncio.Event())

    async def send(self, outbound: OutboundRequest) -> ReplicaAnswer:
        """Run a request, which may crash its replica after `CRASH_AFTER_S`."""
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
            return CrashableStream(
                engine=self,
                outbound=outbound,
                crashed=ended,
                event_gap_s=self.event_gap_s,
                is_fatal=self.has_crashing_part(exchange),
                is_unframed=self.are_streams_unframed,
            )
        answer = await super().send(outbound)
        await asyncio.sleep(2 * CRASH_AFTER_S if exchange.target in self.crashing_targets else 0)
        return CrashableBody(head=answer.head, body=exchange.call_id.encode(), crashed=ended)

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return the result of connection attempts over `watch_s` seconds."""
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
        """Tell whether a replica's port is closed, `port_close_delay_s` after the crash."""
        at = self.crashed_at.get(replica.id)
        return at is not None and asyncio.get_running_loop().time() >= at + self.port_close_delay_s

    def is_crashing_request(self, exchange: Exchange) -> bool:
        """Tell whether a request crashes the replicas that run it."""
        if exchange.target in self.crashing_targets or exchange.body in self.crashing_bodies:
            return True
        return self.has_crashing_part(exchange)

    def has_crashing_part(self, exchange: Exchange) -> bool:
        """Tell whether a request's prompt has a part that crashes engines."""
        parts = exchange.prompt.parts if exchange.prompt is not None else ()
        return any(part.id in self.crashing_parts for part in parts)

    def start_crash(self, replica: Replica, arrival: Arrival) -> None:
        """Crash a replica in the background."""
        task = asyncio.get_running_loop().create_task(self.crash(replica, arrival))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def crash(self, replica: Replica, arrival: Arrival) -> None:
        """Crash a replica, register a replacement at its address, and expire the old entry."""
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
        """Return the times of the crashes during requests for a target, in order."""
        return sorted(item.at + CRASH_AFTER_S for item in self.crashes if item.target == target)

    def count_arrivals_after(self, target: str, at: float) -> int:
        """Count the requests for a target that reached replicas after a time."""
        return sum(item.target == target and item.at > at for item in self.arrivals)


class CrashingStages(FakeStages):
    """Fake stage replicas that crash while they run certain pieces."""

    def __init__(self, *, replicas: CrashingReplicas) -> None:
        super().__init__()
        self.replicas = replicas
        self.crashing_targets: set[str] = set()

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return the result of a connection attempt."""
        return await self.replicas.probe(replica, watch_s)

    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Run a call; raise `ConnectionBroken` if the replica crashes meanwhile."""
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
