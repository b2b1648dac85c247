"""Test which requests a busy scheduler sheds, in which order, and when their callers return."""

from __future__ import annotations

import sys
from typing import Any

import testtools

from calicopath_core.scheduling.admission import MIN_RETRY_AFTER_S
from calicopath_core.scheduling.client import MIN_NO_ANSWER_S
from calicopath_core.scheduling.messages import AdoptJob, PlaceJob
from calicopath_core.scheduling.shedding import (
    ADMITTED_LAG_LIMIT_S,
    LAG_LIMIT_S,
    MIN_WAITING,
    SheddingQueue,
    busy_retry_after_s,
)
from calicopath_core.scheduling.tests.work import job

LATE = LAG_LIMIT_S + 0.01


def place(name: str, **changes: Any) -> PlaceJob:
    return job(name, **changes).place


def shed(queue: SheddingQueue, now: float) -> list[str]:
    """Shed all that must be shed; return the names of the jobs in order."""
    found = []
    while (request := queue.shed_next(now)) is not None:
        found.append(request.place.job)
    return found


def calls_made(work: Any) -> int:
    """Return how many Python and C functions some work calls."""
    count = 0

    def on_event(frame: Any, event: str, argument: Any) -> None:
        nonlocal count
        count += event in ('call', 'c_call')

    sys.setprofile(on_event)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count


class Shedding(testtools.TestCase):
    """Guard against refusing the wrong requests, or more of them than help the others."""

    def test_the_least_urgent_and_of_those_the_newest_go_first(self) -> None:
        queue = SheddingQueue()
        for number in range(MIN_WAITING):
            queue.add(place(f'urgent-{number}', priority=0), 0.0)
        for number in range(3):
            queue.add(place(f'patient-{number}', priority=2), 0.0)
            queue.add(place(f'middle-{number}', priority=1), 0.0)
        self.assertEqual(
            ['patient-2', 'patient-1', 'patient-0', 'middle-2', 'middle-1', 'middle-0'],
            shed(queue, LATE),
        )

    def test_nothing_is_shed_while_the_lag_is_within_its_limit(self) -> None:
        queue = SheddingQueue()
        for number in range(100):
            queue.add(place(f'j{number}'), 0.0)
        self.assertEqual([], shed(queue, LAG_LIMIT_S - 0.01))

    def test_as_many_may_wait_as_were_decided_about_within_the_limit(self) -> None:
        queue = SheddingQueue()
        for number in range(30):
            queue.on_decided(0.02 + number / 1000)
        for number in range(100):
            queue.add(place(f'j{number}'), 0.0)
        self.assertEqual(70, len(shed(queue, LATE)))
        self.assertEqual(30, len(queue))

    def test_what_an_earlier_scheduler_admitted_is_shed_last(self) -> None:
        queue = SheddingQueue()
        for number in range(20):
            queue.add(place(f'asked-{number}', asked_before=True, priority=2), 0.0)
            queue.add(place(f'resumed-{number}', resumed=True, priority=2), 0.0)
            queue.add(place(f'new-{number}', priority=0), 0.0)
        self.assertEqual({'new'}, {name.split('-')[0] for name in shed(queue, LATE)})
        self.assertEqual(40, len(queue))
        late = ADMITTED_LAG_LIMIT_S + 0.01
        self.assertNotIn('new', {name.split('-')[0] for name in shed(queue, late)})
        self.assertLess(len(queue), 20)

    def test_new_requests_do_not_keep_admitted_ones_waiting_until_their_boxes_refuse(self) -> None:
        queue = SheddingQueue()
        for number in range(20):
            queue.add(place(f'asked-{number}', asked_before=True), 0.0)
        late = ADMITTED_LAG_LIMIT_S + 0.01
        queue.add(place('new-0'), late)
        found = shed(queue, late)
        self.assertEqual('new-0', found[0])
        self.assertEqual({'asked'}, {name.split('-')[0] for name in found[1:]})

    def test_admitted_requests_are_shed_before_their_boxes_refuse_them(self) -> None:
        """Guards against limits that leave no time for the rejection to arrive."""
        self.assertLess(ADMITTED_LAG_LIMIT_S, MIN_NO_ANSWER_S)

    def test_jobs_with_work_begun_come_first_and_are_never_shed(self) -> None:
        queue = SheddingQueue()
        queue.add(place('new'), 0.0)
        queue.add(place('asked', asked_before=True), 0.1)
        for number in range(20):
            queue.add(AdoptJob(place=place(f'begun-{number}'), results=(), waited_s=1.0), 0.2)
        self.assertEqual(['new', 'asked'], shed(queue, 5.0))
        first = queue.pop_next()
        assert first is not None
        self.assertEqual('begun-0', first.place.job)

    def test_a_request_that_is_sent_again_waits_once(self) -> None:
        queue = SheddingQueue()
        queue.add(place('j'), 0.0)
        queue.add(place('j'), 0.1)
        self.assertEqual(1, len(queue))
        self.assertEqual(0.2, queue.lag_s(0.2))

    def test_shedding_costs_the_same_with_any_number_of_waiting_requests(self) -> None:
        """A cost that grows with the queue makes an overloaded scheduler slower still."""

        def cost(waiting: int) -> int:
            queue = SheddingQueue()
            for number in range(waiting):
                queue.add(place(f'j{number}', priority=number % 3), 0.0)
            added = place('more', priority=1)

            def work() -> None:
                for _ in range(10):
                    queue.shed_next(LATE)
                queue.add(added, LATE)
                queue.pop_next()

            return calls_made(work)

        self.assertEqual(cost(50), cost(5000))

    def test_callers_return_spread_over_the_time_that_they_can_wait(self) -> None:
        delays = sorted(busy_retry_after_s(place(f'j{n}', deadline_s=8.0)) for n in range(1000))
        self.assertGreaterEqual(delays[0], MIN_RETRY_AFTER_S)
        self.assertLessEqual(delays[-1], 8.0 / 3)
        self.assertAlmostEqual((MIN_RETRY_AFTER_S + 2.4) / 2, delays[500], delta=0.1)

    def test_a_caller_without_time_left_still_gets_a_delay(self) -> None:
        self.assertEqual(MIN_RETRY_AFTER_S, busy_retry_after_s(place('j', deadline_s=-1.0)))
