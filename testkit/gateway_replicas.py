"""Fake the replicas that gateway boxes call, and the sink of the reply to the caller."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.backends.base import (
    ConnectionLimitReached,
    MayHaveRun,
    NotStarted,
    ProbeResult,
)
from calicopath_core.exchanges.messages import (
    AnswerHead,
    ReplicaAnswer,
    ReplicaClient,
    ReplySink,
)
from calicopath_core.scheduling.interfaces import PieceCall, PieceResult, StageCaller, StageReport

if TYPE_CHECKING:
    from calicopath_core.exchanges.balancer import LoadReport
    from calicopath_core.exchanges.messages import Headers, OutboundRequest
    from calicopath_core.fleet.replicas import Replica
from testkit.gateway_world import EVENT_GAP_S, EVENTS, RESULT_BYTES, STAGE


class FakeStages(StageCaller):
    """Fake every stage replica; `faults` maps a replica's identifier to its fault."""

    def __init__(self) -> None:
        self.result_numbers = itertools.count(1)
        self.calls: list[tuple[str, list[PieceCall]]] = []
        self.live_results: dict[str, str] = {}
        self.faults: dict[str, str] = {}
        self.running_calls: dict[str, int] = {}
        self.max_running_calls = 0
        self.wrong_inputs = 0
        self.reports = 0
        self.freed_addresses: list[str] = []

    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call."""
        self.calls.append((replica.id, calls))
        fault = self.faults.get(replica.id)
        if fault == 'full':
            raise NotStarted('full')
        if fault == 'dead':
            raise MayHaveRun('reset')
        if fault == 'room':
            return [PieceResult(None, 'room') for _ in calls]
        self.running_calls[replica.id] = self.running_calls.get(replica.id, 0) + 1
        self.max_running_calls = max(self.max_running_calls, self.running_calls[replica.id])
        try:
            await asyncio.sleep(0.005)
            gone = [self.has_missing_input(call) for call in calls]
            slow = 4 if fault == 'slow' else 1
            await asyncio.sleep(slow * (STAGE.call_s + STAGE.piece_s * len(calls)))
        finally:
            self.running_calls[replica.id] -= 1
        if fault == 'mute':
            for _ in calls:
                self.new_result(replica.id)
            await asyncio.sleep(3600)
        return [
            PieceResult(None, 'gone') if lost else PieceResult(self.new_result(replica.id))
            for lost in gone
        ]

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return `OPEN`: the faults here break connections, the replicas keep running."""
        return ProbeResult.OPEN

    def has_missing_input(self, call: PieceCall) -> bool:
        """Tell whether an input is missing; count calls that lack all of their inputs."""
        if call.inputs is not None and not call.inputs:
            self.wrong_inputs += 1
        return any(handle not in self.live_results for handle in call.inputs or ())

    def new_result(self, replica: str) -> str:
        """Return a new result."""
        handle = f'{replica}/{next(self.result_numbers)}'
        self.live_results[handle] = replica
        return handle

    def lose_results(self, replica: str) -> None:
        """Drop every result of a crashed replica."""
        self.live_results = {
            handle: maker for handle, maker in self.live_results.items() if maker != replica
        }

    async def report(self, replica: Replica) -> StageReport:
        """Return the free result space and whether the replica is idle."""
        self.reports += 1
        held = sum(maker == replica.id for maker in self.live_results.values())
        free_bytes = max(0.0, STAGE.result_capacity_bytes - held * RESULT_BYTES)
        return StageReport(free_bytes, idle=not self.running_calls.get(replica.id, 0))

    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Free results."""
        self.freed_addresses.append(replica.address)
        for handle in handles:
            self.live_results.pop(handle, None)


class Pause(NamedTuple):
    """Describe a silence of a sound replica: the events before it, and its length in seconds."""

    after: int
    duration_s: float


NO_PAUSE = Pause(0, 0.0)


class FakeStream(ReplicaAnswer):
    """Stream events, and break after `break_after` of them (`None`: never).

    It ends, as a whole one does, after `end_after` events if that is set. The stream falls silent
    for the `pause` and goes on.
    """

    def __init__(
        self,
        *,
        engine: FakeReplicas,
        outbound: OutboundRequest,
        status: int,
        break_after: int | None,
        pause: Pause = NO_PAUSE,
        end_after: int | None = None,
    ) -> None:
        self.pause = pause
        self.end_after = end_after
        self.ends_with_connection = engine.are_streams_unframed
        self.engine = engine
        self.outbound = outbound
        self.next_id = int(outbound.last_event_id or 0) + 1
        self.break_after = break_after
        self.sent = 0
        self.due_at: float | None = None
        self.closed = False
        load = engine.loads.get(outbound.replica.id)
        self.head = AnswerHead(status, (('X-Replica', outbound.replica.id),), False, load)

    async def read(self) -> bytes | None:
        """Return the next event."""
        await self.wait_until_due()
        if self.closed:
            raise MayHaveRun('the connection was closed')
        if self.break_after is not None and self.sent >= self.break_after:
            if self.break_after == HANGS_BEFORE_EVENTS:
                await asyncio.sleep(3600)
            raise MayHaveRun('broken')
        if self.next_id > EVENTS or self.sent == self.end_after:
            self.engine.running.discard(self.outbound.exchange.call_id)
            return None
        version = self.outbound.replica.version
        data = f'id: {self.next_id}\ndata: t{self.next_id} {version}\n\n'.encode()
        self.next_id += 1
        self.sent += 1
        return data

    async def sender_runs(self, watch_s: float) -> bool | None:
        """Return whether the engine's port is open after its answer."""
        return await self.engine.probe(self.outbound.replica, watch_s) is ProbeResult.OPEN

    async def wait_until_due(self) -> None:
        """Wait until the next event is due; a wait that is cancelled goes on with the next read."""
        now = asyncio.get_running_loop().time()
        if self.due_at is None:
            pause_s = self.pause.duration_s if self.sent == self.pause.after else 0.0
            self.due_at = now + self.engine.stream_gap_s + pause_s
        await asyncio.sleep(self.due_at - now)
        self.due_at = None

    def close(self) -> None:
        """Close the stream and stop its run."""
        self.closed = True
        self.engine.running.discard(self.outbound.exchange.call_id)


BUSY_S = 1.0
"""Additional time to the first event of an engine with the fault `busy`."""

ANY_REPLICA = '*'
"""Key of the faults that apply to whichever replica is called next."""

HANGS_BEFORE_EVENTS = 0
"""Value of `break_after` with which a stream hangs before its first event."""


class FakeBody(ReplicaAnswer):
    """Return a whole body at once."""

    def __init__(self, *, head: AnswerHead, body: bytes | None) -> None:
        self.head = head
        self.body = body

    async def read(self) -> bytes | None:
        """Return the body, then `None`."""
        body, self.body = self.body, None
        return body

    def close(self) -> None:
        """Do nothing: there is no connection."""


class FakeReplicas(ReplicaClient):
    """Fake engines and plain services; `faults` lists the faults of a replica, call by call.

    `loads` holds the load that a replica reports.
    """

    def __init__(self) -> None:
        self.sent: list[OutboundRequest] = []
        self.faults: dict[str, list[str]] = {}
        self.runs: dict[str, int] = {}
        self.are_streams_unframed = False
        self.closed_ports: set[str] = set()
        self.running: set[str] = set()
        self.loads: dict[str, LoadReport] = {}
        self.stream_gap_s = EVENT_GAP_S

    async def send(self, outbound: OutboundRequest) -> ReplicaAnswer:
        """Respond with the replica's next fault, if any."""
        self.sent.append(outbound)
        await asyncio.sleep(0.01)
        waiting = self.faults.get(ANY_REPLICA) or self.faults.get(outbound.replica.id, [])
        fault = waiting.pop(0) if waiting else 'none'
        if fault == 'refused':
            raise NotStarted('refused')
        if fault == 'own-limit':
            raise ConnectionLimitReached('too many connections from this box')
        call_id = outbound.exchange.call_id
        if fault == 'declined':
            load = self.loads.get(outbound.replica.id)
            return FakeBody(head=AnswerHead(503, (), True, load), body=b'')
        self.runs[call_id] = self.runs.get(call_id, 0) + 1
        if fault == 'reset':
            raise MayHaveRun('reset')
        if fault == 'dark':
            await asyncio.sleep(3600)
        if fault == 'busy':
            await asyncio.sleep(BUSY_S)
        if fault.startswith('late:'):
            await asyncio.sleep(float(fault.partition(':')[2]))
        if fault == 'error':
            return FakeBody(head=AnswerHead(500, (), False, None), body=b'no')
        if outbound.replica.service == 'engine':
            self.running.add(call_id)
            after = int(fault.partition(':')[2]) if fault.startswith('break') else None
            return FakeStream(
                engine=self,
                outbound=outbound,
                status=200,
                break_after=after,
                pause=pause_of(fault),
                end_after=int(fault.partition(':')[2]) if fault.startswith('end:') else None,
            )
        load = self.loads.get(outbound.replica.id)
        return FakeBody(head=AnswerHead(200, (), False, load), body=call_id.encode())

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return `OPEN` unless the port is closed: the faults here only break connections."""
        await asyncio.sleep(0.001)
        return ProbeResult.REFUSED if replica.id in self.closed_ports else ProbeResult.OPEN


def pause_of(fault: str) -> Pause:
    """Return the silence that a fault `pause:EVENTS:SECONDS` describes, none for other faults."""
    name, _, values = fault.partition(':')
    if name != 'pause':
        return NO_PAUSE
    after, _, duration_s = values.partition(':')
    return Pause(int(after), float(duration_s))


class FakeSink(ReplySink):
    """Record the reply to a caller."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b''
        self.state = 'open'
        self.reason = ''
        self.retry_after_s: float | None = None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Record a whole response."""
        self.status, self.body, self.state = status, body, 'whole'

    def begin(self, status: int, headers: Headers) -> None:
        """Record the status."""
        self.status = status

    async def send(self, data: bytes) -> None:
        """Append data to the body."""
        self.body += data

    def finish(self) -> None:
        """Record that the response is complete."""
        self.state = 'whole'

    def abort(self) -> None:
        """Record that an unfinished response was aborted."""
        if self.state == 'open':
            self.state = 'cut'

    def refuse(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Record a refusal by the box itself."""
        self.status, self.reason, self.state = status, reason, 'refused'
        self.retry_after_s = retry_after_s

    @property
    def event_ids(self) -> list[int]:
        """Return the identifiers of the received events."""
        lines = self.body.decode().splitlines()
        return [int(line[3:]) for line in lines if line.startswith('id:')]

    @property
    def versions(self) -> list[str]:
        """Return the version of the replica that sent each of the received events."""
        lines = self.body.decode().splitlines()
        return [line.split(' ')[2] for line in lines if line.startswith('data:')]
