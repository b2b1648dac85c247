"""Test that boxes which reach no replica serve as others do, and do the others no harm."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.reachability import MIN_UNREACHABLE
from testkit.cases import VirtualCase
from testkit.gateway_world import EVENT_GAP_S
from testkit.partition import Partition
from testkit.partitioned_fleet import PartitionedFleet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from testkit.gateway_replicas import FakeSink

CONTACT_S = 1.0
"""How long after the start of a partition its boxes may serve worse."""

MIN_SERVED_RATIO = 0.95
"""Least share of requests served at partitioned boxes, relative to the other boxes."""

GAP_S = 0.02
RUNNING = 24
JUDGE_S = 0.05
LOAD_S = 6.0


class Served(NamedTuple):
    """Hold the shares of requests that partitioned boxes and the others served."""

    cut: float
    others: float
    reasons: set[str]


def share_served(sinks: Iterable[FakeSink]) -> float:
    """Return the share of requests that were served."""
    found = [sink.status == 200 and sink.state == 'whole' for sink in sinks]
    return sum(found) / max(1, len(found))


class PartitionedFleets(VirtualCase):
    def serve(self, partition: Partition, cut: int, *, with_scheduler: bool) -> Served:
        """Return what eight boxes serve after `CONTACT_S` of a partition of some of them."""

        async def scenario() -> Served:
            fleet = PartitionedFleet()
            await fleet.start()
            await fleet.load(GAP_S, 1.0)
            (scheduler,) = (address.partition(':')[0] for address in fleet.schedulers())
            names = sorted(fleet.boxes, key=lambda name: (name == scheduler) != with_scheduler)
            for name in names[:cut]:
                fleet.links.cut(name, partition)
            await fleet.load(GAP_S, CONTACT_S)
            sinks = await fleet.load(GAP_S, LOAD_S)
            await fleet.settle()
            await fleet.stop()
            every = [sink for found in sinks.values() for sink in found]
            return Served(
                share_served(sink for name in names[:cut] for sink in sinks[name]),
                share_served(sink for name in names[cut:] for sink in sinks[name]),
                {sink.reason for sink in every if sink.status != 200},
            )

        return self.run_virtual(scenario())

    def check(self, partition: Partition, cut: int) -> None:
        """Check partitions of some boxes, with and without the scheduler among them."""
        for with_scheduler in (False, True):
            served = self.serve(partition, cut, with_scheduler=with_scheduler)
            self.assertGreaterEqual(served.others, 0.99, served)
            self.assertGreaterEqual(served.cut, MIN_SERVED_RATIO * served.others, served)

    def test_one_box_with_connections_refused(self) -> None:
        self.check(Partition.NEW_REFUSED, 1)

    def test_one_box_with_connections_reset(self) -> None:
        self.check(Partition.REFUSED, 1)

    def test_one_box_with_connections_hanging(self) -> None:
        self.check(Partition.HANGING, 1)

    def test_half_of_the_boxes_with_connections_reset(self) -> None:
        self.check(Partition.REFUSED, 4)

    def test_half_of_the_boxes_with_connections_hanging(self) -> None:
        self.check(Partition.HANGING, 4)

    def test_all_boxes_but_one_with_connections_reset(self) -> None:
        self.check(Partition.REFUSED, 7)

    def test_all_boxes_but_one_with_connections_hanging(self) -> None:
        self.check(Partition.HANGING, 7)

    def test_engines_are_not_ejected_for_the_runs_that_a_partition_ends(self) -> None:
        async def scenario() -> None:
            fleet = PartitionedFleet()
            await fleet.start()
            (scheduler,) = (address.partition(':')[0] for address in fleet.schedulers())
            cut = next(name for name in sorted(fleet.boxes) if name != scheduler)
            for _ in range(RUNNING):
                fleet.send_to(cut, 'letter')
            await asyncio.sleep(EVENT_GAP_S * 2)
            fleet.links.cut(cut, Partition.REFUSED)
            await asyncio.sleep(JUDGE_S)
            now = fleet.boxes[scheduler].box.clock.monotonic()
            engines = fleet.boxes[scheduler].box.scheduler.engine_pools['engine'].engines
            ejected = [name for name, item in engines.items() if item.ejected_until > now]
            self.assertEqual(RUNNING, sum(fleet.replicas.runs.values()))
            self.assertLess(len(ejected), MIN_UNREACHABLE, ejected)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_nothing_is_held_when_no_box_reaches_a_replica(self) -> None:
        async def scenario() -> None:
            fleet = PartitionedFleet()
            await fleet.start()
            await fleet.load(GAP_S, 1.0)
            for name in fleet.boxes:
                fleet.links.cut(name, Partition.REFUSED)
            await fleet.load(GAP_S, CONTACT_S)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            for name in fleet.boxes:
                for _ in range(3):
                    fleet.send_next(name)
            await fleet.settle()
            self.assertLess(loop.time() - started_at, 2.0)
            for name in fleet.boxes:
                fleet.links.heal(name)
            await asyncio.sleep(CONTACT_S)
            sinks = await fleet.load(GAP_S, 2.0)
            await fleet.settle()
            self.assertEqual(1.0, share_served(sink for found in sinks.values() for sink in found))
            await fleet.stop()

        self.run_virtual(scenario())
