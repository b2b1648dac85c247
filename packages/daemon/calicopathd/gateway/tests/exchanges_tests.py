"""Test exchanges with failing replicas: no double run, no wrong resumption, no hanging."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.exchanges.budget import USABLE_BUDGET_RATIO
from calicopath_core.fleet.deployment import RouteKind
from calicopath_core.fleet.store import RecordKind
from testkit.cases import VirtualCase
from testkit.gateway import GatewayFleet
from testkit.gateway_replicas import ANY_REPLICA, FakeSink
from testkit.gateway_world import (
    EVENTS,
    KEY,
    RETRY_BUDGET_TERMS,
    deployment,
    exchange,
    replicas,
    route,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ALL_EVENTS = list(range(1, EVENTS + 1))
BOTH_DESKS = ('desk-north', 'desk-south')
BOTH_ENGINES = ('engine-north', 'engine-south')


class ExchangeCase(VirtualCase):
    """Serve requests on one box whose replicas have injected faults."""

    def run_scenario(
        self,
        route: str,
        faults: dict[str, list[str]],
        check: Callable[[GatewayFleet, FakeSink], None],
        **changes: object,
    ) -> None:
        """Serve one request and check its result."""

        async def scenario() -> None:
            fleet = GatewayFleet(count=1)
            await fleet.start()
            fleet.replicas.faults = {name: list(items) for name, items in faults.items()}
            sink = fleet.serve('box-0', exchange(1, route, now(), **changes))
            await fleet.settle()
            check(fleet, sink)
            await fleet.stop()

        self.run_virtual(scenario())

    def play_work(self, work: Callable[[GatewayFleet], Awaitable[None]]) -> None:
        """Run some work on a started fleet of one box."""

        async def scenario() -> None:
            fleet = GatewayFleet(count=1)
            await fleet.start()
            await work(fleet)
            await fleet.stop()

        self.run_virtual(scenario())


def now() -> float:
    return asyncio.get_running_loop().time()


class Unsafe(ExchangeCase):
    def test_after_a_doubt_it_is_never_sent_again_nor_called_not_run(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual(1, len(fleet.replicas.sent))
            self.assertEqual(502, sink.status)
            self.assertIsNone(sink.retry_after_s)

        self.run_scenario('pay', {name: ['reset'] for name in BOTH_DESKS}, check)

    def test_what_was_declined_goes_to_another_replica_and_runs_once(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual({'call-1': 1}, fleet.replicas.runs)
            self.assertEqual((200, b'call-1'), (sink.status, sink.body))

        self.run_scenario('pay', {'desk-north': ['declined']}, check)

    def test_declined_by_all_is_refused_as_not_run_with_the_time_to_come_back(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual({}, fleet.replicas.runs)
            self.assertEqual(503, sink.status)
            self.assertGreater(sink.retry_after_s or 0, 0)

        self.run_scenario('pay', {name: ['declined'] for name in BOTH_DESKS}, check)

    def test_a_silent_replica_ends_it_at_its_time_as_may_have_run(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {name: ['dark'] for name in BOTH_DESKS}
            asked_at = now()
            sink = fleet.serve('box-0', exchange(1, 'pay', asked_at))
            await fleet.settle()
            self.assertEqual(504, sink.status)
            self.assertAlmostEqual(1.0, now() - asked_at, delta=0.1)

        self.play_work(work)


class Safe(ExchangeCase):
    def test_a_replicas_error_is_tried_elsewhere(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual((200, b'call-1'), (sink.status, sink.body))

        self.run_scenario('read', {'desk-north': ['error']}, check)

    def test_an_error_of_the_last_replica_is_passed_on_as_it_is(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual((500, b'no'), (sink.status, sink.body))
            self.assertEqual(2, fleet.replicas.runs['call-1'])

        self.run_scenario('read', {name: ['error'] for name in BOTH_DESKS}, check)

    def test_a_silent_replica_is_left_for_another_in_time(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual(200, sink.status)

        self.run_scenario('read', {'desk-north': ['dark']}, check)

    def test_repeats_stay_within_this_boxs_share_of_the_budget(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {name: ['reset'] * 500 for name in BOTH_DESKS}
            for number in range(100):
                fleet.serve('box-0', exchange(number, 'read', now()))
            await fleet.settle()
            repeats = len(fleet.replicas.sent) - 100
            allowed = USABLE_BUDGET_RATIO * (
                RETRY_BUDGET_TERMS.ratio * 100 + RETRY_BUDGET_TERMS.slack
            )
            self.assertEqual(int(allowed), repeats)

        self.play_work(work)


class Streams(ExchangeCase):
    def test_a_broken_stream_goes_on_elsewhere_without_a_gap_or_a_double(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual((ALL_EVENTS, 'whole'), (sink.event_ids, sink.state))
            first, second = fleet.replicas.sent
            self.assertNotEqual(first.replica.id, second.replica.id)
            self.assertEqual('3', second.last_event_id)

        self.run_scenario('draft', {ANY_REPLICA: ['break:3']}, check)

    def test_a_stream_that_hangs_is_left_and_goes_on_elsewhere(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual((ALL_EVENTS, 'whole'), (sink.event_ids, sink.state))
            self.assertEqual(2, len(fleet.replicas.sent))

        self.run_scenario('draft', {ANY_REPLICA: ['break:0']}, check)

    def test_one_that_may_not_be_resumed_is_cut_where_it_broke(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual(([1, 2], 'cut'), (sink.event_ids, sink.state))
            self.assertEqual(1, len(fleet.replicas.sent))

        self.run_scenario('letter', {name: ['break:2'] for name in BOTH_ENGINES}, check)

    def test_one_that_may_not_be_resumed_and_broke_before_its_first_event_may_have_run(
        self,
    ) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual((502, 'refused'), (sink.status, sink.state))
            self.assertIsNone(sink.retry_after_s)

        self.run_scenario('letter', {name: ['reset'] for name in BOTH_ENGINES}, check)

    def test_an_engine_that_declines_is_left_for_another(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual((ALL_EVENTS, 'whole'), (sink.event_ids, sink.state))
            self.assertEqual({'call-1': 1}, fleet.replicas.runs)

        self.run_scenario('letter', {'engine-north': ['declined'], 'engine-south': ['none']}, check)

    def test_an_engine_that_declines_is_not_taken_for_a_broken_one(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            pool = fleet.boxes['box-0'].box.scheduler.engine_pools['engine']
            self.assertEqual([0.0, 0.0], [item.ejected_until for item in pool.engines.values()])

        self.run_scenario('draft', {ANY_REPLICA: ['declined']}, check)

    def test_an_engine_that_breaks_is_left_alone_for_a_while(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            pool = fleet.boxes['box-0'].box.scheduler.engine_pools['engine']
            self.assertGreater(max(item.ejected_until for item in pool.engines.values()), now())

        self.run_scenario('draft', {ANY_REPLICA: ['break:2']}, check)

    def test_a_client_that_resumes_is_answered_from_where_it_stopped(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual([5, 6], sink.event_ids)

        self.run_scenario('draft', {}, check, last_event_id='4')

    def test_a_caller_that_leaves_takes_its_run_and_its_job_along(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            fleet.replicas.faults = {ANY_REPLICA: ['break:0']}
            fleet.serve('box-0', exchange(1, 'draft', now()))
            await asyncio.sleep(1.2)
            self.assertEqual({'call-1'}, fleet.replicas.running)
            fleet.request_tasks[0].cancel()
            await asyncio.sleep(0.05)
            self.assertEqual(set(), fleet.replicas.running)
            self.assertEqual({}, fleet.boxes['box-0'].box.scheduler.jobs)

        self.play_work(work)

    def test_a_caller_that_leaves_early_leaves_no_piece_waiting(self) -> None:
        async def work(fleet: GatewayFleet) -> None:
            for number in range(12):
                fleet.serve('box-0', exchange(number, 'draft', now()))
            await asyncio.sleep(0.1)
            for task in fleet.request_tasks:
                task.cancel()
            await asyncio.sleep(0.05)
            queues = fleet.boxes['box-0'].box.scheduler.stages.queues
            self.assertEqual(0, sum(len(queue.waiting) for queue in queues.values()))

        self.play_work(work)


class RequestAdmission(ExchangeCase):
    def test_unknown_routes_and_unknown_keys_have_different_statuses(self) -> None:
        def no_route(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual(404, sink.status)

        def no_key(fleet: GatewayFleet, sink: FakeSink) -> None:
            self.assertEqual(401, sink.status)
            self.assertEqual([], fleet.replicas.sent)

        self.run_scenario('read', {}, no_route, path='/nowhere/x')
        self.run_scenario('read', {}, no_key, key='wrong')
        self.run_scenario('read', {}, no_key, key=None)

    def test_the_replica_learns_the_workspace_and_the_remaining_time(self) -> None:
        def check(fleet: GatewayFleet, sink: FakeSink) -> None:
            outbound = fleet.replicas.sent[0]
            self.assertEqual('hire', outbound.workspace)
            self.assertLessEqual(outbound.deadline_s, 0.7)

        self.run_scenario('read', {}, check, deadline_s=0.7, key=KEY)


class SlowReplicas(VirtualCase):
    def served(self, faults: list[str], calls: int) -> tuple[FakeSink, float]:
        """Serve a request whose replicas have faults, one call each; return when it was answered.

        `calls` is how many replicas must have been called by then.
        """

        async def scenario() -> tuple[FakeSink, float]:
            fleet = GatewayFleet(count=1)
            others = [item._replace(id=f'{item.id}-2') for item in replicas()[-2:]]
            for replica in others:
                fleet.store.write(RecordKind.REPLICA, replica.id, replica)
            routes = (route('read', RouteKind.SAFE, 'desk', max_attempts=3),)
            fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(2, routes=routes))
            await fleet.start()
            fleet.replicas.faults = {ANY_REPLICA: list(faults)}
            began_at = now()
            sink = fleet.serve('box-0', exchange(1, 'read', began_at))
            await fleet.settle()
            took_s = now() - began_at
            self.assertEqual(calls, len({item.replica.id for item in fleet.replicas.sent}))
            await fleet.stop()
            return sink, took_s

        return self.run_virtual(scenario())

    # Behind a second replica that brought no whole answer either, a request waited until its end.
    def test_a_request_that_may_be_repeated_leaves_every_slow_replica(self) -> None:
        sink, _ = self.served(['dark', 'dark'], 3)
        self.assertEqual(200, sink.status)

    # The answer of the first replica was passed on only when the second one counted as slow too.
    def test_an_answer_that_comes_after_all_is_not_held_back(self) -> None:
        sink, took_s = self.served(['late:0.6', 'dark'], 2)
        self.assertEqual(200, sink.status)
        self.assertLess(took_s, 0.7)
