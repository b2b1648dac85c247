"""Test that a fleet of boxes follows evacuations of failure domains and their end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.fleet.store import RecordKind
from testkit.cases import VirtualCase
from testkit.gateway import EVACUATE_S, GatewayFleet
from testkit.gateway_world import EVENTS, exchange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from testkit.gateway_replicas import FakeSink

ALL_EVENTS = list(range(1, EVENTS + 1))
PROPAGATION_S = 0.1
"""Time after which every box of the test fleet has the record of an evacuation."""

RELAYED_BOXES = 12
"""Enough boxes for the fleet to use relays."""


class Evacuating(VirtualCase):
    def run_fleet(
        self, scenario: Callable[[GatewayFleet], Awaitable[None]], *, count: int = 4
    ) -> None:
        """Run a scenario on a started fleet, and stop the fleet."""

        async def whole() -> None:
            fleet = GatewayFleet(count=count)
            await fleet.start()
            try:
                await scenario(fleet)
            finally:
                await fleet.stop()

        self.run_virtual(whole())

    def test_nothing_reaches_a_failure_domain_taken_out_and_running_requests_finish(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            sinks = burst(fleet, range(12))
            await asyncio.sleep(0.2)
            fleet.evacuate('south')
            await asyncio.sleep(PROPAGATION_S)
            before = reached(fleet)
            sinks += burst(fleet, range(12, 36))
            await fleet.settle()
            self.assertNotEqual([], south(before))
            self.assertEqual(south(before), south(reached(fleet)))
            self.assertEqual({'whole'}, {sink.state for sink in sinks})
            self.assertEqual({200}, {sink.status for sink in sinks})

        self.run_fleet(scenario)

    def test_a_restored_failure_domain_gets_its_share_within_seconds(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            fleet.evacuate('south')
            await asyncio.sleep(1.0)
            fleet.end_evacuation('south')
            await asyncio.sleep(PROPAGATION_S)
            burst(fleet, range(24))
            await fleet.settle()
            services = {name.partition('-')[0] for name in south(reached(fleet))}
            self.assertEqual({'engine', 'look', 'rank', 'desk'}, services)

        self.run_fleet(scenario)

    def test_out_and_back_within_a_second_leaves_the_failure_domain_in(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            for _ in range(3):
                fleet.evacuate('south')
                await asyncio.sleep(0.15)
                fleet.end_evacuation('south')
                await asyncio.sleep(0.15)
            burst(fleet, range(24))
            await fleet.settle()
            self.assertNotEqual([], south(reached(fleet)))

        self.run_fleet(scenario)

    def test_with_every_failure_domain_out_all_is_refused_at_once_as_not_run(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            fleet.evacuate('south')
            fleet.evacuate('north')
            await asyncio.sleep(PROPAGATION_S)
            asked_at = asyncio.get_running_loop().time()
            sinks = burst(fleet, range(12))
            await fleet.settle()
            self.assertLess(asyncio.get_running_loop().time() - asked_at, 0.1)
            self.assertEqual({503}, {sink.status for sink in sinks})
            self.assertNotIn(None, [sink.retry_after_s for sink in sinks])
            self.assertEqual([], reached(fleet))

        self.run_fleet(scenario)

    def test_results_stored_in_the_failure_domain_are_read_and_not_recomputed(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            sinks = [fleet.serve('box-1', exchange(number, 'draft', now())) for number in range(4)]
            while len(fleet.stages.live_results) < 2:
                await asyncio.sleep(0.01)
            fleet.evacuate('south')
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * 4, [sink.event_ids for sink in sinks])
            self.assertEqual(12, sum(len(calls) for _, calls in fleet.stages.calls))

        self.run_fleet(scenario)

    def test_results_there_are_left_to_run_out_and_not_given_up_by_a_call(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            sinks = [fleet.serve('box-1', exchange(number, 'draft', now())) for number in range(4)]
            while len(fleet.stages.live_results) < 2:
                await asyncio.sleep(0.01)
            fleet.evacuate('south')
            await asyncio.sleep(PROPAGATION_S)
            before = len(fleet.stages.freed_addresses)
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * 4, [sink.event_ids for sink in sinks])
            freed = fleet.stages.freed_addresses[before:]
            self.assertNotEqual([], freed)
            self.assertEqual([], [address for address in freed if 'south' in address])

        self.run_fleet(scenario)

    def test_an_engine_chosen_by_a_scheduler_that_has_not_heard_is_passed_over(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            fleet.boxes['box-0'].store.cut = True
            await asyncio.sleep(0.3)
            fleet.evacuate('south')
            await asyncio.sleep(PROPAGATION_S)
            self.assertEqual({'box-0:7'}, fleet.schedulers())
            sinks = [fleet.serve('box-1', exchange(number, 'letter', now())) for number in range(8)]
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * 8, [sink.event_ids for sink in sinks])
            self.assertEqual([], south(reached(fleet)))
            # Passed over before a permit is taken or a connection is opened.
            metrics = fleet.boxes['box-1'].box.observer.metrics
            self.assertNotEqual([], metrics.replicas_skipped.get_all())
            self.assertEqual([], metrics.calls_held_back.get_all())

        self.run_fleet(scenario)

    def test_a_box_that_starts_knows_before_it_is_ready(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            fleet.evacuate('south')
            await asyncio.sleep(PROPAGATION_S)
            fleet.kill('box-3')
            started = fleet.add_box('box-3', 'south')
            await started.start()
            while not started.box.is_ready():
                await asyncio.sleep(0.005)
            sinks = [fleet.serve('box-3', exchange(number, 'pay', now())) for number in range(12)]
            await fleet.settle()
            self.assertEqual({'whole'}, {sink.state for sink in sinks})
            self.assertEqual([], south(reached(fleet)))

        for count in (4, RELAYED_BOXES):
            self.run_fleet(scenario, count=count)

    def test_relays_tell_boxes_that_the_store_fails(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            relays = {
                box.name for box in fleet.boxes['box-0'].box.subscription.relay_selection.relays
            }
            cut = [box for name, box in fleet.boxes.items() if name not in relays]
            for box in cut:
                box.store.cut = True
            await asyncio.sleep(1.0)
            fleet.evacuate('south')
            await asyncio.sleep(0.5)
            self.assertEqual(
                [{'south'}] * len(cut), [set(box.box.evacuations.active) for box in cut]
            )
            fleet.end_evacuation('south')
            await asyncio.sleep(0.5)
            self.assertEqual([set()] * len(cut), [set(box.box.evacuations.active) for box in cut])

        self.run_fleet(scenario, count=RELAYED_BOXES)

    def test_boxes_that_the_store_serves_hear_though_all_relays_are_turned_away(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            relays = {
                box.name for box in fleet.boxes['box-0'].box.subscription.relay_selection.relays
            }
            for name in relays:
                fleet.boxes[name].store.cut = True
            fleet.evacuate('south')
            await asyncio.sleep(EVACUATE_S - 1.0)
            served = [box for name, box in fleet.boxes.items() if name not in relays]
            held = [set(box.box.evacuations.active) for box in served]
            self.assertEqual([{'south'}] * len(served), held)

        self.run_fleet(scenario, count=RELAYED_BOXES)

    def test_a_failure_domain_restored_while_a_box_was_cut_off_is_restored_there_too(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            fleet.evacuate('south')
            await asyncio.sleep(PROPAGATION_S)
            for box in fleet.boxes.values():
                box.store.cut = True
            fleet.end_evacuation('south')
            fleet.store.drop_history()
            await asyncio.sleep(2.5)
            for box in fleet.boxes.values():
                box.store.cut = False
            await asyncio.sleep(4.0)
            held = [set(box.box.evacuations.active) for box in fleet.boxes.values()]
            self.assertEqual([set()] * len(fleet.boxes), held)

        for count in (4, RELAYED_BOXES):
            self.run_fleet(scenario, count=count)

    def test_a_watch_that_goes_silent_alone_is_noticed_within_the_bound(self) -> None:
        async def scenario(fleet: GatewayFleet) -> None:
            for box in fleet.boxes.values():
                box.store.silent_watches.add(RecordKind.EVACUATION)
            fleet.evacuate('south')
            await asyncio.sleep(EVACUATE_S - 1.0)
            held = [set(box.box.evacuations.active) for box in fleet.boxes.values()]
            self.assertEqual([{'south'}] * len(fleet.boxes), held)

        for count in (4, RELAYED_BOXES):
            self.run_fleet(scenario, count=count)


def burst(fleet: GatewayFleet, numbers: range) -> list[FakeSink]:
    """Serve one request per number, spread over all routes and boxes."""
    names = sorted(fleet.boxes)
    routes = ('draft', 'letter', 'read', 'pay')
    return [
        fleet.serve(
            names[number % len(names)],
            exchange(number, routes[number // 2 % len(routes)], now(), deadline_s=20.0),
        )
        for number in numbers
    ]


def reached(fleet: GatewayFleet) -> list[str]:
    """Return the sorted names of the replicas of all calls so far, stage calls included."""
    called = [name for name, _ in fleet.stages.calls]
    return sorted(called + [outbound.replica.id for outbound in fleet.replicas.sent])


def south(names: list[str]) -> list[str]:
    """Return the replicas of the failure domain `south`."""
    return [name for name in names if name.endswith('south')]


def now() -> float:
    return asyncio.get_running_loop().time()
