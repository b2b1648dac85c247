"""Test the splitting of events, retry budgets and the choice of a replica."""

from __future__ import annotations

import itertools
import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from calicopath_core.exchanges.balancer import FAILURES_TO_EJECT, Balancer, LoadReport
from calicopath_core.exchanges.budget import (
    USABLE_BUDGET_RATIO,
    BudgetTerms,
    WindowRetryBudget,
)
from calicopath_core.exchanges.events import MAX_EVENT_BYTES, EventSplitter
from calicopath_core.fleet.replicas import Replica, ReplicaTable
from testkit.gates import new_gate

EVENTS = b''.join(b'id: %d\r\ndata: a\r\n\r\nid: %d\ndata: b\n\n' % (n, n + 1) for n in (1, 3, 5))


class Events(testtools.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.integers(0, len(EVENTS)), max_size=8))
    def test_however_bytes_come_only_whole_events_go_out(self, cuts: list[int]) -> None:
        splitter = EventSplitter()
        found = b''
        boundaries = [0, *sorted(cuts), len(EVENTS)]
        for begin, end in itertools.pairwise(boundaries):
            complete = splitter.feed(EVENTS[begin:end])
            self.assertTrue(not complete or complete.endswith((b'\n\n', b'\r\n\r\n')))
            found += complete
        self.assertEqual((EVENTS, b'', '6'), (found, splitter.buffer, splitter.last_event_id))

    def test_half_an_event_stays(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(b'', splitter.feed(b'id: 7\ndata'))
        self.assertIsNone(splitter.last_event_id)

    def test_an_event_without_end_is_none(self) -> None:
        self.assertRaises(ValueError, EventSplitter().feed, b'x' * (MAX_EVENT_BYTES + 1))


class Budget(testtools.TestCase):
    def test_repeats_come_back_as_the_window_slides(self) -> None:
        budget = WindowRetryBudget(terms=BudgetTerms(0.2, 40.0, 10.0))
        spent = sum(budget.try_spend(0.0, 4) for _ in range(100))
        self.assertEqual(int(USABLE_BUDGET_RATIO * 40 / 4), spent)
        self.assertFalse(budget.try_spend(9.9, 4))
        self.assertTrue(budget.try_spend(10.1, 4))

    def test_requests_earn_repeats(self) -> None:
        budget = WindowRetryBudget(terms=BudgetTerms(0.2, 0.0, 10.0))
        self.assertFalse(budget.try_spend(0.0, 1))
        for _ in range(10):
            budget.on_request(0.0)
        self.assertTrue(budget.try_spend(0.0, 1))
        self.assertFalse(budget.try_spend(0.0, 1))


class Choice(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = ReplicaTable()
        self.near = Replica('near', 's', 'a:1', 'here', 4, False)
        self.far = Replica('far', 's', 'b:1', 'there', 4, False)
        self.table.replace([self.near, self.far], 0.0)
        self.balancer = Balancer(
            replicas=self.table,
            gate=new_gate(self.table),
            failure_domain='here',
            rng=random.Random(1),
        )

    def chosen(self, now: float = 0.0) -> str:
        """Return the identifier of the replica that is chosen."""
        found = self.balancer.choose('s', set(), now)
        assert found is not None
        return found.id

    def test_the_own_failure_domain_is_preferred_until_it_is_busy(self) -> None:
        self.assertEqual('near', self.chosen())
        self.balancer.stats_of(self.near).on_report(LoadReport(4, 3, 4), 0.0)
        self.assertEqual('far', self.chosen())
        self.assertEqual('near', self.chosen(5.0))

    def test_a_replica_that_fails_part_of_its_calls_is_avoided(self) -> None:
        self.balancer.stats_of(self.near).on_failure(0.0)
        self.assertEqual('far', self.chosen())

    def test_one_that_fails_again_and_again_is_left_alone_but_never_all(self) -> None:
        for _ in range(FAILURES_TO_EJECT):
            self.balancer.stats_of(self.near).on_failure(0.0)
            self.balancer.stats_of(self.far).on_failure(0.0)
        self.assertIn(self.chosen(), ('near', 'far'))

    def test_what_was_tried_is_not_chosen_again(self) -> None:
        found = self.balancer.choose('s', {'near'}, 0.0)
        assert found is not None
        self.assertEqual('far', found.id)
        self.assertIsNone(self.balancer.choose('s', {'near', 'far'}, 0.0))

    def test_what_is_known_of_replicas_goes_with_them(self) -> None:
        self.balancer.stats_of(self.near)
        self.table.remove('near', 0.0)
        self.assertEqual([], list(self.balancer.stats))
