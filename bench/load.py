"""Run three scenarios of the simulated bench on real processes; `make load` runs it.

The naive variant runs in the client process, over the same HTTP clients and stand-ins. Absolute
figures depend on the machine; the run checks whether the variants rank as in the simulation.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from calicopath_clients.calls import HttpEndpointProber, HttpPlainService, HttpStagePool
from calicopath_clients.engine import HttpEngine
from calicopath_clients.sessions import new_session
from calicopath_core.backends.base import Backends
from calicopath_core.config.parsers import parse_endpoint, parse_pipeline, parse_template
from calicopath_core.config.plans import resolve_plan
from calicopath_core.execution.requests import DiscardSink, PipelineRequest
from calicopath_core.structure.outcomes import Answered
from testkit.naive import NaiveExecutor
from testkit.processes import ProcessGroup, run_cli, wait_ready
from testkit.world import ANSWER_STAGES, SERVICES, TEMPLATES, pipeline_spec

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import aiohttp

    from testkit.processes import Process

BOXES = 3
ENGINES = 6
CONCURRENCY = 4
TOKENS_PER_ANSWER = 20
FIRST_TOKEN_MS = 60
TOKEN_MS = 20
DURATION_S = 8.0
DEADLINE_S = 2.0
CAPACITY_PER_S = 1000 * ENGINES * CONCURRENCY / (FIRST_TOKEN_MS + TOKENS_PER_ANSWER * TOKEN_MS)
"""Request rate at which all generation slots are busy."""

INPUT_TEXT = 'Where may we moor after dusk? ' * 4


class Scenario(NamedTuple):
    """Hold the arrival rate as a share of `CAPACITY_PER_S` and the first engine's slowdown."""

    name: str
    capacity_share: float
    slow_factor: float = 1.0


SCENARIOS = (
    Scenario('steady', 0.6),
    Scenario('overload', 2.0),
    Scenario('slow-replica', 0.6, slow_factor=5.0),
)


class Result(NamedTuple):
    """Hold the figures of one run; both are shares of 1."""

    scenario: str
    variant: str
    attainment: float
    goodput: float


async def run_open_loop(send: Callable[[], Awaitable[bool]], rate_per_s: float) -> tuple[int, int]:
    """Send requests at random times; return the numbers answered in time and sent."""
    rng = random.Random(5)
    in_time = 0
    total = 0

    async def once() -> None:
        nonlocal in_time
        started = time.monotonic()
        answered = await send()
        in_time += answered and time.monotonic() - started <= DEADLINE_S

    async with asyncio.TaskGroup() as group:
        ends_at = time.monotonic() + DURATION_S
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            total += 1
            group.create_task(once())
    return in_time, total


class Deployment:
    """Hold the stand-ins and daemons, and send requests through either variant."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.boxes: list[Process] = []
        self.documents: list[dict[str, Any]] = []
        self.rng = random.Random(3)
        self.last_number = 0

    async def start(self, group: ProcessGroup, scenario: Scenario) -> None:
        """Start everything for one scenario."""
        platform = await group.start_platform()
        stages = [*ANSWER_STAGES[:-1]]
        stages.append(
            {
                **ANSWER_STAGES[-1],
                'params': {'max_tokens': TOKENS_PER_ANSWER},
                'expected_ms': FIRST_TOKEN_MS + TOKENS_PER_ANSWER * TOKEN_MS,
            }
        )
        self.documents = [
            await self.start_endpoint(group, *replica) for replica in self.replicas(scenario)
        ]
        self.documents += [{**TEMPLATES['answer'], 'stages': stages}, pipeline_spec('answer')]
        path = group.write_documents('config.yaml', self.documents)
        await run_cli(platform, 'apply', str(path))
        self.boxes = [
            await group.start_daemon(
                platform, f'box-{n}', f'domain-{n}', '--boxes', str(BOXES), '--log-level', 'error'
            )
            for n in range(BOXES)
        ]
        for box in self.boxes:
            await wait_ready(box)

    def replicas(self, scenario: Scenario) -> list[tuple[str, int, float]]:
        """Return service, number and slowdown factor of every replica."""
        replicas = [
            (name, n, 1.0) for name in ('encoders', 'retrievers', 'rerankers') for n in (0, 1)
        ]
        replicas += [('drafting', n, 1.0) for n in range(1, ENGINES)]
        return [*replicas, ('drafting', 0, scenario.slow_factor)]

    async def start_endpoint(
        self, group: ProcessGroup, service: str, number: int, slow_factor: float
    ) -> dict[str, Any]:
        """Start one replica's stand-in and return its configuration document."""
        kind = SERVICES[service]
        spec = {
            'kind': 'endpoint',
            'name': f'{service}-{number}',
            'service': service,
            'stage': kind.value,
            'address': '',
            'failure_domain': f'domain-{number % BOXES}',
            'concurrency': CONCURRENCY,
        }
        flags = ['--service-ms', '10']
        if service == 'drafting':
            flags = [
                '--first-token-ms', str(FIRST_TOKEN_MS * slow_factor),
                '--token-ms', str(TOKEN_MS * slow_factor),
                '--queue', '1000',
            ]  # fmt: skip
        return (await group.start_endpoint(spec, *flags)).spec

    async def send_to_box(self) -> bool:
        """Send one request to a random box; tell whether it was answered."""
        self.last_number += 1
        url = self.rng.choice(self.boxes).url
        body = msgspec.json.encode({'input': f'{self.last_number} {INPUT_TEXT}'})
        path = '/v1/workspaces/towpath/pipelines/answer/requests'
        async with self.session.post(url + path, data=body) as response:
            await response.read()
            return response.status == 200

    async def run_naively(self) -> bool:
        """Run one request by the naive executor; tell whether it was answered in time."""
        endpoints = [
            parse_endpoint(item, 'x').unwrap()
            for item in self.documents
            if item['kind'] == 'endpoint'
        ]
        template = parse_template(self.documents[-2], 'x').unwrap()
        spec = parse_pipeline(self.documents[-1], 'x').unwrap()
        plan = resolve_plan(spec, template, 'x').unwrap()
        executor = NaiveExecutor(
            endpoints=endpoints,
            backends=Backends(
                engine=HttpEngine(session=self.session),
                pool=HttpStagePool(session=self.session),
                service=HttpPlainService(session=self.session),
                prober=HttpEndpointProber(),
            ),
            rng=self.rng,
        )
        self.last_number += 1
        text = f'{self.last_number} {INPUT_TEXT}'
        request = PipelineRequest(f'n{self.last_number}', text, 0.0, 0.0, 5, True, None, '')
        try:
            async with asyncio.timeout(DEADLINE_S):
                outcome = await executor.run(request, plan, DiscardSink())
        except TimeoutError:
            return False
        return isinstance(outcome, Answered)


async def run_scenario(scenario: Scenario) -> list[Result]:
    """Run one scenario with each variant, on new processes for each."""
    results = []
    for variant in ('naive', 'calicopath'):
        async with ProcessGroup() as group, new_session() as session:
            deployment = Deployment(session=session)
            await deployment.start(group, scenario)
            send = deployment.run_naively if variant == 'naive' else deployment.send_to_box
            in_time, total = await run_open_loop(send, scenario.capacity_share * CAPACITY_PER_S)
        results.append(
            Result(scenario.name, variant, in_time / total, in_time / DURATION_S / CAPACITY_PER_S)
        )
    return results


async def main() -> None:
    """Run all scenarios and print one line per run."""
    print(f'capacity {CAPACITY_PER_S:.0f} requests/s, {BOXES} daemons, {ENGINES} engines')
    for scenario in SCENARIOS:
        for result in await run_scenario(scenario):
            print(
                f'{result.scenario:14} {result.variant:12} attainment '
                f'{100 * result.attainment:5.1f}%  goodput {100 * result.goodput:5.1f}%'
            )


if __name__ == '__main__':
    asyncio.run(main())
