"""Run a deployment as processes, and load it: platform, endpoints and daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from testkit.callers import Reply, SampleRequest, send
from testkit.processes import EndpointProcess, Process, ProcessGroup, run_cli, wait_ready
from testkit.world import SERVICES, TEMPLATES, pipeline_spec

if TYPE_CHECKING:
    import aiohttp

    from testkit.load import LoadGenerator

BOXES = 3
REPLICAS = 2
CLIENTS = 8
DOMAINS = ('lahore-a', 'lahore-b', 'lahore-c')
WAIT = ('--wait', '15')
ANSWER = SampleRequest('towpath', 'answer', 'Where may we moor? لاک', stream=True)
ACT = SampleRequest('towpath', 'act', 'charge the deposit', repeatable=False)
MIXED = (ANSWER, ANSWER._replace(stream=False), ACT)


class Failure(AssertionError):
    """Report that something did not hold."""


def check(holds: bool, message: str) -> None:
    """Raise unless something holds."""
    if not holds:
        raise Failure(message)


class Deployment:
    """Hold a running deployment: platform, endpoints and daemons."""

    def __init__(self, *, group: ProcessGroup) -> None:
        self.group = group
        self.endpoints: dict[str, EndpointProcess] = {}
        self.boxes: list[Process] = []
        self.platform: Process
        self.session: aiohttp.ClientSession

    async def start(self) -> None:
        """Start and configure everything."""
        self.platform = await self.group.start_platform()
        specs = [
            self.endpoint_spec(service, number)
            for service in SERVICES
            for number in range(REPLICAS)
        ]
        started = await asyncio.gather(*(self.start_endpoint(spec) for spec in specs))
        self.endpoints = {item.process.name: item for item in started}
        documents = [item.spec for item in started]
        documents += list(TEMPLATES.values())
        documents += [{**pipeline_spec(name), 'deadline_ms': 10_000} for name in TEMPLATES]
        path = self.group.write_documents('config.yaml', documents)
        result = await run_cli(self.platform, 'apply', str(path))
        check(result.code == 0, result.errors)
        for number in range(BOXES):
            await self.add_box(f'box-{number + 1}', DOMAINS[number])

    def endpoint_spec(self, service: str, number: int) -> dict[str, Any]:
        """Return the document of a replica."""
        return {
            'kind': 'endpoint',
            'name': f'{service}-{number + 1}',
            'service': service,
            'stage': SERVICES[service].value,
            'address': 'http://127.0.0.1:1',
            'failure_domain': DOMAINS[number % len(DOMAINS)],
            'concurrency': 32,
        }

    async def start_endpoint(self, spec: dict[str, Any]) -> EndpointProcess:
        """Start a replica; services are slow enough to be caught in the act."""
        flags = ('--service-ms', '100') if spec['stage'] == 'service' else ()
        return await self.group.start_endpoint(spec, *flags)

    async def add_box(self, name: str, domain: str, *flags: str) -> Process:
        """Start a daemon and wait until it is ready."""
        box = await self.group.start_daemon(
            self.platform, name, domain, '--boxes', str(BOXES), '--leave-grace-s', '0.3', *flags
        )
        self.boxes = [item for item in self.boxes if item.name != name] + [box]
        await wait_ready(box)
        return box

    async def faults(self, process: Process, **faults: Any) -> None:
        """Switch a stand-in's faults."""
        async with self.session.post(f'{process.url}/admin/faults', json=faults) as answer:
            check(answer.status == 200, f'{process.name}: {faults}')

    async def get(self, process: Process, path: str) -> Any:
        """Read JSON from a process."""
        async with self.session.get(process.url + path) as answer:
            return await answer.json(content_type=None)

    async def ran(self) -> dict[str, int]:
        """Count over all services how often each key ran."""
        total: dict[str, int] = {}
        for name, item in self.endpoints.items():
            if name.startswith('desk'):
                for key, count in (await self.get(item.process, '/admin/ran')).items():
                    total[key] = total.get(key, 0) + count
        return total

    async def send(self, box: Process, sample: SampleRequest, key: str | None = None) -> Reply:
        """Send one request."""
        return await send(self.session, box, sample, key)

    async def check_load(self, load: LoadGenerator, *, cut: tuple[str, ...] = ()) -> None:
        """Check that answers are right, keys ran at most once, and refused ones not at all."""
        ran = await self.ran()
        for item in load.results:
            check(item.is_correct, f'wrong answer: {item}')
            check(item.outcome != 'broken' or item.box in cut, f'cut: {item}')
            if item.key is None:
                continue
            check(ran.get(item.key, 0) <= 1, f'{item.key} ran {ran.get(item.key)} times')
            if item.outcome == 'refused':
                check(item.key not in ran, f'{item.key} was refused and ran')
            if item.outcome == 'answered':
                check(ran.get(item.key) == 1, f'{item.key} was answered and did not run')
        check(load.outcomes()['answered'] > 0, 'nothing was answered')
