"""Test that the check of answers underway sees what must not be, and only that."""

from __future__ import annotations

import testtools

from tools.soak.records import RequestKind, RequestRecord
from tools.soak.schedule import FaultKind, draw_underway
from tools.soak.underway import find_lost_answers

DEADLINE_S = 4.0


def record(status: int, *, is_complete: bool, took_s: float) -> RequestRecord:
    """Return what a caller saw of a stream."""
    return RequestRecord(
        call_id='c',
        kind=RequestKind.STAGED_STREAM,
        box=0,
        incarnation=1,
        started_at=10.0,
        ended_at=10.0 + took_s,
        status=status,
        is_complete=is_complete,
        has_seal=True,
        body=b'',
        event_ids=(1, 2),
    )


class Underway(testtools.TestCase):
    def problems(self, *records: RequestRecord, only: FaultKind = FaultKind.UNDERWAY) -> int:
        """Return how many answers count as lost."""
        return len(find_lost_answers(records, only, DEADLINE_S))

    # An answer that was given up before its deadline is lost, whatever its status.
    def test_answers_that_are_cut_or_given_up_before_the_deadline_are_lost(self) -> None:
        cut = record(200, is_complete=False, took_s=1.3)
        failed = record(502, is_complete=True, took_s=1.3)
        closed = record(0, is_complete=False, took_s=1.3)
        self.assertEqual(3, self.problems(cut, failed, closed))

    def test_whole_answers_refusals_and_passed_deadlines_are_not_lost(self) -> None:
        whole = record(200, is_complete=True, took_s=1.3)
        refused = record(503, is_complete=True, took_s=0.1)
        late = record(200, is_complete=False, took_s=4.1)
        self.assertEqual(0, self.problems(whole, refused, late))

    def test_nothing_is_judged_beside_other_faults(self) -> None:
        cut = record(200, is_complete=False, took_s=1.3)
        self.assertEqual(0, self.problems(cut, only=FaultKind.KILL_BOX))

    def test_a_seed_always_means_the_same_steps(self) -> None:
        first = draw_underway(7, seconds=10.0)
        self.assertEqual(first, draw_underway(7, seconds=10.0))
        self.assertGreater(len(first), 3)
