"""Test boxes that follow the store through relays while relays, links or the store fail."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from calicopath_core.fleet.notices import Exclusion
from calicopath_core.fleet.store import RecordKind
from testkit.cases import VirtualCase
from testkit.gateway import GatewayFleet
from testkit.gateway_world import deployment, replicas

if TYPE_CHECKING:
    from collections.abc import Iterable

COUNT = 10
MAX_CALLS_AFTER_HISTORY_LOSS = 4
"""Store calls that a box behind relays may make after the store lost its history. It would make 8
if it listed all four kinds again."""

IN_FORCE_S = 2.0
"""Time within which a change must be in force on boxes that reach the store."""


class Relaying(VirtualCase):
    def test_few_boxes_ask_the_store_and_all_follow_it(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            before = calls(fleet)
            await asyncio.sleep(10.0)
            asking = [name for name, count in calls(fleet).items() if count > before[name]]
            self.assertEqual(3, len(asking))
            fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(5))
            await asyncio.sleep(0.05)
            self.assertEqual({5}, versions(fleet))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_replica_that_leaves_is_known_everywhere_at_once(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            leaving = replicas()[0]
            fleet.store.write(RecordKind.REPLICA, leaving.id, leaving._replace(draining=True))
            await asyncio.sleep(0.05)
            for box in fleet.boxes.values():
                self.assertEqual(Exclusion.DRAINING, box.box.replicas.exclusion_of(leaving))
            fleet.store.write(RecordKind.REPLICA, leaving.id, None)
            await asyncio.sleep(0.05)
            for box in fleet.boxes.values():
                self.assertNotIn(leaving.id, box.box.replicas.replicas)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_relays_killed_as_a_change_is_made_delay_it_less_than_it_may(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            for name in relays(fleet):
                fleet.kill(name)
            await self.check_change_applied(fleet, fleet.boxes)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_relays_cut_off_from_the_store_unawares_delay_a_change_less_than_it_may(self) -> None:
        async def scenario(after_s: float) -> None:
            fleet = await started()
            await asyncio.sleep(after_s)
            cut = relays(fleet)
            for name in cut:
                fleet.boxes[name].store.silent = True
            await self.check_change_applied(fleet, fleet.boxes.keys() - set(cut))
            await fleet.stop()

        for step in range(10):
            self.run_virtual(scenario(step * 0.1))

    def test_a_box_that_hears_no_peer_follows_the_store_itself(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            fleet.network.blocked = lambda source, target: 'box-9:7' in (source, target)
            await self.check_change_applied(fleet, ['box-9'])
            await fleet.stop()

        self.run_virtual(scenario())

    def test_updates_lost_on_the_way_are_sent_again(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            fleet.network.loss = 0.3
            await self.check_change_applied(fleet, fleet.boxes)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_nothing_goes_back_when_a_slower_relay_tells_later(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            slow = relays(fleet)[0]
            fleet.boxes[slow].store.silent = True
            seen: list[list[int]] = []
            for version in range(5, 25):
                fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(version))
                for _ in range(5):
                    await asyncio.sleep(0.05)
                    seen.append([box.box.config_version() for box in fleet.boxes.values()])
                if version == 15:
                    fleet.boxes[slow].store.silent = False
            for before, after in itertools.pairwise(seen):
                self.assertTrue(all(a <= b for a, b in zip(before, after, strict=True)))
            await asyncio.sleep(3.0)
            self.assertEqual({24}, versions(fleet))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_history_that_relays_lose_is_read_anew_for_all(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            gone = replicas()[0].id
            fleet.store.records[RecordKind.REPLICA].pop(gone)
            fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(9))
            fleet.store.drop_history()
            await asyncio.sleep(2.5)
            self.assertEqual({9}, versions(fleet))
            for box in fleet.boxes.values():
                self.assertNotIn(gone, box.box.replicas.replicas)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_box_that_starts_while_the_store_is_away_serves_by_what_relays_hold(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(4))
            await asyncio.sleep(0.1)
            for box in fleet.boxes.values():
                box.store.silent = True
            await asyncio.sleep(2.0)
            fleet.kill('box-9')
            again = fleet.add_box('box-9', 'south')
            again.store.silent = True
            await again.start(register=False)
            await asyncio.sleep(2.5)
            self.assertEqual(4, again.box.config_version())
            self.assertTrue(again.box.is_ready())
            await fleet.stop()

        self.run_virtual(scenario())

    def test_an_outage_is_asked_about_by_few(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            for box in fleet.boxes.values():
                box.store.cut = True
            await asyncio.sleep(2.0)
            before = calls(fleet)
            await asyncio.sleep(10.0)
            others = [name for name in fleet.boxes if name not in relays(fleet)]
            for name in others:
                self.assertLess(calls(fleet)[name] - before[name], 3 * 10.0 / 1.5)
            for box in fleet.boxes.values():
                box.store.cut = False
            fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(9))
            await asyncio.sleep(IN_FORCE_S)
            self.assertEqual({9}, versions(fleet))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_the_first_seconds_of_an_outage_cost_a_box_few_calls(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            before = calls(fleet)
            for box in fleet.boxes.values():
                box.store.cut = True
            await asyncio.sleep(6.0)
            others = [name for name in fleet.boxes if name not in relays(fleet)]
            spent = [calls(fleet)[name] - before[name] for name in others]
            self.assertLess(max(spent), 8)
            self.assertLess(sum(spent) / len(spent), 6.0)
            for box in fleet.boxes.values():
                box.store.cut = False
            await asyncio.sleep(3.0)
            returned = [calls(fleet)[name] - before[name] for name in others]
            self.assertLess(max(returned), 10)
            self.assertLess(sum(returned) / len(returned), 6.0)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_the_return_of_the_store_is_known_to_every_kind_at_once(self) -> None:
        async def scenario() -> None:
            fleet = await started()
            for box in fleet.boxes.values():
                box.store.cut = True
            await asyncio.sleep(5.0)
            for box in fleet.boxes.values():
                box.store.cut = False
            fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(9))
            await asyncio.sleep(1.0)
            self.assertEqual({9}, versions(fleet))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_history_that_the_store_forgets_is_read_anew_by_relays_alone(self) -> None:
        async def scenario(deaf_s: float) -> None:
            fleet = await started()
            before = reads(fleet)
            forgetting = asyncio.create_task(fleet.store.compact(deaf_s))
            await asyncio.sleep(0.3)
            fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(5))
            await forgetting
            await asyncio.sleep(IN_FORCE_S)
            self.assertEqual({5}, versions(fleet))
            await asyncio.sleep(3.0)
            others = [name for name in fleet.boxes if name not in relays(fleet)]
            spent = [reads(fleet)[name] - before[name] for name in others]
            self.assertLessEqual(max(spent), MAX_CALLS_AFTER_HISTORY_LOSS)
            await fleet.stop()

        for deaf_s in (1.0, 1.4, 1.8, 2.6):
            self.run_virtual(scenario(deaf_s))

    async def check_change_applied(self, fleet: GatewayFleet, names: Iterable[str]) -> None:
        """Write a new configuration and check that boxes apply it within `IN_FORCE_S`."""
        fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(5))
        await asyncio.sleep(IN_FORCE_S)
        found = {name: fleet.boxes[name].box.config_version() for name in names}
        self.assertEqual(dict.fromkeys(names, 5), found)


async def started() -> GatewayFleet:
    """Return a started fleet whose boxes follow their relays."""
    fleet = GatewayFleet(count=COUNT)
    await fleet.start()
    await asyncio.sleep(3.0)
    return fleet


def reads(fleet: GatewayFleet) -> dict[str, int]:
    """Return how many lists and watches each box has asked for."""
    return {name: box.store.reads for name, box in fleet.boxes.items()}


def calls(fleet: GatewayFleet) -> dict[str, int]:
    """Return the number of store calls of each box."""
    return {name: box.store.calls for name, box in fleet.boxes.items()}


def relays(fleet: GatewayFleet) -> list[str]:
    """Return the names of the relays."""
    return [
        name for name, box in fleet.boxes.items() if box.box.subscription.relay_selection.is_relay
    ]


def versions(fleet: GatewayFleet) -> set[int]:
    """Return the configuration versions in force on all boxes."""
    return {box.box.config_version() for box in fleet.boxes.values()}
