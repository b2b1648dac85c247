"""Test requests that end the replicas which run them, coming again and again at any box.

Some requests ended each engine that began to run them. Callers sent them again, with the same path,
key and body and another identifier, to whichever box they reached. Every box counted the engines of
one try only and began at nothing with the next: nineteen and twenty-four engines ended under two
such requests, with eight and thirteen sends after the third engine had ended and every box could
have known for three seconds. Whatever else ran on those engines broke with them, followed to the
same next engine and broke there again.

The lines that settled it: within 0.2 ms two boxes wrote `"replica":"i-...","failure":"broken",
"error":"the connection was lost: None"` for different requests at one engine, and the alerts told
that the engine did not answer from then on. On a day without such requests 1,245 digests of method,
target, workspace and body stood for 1,252 requests, and the seven that came twice were repeats.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from calicopath_core.fleet.deployment import RouteKind
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import RecordKind
from testkit.cases import VirtualCase
from testkit.crashing import CrashingReplicas
from testkit.gateway import GatewayFleet
from testkit.gateway_world import ZONES, deployment, exchange, route

if TYPE_CHECKING:
    from testkit.gateway_replicas import FakeSink

CONTACT_S = 3.0
"""How long after the third end a request must not be sent on any more, but for what follows."""

MOST_LATE = 3
"""Sends later than that which the users' rules allow."""

POISON = '/chat/poison'
ENGINES = 9


class CrashingFleet(GatewayFleet):
    """Hold boxes before nine engines that a request can end, and four desks."""

    replicas: CrashingReplicas

    def __init__(self, *, count: int = 4) -> None:
        super().__init__(count=count)
        self.numbers = itertools.count(1)
        chat = route('chat', RouteKind.STREAMING, 'engine', timeout_s=15.0)
        self.store.write(
            RecordKind.DEPLOYMENT, 'main', deployment(2, routes=(*deployment().routes, chat))
        )
        for number in range(2, ENGINES):
            self.add_replica('engine', number)
        for number in range(2, 4):
            self.add_replica('desk', number)

    def new_replicas(self) -> CrashingReplicas:
        """Return replicas that can end."""
        return CrashingReplicas(store=self.store)

    def add_replica(self, service: str, number: int) -> None:
        """Add a replica."""
        name, zone = f'{service}-{number}', ZONES[number % len(ZONES)]
        replica = Replica(name, service, f'{name}:1', zone, 6, False)
        self.store.write(RecordKind.REPLICA, name, replica)

    def ask(self, box: str, target: str, **changes: object) -> FakeSink:
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
            sinks.append(self.ask(next(boxes), f'{target}{number}'))
            await asyncio.sleep(gap_s)
        return sinks

    async def repeat(self, target: str, gap_s: float, for_s: float) -> list[FakeSink]:
        """Ask for the same again and again, at all boxes in turn."""
        sinks = []
        boxes = itertools.cycle(sorted(self.boxes))
        for _ in range(int(for_s / gap_s)):
            sinks.append(self.ask(next(boxes), target))
            await asyncio.sleep(gap_s)
        return sinks


class Crashing(VirtualCase):
    def check_stopped(self, fleet: CrashingFleet, target: str = POISON) -> None:
        """Check that a request is not sent on once three replicas have ended under it."""
        crashes = fleet.replicas.crashes_under(target)
        self.assertGreaterEqual(len(crashes), 3)
        late = fleet.replicas.sent_after(target, crashes[2] + CONTACT_S)
        self.assertLessEqual(late, MOST_LATE, f'{len(crashes)} replicas ended')

    def test_what_ends_engines_is_stopped_at_every_box_whoever_saw_it(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {POISON}
            await asyncio.gather(fleet.repeat(POISON, 0.4, 12.0), fleet.load('/chat/', 0.15, 12.0))
            await fleet.settle()
            self.check_stopped(fleet)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_what_ends_plain_services_is_stopped_too(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {'/read/poison'}
            await fleet.repeat('/read/poison', 0.7, 15.0)
            await fleet.settle()
            self.check_stopped(fleet, '/read/poison')
            await fleet.stop()

        self.run_virtual(scenario())

    def test_what_may_run_once_only_is_stopped_too(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            await fleet.start()
            fleet.replicas.crashing = {'/pay/poison'}
            await fleet.repeat('/pay/poison', 0.7, 15.0)
            await fleet.settle()
            self.check_stopped(fleet, '/pay/poison')
            await fleet.stop()

        self.run_virtual(scenario())
