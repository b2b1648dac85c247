"""Test that the checks of an overload see what must not be, and only that."""

from __future__ import annotations

from typing import Any

import testtools

from tools.soak.overload import (
    SERVED_AGAIN_S,
    LoadPeriod,
    find_lasting_overloads,
    find_runs_after_refusal,
    has_disturbed_service,
)
from tools.soak.records import RequestKind, RequestRecord
from tools.soak.schedule import FaultKind, LinkMode, Step
from tools.soak.tests.checks_tests import run, seen
from tools.soak.world import FAILURE_DOMAINS, REPLICA_COUNT, SERVICES

PERIOD = LoadPeriod(RequestKind.STAGED_STREAM, 5.0, 8.0)


def asked(**changes: Any) -> RequestRecord:
    """Return a staged request from after the overload that was refused."""
    refused = {'started_at': 9.0, 'ended_at': 9.1, 'status': 503, 'event_ids': ()}
    return seen(RequestKind.STAGED_STREAM, **(refused | changes))


def step(kind: FaultKind, target: int) -> Step:
    """Return a step that begins when the overload ends."""
    return Step(8.0, kind, target, 2.0, LinkMode.RESET)


class Refusals(testtools.TestCase):
    """A refused request that runs all the same may run twice, since its caller comes back."""

    def test_a_run_after_the_refusal_is_seen_for_repeatable_requests_too(self) -> None:
        refused = seen(RequestKind.SAFE, status=503, ended_at=10.0)
        self.assertEqual(1, len(find_runs_after_refusal([refused], [run(began=10.1)])))

    def test_runs_before_a_refusal_and_runs_of_served_requests_are_none(self) -> None:
        refused = seen(RequestKind.SAFE, status=503, ended_at=10.0)
        self.assertEqual([], find_runs_after_refusal([refused], [run(began=9.9)]))
        served = seen(RequestKind.SAFE, ended_at=10.0)
        self.assertEqual([], find_runs_after_refusal([served], [run(began=10.1)]))


class Recovery(testtools.TestCase):
    """An overload that lasts by itself leaves callers without service after its cause is gone."""

    def test_a_fleet_that_goes_on_refusing_is_seen(self) -> None:
        self.assertEqual(1, len(find_lasting_overloads([asked()], [PERIOD], [])))

    def test_only_whole_answers_of_the_kind_in_time_count_as_served(self) -> None:
        for changes in (
            {'is_complete': False},
            {'ended_at': PERIOD.ended_at + SERVED_AGAIN_S + 0.1},
            {'started_at': PERIOD.ended_at - 0.1},
        ):
            records = [asked(), asked(**({'status': 200} | changes))]
            self.assertEqual(1, len(find_lasting_overloads(records, [PERIOD], [])), str(changes))
        records = [asked(), seen(RequestKind.SAFE, started_at=9.0, ended_at=9.1)]
        self.assertEqual(1, len(find_lasting_overloads(records, [PERIOD], [])))
        records = [asked(), asked(status=200)]
        self.assertEqual([], find_lasting_overloads(records, [PERIOD], []))

    def test_nothing_is_expected_in_another_overload_or_without_callers(self) -> None:
        other = LoadPeriod(RequestKind.UNREPEATABLE_STREAM, 9.0, 11.0)
        self.assertEqual([], find_lasting_overloads([asked()], [PERIOD, other], []))
        self.assertEqual([], find_lasting_overloads([], [PERIOD], []))

    def test_faults_excuse_it_only_if_they_touch_each_replica_of_a_service(self) -> None:
        replicas = range(1, REPLICA_COUNT, len(SERVICES))
        steps = [step(FaultKind.REPLICA_CRASH, number) for number in replicas]
        self.assertEqual([], find_lasting_overloads([asked()], [PERIOD], steps))
        self.assertEqual(1, len(find_lasting_overloads([asked()], [PERIOD], steps[:-1])))

    def test_replicas_that_leave_without_notice_count_as_touched(self) -> None:
        leaving = step(FaultKind.UNDERWAY, 896989)
        others = [step(FaultKind.REPLICA_LEAVES, number) for number in (1, 7)]
        self.assertTrue(has_disturbed_service([leaving, *others], 0.0, 9.0))
        silent = leaving._replace(link_mode=LinkMode.SILENT)
        self.assertFalse(has_disturbed_service([silent, *others], 0.0, 9.0))

    def test_a_failure_domain_that_is_out_excuses_it_only_together_with_the_others(self) -> None:
        steps = [step(FaultKind.EVACUATION, number) for number in range(len(FAILURE_DOMAINS))]
        self.assertEqual([], find_lasting_overloads([asked()], [PERIOD], steps))
        self.assertEqual(1, len(find_lasting_overloads([asked()], [PERIOD], steps[:1])))
