"""Fake endpoints in memory, on the event loop's time, with faults per call."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import heapq
import itertools
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, Any, NamedTuple

from calicopath_core.backends.base import (
    Backends,
    ConnectionBroken,
    Declined,
    EndpointProber,
    Engine,
    MayHaveRun,
    NotStarted,
    PlainService,
    ProbeResult,
    StagePool,
    WrongAnswer,
)
from calicopath_core.structure.calls import (
    GenerationCall,
    GenerationEnd,
    StageCall,
    StageOutput,
    Token,
)
from calicopath_core.structure.stages import StageKind
from standins.engine import answer_tokens
from standins.stagepool import STAGE_FUNCTIONS
from testkit.fake_store import Gate

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from calicopath_core.structure.endpoints import Endpoint

HANG_S = 3600.0
PAUSE_S = 0.9
"""Length of the silence of an endpoint that goes on."""

CRASH_AFTER_S = 0.03
RESTART_AFTER_S = 1.0
"""Time until a crashing call crashes its endpoint, and from the crash until the restart."""


class Fault(enum.Enum):
    """Name a fault of one call."""

    REFUSED = 'connection refused'
    DECLINED = 'endpoint says that it is full'
    RESET_BEFORE = 'connection lost before the call ran'
    RESET_AFTER = 'connection lost after the call ran'
    HANG = 'no answer after the call ran'
    PAUSE = 'silent for a moment, then goes on'
    WRONG_IDENTITY = "answer with another call's identity"
    CUT = 'stream ends half-way'
    GAP = 'stream leaves a token out'
    REPEAT = 'stream sends a token twice'
    SHORT = 'stream says that it is whole too early'


class Timing(NamedTuple):
    """Hold an endpoint's service times in seconds.

    An engine spends `prefill_s` more on a prompt prefix that is not among its `cached_prefixes`
    most recently used ones.
    """

    service_s: float = 0.01
    first_token_s: float = 0.05
    token_s: float = 0.004
    batch_slowdown: float = 0.0
    prefill_s: float = 0.0
    cached_prefixes: int = 8


class FakeEndpoint:
    """Serve a limited number of calls at once, queue the rest by priority, and count runs."""

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        timing: Timing = Timing(),  # noqa: B008 - a tuple of constants
        queue_limit: int = 1_000_000,
    ) -> None:
        self.endpoint = endpoint
        self.timing = timing
        self.queue_limit = queue_limit
        self.running = 0
        self.waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.numbers = itertools.count()
        self.fault: Callable[[str], Fault | None] = lambda call: None
        self.down = False
        self.crashing_texts: set[str] = set()
        self.crashing_documents: set[str] = set()
        self.crash_ends_streams = False
        self.crash_times: list[float] = []
        self.crashed = asyncio.Event()
        self.speed = 1.0
        self.started: list[str] = []
        self.offsets: list[int] = []
        self.run_counts: Counter[str] = Counter()
        self.busy_s = 0.0
        self.busy_by_request: Counter[str] = Counter()
        self.prefixes: OrderedDict[str, None] = OrderedDict()

    async def acquire_slot(self, call: str, priority: int) -> None:
        """Take a slot, or wait for one; raise `NotStarted` or `Declined` if the call is refused."""
        if self.down:
            raise NotStarted('connection refused')
        if len(self.waiting) >= self.queue_limit:
            raise Declined('queue full', turned_away=True, retry_after_s=0.2)
        if self.running >= self.endpoint.concurrency:
            future = asyncio.get_running_loop().create_future()
            entry = (-priority, next(self.numbers), future)
            heapq.heappush(self.waiting, entry)
            try:
                await future
            except asyncio.CancelledError:
                if future.done() and not future.cancelled():
                    self.release_slot()
                raise
        else:
            self.running += 1
        self.started.append(call)

    async def run(self, call: StageCall | GenerationCall, seconds: float) -> None:
        """Spend a call's time; raise `ConnectionBroken` if the endpoint crashes meanwhile.

        A call with one of the `crashing_texts` or `crashing_documents` crashes the endpoint and
        breaks all its calls. With
        `crash_ends_streams` an engine's streams just stop, as in a response that is delimited by
        the end of its connection.
        """
        loop = asyncio.get_running_loop()
        documents = self.crashing_documents.intersection(call.input.get('documents', []))
        if (call.input['text'] in self.crashing_texts or documents) and not self.down:
            loop.call_later(CRASH_AFTER_S, self.crash)
            seconds = max(seconds, 2 * CRASH_AFTER_S)
        ended = asyncio.ensure_future(self.crashed.wait())
        done, _ = await asyncio.wait({ended}, timeout=seconds)
        ended.cancel()
        if done:
            raise ConnectionBroken('connection lost')

    def crash(self) -> None:
        """Crash the endpoint; it restarts after `RESTART_AFTER_S`."""
        if self.down:
            return
        loop = asyncio.get_running_loop()
        self.down = True
        self.crash_times.append(loop.time())
        self.crashed.set()
        loop.call_later(RESTART_AFTER_S, self.restart)

    def restart(self) -> None:
        """Accept calls again."""
        self.down = False
        self.crashed = asyncio.Event()

    def release_slot(self) -> None:
        """Give the slot to the next waiting call."""
        while self.waiting:
            future = heapq.heappop(self.waiting)[2]
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1

    @contextlib.asynccontextmanager
    async def hold_slot(self, call: str, priority: int) -> AsyncIterator[None]:
        """Hold a slot while a call runs, and add up the busy time."""
        await self.acquire_slot(call, priority)
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            yield
        finally:
            busy_s = loop.time() - began
            self.busy_s += busy_s
            self.busy_by_request[call.split('/')[0]] += busy_s  # type: ignore[assignment]
            self.release_slot()

    def prefill(self, params: dict[str, Any]) -> float:
        """Return the prefill time of a prompt's prefix and cache it, evicting the oldest one."""
        prefix = str(params.get('instruction', ''))
        cached = prefix in self.prefixes
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > self.timing.cached_prefixes:
            self.prefixes.popitem(last=False)
        return 0.0 if cached else self.timing.prefill_s

    def slowdown(self) -> float:
        """Return the factor by which the current batch is slower than a single call."""
        return (1.0 + self.timing.batch_slowdown * (self.running - 1)) / self.speed


class FakeFleet:
    """Hold all fake endpoints by name and provide adapters to them."""

    def __init__(self, endpoints: list[FakeEndpoint]) -> None:
        self.endpoints = {item.endpoint.name: item for item in endpoints}
        self.cancelled: list[str] = []
        self.documents: dict[str, list[str]] = {}

    def __getitem__(self, name: str) -> FakeEndpoint:
        return self.endpoints[name]

    def backends(self, gate: Gate | None = None) -> Backends:
        """Return the adapters of one box, held back by its gate."""
        calls = FakeCalls(fleet=self, gate=gate or Gate())
        reach = FakeProber(fleet=self)
        return Backends(engine=FakeEngine(fleet=self), pool=calls, service=calls, prober=reach)

    def run_counts(self) -> Counter[str]:
        """Count runs on all endpoints, by idempotency key or call identity."""
        total: Counter[str] = Counter()
        for item in self.endpoints.values():
            total.update(item.run_counts)
        return total


class FakeProber(EndpointProber):
    """Probe fake endpoints."""

    def __init__(self, *, fleet: FakeFleet) -> None:
        self.fleet = fleet

    async def probe(self, endpoint: Endpoint, watch_s: float) -> ProbeResult:
        """Return `REFUSED` if the endpoint is down."""
        return ProbeResult.REFUSED if self.fleet[endpoint.name].down else ProbeResult.OPEN


class FakeCalls(StagePool, PlainService):
    """Call fake pools and services."""

    def __init__(self, *, fleet: FakeFleet, gate: Gate) -> None:
        self.fleet = fleet
        self.gate = gate

    async def call(self, endpoint: Endpoint, call: StageCall) -> StageOutput:
        """Run a stage with the fault set for the call."""
        await self.gate.wait_open()
        target = self.fleet[endpoint.name]
        fault = target.fault(str(call.id))
        raise_fault_before_run(fault)
        if fault is Fault.PAUSE:
            await asyncio.sleep(PAUSE_S)
        if endpoint.kind is StageKind.SERVICE:
            # A plain service finishes a started call even if its caller crashes or disconnects.
            await asyncio.shield(asyncio.ensure_future(self.serve(target, call)))
        else:
            await self.serve(target, call)
        await self.gate.wait_open()
        if fault is Fault.HANG:
            await asyncio.sleep(HANG_S)
        if fault is Fault.RESET_AFTER:
            raise MayHaveRun('connection lost')
        if fault is Fault.WRONG_IDENTITY:
            raise WrongAnswer("another call's answer")
        if endpoint.kind is StageKind.SERVICE:
            result = {'operation': call.params.get('operation'), 'text': call.input['text']}
            return StageOutput(result=result)
        if endpoint.kind is StageKind.RETRIEVER and call.input['text'] in self.fleet.documents:
            return StageOutput(documents=self.fleet.documents[call.input['text']])
        output: StageOutput = STAGE_FUNCTIONS[endpoint.kind.value](dict(call.input), call.params)  # type: ignore[assignment]
        return output

    async def serve(self, target: FakeEndpoint, call: StageCall) -> None:
        """Spend the service time and count the run."""
        identity = str(call.id)
        async with target.hold_slot(identity, call.priority):
            await target.run(call, target.timing.service_s * target.slowdown())
            target.run_counts[call.idempotency_key or identity] += 1


class FakeEngine(Engine):
    """Generate the same tokens as the engine's stand-in."""

    def __init__(self, *, fleet: FakeFleet) -> None:
        self.fleet = fleet

    async def generate(
        self, endpoint: Endpoint, call: GenerationCall
    ) -> AsyncIterator[Token | GenerationEnd]:
        """Yield tokens with the fault set for the call."""
        target = self.fleet[endpoint.name]
        identity = str(call.id)
        fault = target.fault(identity)
        raise_fault_before_run(fault)
        tokens = answer_tokens(call.params, dict(call.input))
        if fault is Fault.WRONG_IDENTITY:
            # The whole answer belongs to another caller, not only the identity.
            tokens = answer_tokens(call.params, {'text': "another caller's question"})
        target.offsets.append(call.offset)
        middle = call.offset + (len(tokens) - call.offset) // 2
        async with target.hold_slot(identity, call.priority):
            target.run_counts[identity] += 1
            first_s = target.timing.first_token_s + target.prefill(call.params)
            try:
                await target.run(call, first_s * target.slowdown())
            except ConnectionBroken:
                if target.crash_ends_streams:
                    return
                raise
            for number in range(call.offset, len(tokens)):
                if number == middle and fault is Fault.CUT:
                    raise MayHaveRun('connection lost')
                if number == middle and fault is Fault.HANG:
                    await asyncio.sleep(HANG_S)
                if number == middle and fault is Fault.PAUSE:
                    await asyncio.sleep(PAUSE_S)
                if number == middle and fault is Fault.SHORT:
                    break
                if number == middle and fault is Fault.GAP:
                    continue
                named = 'another/call/1' if fault is Fault.WRONG_IDENTITY else identity
                yield Token(named, number, tokens[number])
                if fault is Fault.REPEAT:
                    yield Token(named, number, tokens[number])
                await asyncio.sleep(target.timing.token_s * target.slowdown())
        if fault is Fault.RESET_AFTER:
            raise MayHaveRun('connection lost')
        yield GenerationEnd(identity, len(tokens))

    async def cancel(self, endpoint: Endpoint, call: GenerationCall) -> None:
        """Record the cancellation; closing the stream has already released the slot."""
        self.fleet.cancelled.append(str(call.id))


def raise_fault_before_run(fault: Fault | None) -> None:
    """Raise the error of a fault that occurs before the call runs."""
    if fault is Fault.REFUSED:
        raise NotStarted('connection refused')
    if fault is Fault.DECLINED:
        raise Declined('queue full', turned_away=True, retry_after_s=0.2)
    if fault is Fault.RESET_BEFORE:
        raise MayHaveRun('connection lost')
