"""Test that the log tells what ended an answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from structlog.testing import capture_logs

from calicopath_core.exchanges.context import CALLER_LEFT
from calicopathd import events
from calicopathd.gateway.tests.exchanges_tests import BOTH_DESKS, BOTH_ENGINES, ExchangeCase, now
from testkit.gateway_world import exchange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from testkit.gateway import GatewayFleet


class EndedAnswers(ExchangeCase):
    """Read the line that each exchange writes at its end."""

    def line_of(self, work: Callable[[GatewayFleet], Awaitable[None]]) -> dict[str, Any]:
        """Return the line of the only exchange that some work serves."""
        with capture_logs() as lines:
            self.play_work(work)
        found = [line for line in lines if line['event_number'] == events.EXCHANGE_ENDED.number]
        self.assertEqual(1, len(found))
        return dict(found[0])

    # A record did not show whether the caller, a replica, a timeout or a stop had ended an answer.
    def test_a_lost_answer_names_what_ended_it(self) -> None:
        async def silent_desks(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {name: ['dark'] for name in BOTH_DESKS}
            fleet.serve('box-0', exchange(1, 'pay', now()))
            await fleet.settle()

        async def broken_engines(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {name: ['break:2'] * 3 for name in BOTH_ENGINES}
            fleet.serve('box-0', exchange(1, 'draft', now()))
            await fleet.settle()

        async def leaving_caller(fleet: GatewayFleet) -> None:
            fleet.serve('box-0', exchange(1, 'draft', now()))
            await asyncio.sleep(0.1)
            fleet.request_tasks[0].cancel(CALLER_LEFT)
            await fleet.settle()

        async def stop(fleet: GatewayFleet) -> None:
            fleet.serve('box-0', exchange(1, 'draft', now()))
            await asyncio.sleep(0.1)
            fleet.request_tasks[0].cancel()
            await fleet.settle()

        self.assertEqual('deadline', self.line_of(silent_desks)['ended_by'])
        broken = self.line_of(broken_engines)
        self.assertEqual(('replica', 'attempts'), (broken['ended_by'], broken['retry_refused']))
        self.assertEqual('caller', self.line_of(leaving_caller)['ended_by'])
        self.assertEqual('stop', self.line_of(stop)['ended_by'])
