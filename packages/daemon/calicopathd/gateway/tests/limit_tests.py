"""Test that all boxes together keep the request limits that replicas advertise."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from calicopath_core.fleet.notices import Notice
from calicopath_core.permits.limits import ENFORCEMENT_DELAY_S, LimitState
from calicopath_core.scheduling.admission import MAX_BIAS
from calicopathd.gateway.run import TICK_INTERVAL_S
from testkit.cases import VirtualCase
from testkit.gateway_world import exchange
from testkit.notice_fleet import NoticeFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from testkit.gateway_replicas import FakeSink

SPAN_S = 4.0
CONTACT_S = 3.0
SURPLUS_SHARE = 1.5
SURPLUS = 5
"""In any 4 s, from 3 s after it first advertised a limit, a replica may get one and a half times
its limit plus five requests."""

PROPAGATION_S = 0.5
"""How long a box may take to apply a limit after it has received it."""

GAP_S = 0.02
ENGINES = tuple(f'engine-{number}' for number in range(2, 9))
DESKS = ('desk-north', 'desk-south', 'desk-2', 'desk-3')


class LimitCase(VirtualCase):
    def run_scenario(
        self, steps: Callable[[NoticeFleet], Awaitable[None]], *, count: int = 8
    ) -> NoticeFleet:
        async def scenario() -> NoticeFleet:
            fleet = NoticeFleet(count=count)
            await fleet.start()
            await steps(fleet)
            await fleet.stop()
            return fleet

        return self.run_virtual(scenario())

    def check_kept(self, fleet: NoticeFleet, per_s: float) -> None:
        """Check that replicas with a limit got requests, but not more than allowed."""
        worst = fleet.notices.max_calls_after_limits(
            span_s=SPAN_S, limit_grace_s=CONTACT_S, notice_grace_s=PROPAGATION_S
        )
        self.assertNotEqual({}, worst)
        most = SURPLUS_SHARE * SPAN_S * per_s + SURPLUS
        self.assertEqual({}, {name: count for name, count in worst.items() if count > most})

    def served(self, sinks: list[FakeSink]) -> int:
        """Return how many requests were served."""
        return sum(sink.status == 200 for sink in sinks)


class Kept(LimitCase):
    def test_an_engine_that_names_a_limit_gets_no_more_than_that(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(1.0, 'engine-4')
            await fleet.load('letter', GAP_S, for_s=10.0)

        self.check_kept(self.run_scenario(work), 1.0)

    def test_a_plain_services_replica_that_names_a_limit_gets_no_more(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(1.0, 'desk-north', 'desk-south')
            await fleet.load('read', GAP_S, for_s=10.0)

        self.check_kept(self.run_scenario(work), 1.0)

    def test_a_stages_replica_that_names_a_limit_gets_no_more(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(0.5, 'look-north')
            await fleet.load('draft', 0.1, for_s=12.0)

        self.check_kept(self.run_scenario(work), 0.5)

    def test_all_replicas_of_a_service_at_once(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(1.0, *DESKS, 'engine-north', 'engine-south', *ENGINES)
            for _ in range(10):
                await fleet.load('read', GAP_S, for_s=0.5)
                await fleet.load('letter', GAP_S, for_s=0.5)

        self.check_kept(self.run_scenario(work), 1.0)

    def test_with_twenty_boxes(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(0.5, 'engine-4', 'desk-2', 'desk-3')
            for _ in range(10):
                await fleet.load('read', GAP_S, for_s=0.5)
                await fleet.load('letter', GAP_S, for_s=0.5)

        self.check_kept(self.run_scenario(work, count=20), 0.5)

    def test_the_box_that_schedules_is_lost_meanwhile(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(1.0, 'engine-4', 'desk-north', 'desk-south', 'look-north')
            await fleet.load('letter', GAP_S, for_s=4.0)
            for name in ('box-0', 'box-1'):
                fleet.kill(name)
                await fleet.load('letter', GAP_S, for_s=2.0)
                await fleet.load('read', GAP_S, for_s=2.0)

        self.check_kept(self.run_scenario(work), 1.0)

    def test_a_limit_that_falls_is_kept_to(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(20.0, 'engine-4', 'desk-north')
            await fleet.load('letter', GAP_S, for_s=2.0)
            await fleet.load('read', GAP_S, for_s=2.0)
            fleet.notices.arrivals.clear()
            fleet.advertise_limit(0.5, 'engine-4', 'desk-north')
            await fleet.load('letter', GAP_S, for_s=8.0)
            await fleet.load('read', GAP_S, for_s=8.0)

        self.check_kept(self.run_scenario(work), 0.5)


class Views(LimitCase):
    def test_a_box_whose_issuer_does_not_know_a_limit_still_uses_the_engine(
        self,
    ) -> None:
        async def work(fleet: NoticeFleet) -> None:
            # Limits reported by other boxes do not reach the issuer.
            issuer = fleet.boxes['box-0'].box.notices
            issuer.limits.merge = mock.Mock(return_value=False)  # type: ignore[method-assign]
            box = fleet.boxes['box-3'].box
            engines = box.replicas.usable('engine')
            for item in engines:
                limit_state = LimitState(item.started_ms, 1.0, ended=False)
                box.notices.limits.merge(item.id, 'engine', limit_state, 5.0, 'box-9')
            await asyncio.sleep(ENFORCEMENT_DELAY_S)
            sinks = []
            for _ in range(20):
                sinks.append(fleet.send_request('box-3', 'draft'))
                await asyncio.sleep(0.2)
            await fleet.settle()
            self.assertEqual(20, self.served(sinks))
            reached = [item for item in fleet.notices.arrivals if 'engine' in item.replica]
            self.assertEqual(20, len(reached))
            pieces = sum(len(calls) for _, calls in fleet.stages.calls)
            self.assertEqual(20 * 3, pieces)

        self.run_scenario(work, count=4)

    def test_what_one_box_is_told_all_know_and_a_box_that_starts(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.silence_store()
            box = fleet.boxes['box-5'].box
            box.gate.on_notice(box.replicas.replicas['desk-2'], Notice(limit_per_s=2.0))
            await asyncio.sleep(1.0)
            fleet.restore_store()
            await fleet.add_box('box-new', 'north').start()
            await asyncio.sleep(3.0)
            limits = [item.box.notices.limits for item in fleet.boxes.values()]
            rates = [item.rate_of(box.replicas.replicas['desk-2']) for item in limits]
            self.assertEqual([2.0] * 9, rates)

        self.run_scenario(work)

    def test_a_service_that_limits_as_a_whole_costs_each_box_little(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            before = {name: self.sent(fleet, name) for name in fleet.boxes}
            for number in range(2, 9):
                for name in fleet.boxes:
                    self.receive_limit(fleet, name, f'engine-{number}', 1.0)
            await asyncio.sleep(1.0)
            # With a limit of one request per second, only one box learns of each change.
            for number in range(2, 9):
                self.receive_limit(fleet, f'box-{number}', f'engine-{number}', 2.0)
            await asyncio.sleep(1.0)
            sent = max(self.sent(fleet, name) - before[name] for name in before)
            # A box may use 24 KB/s for control traffic, pings included.
            self.assertLess(sent / 2.0, 24_000)

        self.run_scenario(work, count=20)

    def receive_limit(self, fleet: NoticeFleet, name: str, replica: str, per_s: float) -> None:
        """Pass a box a limit as if received in a response."""
        box = fleet.boxes[name].box
        box.gate.on_notice(box.replicas.replicas[replica], Notice(limit_per_s=per_s))

    def sent(self, fleet: NoticeFleet, name: str) -> int:
        """Return the bytes that a box has sent to peers."""
        return fleet.network.sent_bytes.get(f'{name}:7', 0)


class Served(LimitCase):
    def test_what_others_can_run_is_not_refused(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(1.0, 'engine-4', 'engine-5', 'desk-2', 'look-north')
            sinks = []
            for kind in ('letter', 'read', 'pay', 'draft', 'letter', 'read') * 40:
                sinks += await fleet.load(kind, GAP_S, for_s=GAP_S)
            await fleet.settle()
            self.assertEqual([], [sink.reason for sink in sinks if sink.status != 200])

        self.run_scenario(work)

    def test_with_every_replica_limited_what_they_take_is_used(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(2.0, *DESKS, 'engine-north', 'engine-south', *ENGINES)
            await fleet.load('read', GAP_S, for_s=2.0)
            desks = await fleet.load('read', GAP_S, for_s=8.0)
            engines = await fleet.load('letter', GAP_S, for_s=8.0)
            await fleet.settle()
            self.assertGreater(self.served(desks), 0.7 * 2.0 * len(DESKS) * 8.0)
            self.assertGreater(self.served(engines), 0.7 * 2.0 * 9 * 8.0)

        self.run_scenario(work)

    def test_what_exceeds_all_limits_is_refused_at_once_with_when_to_come_back(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(0.5, *DESKS, 'engine-north', 'engine-south', *ENGINES)
            for kind in ('read', 'letter'):
                await fleet.load(kind, GAP_S, for_s=4.0)
                await fleet.settle()
                asked_at = asyncio.get_running_loop().time()
                sinks = await fleet.load(kind, 0.001, for_s=0.2)
                await asyncio.sleep(0.1)
                refused = [sink for sink in sinks if sink.status == 503]
                self.assertGreater(len(refused), 50)
                self.assertTrue(all((sink.retry_after_s or 0) > 0 for sink in refused))
                await fleet.settle()
                self.assertLess(asyncio.get_running_loop().time() - asked_at, 9.0)

        self.run_scenario(work)

    def test_what_gets_a_permit_has_time_left_to_run(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(2.0, *DESKS)
            await fleet.load('read', GAP_S, for_s=8.0)
            await fleet.settle()
            waits = [item.at - item.requested_at for item in fleet.notices.arrivals]
            # The route's timeout is 1 s.
            self.assertLess(max(waits), 0.6)

        self.run_scenario(work)

    def test_once_no_limit_is_named_all_is_served_again(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(1.0, *DESKS, 'engine-north', 'engine-south', *ENGINES)
            await fleet.load('read', GAP_S, for_s=4.0)
            await fleet.load('letter', GAP_S, for_s=4.0)
            fleet.clear_limit(*DESKS, 'engine-north', 'engine-south', *ENGINES)
            await fleet.load('read', GAP_S, for_s=2.0)
            await fleet.load('letter', GAP_S, for_s=2.0)
            await fleet.settle()
            sinks = [*await fleet.load('read', GAP_S, for_s=2.0)]
            sinks += await fleet.load('letter', GAP_S, for_s=2.0)
            await fleet.settle()
            self.assertEqual(len(sinks), self.served(sinks))

        self.run_scenario(work)

    def test_one_that_takes_nothing_is_asked_now_and_then_whether_that_holds(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.advertise_limit(0.0, 'engine-4', *DESKS)
            await fleet.load('letter', GAP_S, for_s=8.0)
            await fleet.load('read', GAP_S, for_s=8.0)
            fleet.notices.arrivals.clear()
            fleet.clear_limit('engine-4', *DESKS)
            await fleet.load('letter', GAP_S, for_s=12.0)
            await fleet.load('read', GAP_S, for_s=12.0)
            reached = [item.replica for item in fleet.notices.arrivals]
            self.assertGreater(reached.count('engine-4'), 10)
            self.assertGreater(sum(name in DESKS for name in reached), 100)

        self.run_scenario(work)


class EndedLimits(VirtualCase):
    def test_a_stage_serves_again_after_the_limit_of_its_only_replica_has_ended(self) -> None:
        """Staged requests are refused while the limit holds, so that no call shows its end."""

        async def scenario() -> None:
            fleet = NoticeFleet()
            await fleet.start()
            ticking = asyncio.create_task(run_ticks(fleet))
            fleet.withdraw('look-south')
            fleet.withdraw('look-2')
            await send_drafts(fleet, 4)
            fleet.advertise_limit(0.0, 'look-north')
            await send_drafts(fleet, 4)
            for item in fleet.boxes.values():
                # Stages that were slow for a while raise the estimate for all later jobs.
                item.box.scheduler.admission.set_bias(MAX_BIAS)
            await send_drafts(fleet, 20)
            fleet.clear_limit('look-north')
            await send_drafts(fleet, 20)
            sinks = await send_drafts(fleet, 8)
            await fleet.settle()
            self.assertEqual([], [sink.reason for sink in sinks if sink.status != 200])
            ticking.cancel()
            await fleet.stop()

        self.run_virtual(scenario())


async def run_ticks(fleet: NoticeFleet) -> None:
    """Run the periodic work of every box, as the runner does."""
    while True:
        for item in fleet.boxes.values():
            item.box.tick()
        await asyncio.sleep(TICK_INTERVAL_S)


async def send_drafts(fleet: NoticeFleet, count: int) -> list[FakeSink]:
    """Send staged requests whose callers wait 4 s; return their reply sinks."""
    sinks = []
    for _ in range(count):
        now = asyncio.get_running_loop().time()
        request = exchange(next(fleet.numbers), 'draft', now, deadline_s=4.0)
        sinks.append(fleet.serve('box-1', request))
        await asyncio.sleep(0.5)
    return sinks
