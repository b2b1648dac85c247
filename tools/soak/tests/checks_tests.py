"""Test that the soak's checks see what must not be, and only that."""

from __future__ import annotations

import itertools
from typing import Any

import testtools

from tools.soak import checks
from tools.soak.drawing import draw_all_steps
from tools.soak.records import (
    EVENTS_PER_STREAM,
    Arrival,
    BoxStop,
    Evacuation,
    RefusedCall,
    RequestKind,
    RequestRecord,
    Run,
)
from tools.soak.schedule import SEPARATELY_DRAWN, FaultKind, LinkMode, Step, is_calm

WHOLE = tuple(range(1, EVENTS_PER_STREAM + 1))
FIRST_OF_57 = [(1.0, 'kill-box', 2), (1.178, 'store-silent', 3), (1.886, 'store-loses-answers', 0)]
"""What this seed meant when it once showed a fault."""


def seen(kind: RequestKind, **changes: Any) -> RequestRecord:
    """Return a request that was served well."""
    fields: dict[str, Any] = {
        'call_id': 'c-1',
        'kind': kind,
        'box': 0,
        'incarnation': 1,
        'started_at': 10.0,
        'ended_at': 10.5,
        'status': 200,
        'is_complete': True,
        'has_seal': True,
        'body': b'c-1 desk',
        'event_ids': WHOLE
        if kind in (RequestKind.STAGED_STREAM, RequestKind.UNREPEATABLE_STREAM)
        else (),
    }
    return RequestRecord(**(fields | changes))


def run(began: float = 10.0, ended: float | None = 10.5) -> Run:
    """Return a run."""
    found = Run(call_id='c-1', replica='i-1', started_at=began, first_event=1)
    found.ended_at = ended
    return found


def step(kind: FaultKind, at_s: float, for_s: float = 1.0) -> Step:
    """Return a step."""
    return Step(at_s, kind, 0, for_s, LinkMode.RESET)


class Words(testtools.TestCase):
    def told(self, later_began: float, **changes: Any) -> list[str]:
        """Judge a request that reached a replica after another box or this one was told by it."""
        first = seen(RequestKind.SAFE, replica_is_leaving=True)
        later = seen(RequestKind.SAFE, call_id='c-2', started_at=later_began, **changes)
        again = run(later_began + 0.1)
        again.call_id = 'c-2'
        return checks.find_runs_after_leaving_notice([first, later], [run(), again], [])

    def test_what_a_told_box_sends_late_is_seen(self) -> None:
        self.assertEqual(1, len(self.told(10.6 + checks.DRAIN_LIMIT_S)))
        self.assertEqual([], self.told(10.4 + checks.DRAIN_LIMIT_S))

    def test_other_boxes_and_later_lives_are_not_held_to_it(self) -> None:
        self.assertEqual([], self.told(20.0, box=1))
        self.assertEqual([], self.told(20.0, incarnation=2))

    def test_a_box_that_stood_still_is_excused(self) -> None:
        first, later = (
            seen(RequestKind.SAFE, replica_is_leaving=True),
            seen(RequestKind.SAFE, call_id='c-2'),
        )
        later = later._replace(started_at=20.0)
        again = run(20.1)
        again.call_id = 'c-2'
        pause = step(FaultKind.PAUSE_BOX, 15.0)
        found = checks.find_runs_after_leaving_notice([first, later], [run(), again], [pause])
        self.assertEqual([], found)

    def kept(self, began: list[float], **changes: Any) -> list[str]:
        """Judge calls that were asked at some times, after one was turned away at 10.1 for 3 s."""
        listed = [seen(RequestKind.SAFE, status=503, ended_at=10.2)]
        arrived = [Arrival('c-1', 'i-1', 10.1)]
        for number, at in enumerate(began, 2):
            fields = {'call_id': f'c-{number}', 'started_at': at, 'ended_at': at + 0.1} | changes
            listed.append(seen(RequestKind.SAFE, **fields))
            arrived.append(Arrival(f'c-{number}', 'i-1', at + 0.05))
        wish = RefusedCall('c-1', 'i-1', 10.1, 3.0)
        return checks.find_backoff_violations(listed, [wish], arrived, [])

    def test_a_pause_that_is_not_kept_is_seen(self) -> None:
        self.assertEqual(1, len(self.kept([10.3, 11.0, 12.9])))
        self.assertEqual([], self.kept([10.3, 12.9]))

    def test_what_was_asked_before_or_comes_after_it_does_not_count(self) -> None:
        self.assertEqual([], self.kept([10.15, 10.18, 13.1, 13.2, 13.3]))

    def test_a_pause_binds_one_box_in_one_life(self) -> None:
        self.assertEqual([], self.kept([10.3, 11.0, 12.0], box=1))
        self.assertEqual([], self.kept([10.3, 11.0, 12.0], incarnation=2))


class Answers(testtools.TestCase):
    def test_what_is_right_is_no_problem(self) -> None:
        good = [
            seen(RequestKind.SAFE),
            seen(RequestKind.STAGED_STREAM),
            seen(RequestKind.SAFE, status=503),
        ]
        self.assertEqual([], checks.find_wrong_responses(good))

    def test_each_wrong_answer_is_seen(self) -> None:
        wrong = [
            seen(RequestKind.SAFE, has_seal=False),
            seen(RequestKind.SAFE, body=b'c-2 desk'),
            seen(RequestKind.STAGED_STREAM, event_ids=(1, 3)),
            seen(RequestKind.STAGED_STREAM, event_ids=(1, 1, 2), is_complete=False),
            seen(RequestKind.UNREPEATABLE_STREAM, event_ids=WHOLE[:-1]),
        ]
        for item in wrong:
            self.assertEqual(1, len(checks.find_wrong_responses([item])), str(item))

    def test_a_stream_that_was_cut_is_right_as_far_as_it_goes(self) -> None:
        cut = seen(RequestKind.STAGED_STREAM, event_ids=(1, 2), is_complete=False)
        self.assertEqual([], checks.find_wrong_responses([cut]))


class Runs(testtools.TestCase):
    def test_two_runs_of_what_can_not_be_repeated(self) -> None:
        paid = [seen(RequestKind.UNSAFE)]
        self.assertEqual([], checks.find_repeated_runs(paid, [run()]))
        self.assertEqual(1, len(checks.find_repeated_runs(paid, [run(), run()])))
        read = [seen(RequestKind.SAFE)]
        self.assertEqual([], checks.find_repeated_runs(read, [run(), run()]))

    def test_a_refusal_of_what_ran(self) -> None:
        refused = [seen(RequestKind.UNREPEATABLE_STREAM, status=503)]
        self.assertEqual([], checks.find_repeated_runs(refused, []))
        self.assertEqual(1, len(checks.find_repeated_runs(refused, [run()])))

    def test_a_run_that_nobody_asked_for(self) -> None:
        self.assertEqual(1, len(checks.find_unknown_runs([], [run()], set())))
        self.assertEqual([], checks.find_unknown_runs([], [run()], {'c-1'}))

    def test_runs_of_one_stream_at_the_same_time(self) -> None:
        together = [run(10.0, 14.0), run(11.0, 15.0)]
        self.assertEqual(1, len(checks.find_overlapping_runs(together, [], 20.0)))
        fault = [step(FaultKind.REPLICA_LINK, 10.5)]
        self.assertEqual([], checks.find_overlapping_runs(together, fault, 20.0))
        after = [run(10.0, 11.0), run(11.0, 15.0)]
        self.assertEqual([], checks.find_overlapping_runs(after, [], 20.0))

    def test_work_for_a_replica_that_has_left(self) -> None:
        late = [run(20.0)]
        self.assertEqual(1, len(checks.find_runs_after_drain(late, {'i-1': 15.0}, [])))
        self.assertEqual([], checks.find_runs_after_drain(late, {'i-1': 19.0}, []))
        fault = [step(FaultKind.STORE_DOWN, 14.0)]
        self.assertEqual([], checks.find_runs_after_drain(late, {'i-1': 15.0}, fault))


class Boxes(testtools.TestCase):
    def test_a_version_that_was_in_force_and_is_denied(self) -> None:
        served = seen(RequestKind.CONFIG_PROBE, probed_version=3)
        denied = seen(
            RequestKind.CONFIG_PROBE, probed_version=3, status=404, started_at=11.0, ended_at=11.1
        )
        self.assertEqual(1, len(checks.find_configuration_reverts([denied, served])))
        other = denied._replace(incarnation=2)
        self.assertEqual([], checks.find_configuration_reverts([served, other]))

    def test_a_stop_that_cuts_fails_or_takes_long(self) -> None:
        stop = BoxStop(0, 10.2, 12.0, 0)
        cut = seen(RequestKind.SAFE, status=0, is_complete=False)
        self.assertEqual([], checks.find_stop_problems([stop], [seen(RequestKind.SAFE)], []))
        self.assertEqual(1, len(checks.find_stop_problems([stop], [cut], [])))
        fault = [step(FaultKind.REPLICA_CRASH, 9.0)]
        self.assertEqual([], checks.find_stop_problems([stop], [cut], fault))
        self.assertEqual(1, len(checks.find_stop_problems([stop._replace(exit_code=1)], [], [])))
        self.assertEqual(1, len(checks.find_stop_problems([stop._replace(ended_at=99.0)], [], [])))


class Schedule(testtools.TestCase):
    def test_a_seed_always_gives_the_same_steps_and_another_seed_others(self) -> None:
        def steps(seed: int) -> list[Step]:
            return draw_all_steps(seed, seconds=20.0, boxes=4, replicas=9, failure_domains=2)

        self.assertEqual(steps(1), steps(1))
        self.assertNotEqual(steps(1), steps(2))

    def test_every_kind_is_drawn_and_steps_overlap(self) -> None:
        steps = [
            item
            for seed in range(20)
            for item in draw_all_steps(seed, seconds=20, boxes=4, replicas=9, failure_domains=2)
        ]
        self.assertEqual(set(FaultKind), {item.kind for item in steps})
        pairs = itertools.pairwise(steps)
        self.assertTrue(any(later.at_s < earlier.end_s for earlier, later in pairs))

    def test_planned_work_leaves_a_span_calm(self) -> None:
        self.assertTrue(is_calm([step(FaultKind.CONFIG_CHANGE, 1.0)], 0.0, 5.0))
        self.assertFalse(is_calm([step(FaultKind.KILL_BOX, 1.0)], 0.0, 5.0))
        self.assertFalse(is_calm([step(FaultKind.KILL_BOX, 1.0, 3.0)], 3.5, 5.0))
        self.assertTrue(is_calm([step(FaultKind.KILL_BOX, 1.0, 1.0)], 3.5, 5.0))


class Zones(testtools.TestCase):
    def problems(
        self, began: float, failure_domain: str = 'north', steps: tuple[Step, ...] = ()
    ) -> int:
        """Return how many problems a run shows with a failure domain out from 10 to 20 s."""
        out = [Evacuation('north', 10.0, 20.0)]
        found = checks.find_runs_after_evacuation(
            [run(began)], out, lambda name: failure_domain, list(steps)
        )
        return len(found)

    def test_new_work_in_a_zone_that_is_out_is_seen_once_all_should_know(self) -> None:
        self.assertEqual([0, 1, 1, 0], [self.problems(at) for at in (12.9, 13.1, 19.9, 20.1)])
        self.assertEqual(0, self.problems(15.0, failure_domain='south'))

    def test_faults_excuse_it_for_a_while(self) -> None:
        self.assertEqual(0, self.problems(15.0, steps=(step(FaultKind.STORE_DOWN, 9.0),)))
        self.assertEqual(1, self.problems(19.5, steps=(step(FaultKind.STORE_DOWN, 9.0),)))

    def test_taking_zones_out_leaves_what_a_seed_meant_as_it_was(self) -> None:
        steps = draw_all_steps(57, seconds=20.0, boxes=4, replicas=9, failure_domains=2)
        others = [item for item in steps if item.kind not in SEPARATELY_DRAWN]
        first = [(item.at_s, item.kind.value, item.target) for item in others[:3]]
        self.assertEqual(FIRST_OF_57, first)
        self.assertGreater(len(steps), len(others))


class CallsToTheStore(testtools.TestCase):
    def test_more_calls_in_any_second_than_the_store_takes_are_seen(self) -> None:
        gap_s = 1.001 / checks.MAX_STORE_CALLS_PER_BOX
        borne = [number * gap_s for number in range(10 * checks.MAX_STORE_CALLS_PER_BOX)]
        self.assertEqual([], checks.find_excess_store_calls(borne, 1))
        crowded = sorted([*borne, *(5.0 + number / 10_000 for number in range(50))])
        self.assertEqual(1, len(checks.find_excess_store_calls(crowded, 1)))
        self.assertEqual([], checks.find_excess_store_calls(crowded, 2))
