"""Test how pieces are batched into calls: order, filling, space, failure domains, slow replicas."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from unittest import mock

import testtools

from calicopath_core.fleet.pace import REPORT_TTL_S
from calicopath_core.scheduling import waiting
from calicopath_core.scheduling.pacing import PacingClass, precedence
from calicopath_core.scheduling.stage_calls import StageCalls
from calicopath_core.scheduling.stage_replicas import SLOWNESS_EXPIRY_S
from calicopath_core.scheduling.stages import (
    MAX_BATCH_DELAY_S,
    MIN_FULL_BACKOFF_S,
    NO_SPACE_BACKOFF_S,
)
from calicopath_core.scheduling.tests.work import SPEC, job, phase, queue, replica, result, wait
from calicopath_core.scheduling.waiting import OLD_RESULT_AGE_S
from testkit.ledgers import new_guard
from testkit.virtual import VirtualClock, run_virtual

if TYPE_CHECKING:
    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.stages import StageQueue

LATER = MAX_BATCH_DELAY_S + 0.01
LARGE = 300_000


class Order(testtools.TestCase):
    def served(self, *jobs: Job, now: float = LATER) -> list[str]:
        """Return the names of jobs in the order in which one replica serves them."""
        target = queue(replica('r'), spec=SPEC._replace(batch=1))
        for item in jobs:
            wait(target, item)
        found = []
        while (batch := target.next_batch(now)) is not None:
            found.append(batch.pieces[0].job.id)
            target.on_finished(batch, {}, now)
        return found

    def test_least_time_to_spare_goes_first_whatever_the_rank(self) -> None:
        calm = job('calm', phase(), priority=0, objective_s=5.0)
        hurried = job('hurried', phase(), priority=2, objective_s=1.0)
        self.assertEqual(['hurried', 'calm'], self.served(calm, hurried))

    def test_rank_decides_between_jobs_with_as_little_to_spare(self) -> None:
        low = job('low', phase(), priority=2, objective_s=0.2)
        high = job('high', phase(), priority=0, objective_s=0.3)
        self.assertEqual(['high', 'low'], self.served(low, high))

    def test_late_jobs_go_after_jobs_in_time(self) -> None:
        late = job('late', phase(), objective_s=0.01)
        timely = job('timely', phase(), priority=2)
        self.assertEqual(['timely', 'late'], self.served(late, timely))

    def test_jobs_that_will_be_late_go_after_jobs_in_time(self) -> None:
        hopeless = job('hopeless', phase(), objective_s=1.0)
        hopeless.critical_path_s = {0: 1.5}
        timely = job('timely', phase(), priority=2, objective_s=3.0)
        timely.critical_path_s = {0: 1.5}
        self.assertEqual(['timely', 'hopeless'], self.served(hopeless, timely))

    def test_old_results_and_broken_streams_go_first(self) -> None:
        fresh = job('fresh', phase(), objective_s=0.5)
        old = job('old', phase(), phase(), objective_s=9.0)
        old.results[1][0] = result('h', created_at=LATER - OLD_RESULT_AGE_S - 0.1)
        broken = job('broken', phase(), objective_s=9.0, resumed=True)
        self.assertEqual({'old', 'broken'}, set(self.served(fresh, old, broken)[:2]))

    def test_a_phase_that_is_begun_is_finished_before_others_begin(self) -> None:
        target = queue(replica('r'), spec=SPEC._replace(batch=1))
        begun = job('begun', phase(count=2), priority=2, objective_s=0.01)
        wait(target, begun)
        first = target.next_batch(LATER)
        assert first is not None
        wait(target, job('hurried', phase(), objective_s=0.1))
        target.on_finished(first, {'h': 100}, LATER)
        second = target.next_batch(LATER)
        assert second is not None
        self.assertEqual('begun', second.pieces[0].job.id)


class Filling(testtools.TestCase):
    def test_a_call_that_is_not_full_waits_a_little_and_no_more(self) -> None:
        target = queue(replica('r'))
        wait(target, job('one', phase(count=2)))
        self.assertIsNone(target.next_batch(0.0))
        batch = target.next_batch(LATER)
        assert batch is not None
        self.assertEqual(2, len(batch.pieces))

    def test_a_full_call_waits_for_nothing_and_is_never_overfull(self) -> None:
        target = queue(replica('r'))
        wait(target, job('one', phase(count=6)))
        batch = target.next_batch(0.0)
        assert batch is not None
        self.assertEqual(SPEC.batch, len(batch.pieces))
        self.assertIsNone(target.next_batch(0.0))

    def test_pieces_of_several_jobs_share_a_call(self) -> None:
        target = queue(replica('r'))
        for name in ('one', 'two'):
            wait(target, job(name, phase(count=2)))
        batch = target.next_batch(0.0)
        assert batch is not None
        self.assertEqual({'one', 'two'}, {piece.job.id for piece in batch.pieces})

    def test_pieces_of_jobs_that_are_over_are_dropped(self) -> None:
        target = queue(replica('r'))
        gone = job('gone', phase())
        wait(target, gone)
        gone.ended = True
        target.drop_stale(gone)
        self.assertEqual(0, len(target.waiting))

    def test_jobs_that_are_held_back_wait(self) -> None:
        target = queue(replica('r'))
        held = job('held', phase(count=4))
        held.pacing_class = PacingClass(precedence(held), ())
        wait(target, held)
        self.assertIsNone(target.next_batch(LATER, {held.pacing_class}))


class Cost(testtools.TestCase):
    def test_a_burst_is_ranked_once_for_all_calls_of_a_dispatch(self) -> None:
        jobs, replicas = 200, 20
        target = queue(*(replica(f'r{number}') for number in range(replicas)))
        for number in range(jobs):
            wait(target, job(f'j{number}', phase(count=3)))
        looks = mock.Mock(side_effect=waiting.rank)
        with mock.patch.object(waiting, 'rank', looks):
            calls = list(target.batches(LATER))
        self.assertEqual(replicas, len(calls))
        self.assertLessEqual(looks.call_count, jobs + 2 * replicas)

    def test_simultaneous_triggers_cause_one_dispatch(self) -> None:
        async def scenario() -> int:
            calls = StageCalls(
                clock=VirtualClock(),
                replicas=mock.Mock(),
                caller=mock.Mock(),
                observer=mock.Mock(),
                job_controller=mock.Mock(unplaced={}),
                select_replicas=lambda replicas: replicas,
                crashes=new_guard(),
            )
            found = mock.Mock(return_value=set())
            with mock.patch.object(calls.pacing, 'held_classes', found):
                for _ in range(50):
                    calls.dispatch_soon()
                await asyncio.sleep(0.01)
            return found.call_count

        self.assertEqual(1, run_virtual(scenario()))


class Room(testtools.TestCase):
    def test_no_more_results_are_made_than_there_is_room_for(self) -> None:
        target = queue(replica('r'))
        wait(target, job('one', phase(size=LARGE, count=4)))
        batch = target.next_batch(LATER)
        assert batch is not None
        self.assertEqual(3, len(batch.pieces))
        target.on_finished(batch, {'h1': LARGE, 'h2': LARGE, 'h3': LARGE}, 0.5)
        self.assertIsNone(target.next_batch(0.6))
        target.replicas['r'].free('h1')
        self.assertIsNotNone(target.next_batch(0.6))

    def test_room_comes_back_when_results_run_out(self) -> None:
        target = queue(replica('r'))
        wait(target, job('one', phase(size=LARGE, count=4)))
        batch = target.next_batch(LATER)
        assert batch is not None
        target.on_finished(batch, {'h1': LARGE, 'h2': LARGE, 'h3': LARGE}, 0.5)
        target.replicas['r'].expire(0.5 + SPEC.result_ttl_s)
        self.assertIsNotNone(target.next_batch(5.0))

    def test_a_replica_that_had_none_is_left_alone_for_a_while(self) -> None:
        target = queue(replica('r'))
        wait(target, job('one', phase(count=2)))
        batch = target.next_batch(LATER)
        assert batch is not None
        target.on_finished(batch, {}, LATER)
        target.on_no_space(batch, LATER)
        for piece in batch.pieces:
            target.add(piece, LATER)
        self.assertIsNone(target.next_batch(LATER + NO_SPACE_BACKOFF_S / 2))
        self.assertIsNotNone(target.next_batch(LATER + NO_SPACE_BACKOFF_S))

    def test_a_replica_that_had_none_is_used_again_once_a_result_there_is_given_up(self) -> None:
        target = queue(replica('r'))
        wait(target, job('one', phase(count=4)))
        batch = target.next_batch(LATER)
        assert batch is not None
        target.on_finished(batch, {'h': 100}, LATER)
        target.on_no_space(batch, LATER)
        wait(target, job('two', phase(count=4)))
        self.assertIsNone(target.next_batch(LATER))
        target.replicas['r'].free('h')
        self.assertIsNotNone(target.next_batch(LATER))

    def test_what_others_have_booked_is_counted_until_it_is_adopted(self) -> None:
        target = queue(replica('r'))
        target_replica = target.replicas['r']
        target_replica.update_free_bytes(400_000, SPEC, 0.0)
        before = target_replica.free_result_bytes(SPEC, 0.1)
        target.book_result('r', 'h1', LARGE, 0.1)
        self.assertEqual(before, target_replica.free_result_bytes(SPEC, 0.1))

    def test_a_large_result_is_not_made_long_before_it_is_needed(self) -> None:
        target = queue(replica('r'))
        staged = job('staged', phase(size=LARGE), phase(), phase(needs=(1,)))
        staged.critical_path_s = {0: 0.7, 1: 1.6, 2: 0.8}
        wait(target, staged, 0)
        self.assertIsNone(target.next_batch(LATER))
        staged.results[1][0] = result('h')
        self.assertIsNotNone(target.next_batch(LATER))


class FailureDomainWaits(testtools.TestCase):
    def reading(self, size: int, **changes: Any) -> Job:
        """Return a job whose second phase reads a result in failure domain b."""
        found = job('reader', phase(size=size), phase(needs=(0,), count=2), **changes)
        found.results[0][0] = result('h', failure_domain='b', size=size)
        return found

    def test_a_piece_with_large_inputs_waits_for_its_failure_domain_while_there_is_time(
        self,
    ) -> None:
        target = queue(replica('far', 'a'), replica('near', 'b'))
        near = target.replicas['near']
        near.open_calls, near.free_at, near.due_at = 1, 0.4, 9.0
        wait(target, self.reading(LARGE), 1)
        self.assertIsNone(target.next_batch(LATER))
        near.open_calls = 0
        batch = target.next_batch(LATER)
        assert batch is not None
        self.assertEqual('near', batch.target.replica.id)

    def busy_at_home(self, item: Job) -> StageQueue:
        """Return a queue whose replica in the preferred failure domain is busy until 0.4 s."""
        target = queue(replica('far', 'a'), replica('near', 'b'))
        near = target.replicas['near']
        near.open_calls, near.free_at, near.due_at = 1, 0.4, 9.0
        wait(target, item, 1)
        return target

    def test_it_goes_anywhere_if_little_is_moved_or_the_wait_would_make_it_late(self) -> None:
        for item in (self.reading(1_000), self.reading(LARGE, objective_s=0.3)):
            self.assertIsNotNone(self.busy_at_home(item).next_batch(LATER))

    def test_it_waits_if_it_is_in_time_all_the_same_or_late_already(self) -> None:
        for objective_s in (0.5, 0.0):
            item = self.reading(LARGE, objective_s=objective_s)
            self.assertIsNone(self.busy_at_home(item).next_batch(LATER))

    def test_a_failure_domain_whose_replica_is_overdue_or_gone_is_not_waited_for(self) -> None:
        overdue = queue(replica('far', 'a'), replica('near', 'b'))
        overdue.replicas['near'].open_calls = 1
        wait(overdue, self.reading(LARGE), 1)
        self.assertIsNotNone(overdue.next_batch(LATER))
        gone = queue(replica('far', 'a'))
        wait(gone, self.reading(LARGE), 1)
        self.assertIsNotNone(gone.next_batch(LATER))


class Failing(testtools.TestCase):
    def test_a_slow_replica_is_used_only_when_the_others_cannot_keep_up(self) -> None:
        target = queue(replica('slow'), replica('quick'))
        slow = target.replicas['slow']
        slow.record_duration(2.0, 0.4, 0.0)
        target.replicas['quick'].open_calls = 1
        wait(target, job('one', phase(count=2)))
        self.assertIsNone(target.next_batch(LATER))
        wait(target, job('many', phase(count=20)))
        self.assertIsNotNone(target.next_batch(LATER))

    # Pieces waited for an ejected replica until their requests were refused as hopeless.
    def test_a_slow_replica_is_used_while_the_others_are_ejected(self) -> None:
        target = queue(replica('slow'), replica('failing'))
        target.replicas['slow'].record_duration(2.0, 0.4, 0.0)
        wait(target, job('one', phase(count=4)))
        batch = target.next_batch(LATER)
        assert batch is not None
        self.assertEqual('failing', batch.target.replica.id)
        target.on_failed(batch, LATER, full=False)
        wait(target, job('two', phase(count=4)))
        batch = target.next_batch(LATER)
        assert batch is not None
        self.assertEqual('slow', batch.target.replica.id)

    def test_a_slow_replica_is_tried_again(self) -> None:
        target = queue(replica('slow'), replica('quick'))
        target.replicas['slow'].record_duration(2.0, 0.4, 0.0)
        target.replicas['quick'].open_calls = 1
        wait(target, job('one', phase(count=2)))
        self.assertIsNone(target.next_batch(LATER))
        self.assertIsNotNone(target.next_batch(SLOWNESS_EXPIRY_S))

    def test_the_fastest_free_replica_gets_the_next_call(self) -> None:
        """Guards against calls to a lastingly slower replica while others are free."""
        target = queue(replica('slow'), replica('quick'))
        for number in range(60):
            target.replicas['slow'].record_duration(0.39, 0.3, number * 0.01)
            target.replicas['quick'].record_duration(0.31, 0.3, number * 0.01)
        wait(target, job('one', phase(count=4)), now=1.0)
        batch = target.next_batch(1.0)
        assert batch is not None
        self.assertEqual('quick', batch.target.replica.id)
        busy = target.replicas['quick'].busy_for_s(1.0)
        self.assertAlmostEqual(target.expected_call_s(4), busy)
        wait(target, job('two', phase(count=4)), now=1.0)
        batch = target.next_batch(1.0)
        assert batch is not None
        self.assertEqual('slow', batch.target.replica.id)
        self.assertAlmostEqual(1.27, target.replicas['slow'].busy_for_s(1.0) / busy, delta=0.04)

    def test_replicas_as_fast_as_configured_are_chosen_by_their_space(self) -> None:
        """Guards against choices by noise in durations, which would overrule the space."""
        target = queue(replica('full'), replica('empty'))
        for number in range(60):
            target.replicas['full'].record_duration(0.28, 0.3, number * 0.01)
            target.replicas['empty'].record_duration(0.32, 0.3, number * 0.01)
        target.book_result('full', 'handle', 1000, 1.0)
        wait(target, job('one', phase(count=4)), now=1.0)
        batch = target.next_batch(1.0)
        assert batch is not None
        self.assertEqual('empty', batch.target.replica.id)

    def test_a_replica_in_a_slow_moment_is_used_only_when_the_others_cannot_keep_up(self) -> None:
        """Guards against a call to a replica whose last answer said that work takes long there."""
        target = queue(replica('slow'), replica('quick'))
        target.pace.on_report('slow', 2.5, LATER)
        target.replicas['quick'].open_calls = 1
        wait(target, job('one', phase(count=2)))
        self.assertIsNone(target.next_batch(LATER))
        self.assertIsNotNone(target.next_batch(LATER + REPORT_TTL_S))

    def test_a_replica_that_fails_is_left_alone_longer_each_time(self) -> None:
        target = queue(replica('r'))
        pauses = []
        for number in range(3):
            wait(target, job(f'j{number}', phase(count=4)))
            now = 100.0 * (number + 1)
            batch = target.next_batch(now)
            assert batch is not None
            target.on_failed(batch, now, full=False)
            pauses.append(target.replicas['r'].unavailable_until - now)
        self.assertEqual([1.0, 2.0, 4.0], pauses)

    def test_a_replica_that_backs_off_gets_no_calls_and_adds_no_throughput(
        self,
    ) -> None:
        backoffs = {'r': 3.0}
        target = queue(replica('r'), replica('s'))
        target.backoff_left_s = lambda item: backoffs.get(item.id, 0.0)
        both = queue(replica('r'), replica('s')).pieces_per_s()
        self.assertEqual(both / 2, target.pieces_per_s())
        wait(target, job('one', phase(count=8)))
        names = [batch.target.replica.id for batch in target.batches(LATER)]
        self.assertEqual(['s'], names)
        backoffs['s'] = 2.0
        self.assertEqual(2.0, target.opens_in_s())

    def test_a_replica_that_declines_all_is_asked_less_often_each_time(self) -> None:
        target = queue(replica('r'))
        now, calls = 0.0, 0
        while now < 5.0:
            wait(target, job(f'j{calls}', phase(count=4)))
            batch = target.next_batch(now)
            assert batch is not None
            target.on_failed(batch, now, full=True)
            calls += 1
            now = target.replicas['r'].unavailable_until
        self.assertLessEqual(calls, 15)
        wait(target, job('taken', phase(count=4)))
        batch = target.next_batch(now)
        assert batch is not None
        target.on_finished(batch, {}, now)
        self.assertEqual(0, target.replicas['r'].consecutive_declines)

    def test_a_full_replica_is_asked_again_soon(self) -> None:
        target = queue(replica('r'))
        wait(target, job('one', phase(count=4)))
        batch = target.next_batch(0.0)
        assert batch is not None
        target.on_failed(batch, 0.0, full=True)
        self.assertEqual(
            (MIN_FULL_BACKOFF_S, 0),
            (target.replicas['r'].unavailable_until, target.replicas['r'].open_calls),
        )
