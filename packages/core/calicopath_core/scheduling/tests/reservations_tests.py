"""Test the ledger of capacity that is promised to callers who return."""

from __future__ import annotations

import testtools

from calicopath_core.scheduling.reservations import (
    MAX_AHEAD_S,
    MAX_EARLY_S,
    MAX_RESERVATIONS,
    RETENTION_S,
    STEP_S,
    Reservation,
    Reservations,
)

PIECES = {'look': 3}


class Ledger(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ledger = Reservations()

    def make(self, content: str, due_at: float = 1.0, now: float = 0.0) -> bool:
        return self.ledger.make(Reservation(content, due_at, PIECES), now)

    def promised(self, due_at: float) -> int:
        return self.ledger.promised('look', int(due_at / STEP_S))

    def test_a_reservation_is_used_once(self) -> None:
        """A caller that sends its request again would otherwise go first each time."""
        self.make('a')
        self.assertIsNotNone(self.ledger.claim('a', 1.0))
        self.assertIsNone(self.ledger.claim('a', 1.0))
        self.assertEqual(0, self.promised(1.0))

    def test_callers_with_equal_requests_each_use_one(self) -> None:
        """Two callers may send the same request; the first must not use up both reservations."""
        self.make('a', 1.5)
        self.make('a', 1.0)
        found = [self.ledger.claim('a', 1.5) for _ in range(3)]
        self.assertEqual([1.5, 1.0, None], [item and item.due_at for item in found])

    def test_who_returns_long_before_its_time_is_new(self) -> None:
        """The capacity is free at its time only; before that, others are served with it."""
        self.make('a')
        self.assertIsNone(self.ledger.claim('a', 1.0 - MAX_EARLY_S - 0.01))
        self.assertIsNotNone(self.ledger.claim('a', 1.0 - MAX_EARLY_S + 0.01))

    def test_it_expires_shortly_after_its_time(self) -> None:
        """The capacity of a caller that never returns would stay reserved."""
        self.make('a')
        self.assertEqual([], self.ledger.expire(1.0 + RETENTION_S))
        (expired,) = self.ledger.expire(1.0 + RETENTION_S + 2 * STEP_S)
        self.assertEqual('a', expired.content)
        self.assertIsNone(self.ledger.claim('a', 1.0 + RETENTION_S + 2 * STEP_S))
        self.assertEqual((0, {}, {}), (self.ledger.count, self.ledger.pieces, self.ledger.by_step))

    def test_who_returns_too_late_is_new(self) -> None:
        """An idle scheduler drops expired reservations only with its next tick."""
        self.make('a')
        self.assertIsNone(self.ledger.claim('a', 1.0 + RETENTION_S + 0.01))

    def test_it_is_bounded_in_time_and_entries(self) -> None:
        """A wrong estimate or a flood of refusals must not fill the scheduler's memory."""
        self.assertFalse(self.make('far', MAX_AHEAD_S + 0.1))
        made = [self.make(f'r{number}') for number in range(MAX_RESERVATIONS + 10)]
        self.assertEqual(MAX_RESERVATIONS, sum(made))
        self.assertTrue(self.ledger.is_full)

    def test_the_next_scheduler_gets_durations(self) -> None:
        """The monotonic clocks of two boxes have nothing in common."""
        self.make('a', 1.0)
        self.make('gone', 1.0)
        after = Reservations()
        after.restore(self.ledger.snapshot(0.5), 900.0)
        self.assertEqual(3 + 3, after.promised('look', int(900.5 / STEP_S)))
        self.assertIsNotNone(after.claim('a', 900.5))

    def test_implausible_reservations_of_others_are_dropped(self) -> None:
        """A faulty box must not reserve capacity for ever."""
        after = Reservations()
        self.make('a', 1.0)
        after.restore(self.ledger.snapshot(-1000.0), 0.0)
        after.restore(self.ledger.snapshot(1000.0), 0.0)
        self.assertEqual(0, after.count)
