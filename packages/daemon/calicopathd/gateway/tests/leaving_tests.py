"""Test that a replica which announces in a response that it leaves gets no more requests.

While the store is down, its entry of a leaving replica still says that the replica is ready. If
boxes ignore the headers of the replica's responses, they keep using it: in an outage of 15 s the
scheduler placed nine more jobs there in ten seconds, and two boxes that had seen the header sent
requests 7.4 s and 3.7 s later, where 2 s are allowed.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from testkit.cases import VirtualCase
from testkit.notice_fleet import NoticeFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DRAIN_S = 2.0
"""How long after its announcement to a box a replica may still get requests from it."""

GAP_S = 0.04


class Leaving(VirtualCase):
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

    def check_left(self, fleet: NoticeFleet) -> None:
        """Check that replicas announced leaving, and got no late requests from boxes that knew."""
        self.assertTrue(any(item.notice.leaving for item in fleet.notices.arrivals))
        self.assertEqual([], fleet.notices.late_sends(DRAIN_S))

    def test_an_engine_that_says_so_gets_no_more_requests(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.announce_leaving('engine-4', 'engine-8')
            await fleet.load('letter', GAP_S, for_s=6.0)

        self.check_left(self.run_scenario(work))

    def test_a_plain_services_replica_that_says_so_gets_no_more_requests(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.announce_leaving('desk-north', 'desk-south')
            await fleet.load('read', GAP_S, for_s=6.0)

        self.check_left(self.run_scenario(work))

    def test_a_stages_replica_that_says_so_gets_no_more_calls(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.announce_leaving('look-north', 'look-south')
            await fleet.load('draft', 0.2, for_s=6.0)

        self.check_left(self.run_scenario(work))

    def test_all_are_served_by_the_others(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.announce_leaving('engine-4', 'engine-8', 'look-north', 'look-south', 'desk-north')
            kinds = itertools.cycle(('letter', 'read', 'pay', 'draft'))
            sinks = []
            for _ in range(100):
                sinks += await fleet.load(next(kinds), GAP_S, for_s=GAP_S)
            await fleet.settle()
            self.assertEqual([], [sink.reason for sink in sinks if sink.status != 200])

        self.run_scenario(work)

    def test_the_stores_older_entry_does_not_take_it_back(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.announce_leaving('engine-4', 'engine-8')
            await fleet.load('letter', GAP_S, for_s=2.0)
            fleet.restore_store()
            fleet.rewrite_entry('engine-4')
            await fleet.load('letter', GAP_S, for_s=4.0)
            fleet.store.drop_history()
            await fleet.load('letter', GAP_S, for_s=4.0)

        self.check_left(self.run_scenario(work))

    def test_an_entry_that_lapsed_and_is_back_does_not_take_it_back(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.announce_leaving('engine-4', 'engine-8')
            await fleet.load('letter', GAP_S, for_s=2.0)
            fleet.restore_store()
            await asyncio.sleep(3.0)
            entry = fleet.withdraw('engine-4')
            await fleet.load('letter', GAP_S, for_s=1.0)
            fleet.register(entry)
            await fleet.load('letter', GAP_S, for_s=4.0)

        self.check_left(self.run_scenario(work))
