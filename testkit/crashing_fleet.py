"""Run gateway boxes before replicas that a request can end."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from calicopath_core.fleet.deployment import RouteKind, Workspace
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import RecordKind
from testkit.cases import VirtualCase
from testkit.crashing import CrashingReplicas, CrashingStages
from testkit.gateway import GatewayFleet
from testkit.gateway_world import FAILURE_DOMAINS, KEY, deployment, exchange, route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from testkit.gateway_replicas import FakeSink

ENGINES = 9
POISON_TARGET = '/chat/poison'
"""What a request asks that ends engines, in most tests."""

BLOCKED_WITHIN_S = 3.0
"""How long after the third end a request must not be sent on any more, but for what follows."""

MAX_LATE_SENDS = 3
"""Sends later than that which the users' rules allow."""

WORKSPACES = (Workspace('hire', (KEY,), None), Workspace('other', ('key-2',), None))


class CrashingFleet(GatewayFleet):
    """Hold boxes before nine engines that a request can end, and four desks."""

    replicas: CrashingReplicas
    stages: CrashingStages

    def __init__(self, *, count: int = 4) -> None:
        super().__init__(count=count)
        self.numbers = itertools.count(1)
        chat = route('chat', RouteKind.STREAMING, 'engine', timeout_s=15.0)
        self.store.write(
            RecordKind.DEPLOYMENT,
            'main',
            deployment(2, routes=(*deployment().routes, chat), workspaces=WORKSPACES),
        )
        for number in range(2, ENGINES):
            self.add_replica('engine', number)
        for number in range(2, 4):
            self.add_replica('desk', number)

    def new_replicas(self) -> CrashingReplicas:
        """Return replicas that can end."""
        return CrashingReplicas(store=self.store)

    def new_stages(self) -> CrashingStages:
        """Return replicas of stages that can end."""
        return CrashingStages(replicas=self.replicas)

    def add_replica(self, service: str, number: int) -> None:
        """Add a replica."""
        name, failure_domain = f'{service}-{number}', FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        replica = Replica(name, service, f'{name}:1', failure_domain, 6, False)
        self.store.write(RecordKind.REPLICA, name, replica)

    def send_request(self, box: str, target: str, **changes: object) -> FakeSink:
        """Have a box serve a request for a target, as a try of its own."""
        name = target.split('/')[1]
        now = asyncio.get_running_loop().time()
        fields = {'target': target, 'path': target} | changes
        return self.serve(box, exchange(next(self.numbers), name, now, **fields))

    async def load(self, target: str, gap_s: float, for_s: float) -> list[FakeSink]:
        """Ask for new things on a route, at all boxes in turn."""
        sinks = []
        boxes = itertools.cycle(sorted(self.boxes))
        for number in range(int(for_s / gap_s)):
            sinks.append(self.send_request(next(boxes), f'{target}{number}'))
            await asyncio.sleep(gap_s)
        return sinks

    async def send_repeatedly(
        self, target: str, gap_s: float, for_s: float, **changes: object
    ) -> list[FakeSink]:
        """Ask for the same again and again, at all boxes in turn."""
        sinks = []
        boxes = itertools.cycle(sorted(self.boxes))
        for _ in range(int(for_s / gap_s)):
            sinks.append(self.send_request(next(boxes), target, **changes))
            await asyncio.sleep(gap_s)
        return sinks


class CrashingCase(VirtualCase):
    """Run boxes before replicas that a request can end."""

    def run_scenario(self, steps: Callable[[CrashingFleet], Awaitable[None]]) -> None:
        """Start a fleet, do some work with it, and stop it."""

        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            await steps(fleet)
            await fleet.stop()

        self.run_virtual(scenario())
