"""Test the checks on requests that end replicas, and what is drawn for them."""

from __future__ import annotations

import testtools

from tools.soak.crash_requests import (
    CRASH_REQUEST_KINDS,
    find_late_crash_sends,
    find_runs_after_block,
    find_wrongly_blocked,
    new_repeat,
)
from tools.soak.records import RequestKind, RequestRecord, Run
from tools.soak.schedule import FaultKind, LinkMode, Step, draw_crash_requests

PATH = '/pay/deadly-1-1000'
BLOCKED_S = 599.0


def seen(
    call_id: str, began: float, *, deadly: str = PATH, retry_after_s: float = 0.0
) -> RequestRecord:
    """Return a request to box 0 in its first life that was answered 0.1 s later."""
    return RequestRecord(
        call_id=call_id,
        kind=RequestKind.UNSAFE,
        box=0,
        incarnation=1,
        started_at=began,
        ended_at=began + 0.1,
        status=503,
        is_complete=True,
        has_seal=False,
        body=b'',
        event_ids=(),
        crash_path=deadly,
        retry_after_s=retry_after_s,
    )


def run(call_id: str, began: float) -> Run:
    """Return a run."""
    return Run(call_id=call_id, replica='i-1-1', started_at=began, first_event=1)


class Checks(testtools.TestCase):
    def test_only_what_ends_replicas_may_be_refused_for_long(self) -> None:
        mine = seen('c-1', 1.0, deadly='', retry_after_s=BLOCKED_S)
        self.assertEqual(1, len(find_wrongly_blocked([mine])))
        fine = [seen('d-1', 1.0, retry_after_s=BLOCKED_S), seen('c-2', 1.0, deadly='')]
        self.assertEqual([], find_wrongly_blocked(fine))

    def test_a_box_that_has_blocked_a_request_sends_it_no_more(self) -> None:
        items = [seen('d-1', 1.0, retry_after_s=BLOCKED_S), seen('d-2', 2.0)]
        self.assertEqual([], find_runs_after_block(items, []))
        self.assertEqual(1, len(find_runs_after_block(items, [run('d-2', 2.01)])))
        other_life = [items[0], items[1]._replace(incarnation=2)]
        self.assertEqual([], find_runs_after_block(other_life, [run('d-2', 2.01)]))

    def test_four_late_sends_are_too_many_and_three_are_not(self) -> None:
        ends = {PATH: [1.0, 1.5, 2.0]}
        late = [run(f'd-{number}', 7.0 + number) for number in range(4)]
        items = [seen(f'd-{number}', 7.0 + number) for number in range(4)]
        self.assertEqual([], find_late_crash_sends(items, late[:3], ends, []))
        self.assertEqual(1, len(find_late_crash_sends(items, late, ends, [])))
        soon = [run(f'd-{number}', 5.0 + number / 10) for number in range(4)]
        self.assertEqual([], find_late_crash_sends(items, soon, ends, []))

    def test_sends_beside_a_fault_are_not_held_against_boxes(self) -> None:
        ends = {PATH: [1.0, 1.5, 2.0]}
        late = [run(f'd-{number}', 7.0 + number) for number in range(4)]
        items = [seen(f'd-{number}', 7.0 + number) for number in range(4)]
        kill = Step(6.0, FaultKind.KILL_BOX, 0, 3.0, LinkMode.PASS)
        self.assertEqual([], find_late_crash_sends(items, late, ends, [kill]))


class Draws(testtools.TestCase):
    def test_repeats_of_a_seed_differ_in_nothing_or_their_query_or_their_body(self) -> None:
        steps = [step for seed in range(30) for step in draw_crash_requests(seed, seconds=20.0)]
        self.assertEqual(draw_crash_requests(1, seconds=20.0), draw_crash_requests(1, seconds=20.0))
        kinds, variants = set(), set()
        for step in steps:
            first, second = new_repeat(step, 1), new_repeat(step, 2)
            self.assertEqual(first.path, second.path)
            kinds.add(CRASH_REQUEST_KINDS[step.target % len(CRASH_REQUEST_KINDS)])
            variants.add((first.query == second.query, first.body == second.body))
        self.assertEqual(set(CRASH_REQUEST_KINDS), kinds)
        self.assertEqual({(True, True), (False, True), (True, False)}, variants)
