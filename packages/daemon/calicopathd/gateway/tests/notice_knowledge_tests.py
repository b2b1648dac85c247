"""Test how notices in replica responses spread to boxes and affect requests under way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.fleet.notices import EMPTY_NOTICE, Exclusion, Notice
from calicopath_core.scheduling.election import CANDIDATE_COUNT
from testkit.cases import VirtualCase
from testkit.notice_fleet import NoticeFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from calicopathd.gateway.box import GatewayBox

LEAVING_NOTICE = Notice(leaving=True)
BACKOFF_S = 3.0


class KnowledgeCase(VirtualCase):
    def run_scenario(
        self, steps: Callable[[NoticeFleet], Awaitable[None]], *, count: int = 4
    ) -> NoticeFleet:
        """Run some work on a fleet whose store does not answer."""

        async def scenario() -> NoticeFleet:
            fleet = NoticeFleet(count=count)
            await fleet.start()
            fleet.silence_store()
            await steps(fleet)
            await fleet.stop()
            return fleet

        return self.run_virtual(scenario())

    def box(self, fleet: NoticeFleet, name: str) -> GatewayBox:
        return fleet.boxes[name].box

    def receive_notice(self, fleet: NoticeFleet, name: str, replica: str, notice: Notice) -> None:
        """Pass a box a notice as if received in a response of a replica."""
        box = self.box(fleet, name)
        box.gate.on_notice(box.replicas.replicas[replica], notice)

    def boxes_excluding(self, fleet: NoticeFleet, replica: str) -> set[str]:
        """Return the boxes that exclude a replica because it leaves."""
        return {
            name
            for name, item in fleet.boxes.items()
            if item.box.gate.exclusion_of(item.box.replicas.replicas[replica]) is Exclusion.LEAVING
        }


class Leaving(KnowledgeCase):
    def test_what_one_box_is_told_all_know_within_a_second(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            self.receive_notice(fleet, 'box-9', 'engine-4', LEAVING_NOTICE)
            await asyncio.sleep(1.0)
            self.assertEqual(set(fleet.boxes), self.boxes_excluding(fleet, 'engine-4'))

        self.run_scenario(work, count=12)

    def test_the_box_that_places_knows_at_once(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            for number in range(2, 8):
                name = f'engine-{number}'
                self.receive_notice(fleet, 'box-3', name, LEAVING_NOTICE)
                await asyncio.sleep(0.004)
                self.assertIn('box-0', self.boxes_excluding(fleet, name))
                await asyncio.sleep(0.033)

        self.run_scenario(work)

    def test_it_is_known_where_many_messages_are_lost(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.network.loss = 0.4
            self.receive_notice(fleet, 'box-5', 'engine-4', LEAVING_NOTICE)
            await asyncio.sleep(4.0)
            fleet.network.loss = 0.0
            await asyncio.sleep(1.0)
            self.assertEqual(set(fleet.boxes), self.boxes_excluding(fleet, 'engine-4'))

        self.run_scenario(work, count=8)

    def test_a_box_that_starts_is_told(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            self.receive_notice(fleet, 'box-1', 'engine-4', LEAVING_NOTICE)
            await asyncio.sleep(0.5)
            fleet.restore_store()
            await fleet.add_box('box-new', 'north').start()
            await asyncio.sleep(3.0)
            self.assertIn('box-new', self.boxes_excluding(fleet, 'engine-4'))

        self.run_scenario(work)

    def test_it_outlives_the_box_that_places(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            self.receive_notice(fleet, 'box-3', 'engine-4', LEAVING_NOTICE)
            await asyncio.sleep(0.3)
            for number in range(CANDIDATE_COUNT - 1):
                fleet.kill(f'box-{number}')
            await asyncio.sleep(3.0)
            self.assertEqual(set(fleet.boxes), self.boxes_excluding(fleet, 'engine-4'))

        self.run_scenario(work)

    def test_a_service_replaced_as_a_whole_costs_each_box_little(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            before = self.bytes_sent(fleet)
            for number in range(2, 9):
                for box in fleet.boxes:
                    self.receive_notice(fleet, box, f'engine-{number}', LEAVING_NOTICE)
            await asyncio.sleep(2.0)
            sent = max(self.bytes_sent(fleet)[name] - before[name] for name in before)
            # A box may use 24 KB/s for control traffic, pings included.
            self.assertLess(sent / 2.0, 24_000)

        self.run_scenario(work, count=20)

    def bytes_sent(self, fleet: NoticeFleet) -> dict[str, int]:
        """Return the bytes that each box has sent to peers."""
        return {name: fleet.network.sent_bytes.get(f'{name}:7', 0) for name in fleet.boxes}


class UnderWay(KnowledgeCase):
    def test_what_is_placed_and_not_sent_goes_elsewhere_and_costs_no_retry(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            box = self.box(fleet, 'box-3')
            sink = fleet.send_request('box-3', 'letter')
            await asyncio.sleep(0.0015)
            engines = [item for item in box.replicas.replicas.values() if item.service == 'engine']
            for item in engines[1:]:
                self.receive_notice(fleet, 'box-3', item.id, LEAVING_NOTICE)
            await fleet.settle()
            reached = [item.replica for item in fleet.notices.arrivals]
            self.assertEqual((200, [engines[0].id]), (sink.status, reached))
            self.assertEqual(
                0, len(box.executor.context.retry_budgets.for_service('engine').retries)
            )

        self.run_scenario(work)

    def test_a_stream_that_breaks_goes_on_elsewhere(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            fleet.replicas.faults['*'] = ['break:3']
            sink = fleet.send_request('box-1', 'draft')
            while not fleet.notices.arrivals:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.05)
            first = [item.replica for item in fleet.notices.arrivals if 'engine' in item.replica]
            for number in range(2, 6):
                self.receive_notice(fleet, 'box-1', f'engine-{number}', LEAVING_NOTICE)
            await fleet.settle()
            later = [item for item in fleet.notices.arrivals if 'engine' in item.replica]
            self.assertEqual([1, 2, 3, 4, 5, 6], sink.event_ids)
            self.assertNotIn(first, [later[-1].replica])
            self.assertFalse(later[-1].replica in {f'engine-{n}' for n in range(2, 6)})

        self.run_scenario(work)

    def test_a_request_whose_other_replicas_all_leave_is_refused_at_once(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            for name in ('desk-north', 'desk-south', 'desk-2', 'desk-3'):
                self.receive_notice(fleet, 'box-1', name, LEAVING_NOTICE)
            for kind in ('read', 'pay'):
                sink = fleet.send_request('box-1', kind)
                await asyncio.sleep(0.01)
                self.assertEqual((503, 'no-endpoint'), (sink.status, sink.reason))
            self.assertEqual([], fleet.notices.arrivals)

        self.run_scenario(work)

    def test_with_all_engines_leaving_a_stream_is_refused_at_once(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            for item in list(self.box(fleet, 'box-1').replicas.usable('engine')):
                self.receive_notice(fleet, 'box-1', item.id, LEAVING_NOTICE)
            await asyncio.sleep(0.5)
            sink = fleet.send_request('box-2', 'letter')
            await asyncio.sleep(0.02)
            self.assertEqual(503, sink.status)
            self.assertEqual([], fleet.notices.arrivals)

        self.run_scenario(work)


class Backoffs(KnowledgeCase):
    def test_only_the_box_that_was_asked_stays_away(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            self.receive_notice(fleet, 'box-1', 'desk-2', Notice(backoff_s=BACKOFF_S))
            await asyncio.sleep(0.5)
            exclusions = {name: self.exclusion(fleet, name, 'desk-2') for name in fleet.boxes}
            self.assertEqual(Exclusion.BACKOFF, exclusions.pop('box-1'))
            self.assertEqual({None}, set(exclusions.values()))

        self.run_scenario(work)

    def exclusion(self, fleet: NoticeFleet, name: str, replica: str) -> Exclusion | None:
        """Return why a box excludes a replica, `None` if it does not."""
        box = self.box(fleet, name)
        return box.gate.exclusion_of(box.replicas.replicas[replica])

    def test_the_next_scheduler_is_told_what_holds(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            for name in ('engine-4', 'engine-5'):
                self.receive_notice(fleet, 'box-3', name, Notice(backoff_s=60.0))
            await asyncio.sleep(0.1)
            fleet.kill('box-0')
            await asyncio.sleep(2.0)
            scheduler = self.box(
                fleet, self.box(fleet, 'box-3').client.scheduler_address.split(':')[0]
            )
            now = scheduler.clock.monotonic()
            backoffs_of_box = scheduler.scheduler.engine_pools.backoffs.of_box('box-3:7', now)
            self.assertEqual({'engine-4', 'engine-5'}, set(backoffs_of_box))

        self.run_scenario(work)

    def test_a_suspension_counts_as_time(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            self.receive_notice(fleet, 'box-1', 'desk-2', Notice(backoff_s=BACKOFF_S))
            self.box(fleet, 'box-1').clock.suspended_s += BACKOFF_S + 1.0
            self.assertIsNone(self.exclusion(fleet, 'box-1', 'desk-2'))

        self.run_scenario(work)

    def test_an_answer_without_a_backoff_ends_none(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            self.receive_notice(fleet, 'box-1', 'desk-2', Notice(backoff_s=BACKOFF_S))
            self.receive_notice(fleet, 'box-1', 'desk-2', EMPTY_NOTICE)
            self.assertEqual(Exclusion.BACKOFF, self.exclusion(fleet, 'box-1', 'desk-2'))

        self.run_scenario(work)
