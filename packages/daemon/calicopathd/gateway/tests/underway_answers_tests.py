"""Test that answers which are underway end only for a proven reason."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from structlog.testing import capture_logs

from calicopath_core.exchanges.budget import BudgetTerms
from calicopath_core.fleet.store import RecordKind
from calicopathd import events
from calicopathd.gateway.tests.exchanges_tests import (
    ALL_EVENTS,
    BOTH_DESKS,
    BOTH_ENGINES,
    ExchangeCase,
    now,
)
from testkit.gateway_replicas import ANY_REPLICA
from testkit.gateway_world import EVENTS, exchange
from testkit.virtual import VirtualLoop

if TYPE_CHECKING:
    from testkit.gateway import GatewayFleet
    from testkit.gateway_replicas import FakeSink

SILENCE_S = 1.6
"""A sound replica may fall silent for a second or so and go on."""

NO_RETRIES = BudgetTerms(0.0, 0.0, 10.0)
STREAMS = 40


class UnderwayAnswers(ExchangeCase):
    """Serve requests whose replicas fall silent for a moment, or leave after their answers."""

    def forbid_retries(self, fleet: GatewayFleet) -> None:
        """Leave no retry in the budget of the box."""
        fleet.boxes['box-0'].box.executor.context.retry_budgets.set_terms(NO_RETRIES)

    def assert_whole(self, sink: FakeSink) -> None:
        """Check that a stream has ended whole and has each event once."""
        self.assertEqual(('whole', ALL_EVENTS), (sink.state, sink.event_ids))

    # The box closed the connection of a silent engine before it knew that a retry is not allowed.
    def test_a_stream_is_not_cut_if_its_engine_falls_silent_and_the_budget_is_used_up(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            self.forbid_retries(fleet)
            fleet.replicas.faults = {name: [f'pause:2:{SILENCE_S}'] for name in BOTH_ENGINES}
            sink = fleet.serve('box-0', exchange(1, 'draft', now(), deadline_s=8.0))
            await fleet.settle()
            self.assert_whole(sink)

        self.play_work(work)

    # A second engine was all that the route allows, and it fell silent too.
    def test_a_stream_is_not_cut_if_engines_fall_silent_in_turn(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {
                name: [f'pause:2:{SILENCE_S}', f'pause:2:{SILENCE_S}'] for name in BOTH_ENGINES
            }
            sink = fleet.serve('box-0', exchange(1, 'draft', now()))
            await fleet.settle()
            self.assert_whole(sink)

        self.play_work(work)

    # The connection of the silent engine was gone when the other one declined.
    def test_a_stream_is_not_cut_if_the_other_engine_declines_its_rest(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {ANY_REPLICA: [f'pause:2:{SILENCE_S}', *['declined'] * 4]}
            sink = fleet.serve('box-0', exchange(1, 'draft', now(), piece_counts=()))
            await fleet.settle()
            self.assert_whole(sink)

        self.play_work(work)

    # Each engine of a burst of streams was given up at the same moment, beyond any budget.
    def test_streams_are_not_cut_if_all_engines_fall_silent_at_once(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {
                name: [f'pause:2:{SILENCE_S}'] * STREAMS for name in BOTH_ENGINES
            }
            sinks = [
                fleet.serve('box-0', exchange(number, 'draft', now(), piece_counts=()))
                for number in range(STREAMS)
            ]
            await fleet.settle()
            self.assertEqual({'whole'}, {sink.state for sink in sinks})
            for sink in sinks:
                self.assert_whole(sink)

        self.play_work(work)

    # A head that came after the timeout of the first event was lost.
    def test_a_late_first_event_is_not_lost_if_the_budget_is_used_up(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            self.forbid_retries(fleet)
            fleet.replicas.faults = {name: ['late:5.0'] for name in BOTH_ENGINES}
            sink = fleet.serve('box-0', exchange(1, 'draft', now(), piece_counts=()))
            await fleet.settle()
            self.assert_whole(sink)

        self.play_work(work)

    # A repeatable request failed with 502 while its replica still worked and time was left.
    def test_a_slow_answer_is_not_lost_if_the_budget_is_used_up(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            self.forbid_retries(fleet)
            fleet.replicas.faults = {name: ['late:0.6'] for name in ('desk-north', 'desk-south')}
            sink = fleet.serve('box-0', exchange(1, 'read', now()))
            await fleet.settle()
            self.assertEqual((200, b'call-1'), (sink.status, sink.body))

        self.play_work(work)

    # Retries of new requests had used up the budget when the engine of a begun stream crashed.
    def test_a_begun_stream_that_breaks_is_resumed_although_new_requests_used_the_budget(
        self,
    ) -> None:
        async def work(fleet: GatewayFleet) -> None:
            budgets = fleet.boxes['box-0'].box.executor.context.retry_budgets
            budgets.set_terms(BudgetTerms(0.0, 4.0, 10.0))
            budget = budgets.for_service('engine')
            while budget.try_spend(now(), 1):
                pass
            fleet.replicas.faults = {ANY_REPLICA: ['break:2']}
            sink = fleet.serve('box-0', exchange(1, 'draft', now(), piece_counts=()))
            await fleet.settle()
            self.assert_whole(sink)

        self.play_work(work)

    # A replica whose entry went without notice closed its port after its last answer.
    def test_a_whole_stream_is_not_cut_if_its_engine_left_without_notice_after_it(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            self.forbid_retries(fleet)
            fleet.replicas.are_streams_unframed = True
            fleet.replicas.stream_gap_s = 0.3
            sink = fleet.serve('box-0', exchange(1, 'letter', now(), piece_counts=()))
            await asyncio.sleep(0.5)
            engine = fleet.replicas.sent[0].replica.id
            fleet.store.write(RecordKind.REPLICA, engine, None)
            await asyncio.sleep(EVENTS * 0.3 - 0.5)
            fleet.replicas.closed_ports.add(engine)
            await fleet.settle()
            self.assert_whole(sink)

        self.play_work(work)

    # A replica that had said that it leaves ended in the midst of an answer.
    def test_a_resumable_stream_goes_on_elsewhere_if_its_leaving_engine_ends_it_too_soon(
        self,
    ) -> None:
        async def work(fleet: GatewayFleet) -> None:
            fleet.replicas.are_streams_unframed = True
            fleet.replicas.faults = {ANY_REPLICA: ['end:2']}
            sink = fleet.serve('box-0', exchange(1, 'draft', now(), piece_counts=()))
            await asyncio.sleep(0.03)
            engine = fleet.replicas.sent[0].replica.id
            fleet.store.write(RecordKind.REPLICA, engine, None)
            fleet.replicas.closed_ports.add(engine)
            await fleet.settle()
            self.assert_whole(sink)

        self.play_work(work)

    # Timers of a box that stood still ran before it had read what its replicas had sent.
    def test_streams_are_not_cut_if_their_box_stands_still(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            self.forbid_retries(fleet)
            sinks = [
                fleet.serve('box-0', exchange(number, 'draft', now(), piece_counts=()))
                for number in range(STREAMS)
            ]
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            loop.stand_still(SILENCE_S)
            await fleet.settle()
            for sink in sinks:
                self.assert_whole(sink)

        with capture_logs() as lines:
            self.play_work(work)
        numbers = [line['event_number'] for line in lines]
        self.assertNotIn(events.ATTEMPT_FAILED.number, numbers)

    # A second replica was asked for an answer that had come while the box stood still.
    def test_a_replica_is_not_suspected_if_its_box_stands_still(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {name: ['late:0.1'] for name in BOTH_DESKS}
            fleet.serve('box-0', exchange(1, 'read', now()))
            await asyncio.sleep(0.05)
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            loop.stand_still(0.5)
            await fleet.settle()
            self.assertEqual(1, len(fleet.replicas.sent))

        self.play_work(work)

    # An answer that had come in time was dropped, since the deadline was noticed first.
    def test_an_answer_in_time_is_not_lost_if_its_box_stands_still_past_the_deadline(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {name: ['late:0.8'] for name in BOTH_DESKS}
            sink = fleet.serve('box-0', exchange(1, 'pay', now()))
            await asyncio.sleep(0.5)
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            loop.stand_still(1.0)
            await fleet.settle()
            self.assertEqual((200, b'call-1'), (sink.status, sink.body))

        self.play_work(work)

    # A request that its replica had got was called not run when no head had come by its deadline.
    def test_a_stream_without_a_head_at_its_deadline_is_not_called_not_run(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {name: ['dark'] for name in BOTH_ENGINES}
            for number, route in enumerate(('letter', 'draft')):
                sink = fleet.serve(
                    'box-0', exchange(number, route, now(), piece_counts=(), deadline_s=1.0)
                )
                await fleet.settle()
                self.assertEqual(504, sink.status)

        self.play_work(work)

    # What one replica answers must not be waited for longer than its caller does.
    def test_a_replica_that_stays_silent_is_left_at_the_deadline(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            self.forbid_retries(fleet)
            fleet.replicas.faults = {name: ['pause:2:60'] for name in BOTH_ENGINES}
            started_at = now()
            sink = fleet.serve('box-0', exchange(1, 'draft', now(), deadline_s=4.0))
            await fleet.settle()
            self.assertEqual('cut', sink.state)
            self.assertAlmostEqual(4.0, now() - started_at, delta=0.1)

        self.play_work(work)
