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
REPLICAS_PER_SERVICE = 2
CLIENTS = 8
FAILURE_DOMAINS = ('lahore-a', 'lahore-b', 'lahore-c')
WAIT_FLAGS = ('--wait', '15')
STREAM_REQUEST = SampleRequest('towpath', 'answer', 'Where may we moor? لاک', stream=True)
EFFECT_REQUEST = SampleRequest('towpath', 'act', 'charge the deposit', repeatable=False)
MIXED_REQUESTS = (STREAM_REQUEST, STREAM_REQUEST._replace(stream=False), EFFECT_REQUEST)


class CheckFailed(AssertionError):
    """Report that something did not hold."""


def check(condition: bool, message: str) -> None:
    """Raise unless something holds."""
    if not condition:
        raise CheckFailed(message)


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
            for number in range(REPLICAS_PER_SERVICE)
        ]
        started = await asyncio.gather(*(self.start_endpoint(spec) for spec in specs))
        self.endpoints = {endpoint.process.name: endpoint for endpoint in started}
        documents = [item.spec for item in started]
        documents += list(TEMPLATES.values())
        documents += [{**pipeline_spec(name), 'deadline_ms': 10_000} for name in TEMPLATES]
        path = self.group.write_documents('config.yaml', documents)
        result = await run_cli(self.platform, 'apply', str(path))
        check(result.code == 0, result.errors)
        for number in range(BOXES):
            await self.add_box(f'box-{number + 1}', FAILURE_DOMAINS[number])

    def endpoint_spec(self, service: str, number: int) -> dict[str, Any]:
        """Return the document of a replica."""
        return {
            'kind': 'endpoint',
            'name': f'{service}-{number + 1}',
            'service': service,
            'stage': SERVICES[service].value,
            'address': 'http://127.0.0.1:1',
            'failure_domain': FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            'concurrency': 32,
        }

    async def start_endpoint(self, spec: dict[str, Any]) -> EndpointProcess:
        """Start a replica; services are slow enough to be caught in the act."""
        flags = ('--service-ms', '100') if spec['stage'] == 'service' else ()
        return await self.group.start_endpoint(spec, *flags)

    async def add_box(self, name: str, failure_domain: str, *flags: str) -> Process:
        """Start a daemon and wait until it is ready."""
        box = await self.group.start_daemon(
            self.platform,
            name,
            failure_domain,
            '--boxes',
            str(BOXES),
            '--leave-grace-s',
            '0.3',
            *flags,
        )
        self.boxes = [item for item in self.boxes if item.name != name] + [box]
        await wait_ready(box)
        return box

    async def set_faults(self, process: Process, **faults: Any) -> None:
        """Switch a stand-in's faults."""
        async with self.session.post(f'{process.url}/admin/faults', json=faults) as answer:
            check(answer.status == 200, f'{process.name}: {faults}')

    async def get_json(self, process: Process, path: str) -> Any:
        """Read JSON from a process."""
        async with self.session.get(process.url + path) as answer:
            return await answer.json(content_type=None)

    async def run_counts(self) -> dict[str, int]:
        """Count over all services how often each key ran."""
        total: dict[str, int] = {}
        for name, endpoint in self.endpoints.items():
            if name.startswith('desk'):
                for key, count in (await self.get_json(endpoint.process, '/admin/ran')).items():
                    total[key] = total.get(key, 0) + count
        return total

    async def send(self, box: Process, sample: SampleRequest, key: str | None = None) -> Reply:
        """Send one request."""
        return await send(self.session, box, sample, key)

    async def check_load(self, load: LoadGenerator, *, killed_boxes: tuple[str, ...] = ()) -> None:
        """Check that answers are right, keys ran at most once, and refused ones not at all."""
        run_counts = await self.run_counts()
        for result in load.results:
            check(result.is_correct, f'wrong answer: {result}')
            check(result.outcome != 'broken' or result.box in killed_boxes, f'cut: {result}')
            if result.key is None:
                continue
            check(
                run_counts.get(result.key, 0) <= 1,
                f'{result.key} ran {run_counts.get(result.key)} times',
            )
            if result.outcome == 'refused':
                check(result.key not in run_counts, f'{result.key} was refused and ran')
            if result.outcome == 'answered':
                check(run_counts.get(result.key) == 1, f'{result.key} was answered and did not run')
        check(load.outcomes()['answered'] > 0, 'nothing was answered')
