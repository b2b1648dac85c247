"""Test that every box knows the blocked requests, also after restarts and lost messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testkit.crashing_fleet import (
    BLOCKED_WITHIN_S,
    MAX_LATE_SENDS,
    POISON_TARGET,
    CrashingCase,
    CrashingFleet,
)

if TYPE_CHECKING:
    from testkit.gateway import FleetBox


async def wait_ready(item: FleetBox) -> None:
    """Poll a box until it is ready, as the load balancer does."""
    while not item.box.is_ready():
        await asyncio.sleep(0.01)


class Known(CrashingCase):
    """Test that no box sends a blocked request after restarts, partitions and outages."""

    async def blocked_fleet(self) -> CrashingFleet:
        """Return a started fleet in which a request is blocked."""
        fleet = CrashingFleet()
        await fleet.start()
        fleet.replicas.crashing_targets = {POISON_TARGET}
        await fleet.send_repeatedly(POISON_TARGET, 0.4, 3.0)
        self.sent = fleet.replicas.count_arrivals_after(POISON_TARGET, 0.0)
        return fleet

    async def check_known(self, fleet: CrashingFleet, *names: str) -> None:
        """Check that boxes, all by default, do not send the blocked request to a replica."""
        for name in names or fleet.boxes:
            fleet.send_request(name, POISON_TARGET)
        await fleet.settle()
        self.assertEqual(self.sent, fleet.replicas.count_arrivals_after(POISON_TARGET, 0.0))

    def test_a_box_that_starts_hears_of_it_before_it_is_in_touch(self) -> None:
        async def scenario() -> None:
            fleet = await self.blocked_fleet()
            await fleet.add_box('box-9', 'south').start()
            await asyncio.sleep(2.0)
            await self.check_known(fleet, 'box-9')
            await fleet.stop()

        self.run_virtual(scenario())

    def test_the_scheduler_may_die_between_two_ends(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = {POISON_TARGET}
            fleet.send_request('box-3', POISON_TARGET)
            await asyncio.sleep(1.0)
            fleet.kill('box-0')
            await fleet.send_repeatedly(POISON_TARGET, 0.5, 8.0)
            await fleet.settle()
            self.assertLessEqual(len(fleet.replicas.crash_times(POISON_TARGET)), 4)

        self.run_scenario(work)

    def test_a_box_that_was_cut_off_hears_of_it_when_it_is_back(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.network.blocked = lambda source, target: 'box-3:7' in (source, target)
            fleet.replicas.crashing_targets = {POISON_TARGET}
            del (cut := dict(fleet.boxes))['box-3']
            whole, fleet.boxes = fleet.boxes, cut
            await fleet.send_repeatedly(POISON_TARGET, 0.4, 4.0)
            fleet.boxes = whole
            fleet.network.blocked = lambda source, target: False
            await asyncio.sleep(BLOCKED_WITHIN_S)
            self.sent = fleet.replicas.count_arrivals_after(POISON_TARGET, 0.0)
            await self.check_known(fleet, 'box-3')

        self.run_scenario(work)

    def test_half_of_all_messages_may_be_lost(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.network.loss = 0.5
            fleet.replicas.crashing_targets = {'/read/poison'}
            await fleet.send_repeatedly('/read/poison', 0.7, 12.0)
            crashes = fleet.replicas.crash_times('/read/poison')
            late = fleet.replicas.count_arrivals_after(
                '/read/poison', crashes[2] + BLOCKED_WITHIN_S
            )
            self.assertLessEqual(late, MAX_LATE_SENDS)

        self.run_scenario(work)

    def test_it_is_known_after_every_box_was_killed(self) -> None:
        async def scenario() -> None:
            fleet = await self.blocked_fleet()
            names = list(fleet.boxes)
            for name in names:
                fleet.kill(name)
            for number, name in enumerate(names):
                await fleet.add_box(name, ('north', 'south')[number % 2]).start()
            await asyncio.sleep(BLOCKED_WITHIN_S)
            await self.check_known(fleet)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_it_is_known_as_soon_as_boxes_are_ready_after_all_were_killed(self) -> None:
        # Guards against boxes that are ready before they have the list of blocked requests. One
        # box reads the list 0.1 s after boxes would be ready, and the others get it up to 0.1 s
        # later. Requests of waiting callers arrive in that time, and each of four restarts of
        # all boxes crashed one to three more engines.
        async def scenario() -> None:
            fleet = await self.blocked_fleet()
            names = list(fleet.boxes)
            for name in names:
                fleet.kill(name)
            starts = [
                fleet.add_box(name, ('north', 'south')[number % 2]).start()
                for number, name in enumerate(names)
            ]
            await asyncio.gather(*starts)
            for name in names:
                await wait_ready(fleet.boxes[name])
                fleet.send_request(name, POISON_TARGET)
            await fleet.settle()
            self.assertEqual(self.sent, fleet.replicas.count_arrivals_after(POISON_TARGET, 0.0))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_box_is_ready_soon_where_nobody_can_tell_what_is_blocked(self) -> None:
        async def scenario() -> None:
            fleet = CrashingFleet()
            for item in fleet.boxes.values():
                item.store.blocked_unreadable = True
                await item.start()
            async with asyncio.timeout(2.0):
                await asyncio.gather(*(wait_ready(item) for item in fleet.boxes.values()))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_it_is_known_while_the_store_is_away(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            for item in fleet.boxes.values():
                item.store.cut = True
            fleet.replicas.crashing_targets = {POISON_TARGET}
            await fleet.send_repeatedly(POISON_TARGET, 0.4, 3.0)
            self.sent = fleet.replicas.count_arrivals_after(POISON_TARGET, 0.0)
            self.assertLessEqual(self.sent, 4)
            await self.check_known(fleet)
            for item in fleet.boxes.values():
                item.store.cut = False
            await asyncio.sleep(10.0)
            self.assertEqual(1, len(fleet.store.blocked))

        self.run_scenario(work)
