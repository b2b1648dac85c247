"""Test that the paces in replicas' answers reach the estimates, without further messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.exchanges.balancer import LoadReport
from testkit.cases import VirtualCase
from testkit.gateway import GatewayFleet
from testkit.gateway_world import exchange

if TYPE_CHECKING:
    from calicopathd.gateway.box import GatewayBox

SLOW = LoadReport(1, 0, 4, 2.5)
REPLICAS = ('desk-north', 'desk-south', 'engine-north', 'engine-south')


class Paces(VirtualCase):
    def reported(self, route: str, faults: dict[str, list[str]]) -> set[str]:
        """Serve one request on the second of two boxes; return the replicas known as slow.

        They are given with the box that knows it.
        """
        found: set[str] = set()

        async def scenario() -> None:
            fleet = GatewayFleet(count=2)
            await fleet.start()
            fleet.replicas.loads = dict.fromkeys(REPLICAS, SLOW)
            fleet.replicas.faults = faults
            fleet.serve('box-1', exchange(1, route, asyncio.get_running_loop().time()))
            for _ in range(200):
                await asyncio.sleep(0.01)
                for name, box in fleet.boxes.items():
                    found.update(f'{name} {item}' for item in slow_replicas(box.box))
            await fleet.stop()

        self.run_virtual(scenario())
        return found

    def test_the_scheduler_hears_of_an_engine_that_answers_another_box(self) -> None:
        """Guards against a scheduler that places on an engine whose answers report a slow moment:
        only the box that streams sees them."""
        found = self.reported('letter', {})
        known = found & {'box-0 engine-north', 'box-0 engine-south'}
        self.assertEqual(1, len(known))

    def test_the_scheduler_hears_of_an_engine_that_declines(self) -> None:
        """Guards against losing the report of an answer without any event."""
        found = self.reported(
            'letter', {'engine-north': ['declined'], 'engine-south': ['declined']}
        )
        self.assertLessEqual({'box-0 engine-north', 'box-0 engine-south'}, found)

    def test_a_box_remembers_the_pace_of_a_plain_replica_for_itself(self) -> None:
        """Guards against calls to a replica that has just reported a slow moment to this box."""
        found = self.reported('read', {})
        self.assertEqual({'box-1 desk'}, {item.rpartition('-')[0] for item in found})


def slow_replicas(box: GatewayBox) -> list[str]:
    """Return the replicas that a box knows to be in a slow moment."""
    now = box.clock.monotonic()
    return [name for name in box.pace.paces if box.pace.momentary(name, now) > 1]
