"""Measure one daemon over stand-ins on loopback; `make perf` runs it.

The same client calls the stand-ins directly in the same run, so that what the daemon adds is the
difference. All figures depend on the machine; none is a check.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import msgspec

from bench.processes import cpu_seconds, percentile_ms, resident_mb
from testkit.processes import ProcessGroup, run_cli, wait_ready
from testkit.world import ANSWER_STAGES, SERVICES, TEMPLATES, pipeline_spec

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from testkit.processes import EndpointProcess, Process

SECONDS = 4.0
RATES = (50, 100, 200, 300, 400, 500)
DESIGN_REQUESTS = 11
DESIGN_TOKENS = 4600
TOKENS_A_STREAM = 420
SHORT_TOKENS = 8
ENGINES = 3
STREAM_RATES = (11, 22, 33, 44, 66)
BODY = {'input': 'Where may we moor after dusk? ' * 30}
LONG_TEXT = 'Where may we moor after dusk? ' * 60
KNEE_P99_MS = 100.0


class Sample(NamedTuple):
    """Hold what a run gave; times are in seconds."""

    offered: float
    done: int
    failed: int
    took_s: float
    latencies: list[float]
    cpu_s: float
    tokens: int


class Bench:
    """Hold the processes and the client."""

    def __init__(
        self,
        *,
        daemon: Process,
        endpoints: dict[str, EndpointProcess],
        session: aiohttp.ClientSession,
    ) -> None:
        self.daemon = daemon
        self.endpoints = endpoints
        self.session = session
        self.tokens = 0
        self.numbers = iter(range(10**9))

    async def direct(self) -> bool:
        """Call the four stages as the daemon does, without it."""
        call = f'direct/{next(self.numbers)}/1'
        data: dict[str, object] = {'text': BODY['input']}
        for stage in ('encoders', 'retrievers', 'rerankers'):
            url = f'{self.endpoints[f"{stage}-1"].process.url}/v1/call'
            body = {'call': call, 'stage': stage, 'params': {}, 'input': data, 'priority': 5}
            async with self.session.post(url, data=msgspec.json.encode(body)) as answer:
                data.update(msgspec.json.decode(await answer.read())['output'])
        url = f'{self.endpoints["drafting-1"].process.url}/v1/generate'
        body = {
            'call': call,
            'params': {'max_tokens': SHORT_TOKENS},
            'input': data,
            'priority': 5,
            'offset': 0,
            'prefix': '',
        }
        async with self.session.post(url, data=msgspec.json.encode(body)) as answer:
            await answer.read()
        return True

    async def through(self) -> bool:
        """Send one request through the daemon."""
        url = f'{self.daemon.url}/v1/workspaces/towpath/pipelines/answer/requests'
        async with self.session.post(url, data=msgspec.json.encode(BODY)) as answer:
            await answer.read()
            return answer.status == 200

    async def stream(self) -> bool:
        """Stream one long answer through the daemon."""
        url = f'{self.daemon.url}/v1/workspaces/towpath/pipelines/long/requests'
        body = {'input': LONG_TEXT, 'stream': True}
        last = b''
        async with self.session.post(url, data=msgspec.json.encode(body)) as answer:
            async for line in answer.content:
                if line.startswith(b'event: '):
                    last = line
                    self.tokens += line == b'event: text\n'
        return last == b'event: done\n'

    async def closed(self, ask: Callable[[], Awaitable[bool]], clients: int) -> Sample:
        """Let some clients ask one request after another."""
        run = Run(bench=self)
        async with asyncio.TaskGroup() as group:
            for _ in range(clients):
                group.create_task(run.client(ask))
        return run.sample(0.0)

    async def open(self, ask: Callable[[], Awaitable[bool]], rate: float) -> Sample:
        """Ask at a fixed rate, whatever comes back."""
        run = Run(bench=self)
        async with asyncio.TaskGroup() as group:
            for number in range(int(rate * SECONDS)):
                due = run.started + number / rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                group.create_task(run.once(ask))
        return run.sample(rate)


class Run:
    """Collect the latencies of one run."""

    def __init__(self, *, bench: Bench) -> None:
        self.bench = bench
        self.started = time.monotonic()
        self.cpu = cpu_seconds(bench.daemon.handle.pid)
        self.tokens = bench.tokens
        self.latencies: list[float] = []
        self.failed = 0

    async def client(self, ask: Callable[[], Awaitable[bool]]) -> None:
        """Ask until the time is over."""
        while time.monotonic() < self.started + SECONDS:
            await self.once(ask)

    async def once(self, ask: Callable[[], Awaitable[bool]]) -> None:
        """Ask once and note the time."""
        started = time.monotonic()
        good = await ask()
        self.latencies.append(time.monotonic() - started)
        self.failed += not good

    def sample(self, offered: float) -> Sample:
        """Return what was collected."""
        return Sample(
            offered,
            len(self.latencies) - self.failed,
            self.failed,
            time.monotonic() - self.started,
            self.latencies,
            cpu_seconds(self.bench.daemon.handle.pid) - self.cpu,
            self.bench.tokens - self.tokens,
        )


def show(name: str, sample: Sample) -> None:
    """Print one run."""
    core = 100 * sample.cpu_s / sample.took_s
    print(
        f'{name:26} {sample.done / sample.took_s:8.1f}/s  p50 '
        f'{percentile_ms(sample.latencies, 0.5):7.1f} ms  p99 '
        f'{percentile_ms(sample.latencies, 0.99):7.1f} ms  failed {sample.failed:4}  '
        f'daemon {core:5.1f}% of a core'
    )


async def set_up(group: ProcessGroup, session: aiohttp.ClientSession) -> Bench:
    """Start stand-ins that answer at once, and one daemon."""
    platform = await group.start_platform()
    specs: list[dict[str, Any]] = [
        {
            'kind': 'endpoint',
            'name': f'{service}-{number + 1}',
            'service': service,
            'stage': kind.value,
            'address': '',
            'failure_domain': 'a',
            'concurrency': 1000,
        }
        for service, kind in SERVICES.items()
        for number in range(ENGINES if service == 'drafting' else 1)
    ]
    fast = ('--first-token-ms', '0', '--token-ms', '2.2', '--queue', '10000')
    flags = {'engine': fast, 'service': ('--service-ms', '0')}
    started = [
        await group.start_endpoint(spec, *flags.get(spec['stage'], ('--service-ms', '0')))
        for spec in specs
    ]
    stages = ANSWER_STAGES
    generate = {**stages[-1], 'params': {'max_tokens': TOKENS_A_STREAM}, 'expected_ms': 900}
    short = {**stages[-1], 'params': {'max_tokens': SHORT_TOKENS}, 'expected_ms': 20}
    documents = [
        *(item.spec for item in started),
        {**TEMPLATES['answer'], 'stages': [*stages[:-1], short]},
        {'kind': 'template', 'name': 'long', 'stages': [*stages[:-1], generate]},
        pipeline_spec('answer'),
        {**pipeline_spec('long'), 'deadline_ms': 10_000},
    ]
    path = group.write_documents('config.yaml', documents)
    result = await run_cli(platform, 'apply', str(path))
    if result.code:
        raise SystemExit(result.errors)
    daemon = await group.start_daemon(
        platform, 'box-1', 'a', '--boxes', '1', '--log-level', 'warning', '--leave-grace-s', '0'
    )
    await wait_ready(daemon)
    return Bench(
        daemon=daemon, endpoints={item.process.name: item for item in started}, session=session
    )


async def measure_requests(bench: Bench) -> None:
    """Compare with direct calls, then raise the rate to the knee."""
    await bench.closed(bench.through, 4)
    direct = await bench.closed(bench.direct, 1)
    through = await bench.closed(bench.through, 1)
    show('direct, 1 client', direct)
    show('daemon, 1 client', through)
    for name, part in (('p50', 0.5), ('p99', 0.99)):
        added = percentile_ms(through.latencies, part) - percentile_ms(direct.latencies, part)
        print(f'added latency {name}: {added:.1f} ms')
    idle_cpu = cpu_seconds(bench.daemon.handle.pid)
    await asyncio.sleep(SECONDS)
    idle = (cpu_seconds(bench.daemon.handle.pid) - idle_cpu) / SECONDS
    print(f'idle daemon: {100 * idle:.2f}% of a core')
    knee = 0.0
    for rate in RATES:
        sample = await bench.open(bench.through, rate)
        show(f'daemon, {rate} offered', sample)
        if percentile_ms(sample.latencies, 0.99) > KNEE_P99_MS or sample.failed:
            break
        knee = rate
        cost_ms = 1000 * (sample.cpu_s - idle * sample.took_s) / sample.done
    print(f'knee: {knee} requests/s with p99 under {KNEE_P99_MS:.0f} ms')
    print(f'processor time a request of four stages at the knee: {cost_ms:.2f} ms')


async def measure_streams(bench: Bench) -> None:
    """Stream long answers at and above the design rate."""
    print(f'design size: {DESIGN_REQUESTS} requests and {DESIGN_TOKENS} tokens a second and box')
    for rate in STREAM_RATES:
        sample = await bench.open(bench.stream, rate)
        show(f'streams, {rate} offered', sample)
        tokens = sample.tokens / sample.took_s
        cost_us = 1e6 * sample.cpu_s / max(1, sample.tokens)
        print(f'    {tokens:.0f} tokens/s, {cost_us:.0f} us of processor time a token')
        if sample.cpu_s / sample.took_s > 0.95 or sample.failed:
            break
    print(f'memory of the daemon: {resident_mb(bench.daemon.handle.pid):.0f} MB')


async def main() -> None:
    """Run all measurements."""
    connector = aiohttp.TCPConnector(limit=0)
    async with ProcessGroup() as group, aiohttp.ClientSession(connector=connector) as session:
        bench = await set_up(group, session)
        await measure_requests(bench)
        await measure_streams(bench)


if __name__ == '__main__':
    asyncio.run(main())
