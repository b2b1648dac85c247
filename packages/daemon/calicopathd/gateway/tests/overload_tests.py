"""Test a fleet whose scheduler is too busy, slow, cut off or of an older build."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from calicopath_core.membership.messages import encode
from calicopath_core.scheduling.client import CHECK_INTERVAL_S, MIN_NO_ANSWER_S
from calicopath_core.scheduling.inbox import OVERLOAD_END_S
from calicopath_core.scheduling.messages import AdoptJob, Placed, PlaceJob, Pong, Progress
from calicopath_core.scheduling.shedding import BUSY_REASON
from calicopath_core.scheduling.succession import HAND_OVERS_PER_TICK
from testkit.cases import VirtualCase
from testkit.gateway import GatewayFleet
from testkit.gateway_world import EVENTS, exchange

if TYPE_CHECKING:
    from testkit.gateway_replicas import FakeSink

ALL_EVENTS = list(range(1, EVENTS + 1))
NETWORK_S = 0.01
BURST, DECISION_S = 100, 0.02


def now() -> float:
    return asyncio.get_running_loop().time()


class OverloadCase(VirtualCase):
    async def started(self) -> GatewayFleet:
        """Return a fleet in which box-0 schedules."""
        fleet = GatewayFleet()
        await fleet.start()
        self.assertEqual({'box-0:7'}, fleet.schedulers())
        return fleet

    def serve(self, fleet: GatewayFleet, number: int, name: str = 'box-2') -> FakeSink:
        """Serve a stream with stages."""
        return fleet.serve(name, exchange(number, 'draft', now()))

    def hold_inbox(self, fleet: GatewayFleet, held: list[Any]) -> None:
        """Keep box-0 from deciding about requests, while it handles all other messages."""
        inbox = fleet.boxes['box-0'].box.inbox
        inbox.on_request = held.append  # type: ignore[method-assign,assignment]


class Busy(OverloadCase):
    def test_boxes_refuse_by_themselves_within_the_bound_and_the_role_stays(self) -> None:
        """Guards against a busy scheduler whose role moves on and overloads the next box."""

        async def scenario() -> None:
            fleet = await self.started()
            held: list[Any] = []
            self.hold_inbox(fleet, held)
            asked_at = now()
            sinks = [self.serve(fleet, n, f'box-{n % 4}') for n in range(8)]
            await fleet.settle()
            self.assertLess(now() - asked_at, MIN_NO_ANSWER_S + CHECK_INTERVAL_S + NETWORK_S)
            self.assertEqual({(503, BUSY_REASON)}, {(sink.status, sink.reason) for sink in sinks})
            self.assertNotIn(None, [sink.retry_after_s for sink in sinks])
            await asyncio.sleep(3.0)
            self.assertEqual({'box-0:7'}, fleet.schedulers())
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_scheduler_that_works_off_a_burst_keeps_its_role(self) -> None:
        """Guards against pongs that wait behind seconds of decisions, so that the role moves."""

        async def scenario() -> None:
            fleet = await self.started()
            scheduler = fleet.boxes['box-0'].box.scheduler
            decide = scheduler.on_place
            loop: Any = asyncio.get_running_loop()

            def decide_slowly(place: PlaceJob) -> None:
                loop.virtual_selector.now += DECISION_S
                decide(place)

            scheduler.on_place = decide_slowly  # type: ignore[method-assign]
            sinks = [self.serve(fleet, n, f'box-{n % 4}') for n in range(BURST)]
            roles: set[str] = set()
            while not all(task.done() for task in fleet.request_tasks):
                await asyncio.sleep(0.02)
                roles |= fleet.schedulers()
            self.assertEqual({'box-0:7'}, roles)
            served = sum(sink.event_ids == ALL_EVENTS for sink in sinks)
            refused = sum(sink.reason == BUSY_REASON for sink in sinks)
            self.assertEqual(BURST, served + refused)
            self.assertGreater(served, 0)
            self.assertGreater(refused, 0)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_the_end_of_an_overload_is_reported_without_another_request(self) -> None:
        """Guards against an overload that seems to last for hours at a quiet deployment."""

        async def scenario() -> None:
            fleet = await self.started()
            box = fleet.boxes['box-0'].box
            box.inbox.note_shed(now(), 0.3)
            box.tick()
            self.assertEqual(1, box.inbox.shed_in_overload)
            await asyncio.sleep(OVERLOAD_END_S + 0.1)
            box.tick()
            self.assertEqual(0, box.inbox.shed_in_overload)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_what_a_box_refused_is_never_sent_to_an_engine(self) -> None:
        """Guards against a refusal as not run of a request that a late placement then runs."""

        async def scenario() -> None:
            fleet = await self.started()
            inbox = fleet.boxes['box-0'].box.inbox
            decide = inbox.on_request
            held: list[Any] = []
            self.hold_inbox(fleet, held)
            sink = self.serve(fleet, 1)
            await asyncio.sleep(0.5)
            # The withdrawal is lost, and the scheduler works on the job after the refusal.
            fleet.network.blocked = lambda source, target: source == 'box-2:7'
            await fleet.settle()
            self.assertEqual(BUSY_REASON, sink.reason)
            fleet.network.blocked = lambda source, target: False
            decide(held[0])
            await asyncio.sleep(3.0)
            self.assertEqual([], fleet.replicas.sent)
            self.assertEqual({}, fleet.boxes['box-0'].box.scheduler.jobs)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_short_deadline_without_an_answer_is_refused_as_busy(self) -> None:
        """Guards against `deadline-passed` for a request that nobody has decided about."""

        async def scenario() -> None:
            fleet = await self.started()
            self.hold_inbox(fleet, [])
            sink = fleet.serve('box-2', exchange(1, 'draft', now(), deadline_s=0.3))
            await fleet.settle()
            self.assertEqual((503, BUSY_REASON), (sink.status, sink.reason))
            await fleet.stop()

        self.run_virtual(scenario())


class Faults(OverloadCase):
    def test_a_scheduler_that_dies_with_requests_undecided_loses_none(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            self.hold_inbox(fleet, [])
            sinks = [self.serve(fleet, number, f'box-{1 + number % 3}') for number in range(12)]
            await asyncio.sleep(0.01)
            fleet.kill('box-0')
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * 12, [sink.event_ids for sink in sinks])
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_scheduler_that_one_box_can_not_reach_costs_its_requests_little(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            pair = {'box-0:7', 'box-2:7'}
            fleet.network.blocked = lambda source, target: {source, target} == pair
            asked_at = now()
            sink = self.serve(fleet, 1)
            await fleet.settle()
            self.assertTrue(sink.event_ids == ALL_EVENTS or sink.reason == BUSY_REASON)
            self.assertLess(now() - asked_at, 4.0)
            after = self.serve(fleet, 2)
            await fleet.settle()
            self.assertEqual(ALL_EVENTS, after.event_ids)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_two_schedulers_at_once_place_nothing_twice(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            halves = ({'box-0:7', 'box-1:7'}, {'box-2:7', 'box-3:7'})
            fleet.network.blocked = lambda source, target: (
                not any(source in half and target in half for half in halves)
            )
            sinks = [self.serve(fleet, number, f'box-{number % 4}') for number in range(12)]
            await asyncio.sleep(1.5)
            self.assertEqual({'box-0:7', 'box-2:7'}, fleet.schedulers())
            sinks += [self.serve(fleet, number, f'box-{number % 4}') for number in range(12, 24)]
            await asyncio.sleep(0.1)
            fleet.network.blocked = lambda source, target: False
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * 24, [sink.event_ids for sink in sinks])
            self.assertEqual(24, len(fleet.replicas.sent))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_lost_acknowledgement_refuses_nothing(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            box = fleet.boxes['box-2'].box
            lost: list[Any] = []

            def lose_first(message: Progress) -> None:
                if not lost:
                    lost.append(message)
                    return
                type(box.client).on_progress(box.client, message)

            box.client.on_progress = lose_first  # type: ignore[method-assign]
            sink = self.serve(fleet, 1)
            await fleet.settle()
            self.assertEqual(1, len(lost))
            self.assertEqual(ALL_EVENTS, sink.event_ids)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_lost_placement_whose_inputs_are_freed_is_withdrawn(self) -> None:
        """Guards against an engine that refuses a request because its inputs are gone."""

        async def scenario() -> None:
            fleet = await self.started()
            client = fleet.boxes['box-2'].box.client
            lost: list[Any] = []

            def lose_first(message: Placed) -> None:
                if not lost:
                    lost.append(message)
                    return
                type(client).on_placed(client, message)

            client.on_placed = lose_first  # type: ignore[method-assign]
            sink = self.serve(fleet, 1)
            await fleet.settle()
            self.assertNotEqual((), lost[0].inputs)
            self.assertEqual((503, 'result-gone'), (sink.status, sink.reason))
            assert sink.retry_after_s is not None
            self.assertLess(sink.retry_after_s, 1.0)
            self.assertEqual([], fleet.replicas.sent)
            scheduler = fleet.boxes['box-0'].box.scheduler
            self.assertEqual({}, scheduler.jobs)
            self.assertEqual([], [p.loads() for p in scheduler.engine_pools.values() if p.loads()])
            await fleet.stop()

        self.run_virtual(scenario())


class OlderBuilds(OverloadCase):
    def test_requests_at_a_slow_scheduler_that_sends_no_acknowledgement_are_not_refused(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = GatewayFleet()
            self.make_older(fleet, 'box-0')
            await fleet.start()
            inbox = fleet.boxes['box-0'].box.inbox
            decide = inbox.on_request
            loop = asyncio.get_running_loop()
            inbox.on_request = lambda message: loop.call_later(  # type: ignore[method-assign,assignment]
                1.5, decide, message
            )
            sink = self.serve(fleet, 1)
            await fleet.settle()
            self.assertEqual(ALL_EVENTS, sink.event_ids)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_box_that_ignores_acknowledgements_is_served(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            client = fleet.boxes['box-2'].box.client
            ignored: list[Any] = []
            client.on_progress = ignored.append  # type: ignore[method-assign,assignment]
            sink = self.serve(fleet, 1)
            await asyncio.sleep(0.1)
            self.assertNotEqual([], ignored)
            client.refuse_unanswered = lambda now: None  # type: ignore[method-assign]
            await fleet.settle()
            self.assertEqual(ALL_EVENTS, sink.event_ids)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_pong_of_either_build_is_understood_by_the_other(self) -> None:
        """Guards against boxes that take each other for dead during a roll-out."""

        class OlderPong(msgspec.Struct, frozen=True, tag='yo'):
            box: str
            address: str
            config_version: int
            contact: tuple[float, float, float]
            leaving: bool
            sequence: int
            crashes: str = ''

        pong = Pong('b', 'b:7', 1, (0.0, 0.0, 9.0), False, 3, acknowledges=True)  # type: ignore[arg-type]
        older = msgspec.msgpack.decode(encode(pong), type=OlderPong)
        self.assertEqual(('b', 3, ''), (older.box, older.sequence, older.crashes))
        newer = msgspec.msgpack.decode(encode(older), type=Pong)
        self.assertFalse(newer.acknowledges)
        self.assertEqual('', newer.limits)

    def make_older(self, fleet: GatewayFleet, name: str) -> None:
        """Have a box answer as builds without acknowledgements do."""
        link = fleet.boxes[name].box.link
        send = link.send

        def send_older(address: str, message: Any) -> None:
            if isinstance(message, Pong):
                message = msgspec.structs.replace(message, acknowledges=False)
            if isinstance(message, Progress) and not message.results and not message.freed:
                return
            send(address, message)

        link.send = send_older  # type: ignore[method-assign]
        fleet.boxes[name].box.scheduler.send = send_older


class HandOvers(OverloadCase):
    COUNT = 40

    def watch(self, fleet: GatewayFleet, name: str) -> list[tuple[float, AdoptJob]]:
        """Return a list that records the jobs which a box is given to adopt."""
        adopted: list[tuple[float, AdoptJob]] = []
        inbox = fleet.boxes[name].box.inbox
        decide = inbox.on_request

        def record(message: PlaceJob | AdoptJob) -> None:
            if isinstance(message, AdoptJob):
                adopted.append((now(), message))
            decide(message)

        inbox.on_request = record  # type: ignore[method-assign]
        return adopted

    def test_many_jobs_are_handed_over_in_portions_and_none_is_lost(self) -> None:
        """Guards against a hand-over that makes the next scheduler too busy at once."""

        async def scenario() -> None:
            fleet = await self.started()
            adopted = self.watch(fleet, 'box-1')
            sinks = [self.serve(fleet, n, f'box-{1 + n % 3}') for n in range(self.COUNT)]
            await asyncio.sleep(0.35)
            fleet.boxes['box-0'].box.leave()
            # These arrive while jobs wait to be handed over.
            for number in range(self.COUNT, self.COUNT + 5):
                sinks.append(self.serve(fleet, number, 'box-0'))
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * len(sinks), [sink.event_ids for sink in sinks])
            self.assertGreater(len(adopted), HAND_OVERS_PER_TICK)
            for at, _ in adopted:
                within = sum(at <= other < at + 0.04 for other, _ in adopted)
                self.assertLessEqual(within, 2 * HAND_OVERS_PER_TICK)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_box_that_schedules_again_serves_what_it_has_not_handed_over(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            sinks = [self.serve(fleet, number) for number in range(self.COUNT)]
            # Between two ticks, so that none hands jobs over before the check below.
            await asyncio.sleep(0.3 + NETWORK_S)
            scheduler = fleet.boxes['box-0'].box.scheduler
            scheduler.succession.step_down('box-1:7')
            for number in range(self.COUNT, self.COUNT + 5):
                sinks.append(self.serve(fleet, number))
            await asyncio.sleep(NETWORK_S)
            self.assertGreater(scheduler.succession.waiting, 0)
            scheduler.succession.activate()
            await asyncio.sleep(1.0)
            self.assertEqual(0, scheduler.succession.waiting)
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * len(sinks), [sink.event_ids for sink in sinks])
            await fleet.stop()

        self.run_virtual(scenario())

    def test_new_requests_at_a_box_that_has_stepped_down_are_all_served(self) -> None:
        """Guards against requests beyond the portion of a tick that nobody decides about."""

        async def scenario() -> None:
            fleet = await self.started()
            scheduler = fleet.boxes['box-0'].box.scheduler
            scheduler.succession.step_down('box-1:7')
            sinks = [self.serve(fleet, number) for number in range(self.COUNT)]
            await asyncio.sleep(3 * NETWORK_S)
            self.assertEqual({}, scheduler.jobs)
            self.assertEqual(self.COUNT, len(fleet.boxes['box-1'].box.scheduler.jobs))
            await fleet.settle()
            self.assertEqual([ALL_EVENTS] * len(sinks), [sink.event_ids for sink in sinks])
            await fleet.stop()

        self.run_virtual(scenario())
