"""Test what the soak draws and finds for restarts beside unreadable objects, and odd statuses."""

from __future__ import annotations

import testtools

from tools.soak.records import RequestKind, RequestRecord
from tools.soak.restarts import (
    FOREIGN_OBJECTS,
    RESTART_KINDS,
    draw_odd_statuses,
    draw_restarts,
    find_odd_statuses,
)


class Drawn(testtools.TestCase):
    def test_each_seed_restarts_all_boxes_in_both_ways_and_draws_the_same_again(self) -> None:
        for seed in range(20):
            steps = draw_restarts(seed, seconds=8.0)
            self.assertEqual(set(RESTART_KINDS), {step.kind for step in steps})
            self.assertEqual(steps, draw_restarts(seed, seconds=8.0))
            odd = draw_odd_statuses(seed, seconds=8.0)
            self.assertEqual(odd, draw_odd_statuses(seed, seconds=8.0))

    def test_every_kind_of_object_that_boxes_read_has_an_unreadable_one(self) -> None:
        self.assertEqual(5, len({item.kind for item in FOREIGN_OBJECTS}))


class Found(testtools.TestCase):
    def problems(self, status: int, *, whole: bool = True) -> int:
        """Return how many problems one response gives."""
        kind = RequestKind.SAFE
        record = RequestRecord('c-1', kind, 0, 1, 2.0, 3.0, status, whole, whole, b'', ())
        return len(find_odd_statuses([record]))

    def test_a_response_whose_status_is_none_is_found(self) -> None:
        for status in (0, 1, 99, 100, 101, 199, 600, 999):
            self.assertEqual(1, self.problems(status), str(status))
        for status in (200, 404, 503, 599):
            self.assertEqual(0, self.problems(status), str(status))

    def test_a_connection_without_a_response_has_no_status(self) -> None:
        self.assertEqual(0, self.problems(0, whole=False))
