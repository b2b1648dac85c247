"""Test that boxes stop calling a replica once another replica responds at its address."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from calicopath_core.fleet.notices import Exclusion
from testkit.cases import VirtualCase
from testkit.notice_fleet import NoticeFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_CALLS = 8
"""Calls that four boxes may send to a replaced replica: two each are under way when it shows."""

GAP_S = 0.04


class Replaced(VirtualCase):
    def run_scenario(self, steps: Callable[[NoticeFleet], Awaitable[None]]) -> NoticeFleet:
        """Run some work on a fleet whose store does not answer."""

        async def scenario() -> NoticeFleet:
            fleet = NoticeFleet()
            await fleet.start()
            fleet.silence_store()
            await steps(fleet)
            await fleet.stop()
            return fleet

        return self.run_virtual(scenario())

    def check(self, route: str, gap_s: float, *names: str) -> None:
        """Check that all requests are served and replaced replicas get at most `MAX_CALLS` each."""

        async def work(fleet: NoticeFleet) -> None:
            fleet.replace(*names)
            sinks = await fleet.load(route, gap_s, for_s=6.0)
            await fleet.settle()
            self.assertEqual([], [sink.reason for sink in sinks if sink.status != 200])

        fleet = self.run_scenario(work)
        calls = Counter(
            item.replica for item in fleet.notices.arrivals if item.notice.from_other_replica
        )
        self.assertTrue(calls)
        self.assertLessEqual(max(calls.values()), MAX_CALLS)

    # Otherwise each request is sent to the same dead replicas until the retry budget is empty.
    def test_engines_cost_a_handful_of_calls_and_no_request(self) -> None:
        self.check('letter', GAP_S, 'engine-2', 'engine-3', 'engine-4', 'engine-north')

    def test_plain_services_too(self) -> None:
        self.check('read', GAP_S, 'desk-north', 'desk-2')

    def test_stages_too(self) -> None:
        self.check('draft', 0.2, 'look-north', 'look-2')

    def test_all_boxes_know_within_a_second(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.replace('engine-2')
            box = fleet.boxes['box-3'].box
            replica = box.replicas.replicas['engine-2']
            box.gate.on_notice(replica, fleet.notices.current['engine-2'])
            await asyncio.sleep(1.0)
            exclusions = {item.box.gate.exclusion_of(replica) for item in fleet.boxes.values()}
            self.assertEqual({Exclusion.GONE}, exclusions)

        self.run_scenario(work)

    def test_one_that_is_announced_at_another_address_is_called(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.restore_store()
            box = fleet.boxes['box-0'].box
            replica = box.replicas.replicas['engine-2']
            fleet.replace('engine-2')
            box.gate.on_notice(replica, fleet.notices.current['engine-2'])
            await asyncio.sleep(3.0)
            fleet.register(replica._replace(address='engine-2:9'))
            await asyncio.sleep(1.0)
            for item in fleet.boxes.values():
                self.assertIsNone(item.box.gate.exclusion_of(replica))

        self.run_scenario(work)
