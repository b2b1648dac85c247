"""Test a fleet of gateway boxes: the choice of the scheduler, and faults under load."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testkit.cases import VirtualCase
from testkit.gateway import GatewayFleet
from testkit.gateway_replicas import ANY_REPLICA
from testkit.gateway_world import EVENTS, exchange

if TYPE_CHECKING:
    from testkit.gateway_replicas import FakeSink

ALL_EVENTS = list(range(1, EVENTS + 1))


class Scheduling(VirtualCase):
    def test_all_boxes_take_the_oldest_box_for_the_scheduler(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            self.assertEqual({'box-0:7'}, fleet.schedulers())
            await fleet.stop()

        self.run_virtual(scenario())

    def test_pieces_of_all_boxes_share_calls(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            sinks = await load(fleet, 12)
            self.assertEqual([ALL_EVENTS] * 12, [sink.event_ids for sink in sinks])
            pieces = sum(len(calls) for _, calls in fleet.stages.calls)
            self.assertEqual(36, pieces)
            self.assertLess(len(fleet.stages.calls), 18)
            self.assertEqual(1, fleet.stages.max_running_calls)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_the_scheduler_killed_under_load_loses_no_request_that_can_be_repeated(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            sinks = [serve_draft(fleet, number, skip='box-0') for number in range(12)]
            await asyncio.sleep(0.3)
            fleet.kill('box-0')
            sinks += [serve_draft(fleet, number, skip='box-0') for number in range(12, 24)]
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * 24, [sink.event_ids for sink in sinks])
            self.assertEqual({'whole'}, {sink.state for sink in sinks})
            self.assertEqual({'box-1:7'}, fleet.schedulers())
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_restarted_box_ranks_last_and_takes_no_work_back(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            fleet.kill('box-0')
            await asyncio.sleep(1.5)
            self.assertEqual({'box-1:7'}, fleet.schedulers())
            await fleet.add_box('box-0', 'north').start()
            await asyncio.sleep(4.0)
            self.assertEqual({'box-1:7'}, fleet.schedulers())
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_leaving_scheduler_hands_its_jobs_over_with_what_is_made_of_them(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            sinks = [serve_draft(fleet, number, skip='box-0') for number in range(6)]
            await asyncio.sleep(0.2)
            fleet.boxes['box-0'].box.leave()
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * 6, [sink.event_ids for sink in sinks])
            self.assertEqual(18, sum(len(calls) for _, calls in fleet.stages.calls))
            others = {box.box.client.scheduler_address for box in fleet.boxes.values()}
            self.assertEqual({'box-1:7'}, others)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_what_waits_when_a_box_has_to_end_is_refused_as_not_run(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            sinks = [fleet.serve('box-1', exchange(number, 'draft', now())) for number in range(6)]
            await asyncio.sleep(0.1)
            fleet.boxes['box-1'].box.client.reject_waiting()
            await asyncio.sleep(0.01)
            self.assertEqual({(503, 'stopping')}, {(sink.status, sink.reason) for sink in sinks})
            self.assertNotIn(None, [sink.retry_after_s for sink in sinks])
            await asyncio.sleep(1.0)
            self.assertEqual([], fleet.replicas.sent)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_jobs_handed_to_a_scheduler_that_is_dead_are_asked_for_again(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            # box-1 keeps regarding the killed scheduler as alive.
            fleet.kill('box-0')
            candidate = fleet.boxes['box-1'].box.election.candidates['box-0']
            for _ in range(30):
                candidate.last_heard_at = now()
                await asyncio.sleep(0.05)
            self.assertEqual('box-1:7', fleet.boxes['box-2'].box.client.scheduler_address)
            asked_at, sent = now(), fleet.boxes['box-2'].box.link.messages_sent
            sinks = [fleet.serve('box-2', exchange(number, 'draft', now())) for number in range(4)]
            for _ in range(10):
                candidate.last_heard_at = now()
                await asyncio.sleep(0.05)
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * 4, [sink.event_ids for sink in sinks])
            self.assertLess(now() - asked_at, 3.0)
            # The jobs do not bounce between box-2 and the box that hands them over.
            self.assertLess(fleet.boxes['box-2'].box.link.messages_sent - sent, 60)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_question_that_is_lost_on_the_way_is_asked_once_more(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            fleet.network.blocked = lambda source, target: source == 'box-2:7'
            sink = fleet.serve('box-2', exchange(1, 'draft', now()))
            await asyncio.sleep(0.1)
            fleet.network.blocked = lambda source, target: False
            asked_at = now()
            await fleet.settle()
            self.assertEqual(ALL_EVENTS, sink.event_ids)
            self.assertLess(now() - asked_at, 3.0)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_box_that_hears_nobody_schedules_by_itself(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            fleet.network.blocked = lambda source, target: 'box-3:7' in (source, target)
            await asyncio.sleep(1.5)
            self.assertEqual('box-3:7', fleet.boxes['box-3'].box.client.scheduler_address)
            sink = fleet.serve('box-3', exchange(1, 'draft', now()))
            await fleet.settle()
            self.assertEqual(ALL_EVENTS, sink.event_ids)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_scheduler_cut_off_from_the_store_steps_down_for_one_with_contact(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            fleet.boxes['box-0'].store.cut = True
            await asyncio.sleep(6.0)
            self.assertEqual({'box-1:7'}, fleet.schedulers())
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_store_that_is_down_for_all_changes_no_scheduler(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            for box in fleet.boxes.values():
                box.store.cut = True
            await asyncio.sleep(6.0)
            self.assertEqual({'box-0:7'}, fleet.schedulers())
            sink = fleet.serve('box-2', exchange(1, 'draft', now()))
            await fleet.settle()
            self.assertEqual(ALL_EVENTS, sink.event_ids)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_an_outage_that_boxes_notice_one_after_the_other_hands_no_job_over(self) -> None:
        async def scenario() -> set[str]:
            fleet = GatewayFleet()
            await fleet.start()
            seen: set[str] = set()
            for box in fleet.boxes.values():
                box.store.silent = True
                await asyncio.sleep(0.5)
            for _ in range(100):
                await asyncio.sleep(0.05)
                seen |= fleet.schedulers()
            for box in fleet.boxes.values():
                box.store.silent = False
                await asyncio.sleep(0.3)
                seen |= fleet.schedulers()
            await asyncio.sleep(3.0)
            seen |= fleet.schedulers()
            await fleet.stop()
            return seen

        self.assertEqual({'box-0:7'}, self.run_virtual(scenario()))

    def test_what_a_dead_maker_held_is_made_anew_elsewhere(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            sinks = [serve_draft(fleet, number, skip='') for number in range(8)]
            await asyncio.sleep(0.45)
            fleet.stages.faults['look-north'] = 'dead'
            fleet.stages.lose_results('look-north')
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * 8, [sink.event_ids for sink in sinks])
            self.assertEqual(0, fleet.stages.wrong_inputs)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_replica_without_room_is_not_called_again_at_once(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            fleet.stages.faults['look-north'] = 'room'
            sinks = await load(fleet, 8)
            self.assertEqual([ALL_EVENTS] * 8, [sink.event_ids for sink in sinks])
            calls = [replica for replica, _ in fleet.stages.calls if replica == 'look-north']
            self.assertLess(len(calls), 12)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_call_whose_answer_is_lost_is_made_again_as_soon_as_its_replica_is_idle(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            fleet.stages.faults['look-north'] = 'mute'
            asked_at = now()
            sinks = [serve_draft(fleet, number, skip='') for number in range(2)]
            await asyncio.sleep(0.1)
            fleet.stages.faults.clear()
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * 2, [sink.event_ids for sink in sinks])
            self.assertLess(now() - asked_at, 2.0)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_slow_replica_at_work_is_not_taken_for_one_that_lost_its_answer(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            fleet.stages.faults['look-north'] = fleet.stages.faults['look-south'] = 'slow'
            sinks = await load(fleet, 2)
            self.assertEqual([ALL_EVENTS] * 2, [sink.event_ids for sink in sinks])
            self.assertEqual(6, sum(len(calls) for _, calls in fleet.stages.calls))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_replicas_are_asked_for_their_room_only_by_a_box_that_has_work_for_them(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            self.assertEqual(0, fleet.stages.reports)
            await load(fleet, 1)
            self.assertEqual(0, fleet.stages.reports)
            fleet.kill('box-0')
            await asyncio.sleep(1.0)
            self.assertEqual(0, fleet.stages.reports)
            await load(fleet, 1)
            self.assertEqual(4, fleet.stages.reports)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_results_are_given_up_when_nobody_needs_them(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            await load(fleet, 8)
            await asyncio.sleep(0.5)
            self.assertEqual({}, fleet.stages.live_results)
            self.assertEqual({}, fleet.boxes['box-0'].box.scheduler.jobs)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_results_take_no_room_while_an_engine_that_has_fetched_them_reads(self) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            await fleet.start()
            fleet.replicas.faults[ANY_REPLICA] = ['busy']
            sink = serve_draft(fleet, 1, skip='')
            while not fleet.replicas.sent:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            self.assertEqual([], sink.event_ids)
            self.assertEqual({}, fleet.stages.live_results)
            await fleet.settle()
            self.assertEqual(ALL_EVENTS, sink.event_ids)
            await fleet.stop()

        self.run_virtual(scenario())


def now() -> float:
    return asyncio.get_running_loop().time()


def serve_draft(fleet: GatewayFleet, number: int, skip: str) -> FakeSink:
    """Serve a stream with stages on a box other than `skip`."""
    names = [name for name in fleet.boxes if name != skip]
    return fleet.serve(names[number % len(names)], exchange(number, 'draft', now()))


async def load(fleet: GatewayFleet, count: int) -> list[FakeSink]:
    """Serve streams with stages on all boxes and wait for their end."""
    sinks = [serve_draft(fleet, number, skip='') for number in range(count)]
    await fleet.settle()
    return sinks
