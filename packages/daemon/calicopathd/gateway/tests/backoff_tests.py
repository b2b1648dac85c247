"""Test that replicas which ask a box for a pause get nothing from that box in it.

Three of nine engines turned away all that came for six seconds, with 503 and the wish to get
nothing for 3 s. Nobody read the wish. A run that is turned away is over at once, so the three
looked the least loaded of all and drew the work of the other six: 96 of the 154 jobs that were
placed in those seconds went there, one box sent eight requests within one pause, and 59 requests
were refused that six idle engines could have run:

    6.4 to 12.1 96 lines 'attempt failed', 'declined with 503'
    6.6, 7.4, 7.5, 8.2, 8.4, ... the same box is turned away by the same engine
    11  32 jobs are placed in one second, 26 of them there
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testkit.cases import VirtualCase
from testkit.notice_fleet import NoticeFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PAUSE_S = 3.0
SLACK_S = 0.5
"""What is on its way when a replica asks for a pause may still come."""

MOST = 2
"""How many requests a replica may get from a box in a pause that it asked it for."""

GAP_S = 0.04


class Backoffs(VirtualCase):
    def run_scenario(self, steps: Callable[[NoticeFleet], Awaitable[None]]) -> NoticeFleet:
        """Run boxes and do some work with them."""

        async def scenario() -> NoticeFleet:
            fleet = NoticeFleet()
            await fleet.start()
            await steps(fleet)
            await fleet.stop()
            return fleet

        return self.run_virtual(scenario())

    def check_kept(self, fleet: NoticeFleet) -> None:
        """Check that pauses were asked for, and that hardly anything came in them."""
        sends = fleet.notices.sends_in_backoffs(SLACK_S)
        self.assertNotEqual({}, sends)
        self.assertEqual({}, {key: count for key, count in sends.items() if count > MOST})

    def test_engines_that_ask_for_a_pause_get_it(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.request_backoff(PAUSE_S, 'engine-4', 'engine-5', 'engine-8')
            await fleet.load('letter', GAP_S, for_s=6.0)

        self.check_kept(self.run_scenario(work))

    def test_a_plain_services_replicas_that_ask_for_a_pause_get_it(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.request_backoff(PAUSE_S, 'desk-north', 'desk-south', 'desk-2')
            await fleet.load('read', GAP_S, for_s=6.0)

        self.check_kept(self.run_scenario(work))

    def test_a_stages_replica_that_asks_for_a_pause_gets_it(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.request_backoff(PAUSE_S, 'look-north', 'look-south')
            await fleet.load('draft', 0.2, for_s=6.0)

        self.check_kept(self.run_scenario(work))

    def test_what_others_can_run_is_not_refused(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            names = ('engine-4', 'engine-5', 'engine-8', 'desk-north', 'look-north')
            fleet.request_backoff(PAUSE_S, *names)
            sinks = []
            for kind in ('letter', 'read', 'pay', 'draft') * 40:
                sinks += await fleet.load(kind, GAP_S, for_s=GAP_S)
            await fleet.settle()
            self.assertEqual([], [sink.reason for sink in sinks if sink.status != 200])

        self.run_scenario(work)

    def test_with_every_replica_in_a_pause_requests_are_refused_at_once_until_it_ends(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.request_backoff(PAUSE_S, 'desk-north', 'desk-south', 'desk-2', 'desk-3')
            await fleet.load('read', GAP_S, for_s=1.0)
            asked_at = asyncio.get_running_loop().time()
            sinks = await fleet.load('read', GAP_S, for_s=1.0)
            await fleet.settle()
            self.assertEqual({503}, {sink.status for sink in sinks})
            told = [sink.retry_after_s or 0.0 for sink in sinks]
            self.assertLess(asyncio.get_running_loop().time() - asked_at, 1.1)
            self.assertTrue(all(0 < wait_s <= PAUSE_S for wait_s in told), told)

        self.check_kept(self.run_scenario(work))
