"""Test the store calls of starting boxes, one by one and all at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from calicopath_core.fleet.starting import RELAY_SYNC_WAIT_S, STARTUP_TIMEOUT_S
from calicopath_core.fleet.store import FleetStoreError, RecordKind
from testkit.cases import VirtualCase
from testkit.gateway import GatewayFleet
from testkit.gateway_world import deployment

if TYPE_CHECKING:
    from testkit.gateway import FleetBox

COUNT = 40
MAX_CALLS_PER_START = 3
"""Write the own record, read the relays, and list the boxes if no relays are stored yet."""


class Starting(VirtualCase):
    async def started(self) -> GatewayFleet:
        """Return a started fleet whose relays are stored."""
        fleet = GatewayFleet(count=COUNT)
        await fleet.start()
        await asyncio.sleep(2.0)
        return fleet

    async def restarted(self, fleet: GatewayFleet, name: str) -> FleetBox:
        """Kill a box and start it again."""
        fleet.kill(name)
        again = fleet.add_box(name, 'south')
        await again.start()
        return again

    def test_a_start_of_all_boxes_asks_the_store_three_times_a_box(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            asked = [box.store.calls for box in fleet.boxes.values()]
            others = [calls for calls in asked if calls <= MAX_CALLS_PER_START]
            self.assertGreaterEqual(len(others), COUNT - 3)
            self.assertTrue(all(box.box.is_ready() for box in fleet.boxes.values()))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_box_that_restarts_asks_twice_and_knows_everything_at_once(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            again = await self.restarted(fleet, f'box-{COUNT - 1}')
            await asyncio.sleep(0.1)
            self.assertTrue(again.box.is_ready())
            self.assertEqual(COUNT, again.box.election.box_count())
            await asyncio.sleep(5.0)
            self.assertEqual(2, again.store.calls)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_relays_written_down_that_are_gone_cost_a_start_little(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            noted = {box.name for box in fleet.store.relays or ()}
            for name in noted:
                fleet.kill(name)
            fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(7))
            again = await self.restarted(fleet, f'box-{COUNT - 1}')
            await asyncio.sleep(2 * RELAY_SYNC_WAIT_S + 0.2)
            self.assertTrue(again.box.is_ready())
            self.assertEqual(7, again.box.config_version())
            await fleet.stop()

        self.run_virtual(scenario())

    def test_boxes_all_killed_at_once_are_ready_again_at_once(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            names = list(fleet.boxes)
            for name in names:
                fleet.kill(name)
            for name in names:
                await fleet.add_box(name, 'south').start()
            await asyncio.sleep(0.5)
            self.assertTrue(all(box.box.is_ready() for box in fleet.boxes.values()))
            asked = sorted(box.store.calls for box in fleet.boxes.values())
            self.assertEqual([2] * (COUNT - 3), asked[: COUNT - 3])
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_store_that_fails_to_tell_relays_keeps_nobody_from_starting(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            again = fleet.add_box('box-new', 'south')
            unread = mock.AsyncMock(side_effect=FleetStoreError('unread'))
            with mock.patch.object(again.store, 'read_relays', unread):
                await again.start()
                await asyncio.sleep(STARTUP_TIMEOUT_S + 0.5)
            self.assertLessEqual(unread.await_count, 12)
            self.assertTrue(again.box.is_ready())
            await fleet.stop()

        self.run_virtual(scenario())

    def test_changed_relays_are_written_down(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            before = fleet.store.relays or ()
            first = before[0].name
            fleet.kill(first)
            fleet.store.write(RecordKind.BOX, first, None)
            await asyncio.sleep(3.0)
            after = {box.name for box in fleet.store.relays or ()}
            self.assertNotIn(first, after)
            self.assertEqual(3, len(after))
            await fleet.stop()

        self.run_virtual(scenario())
