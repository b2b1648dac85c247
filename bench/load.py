"""Run three of the bench's scenarios with real processes; `make load` runs it.

The naive version runs in the client, over the same adapters and stand-ins. The figures depend on
the machine; what matters is whether the order of the two is that of the simulated bench.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from calicopath_clients.calls import HttpPlainService, HttpReach, HttpStagePool
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
TOKENS = 20
FIRST_TOKEN_MS = 60
TOKEN_MS = 20
SECONDS = 8.0
DEADLINE_S = 2.0
CAPACITY = 1000 * ENGINES * CONCURRENCY / (FIRST_TOKEN_MS + TOKENS * TOKEN_MS)
"""Requests a second at which generation is full."""

TEXT = 'Where may we moor after dusk? ' * 4


class Scenario(NamedTuple):
    """Hold a name, the arrivals as a share of the capacity, and how slow the first engine is."""

    name: str
    share: float
    slow_factor: float = 1.0


SCENARIOS = (
    Scenario('steady', 0.6),
    Scenario('overload', 2.0),
    Scenario('slow-replica', 0.6, slow_factor=5.0),
)


class Result(NamedTuple):
    """Hold what one run gave."""

    scenario: str
    variant: str
    attainment: float
    goodput: float


async def run_open(ask: Callable[[], Awaitable[bool]], rate: float) -> tuple[int, int]:
    """Ask at random times at a rate; return how many were answered in time, and of how many."""
    rng = random.Random(5)
    good = 0
    total = 0

    async def once() -> None:
        nonlocal good
        started = time.monotonic()
        answered = await ask()
        good += answered and time.monotonic() - started <= DEADLINE_S

    async with asyncio.TaskGroup() as group:
        ends = time.monotonic() + SECONDS
        while time.monotonic() < ends:
            await asyncio.sleep(rng.expovariate(rate))
            total += 1
            group.create_task(once())
    return good, total


class Deployment:
    """Hold stand-ins, daemons and the naive version."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.boxes: list[Process] = []
        self.documents: list[dict[str, Any]] = []
        self.rng = random.Random(3)
        self.number = 0

    async def start(self, group: ProcessGroup, scenario: Scenario) -> None:
        """Start everything for one scenario."""
        platform = await group.start_platform()
        stages = [*ANSWER_STAGES[:-1]]
        stages.append(
            {
                **ANSWER_STAGES[-1],
                'params': {'max_tokens': TOKENS},
                'expected_ms': FIRST_TOKEN_MS + TOKENS * TOKEN_MS,
            }
        )
        self.documents = [await self.endpoint(group, *which) for which in self.replicas(scenario)]
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
        """Return service, number and slowness of every replica."""
        found = [(name, n, 1.0) for name in ('encoders', 'retrievers', 'rerankers') for n in (0, 1)]
        found += [('drafting', n, 1.0) for n in range(1, ENGINES)]
        return [*found, ('drafting', 0, scenario.slow_factor)]

    async def endpoint(
        self, group: ProcessGroup, service: str, number: int, slow: float
    ) -> dict[str, Any]:
        """Start one replica and return its document."""
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
                '--first-token-ms', str(FIRST_TOKEN_MS * slow),
                '--token-ms', str(TOKEN_MS * slow),
                '--queue', '1000',
            ]  # fmt: skip
        return (await group.start_endpoint(spec, *flags)).spec

    async def calicopath(self) -> bool:
        """Send one request to one of the boxes."""
        self.number += 1
        url = self.rng.choice(self.boxes).url
        body = msgspec.json.encode({'input': f'{self.number} {TEXT}'})
        path = '/v1/workspaces/towpath/pipelines/answer/requests'
        async with self.session.post(url + path, data=body) as answer:
            await answer.read()
            return answer.status == 200

    async def naive(self) -> bool:
        """Run one request by the naive version."""
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
                prober=HttpReach(),
            ),
            rng=self.rng,
        )
        self.number += 1
        text = f'{self.number} {TEXT}'
        request = PipelineRequest(f'n{self.number}', text, 0.0, 0.0, 5, True, None, '')
        try:
            async with asyncio.timeout(DEADLINE_S):
                outcome = await executor.run(request, plan, DiscardSink())
        except TimeoutError:
            return False
        return isinstance(outcome, Answered)


async def run_scenario(scenario: Scenario) -> list[Result]:
    """Run one scenario both ways on fresh processes."""
    found = []
    for variant in ('naive', 'calicopath'):
        async with ProcessGroup() as group, new_session() as session:
            deployment = Deployment(session=session)
            await deployment.start(group, scenario)
            ask = deployment.naive if variant == 'naive' else deployment.calicopath
            good, total = await run_open(ask, scenario.share * CAPACITY)
        found.append(Result(scenario.name, variant, good / total, good / SECONDS / CAPACITY))
    return found


async def main() -> None:
    """Run all scenarios and print one line a run."""
    print(f'capacity {CAPACITY:.0f} requests/s, {BOXES} daemons, {ENGINES} engines')
    for scenario in SCENARIOS:
        for result in await run_scenario(scenario):
            print(
                f'{result.scenario:14} {result.variant:12} attainment '
                f'{100 * result.attainment:5.1f}%  goodput {100 * result.goodput:5.1f}%'
            )


if __name__ == '__main__':
    asyncio.run(main())
