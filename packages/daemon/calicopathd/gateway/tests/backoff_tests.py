"""Test that a box sends nothing to a replica during a backoff that the replica asked it for.

An engine that rejects requests with 503 ends each run at once and so looks the least loaded. If
boxes ignore its backoff, it attracts the jobs that other engines could run: with three of nine
engines rejecting for 6 s, 96 of 154 jobs went to them and 59 requests were refused although six
engines were idle.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testkit.cases import VirtualCase
from testkit.notice_fleet import NoticeFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BACKOFF_S = 3.0
SLACK_S = 0.5
"""Time for requests that were under way when the replica asked for a backoff."""

MAX_REQUESTS = 2
"""Requests that a replica may get from a box in one backoff."""

GAP_S = 0.04


class Backoffs(VirtualCase):
    def run_scenario(self, steps: Callable[[NoticeFleet], Awaitable[None]]) -> NoticeFleet:
        async def scenario() -> NoticeFleet:
            fleet = NoticeFleet()
            await fleet.start()
            await steps(fleet)
            await fleet.stop()
            return fleet

        return self.run_virtual(scenario())

    def check_kept(self, fleet: NoticeFleet) -> None:
        """Check that backoffs were asked for and that at most `MAX_REQUESTS` came in each."""
        sends = fleet.notices.sends_in_backoffs(SLACK_S)
        self.assertNotEqual({}, sends)
        self.assertEqual({}, {key: count for key, count in sends.items() if count > MAX_REQUESTS})

    def test_engines_that_ask_for_a_pause_get_it(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.request_backoff(BACKOFF_S, 'engine-4', 'engine-5', 'engine-8')
            await fleet.load('letter', GAP_S, for_s=6.0)

        self.check_kept(self.run_scenario(work))

    def test_a_plain_services_replicas_that_ask_for_a_pause_get_it(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.request_backoff(BACKOFF_S, 'desk-north', 'desk-south', 'desk-2')
            await fleet.load('read', GAP_S, for_s=6.0)

        self.check_kept(self.run_scenario(work))

    def test_a_stages_replica_that_asks_for_a_pause_gets_it(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.request_backoff(BACKOFF_S, 'look-north', 'look-south')
            await fleet.load('draft', 0.2, for_s=6.0)

        self.check_kept(self.run_scenario(work))

    def test_what_others_can_run_is_not_refused(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            names = ('engine-4', 'engine-5', 'engine-8', 'desk-north', 'look-north')
            fleet.request_backoff(BACKOFF_S, *names)
            sinks = []
            for kind in ('letter', 'read', 'pay', 'draft') * 40:
                sinks += await fleet.load(kind, GAP_S, for_s=GAP_S)
            await fleet.settle()
            self.assertEqual([], [sink.reason for sink in sinks if sink.status != 200])

        self.run_scenario(work)

    def test_with_every_replica_in_a_pause_requests_are_refused_at_once_until_it_ends(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.request_backoff(BACKOFF_S, 'desk-north', 'desk-south', 'desk-2', 'desk-3')
            await fleet.load('read', GAP_S, for_s=1.0)
            asked_at = asyncio.get_running_loop().time()
            sinks = await fleet.load('read', GAP_S, for_s=1.0)
            await fleet.settle()
            self.assertEqual({503}, {sink.status for sink in sinks})
            retry_after = [sink.retry_after_s or 0.0 for sink in sinks]
            self.assertLess(asyncio.get_running_loop().time() - asked_at, 1.1)
            self.assertTrue(all(0 < wait_s <= BACKOFF_S for wait_s in retry_after), retry_after)

        self.check_kept(self.run_scenario(work))
