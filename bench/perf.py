"""Measure one daemon in front of stand-ins on loopback; `make perf` runs it.

The same client also calls the stand-ins directly in the same run; the difference is the overhead
of the daemon. All figures depend on the machine, and none is checked against a limit.
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

DURATION_S = 4.0
RATES_PER_S = (50, 100, 200, 300, 400, 500)
DESIGN_REQUESTS_PER_S = 11
DESIGN_TOKENS_PER_S = 4600
TOKENS_PER_STREAM = 420
SHORT_TOKENS = 8
ENGINES = 3
STREAM_RATES_PER_S = (11, 22, 33, 44, 66)
REQUEST_BODY = {'input': 'Where may we moor after dusk? ' * 30}
LONG_TEXT = 'Where may we moor after dusk? ' * 60
KNEE_P99_MS = 100.0


class Sample(NamedTuple):
    """Hold the figures of one run; `cpu_s` and `tokens` are the daemon's during it."""

    offered_per_s: float
    done: int
    failed: int
    duration_s: float
    latencies_s: list[float]
    cpu_s: float
    tokens: int


class Bench:
    """Hold the daemon, the stand-ins and the client session, and generate load."""

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
        self.call_numbers = iter(range(10**9))

    async def call_stages(self) -> bool:
        """Call the four stages directly, with the requests that the daemon would send."""
        call = f'direct/{next(self.call_numbers)}/1'
        data: dict[str, object] = {'text': REQUEST_BODY['input']}
        for stage in ('encoders', 'retrievers', 'rerankers'):
            url = f'{self.endpoints[f"{stage}-1"].process.url}/v1/call'
            body = {'call': call, 'stage': stage, 'params': {}, 'input': data, 'priority': 5}
            async with self.session.post(url, data=msgspec.json.encode(body)) as response:
                data.update(msgspec.json.decode(await response.read())['output'])
        url = f'{self.endpoints["drafting-1"].process.url}/v1/generate'
        body = {
            'call': call,
            'params': {'max_tokens': SHORT_TOKENS},
            'input': data,
            'priority': 5,
            'offset': 0,
            'prefix': '',
        }
        async with self.session.post(url, data=msgspec.json.encode(body)) as response:
            await response.read()
        return True

    async def send_request(self) -> bool:
        """Send one request to the daemon; tell whether it was answered."""
        url = f'{self.daemon.url}/v1/workspaces/towpath/pipelines/answer/requests'
        async with self.session.post(url, data=msgspec.json.encode(REQUEST_BODY)) as response:
            await response.read()
            return response.status == 200

    async def stream_request(self) -> bool:
        """Stream one long answer through the daemon; tell whether it was complete."""
        url = f'{self.daemon.url}/v1/workspaces/towpath/pipelines/long/requests'
        body = {'input': LONG_TEXT, 'stream': True}
        last = b''
        async with self.session.post(url, data=msgspec.json.encode(body)) as response:
            async for line in response.content:
                if line.startswith(b'event: '):
                    last = line
                    self.tokens += line == b'event: text\n'
        return last == b'event: done\n'

    async def run_closed_loop(self, send: Callable[[], Awaitable[bool]], clients: int) -> Sample:
        """Run clients that each send a request as soon as the last one is answered."""
        run = Run(bench=self)
        async with asyncio.TaskGroup() as group:
            for _ in range(clients):
                group.create_task(run.run_client(send))
        return run.sample(0.0)

    async def run_open_loop(self, send: Callable[[], Awaitable[bool]], rate_per_s: float) -> Sample:
        """Send requests at a fixed rate, without waiting for responses."""
        run = Run(bench=self)
        async with asyncio.TaskGroup() as group:
            for number in range(int(rate_per_s * DURATION_S)):
                due = run.started + number / rate_per_s
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                group.create_task(run.send_once(send))
        return run.sample(rate_per_s)


class Run:
    """Collect the latencies and the resource use of one run."""

    def __init__(self, *, bench: Bench) -> None:
        self.bench = bench
        self.started = time.monotonic()
        self.cpu_before_s = cpu_seconds(bench.daemon.handle.pid)
        self.tokens_before = bench.tokens
        self.latencies_s: list[float] = []
        self.failed = 0

    async def run_client(self, send: Callable[[], Awaitable[bool]]) -> None:
        """Send requests one after another for `DURATION_S`."""
        while time.monotonic() < self.started + DURATION_S:
            await self.send_once(send)

    async def send_once(self, send: Callable[[], Awaitable[bool]]) -> None:
        """Send one request and record its latency and whether it failed."""
        started = time.monotonic()
        succeeded = await send()
        self.latencies_s.append(time.monotonic() - started)
        self.failed += not succeeded

    def sample(self, offered_per_s: float) -> Sample:
        """Return the figures since the run's start; `offered_per_s` is 0 for a closed loop."""
        return Sample(
            offered_per_s,
            len(self.latencies_s) - self.failed,
            self.failed,
            time.monotonic() - self.started,
            self.latencies_s,
            cpu_seconds(self.bench.daemon.handle.pid) - self.cpu_before_s,
            self.bench.tokens - self.tokens_before,
        )


def print_sample(name: str, sample: Sample) -> None:
    """Print the figures of one run as a line."""
    core = 100 * sample.cpu_s / sample.duration_s
    print(
        f'{name:26} {sample.done / sample.duration_s:8.1f}/s  p50 '
        f'{percentile_ms(sample.latencies_s, 0.5):7.1f} ms  p99 '
        f'{percentile_ms(sample.latencies_s, 0.99):7.1f} ms  failed {sample.failed:4}  '
        f'daemon {core:5.1f}% of a core'
    )


async def start_bench(group: ProcessGroup, session: aiohttp.ClientSession) -> Bench:
    """Start stand-ins with near-zero service times, and one daemon."""
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
    generate = {**stages[-1], 'params': {'max_tokens': TOKENS_PER_STREAM}, 'expected_ms': 900}
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
    """Measure the latency that the daemon adds, and the highest rate within `KNEE_P99_MS`."""
    await bench.run_closed_loop(bench.send_request, 4)
    direct = await bench.run_closed_loop(bench.call_stages, 1)
    through = await bench.run_closed_loop(bench.send_request, 1)
    print_sample('direct, 1 client', direct)
    print_sample('daemon, 1 client', through)
    for name, fraction in (('p50', 0.5), ('p99', 0.99)):
        added = percentile_ms(through.latencies_s, fraction) - percentile_ms(
            direct.latencies_s, fraction
        )
        print(f'added latency {name}: {added:.1f} ms')
    cpu_before_s = cpu_seconds(bench.daemon.handle.pid)
    await asyncio.sleep(DURATION_S)
    idle_cpu_share = (cpu_seconds(bench.daemon.handle.pid) - cpu_before_s) / DURATION_S
    print(f'idle daemon: {100 * idle_cpu_share:.2f}% of a core')
    knee = 0.0
    for rate in RATES_PER_S:
        sample = await bench.run_open_loop(bench.send_request, rate)
        print_sample(f'daemon, {rate} offered', sample)
        if percentile_ms(sample.latencies_s, 0.99) > KNEE_P99_MS or sample.failed:
            break
        knee = rate
        cost_ms = 1000 * (sample.cpu_s - idle_cpu_share * sample.duration_s) / sample.done
    print(f'knee: {knee} requests/s with p99 under {KNEE_P99_MS:.0f} ms')
    print(f'processor time a request of four stages at the knee: {cost_ms:.2f} ms')


async def measure_streams(bench: Bench) -> None:
    """Measure long streamed answers at rates up to several times the design rate."""
    print(
        f'design size: {DESIGN_REQUESTS_PER_S} requests and '
        f'{DESIGN_TOKENS_PER_S} tokens a second and box'
    )
    for rate in STREAM_RATES_PER_S:
        sample = await bench.run_open_loop(bench.stream_request, rate)
        print_sample(f'streams, {rate} offered', sample)
        tokens = sample.tokens / sample.duration_s
        cost_us = 1e6 * sample.cpu_s / max(1, sample.tokens)
        print(f'    {tokens:.0f} tokens/s, {cost_us:.0f} us of processor time a token')
        if sample.cpu_s / sample.duration_s > 0.95 or sample.failed:
            break
    print(f'memory of the daemon: {resident_mb(bench.daemon.handle.pid):.0f} MB')


async def main() -> None:
    """Start the processes and run both measurements."""
    connector = aiohttp.TCPConnector(limit=0)
    async with ProcessGroup() as group, aiohttp.ClientSession(connector=connector) as session:
        bench = await start_bench(group, session)
        await measure_requests(bench)
        await measure_streams(bench)


if __name__ == '__main__':
    asyncio.run(main())
