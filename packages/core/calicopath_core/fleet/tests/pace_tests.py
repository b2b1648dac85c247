"""Test the estimate of how fast replicas work."""

from __future__ import annotations

import math

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from calicopath_core.fleet import pace as pace_module
from calicopath_core.fleet.pace import (
    EVIDENCE_TTL_S,
    MAX_PACE,
    MIN_PACE,
    RECENT_TTL_S,
    REPORT_TTL_S,
    PaceEstimates,
    PaceObserver,
)

FIGURES = st.floats(allow_nan=True, allow_infinity=True)


class RecordingObserver(PaceObserver):
    """Record the changes of replicas."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def on_replica_slow(self, replica_id: str, factor: float) -> None:
        """Record a slow replica."""
        self.events.append(f'{replica_id} slow')

    def on_replica_recovered(self, replica_id: str, slow_for_s: float) -> None:
        """Record a recovered replica."""
        self.events.append(f'{replica_id} recovered')


def observe(
    target: PaceEstimates, ratio: float, count: int = 60, begin: float = 0.0, every_s: float = 0.1
) -> float:
    """Add observations of one ratio to replica `r`, and return the time of the last one."""
    for number in range(count):
        target.on_observed('r', 0.1 * ratio, 0.1, begin + number * every_s)
    return begin + (count - 1) * every_s


class Reports(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.target = PaceEstimates()

    def test_a_slow_report_fades_with_the_length_of_slow_moments(self) -> None:
        """Guards against a replica that is avoided long after its slow moment has ended."""
        self.target.on_report('r', 2.5, 0.0)
        ages = (0.0, REPORT_TTL_S / 2, REPORT_TTL_S, 60.0)
        found = [self.target.factor('r', age) for age in ages]
        self.assertAlmostEqual(2.5, found[0], delta=0.02)
        self.assertAlmostEqual(1.75, found[1], delta=0.02)
        self.assertEqual([1.0, 1.0], found[2:])

    def test_long_work_is_delayed_only_while_a_slow_moment_lasts(self) -> None:
        """Guards against moving long queues away from an engine for a moment that ends sooner."""
        self.target.on_report('r', 2.5, 0.0)
        short_s, long_s = (self.target.duration_s('r', work_s, 0.0) for work_s in (0.02, 2.0))
        self.assertAlmostEqual(0.05, short_s, delta=0.001)
        self.assertAlmostEqual(2.0 + REPORT_TTL_S / 2 * 0.6, long_s, delta=0.001)
        self.assertEqual(2.0, self.target.duration_s('r', 2.0, REPORT_TTL_S))

    def test_a_report_of_the_usual_pace_ends_a_slow_moment_and_draws_nobody(self) -> None:
        """Guards against herding: a replica that has just reported 100 must not look better than
        those that have not answered lately."""
        self.target.on_report('r', 2.5, 0.0)
        self.target.on_report('r', 1.0, 0.1)
        self.target.on_report('s', 0.5, 0.1)
        self.assertEqual([1.0] * 3, [self.target.factor(name, 0.1) for name in ('r', 's', 'none')])

    def test_a_pace_that_is_always_reported_becomes_the_usual_one(self) -> None:
        """Guards against counting a lasting slowness twice, reported and observed."""
        for number in range(300):
            now = number * 0.05
            self.target.on_report('r', 1.3, now)
            self.target.on_observed('r', 0.13, 0.1, now)
        self.assertAlmostEqual(1.3, self.target.factor('r', 15.0), delta=0.06)

    def test_slow_moments_are_not_taken_for_a_lasting_slowness(self) -> None:
        """Guards against avoiding a replica for good because of moments that it reports."""
        for number in range(400):
            now = number * 0.05
            pace = 2.5 if number % 80 < 12 else 1.0
            self.target.on_report('r', pace, now)
            self.target.on_observed('r', 0.1 * pace, 0.1, now)
        self.assertEqual(1.0, self.target.factor('r', 21.0))

    def test_a_pace_that_is_no_positive_number_is_ignored(self) -> None:
        """Guards against an estimate of `nan`, with which a replica is never chosen again."""
        for bad in (math.nan, math.inf, 0.0, -1.0):
            self.target.on_report('r', bad, 0.0)
            self.target.on_observed('r', bad, 0.1, 0.0)
            self.target.on_observed('r', 0.1, bad, 0.0)
        self.assertEqual(1.0, self.target.factor('r', 0.0))


class Observations(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.target = PaceEstimates()

    def test_a_lasting_slowness_is_learned(self) -> None:
        """Guards against giving a machine that is 1.3 times slower as much as the others."""
        self.assertAlmostEqual(1.3, self.target.factor('r', observe(self.target, 1.3)), delta=0.06)

    def test_replicas_as_fast_as_configured_have_exactly_the_factor_one(self) -> None:
        """Guards against choices that change by noise where all replicas are equally fast."""
        for ratio in (0.93, 1.0, 1.07):
            target = PaceEstimates()
            self.assertEqual(1.0, target.factor('r', observe(target, ratio)))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.integers(0, 60), st.floats(0.0, 1e6), st.floats(0.001, 1e6))
    def test_one_outlier_decides_nothing(
        self, earlier: int, took_s: float, expected_s: float
    ) -> None:
        """Guards against avoiding a replica because one call took long for another reason."""
        target = PaceEstimates()
        last = observe(target, 1.0, count=earlier)
        target.on_observed('r', took_s, expected_s, last)
        self.assertEqual(1.0, target.factor('r', last))

    def test_a_replica_without_work_is_tried_again(self) -> None:
        """Guards against never learning that a replica has recovered, as it gets no work."""
        last = observe(self.target, 2.0)
        later = [self.target.factor('r', last + number * EVIDENCE_TTL_S) for number in range(8)]
        self.assertEqual(sorted(later, reverse=True), later)
        self.assertEqual(1.0, later[-1])

    def test_the_recent_factor_follows_at_once_and_expires(self) -> None:
        """Guards against work for a stage replica whose last call took far too long."""
        self.target.on_observed('r', 2.0, 0.4, 0.0)
        self.assertEqual(3.0, self.target.recent('r', 0.0))
        self.assertEqual(1.0, self.target.recent('r', RECENT_TTL_S))

    def test_changes_are_reported_once(self) -> None:
        """Guards against a log line for every observation of a slow replica."""
        observer = RecordingObserver()
        target = PaceEstimates(observer=observer)
        last = observe(target, 1.6, count=200)
        observe(target, 1.0, count=200, begin=last)
        self.assertEqual(['r slow', 'r recovered'], observer.events)


class Bounds(testtools.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), FIGURES, FIGURES, st.floats(0, 1e6)), max_size=30))
    def test_whatever_is_reported_the_factor_is_bounded(
        self, inputs: list[tuple[bool, float, float, float]]
    ) -> None:
        """Guards against a replica that attracts or loses all work by what it reports."""
        target = PaceEstimates()
        for is_report, first, second, now in inputs:
            if is_report:
                target.on_report('r', first, now)
            else:
                target.on_observed('r', first, second, now)
            self.assertTrue(MIN_PACE <= target.factor('r', now) <= MAX_PACE)
            self.assertTrue(1.0 <= target.momentary('r', now) <= MAX_PACE)
            self.assertTrue(math.isfinite(target.recent('r', now)))
            longest_s = MAX_PACE * 1.0 + REPORT_TTL_S
            self.assertTrue(MIN_PACE <= target.duration_s('r', 1.0, now) <= longest_s)

    def test_replicas_that_are_gone_are_forgotten(self) -> None:
        """Guards against state that grows with every replica that ever existed."""
        target = PaceEstimates()
        for name in ('r', 's'):
            target.on_report(name, 2.5, 0.0)
        target.keep_only({'s': None})
        self.assertEqual(['s'], list(target.paces))

    def test_the_number_of_estimates_is_bounded(self) -> None:
        """Guards against memory that messages about invented replicas could take."""
        target = PaceEstimates()
        for number in range(pace_module.MAX_REPLICAS + 10):
            target.on_report(f'r-{number}', 2.5, 0.0)
        self.assertEqual(pace_module.MAX_REPLICAS, len(target.paces))
        self.assertEqual(1.0, target.factor(f'r-{pace_module.MAX_REPLICAS}', 0.0))
