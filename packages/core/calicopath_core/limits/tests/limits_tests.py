"""Test concurrency limits, the order of the queue, arrival rates and the retry budget."""

from __future__ import annotations

import asyncio

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from calicopath_core.limits.arrivals import ArrivalRates
from calicopath_core.limits.concurrency import GradientLimit
from calicopath_core.limits.queue import FairPriorityQueue, Waiter
from calicopath_core.limits.retry import RetryBudget
from testkit.cases import VirtualCase
from testkit.virtual import VirtualClock


def waiter(workspace: str = 'a', priority: int = 5, deadline: float = 1.0) -> Waiter:
    """Return a waiter whose future nobody awaits."""
    future = asyncio.get_running_loop().create_future()
    return Waiter(workspace=workspace, priority=priority, deadline=deadline, future=future)


class Gradient(testtools.TestCase):
    def test_it_grows_while_used_and_fast_up_to_the_ceiling(self) -> None:
        limit = GradientLimit(concurrency=6, boxes=6)
        for _ in range(200):
            limit.on_answer(first_response_s=0.1, in_flight=limit.value)
        self.assertEqual(6, limit.value)

    def test_it_does_not_grow_while_unused(self) -> None:
        limit = GradientLimit(concurrency=16, boxes=8)
        for _ in range(200):
            limit.on_answer(first_response_s=0.1, in_flight=0)
        self.assertEqual(4, limit.value)

    def test_it_shrinks_when_responses_slow_down_but_never_below_one(self) -> None:
        limit = GradientLimit(concurrency=16, boxes=4)
        limit.on_answer(first_response_s=0.1, in_flight=8)
        for _ in range(50):
            limit.on_answer(first_response_s=1.0, in_flight=8)
        self.assertEqual(1, limit.value)

    def test_jitter_of_a_few_milliseconds_does_not_shrink_it(self) -> None:
        limit = GradientLimit(concurrency=16, boxes=4)
        for number in range(200):
            limit.on_answer(first_response_s=0.001 + 0.008 * (number % 2), in_flight=limit.value)
        self.assertEqual(16, limit.value)

    def test_it_shrinks_when_calls_are_declined(self) -> None:
        limit = GradientLimit(concurrency=10, boxes=2)
        limit.on_overload()
        self.assertEqual(7, limit.value)


class Order(VirtualCase):
    def test_priorities_come_first_then_workspaces_in_turn_then_deadlines(self) -> None:
        async def scenario() -> None:
            queue = FairPriorityQueue()
            greedy = [waiter('greedy', deadline=10 - n) for n in range(3)]
            modest = waiter('modest', deadline=99)
            urgent = waiter('greedy', priority=9, deadline=100)
            for item in (*greedy, modest, urgent):
                queue.push(item)
            order = [queue.pop() for _ in range(5)]
            self.assertIs(urgent, order[0])
            self.assertIs(greedy[2], order[1])
            self.assertIs(modest, order[2])
            self.assertIsNone(queue.pop())

        self.run_virtual(scenario())

    def test_waiters_that_gave_up_are_passed_over_and_not_counted(self) -> None:
        async def scenario() -> None:
            queue = FairPriorityQueue()
            cancelled, waiting = waiter(), waiter()
            queue.push(cancelled)
            queue.push(waiting)
            cancelled.future.cancel()
            self.assertEqual(1, len(queue))
            self.assertIs(waiting, queue.pop())

        self.run_virtual(scenario())

    def test_an_idle_workspace_cannot_save_up_slots(self) -> None:
        async def scenario() -> None:
            queue = FairPriorityQueue()
            for _ in range(50):
                queue.push(waiter('busy'))
            for _ in range(40):
                queue.pop()
            for _ in range(10):
                queue.push(waiter('new'))
            served = [item.workspace for item in (queue.pop() for _ in range(10)) if item]
            self.assertEqual(5, served.count('busy'))

        self.run_virtual(scenario())

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from('abc'), st.integers(0, 2), st.floats(0, 9))))
    def test_whatever_goes_in_comes_out_once_and_by_priority(
        self, items: list[tuple[str, int, float]]
    ) -> None:
        async def scenario() -> None:
            queue = FairPriorityQueue()
            waiters = [waiter(name, level, deadline) for name, level, deadline in items]
            for item in waiters:
                queue.push(item)
            popped = [queue.pop() for _ in waiters]
            self.assertEqual({id(item) for item in waiters}, {id(item) for item in popped})
            levels = [item.priority for item in popped if item]
            self.assertEqual(sorted(levels, reverse=True), levels)

        self.run_virtual(scenario())


class Arrivals(VirtualCase):
    def test_rates_follow_what_comes_and_fade_when_nothing_does(self) -> None:
        async def scenario() -> None:
            rates = ArrivalRates(clock=VirtualClock())
            for _ in range(200):
                rates.count(8)
                rates.count(3)
                await asyncio.sleep(0.05)
            self.assertAlmostEqual(20, rates.rate_above(5), delta=1)
            self.assertEqual(0.0, rates.rate_above(8))
            await asyncio.sleep(20)
            self.assertLess(rates.rate_above(5), 0.1)

        self.run_virtual(scenario())


class Retries(testtools.TestCase):
    def test_retries_are_a_share_of_successes_after_the_reserve(self) -> None:
        budget = RetryBudget(share=0.1, reserve=2)
        spent = [budget.try_spend() for _ in range(3)]
        for _ in range(25):
            budget.on_success()
        spent += [budget.try_spend() for _ in range(3)]
        self.assertEqual([True, True, False, True, True, False], spent)
