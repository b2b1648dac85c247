"""Test that a decision makes as many function calls however many jobs wait.

When the cost grew with the backlog, the scheduler stopped deciding in a burst: each arrival made
each later decision slower, and stages were idle while jobs waited.
"""

from __future__ import annotations

import testtools

from testkit.replay.crowd import Crowd, count_calls, measure_decisions
from testkit.replay.fleet import fleet_of
from testkit.virtual import run_virtual

BOXES = 12
"""Boxes of a fleet for which 50 waiting jobs are already more than its stages take at once."""

MAX_RATIO = 1.2
"""The numbers of calls may differ by a fifth, as they must by the design page: sorted structures
grow by the logarithm."""

REPEATS = 7


async def calls_past_backoffs(waiting: int) -> float:
    """Return the function calls of a placement past that many jobs of boxes that back off."""
    crowd = Crowd(fleet=fleet_of(BOXES), waiting=waiting, staged=True)
    calls = count_calls(crowd.placement_past_backoffs().take)
    await crowd.close()
    return calls


class Cost(testtools.TestCase):
    def test_a_decision_makes_as_many_calls_with_50_and_with_5000_waiting_jobs(self) -> None:
        few, many = (
            run_virtual(measure_decisions(fleet_of(BOXES), waiting, REPEATS, count_calls))
            for waiting in (50, 5000)
        )
        self.assertEqual({'arrival', 'dispatch', 'rejection', 'hand-over', 'placement'}, set(few))
        for kind, calls in many.items():
            self.assertLessEqual(calls, MAX_RATIO * few[kind], kind)
            self.assertLessEqual(few[kind], MAX_RATIO * calls, kind)

    def test_a_placement_past_boxes_that_back_off_makes_calls_at_most_in_proportion(self) -> None:
        """Guard against a scheduler that reads the order anew for every few jobs that it passes."""
        few, many = (run_virtual(calls_past_backoffs(waiting)) for waiting in (200, 2000))
        self.assertLessEqual(many, 10 * MAX_RATIO * few)
        self.assertLessEqual(2000, many, 'the placement does not pass the jobs')
