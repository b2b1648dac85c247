"""Test that brittle replicas, which fall over if they turn many requests away, stay up."""

from __future__ import annotations

import asyncio

from testkit.brittle import SLOTS, WORK_S, BrittleFleet
from testkit.cases import VirtualCase

REPLICAS = 4
CONTACT_S = 3.0
MAX_FALLS = (2 + REPLICAS / 10) / 2
"""Half of the falls that the rule allows."""

CAPACITY_PER_S = REPLICAS * SLOTS / WORK_S


class BrittleReplicas(VirtualCase):
    def falls(
        self, load: float, *, count: int = 8, route: str = 'pay', brittle_per_s: int = 5
    ) -> tuple[int, float]:
        """Return the falls under a load, as a share of capacity, and the share served of it.

        The replicas let none wait from `CONTACT_S` on.
        """

        async def scenario() -> tuple[int, float]:
            fleet = BrittleFleet(count=count, brittle_per_s=brittle_per_s)
            await fleet.start()
            await fleet.load(route, 0.05, CONTACT_S)
            fleet.shrink_queues(0)
            sinks = await fleet.load(route, 1 / (load * CAPACITY_PER_S), 5.0)
            await fleet.settle()
            await fleet.stop()
            served = sum(sink.status == 200 for sink in sinks) / len(sinks)
            return fleet.falls, served

        return self.run_virtual(scenario())

    def test_no_replica_falls_over_below_capacity(self) -> None:
        falls, served = self.falls(0.6)
        self.assertEqual(0, falls)
        self.assertGreater(served, 0.9)

    def test_few_replicas_fall_over_in_an_overload(self) -> None:
        falls, served = self.falls(2.0)
        self.assertLessEqual(falls, MAX_FALLS)
        self.assertGreater(served, 0.3)

    def test_few_replicas_fall_over_in_an_overload_of_repeatable_requests(self) -> None:
        falls, served = self.falls(2.0, route='read')
        self.assertLessEqual(falls, MAX_FALLS)
        self.assertGreater(served, 0.3)

    def test_replicas_serve_as_before_once_they_are_not_brittle(self) -> None:
        async def scenario() -> None:
            fleet = BrittleFleet()
            await fleet.start()
            await fleet.load('pay', 0.05, 1.0)
            fleet.notices.current.clear()
            await fleet.load('pay', 0.01, 1.0)
            sinks = await fleet.load('pay', 1 / (0.8 * CAPACITY_PER_S), 1.0)
            await fleet.settle()
            served = sum(sink.status == 200 for sink in sinks) / len(sinks)
            self.assertGreater(served, 0.95)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_requests_that_find_no_room_are_refused_soon(self) -> None:
        async def scenario() -> None:
            fleet = BrittleFleet()
            await fleet.start()
            await fleet.load('pay', 0.05, CONTACT_S)
            fleet.shrink_queues(0)
            loop = asyncio.get_running_loop()
            for _ in range(500):
                fleet.send_request('box-1', 'pay')
            started_at = loop.time()
            await fleet.settle()
            # The route's timeout is 1 s; half of it may be spent waiting for room.
            self.assertLess(loop.time() - started_at, 0.7)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_more_boxes_than_slots_divide_the_replicas_among_them(self) -> None:
        falls, served = self.falls(0.6, count=28)
        self.assertEqual(0, falls)
        self.assertGreater(served, 0.9)

    def test_few_replicas_that_bear_little_fall_over_when_boxes_outnumber_slots(self) -> None:
        falls, _ = self.falls(2.0, count=28, brittle_per_s=2)
        self.assertLessEqual(falls, MAX_FALLS)
