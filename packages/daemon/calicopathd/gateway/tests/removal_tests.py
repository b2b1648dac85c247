"""Test that removals take effect in time while the store answers, whatever single calls do."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from calicopath_core.fleet.evacuations import Evacuation
from calicopath_core.fleet.store import RecordKind
from testkit.cases import VirtualCase
from testkit.gateway import GatewayFleet
from testkit.gateway_world import FAILURE_DOMAINS, HOST, KEY, deployment, replicas

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.fleet.deployment import Deployment
    from calicopathd.gateway.box import GatewayBox

MAX_DELAY_S = 1.5
"""Longest time from the store's acknowledgement of a removal until a box keeps to it."""

ORDERS = 200
CHECK_INTERVAL_S = 0.02
MAX_SINGLE_FAILURES = 3

Step = tuple[float, 'Callable[[], None]']


def cut_all(fleet: GatewayFleet) -> None:
    """Cut every waiting watch."""
    for box in fleet.boxes.values():
        box.store.cut_watches()


def fail_next(fleet: GatewayFleet) -> None:
    """Fail the next call of each box."""
    for box in fleet.boxes.values():
        box.store.failing_calls = 1
        box.store.cut_watches()


class Removals(VirtualCase):
    def longest_delay_s(self, seed: int) -> float:
        """Return the longest time until a removal is in force at every box, in one drawn order."""

        async def scenario() -> float:
            rng = random.Random(seed)
            fleet = GatewayFleet(count=rng.choice((1, 3)))
            await fleet.start()
            name = rng.choice(replicas()).id
            domain = rng.choice(FAILURE_DOMAINS)
            removals: list[tuple[Callable[[], None], Callable[[GatewayBox], bool]]] = [
                (
                    lambda: fleet.store.write(RecordKind.REPLICA, name, None),
                    lambda box: name not in box.replicas.replicas,
                ),
                (
                    lambda: fleet.store.write(RecordKind.DEPLOYMENT, 'main', shrunk()),
                    lambda box: (
                        box.view.current is not None
                        and box.view.current.route_for(HOST, '/read/x') is None
                        and box.view.current.workspace_for(KEY) is None
                    ),
                ),
                (
                    lambda: fleet.store.write(
                        RecordKind.EVACUATION,
                        domain,
                        Evacuation(domain, fleet.store.revision + 1),
                    ),
                    lambda box: domain in box.replicas.evacuated,
                ),
            ]
            remove, is_in_force = removals[seed % len(removals)]
            steps: list[Step] = [
                (
                    rng.uniform(0.0, 1.0),
                    rng.choice((lambda: cut_all(fleet), lambda: fail_next(fleet))),
                )
                for _ in range(rng.randint(1, MAX_SINGLE_FAILURES))
            ]
            # A removal just before, during or after a failed call.
            removed_at = max(0.0, rng.choice(steps)[0] + rng.uniform(-0.1, 0.15))
            steps.append((removed_at, remove))
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            for at, step in sorted(steps, key=lambda item: item[0]):
                await asyncio.sleep(max(0.0, started_at + at - loop.time()))
                step()
            while not all(is_in_force(box.box) for box in fleet.boxes.values()):
                for box in fleet.boxes.values():
                    box.box.tick()
                await asyncio.sleep(CHECK_INTERVAL_S)
                if loop.time() - started_at - removed_at > 2 * MAX_DELAY_S:
                    break
            delay_s = loop.time() - started_at - removed_at
            await fleet.stop()
            return delay_s

        return self.run_virtual(scenario())

    # A watch that a sound store cut counted as an outage and delayed removals by the drain time.
    def test_removals_beside_cut_watches_and_single_failed_calls_are_in_force_in_time(self) -> None:
        late = {
            seed: round(delay_s, 2)
            for seed in range(ORDERS)
            if (delay_s := self.longest_delay_s(seed)) > MAX_DELAY_S
        }
        self.assertEqual({}, late)


def shrunk() -> Deployment:
    """Return a newer configuration without plain routes and keys."""
    first = deployment().routes[0]
    return deployment(2, routes=(first,), workspaces=())
