"""Run gateway boxes against replicas that requests can crash."""

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
"""Target of the request that crashes engines in most tests."""

BLOCKED_WITHIN_S = 3.0
"""A request must be blocked this long after the third crash, apart from `MAX_LATE_SENDS`."""

MAX_LATE_SENDS = 3
"""Number of sends that the rules allow after `BLOCKED_WITHIN_S`."""

WORKSPACES = (Workspace('hire', (KEY,), None), Workspace('other', ('key-2',), None))


class CrashingFleet(GatewayFleet):
    """Run boxes with nine engines that requests can crash, and four plain replicas (desks)."""

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
        """Return engines and plain services that can crash."""
        return CrashingReplicas(store=self.store)

    def new_stages(self) -> CrashingStages:
        """Return stage replicas that can crash."""
        return CrashingStages(replicas=self.replicas)

    def add_replica(self, service: str, number: int) -> None:
        """Register a replica in the store."""
        name, failure_domain = f'{service}-{number}', FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        replica = Replica(name, service, f'{name}:1', failure_domain, 6, False)
        self.store.write(RecordKind.REPLICA, name, replica)

    def send_request(self, box: str, target: str, **changes: object) -> FakeSink:
        """Send a box a new request for a target and return its reply sink."""
        name = target.split('/')[1]
        now = asyncio.get_running_loop().time()
        fields = {'target': target, 'path': target} | changes
        return self.serve(box, exchange(next(self.numbers), name, now, **fields))

    async def load(self, target: str, gap_s: float, for_s: float) -> list[FakeSink]:
        """Send requests for distinct targets to all boxes in turn."""
        sinks = []
        boxes = itertools.cycle(sorted(self.boxes))
        for number in range(int(for_s / gap_s)):
            sinks.append(self.send_request(next(boxes), f'{target}{number}'))
            await asyncio.sleep(gap_s)
        return sinks

    async def send_repeatedly(
        self, target: str, gap_s: float, for_s: float, **changes: object
    ) -> list[FakeSink]:
        """Send requests for the same target to all boxes in turn."""
        sinks = []
        boxes = itertools.cycle(sorted(self.boxes))
        for _ in range(int(for_s / gap_s)):
            sinks.append(self.send_request(next(boxes), target, **changes))
            await asyncio.sleep(gap_s)
        return sinks


class CrashingCase(VirtualCase):
    """Run scenarios on a `CrashingFleet`."""

    def run_scenario(self, steps: Callable[[CrashingFleet], Awaitable[None]]) -> None:
        """Start a fleet, run the steps against it, and stop it."""

        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            await steps(fleet)
            await fleet.stop()

        self.run_virtual(scenario())
