"""Test that a fall below the baseline is seen, and noise is not taken for one."""

from __future__ import annotations

import testtools

from tools.regression import NOISE_MARGIN, BenchRun, find_regressions, median_by_day, parse_run

PRINTED = """score on the standard days of some-site (set fd840409): 0.781
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 6/29   0.65  0.790  0.913   0.010  0.013  worst windows 0.75
trouble-1               6/29   0.91 -0.030  0.920   0.001  0.018  worst windows 0.53
fresh-98d0              6/29   1.00  0.589  0.838   0.009  0.022  worst windows 0.29
GATE passed
snapshot 7eaf262b
"""


class Reading(testtools.TestCase):
    def test_days_gate_and_entry_are_read_and_drawn_days_are_not(self) -> None:
        found = parse_run(PRINTED)
        self.assertEqual({'quiet-1': 0.79, 'trouble-1': -0.03}, found.days)
        self.assertEqual(('passed', '7eaf262b'), (found.gate, found.journal_entry))

    def test_a_play_that_ended_early_has_no_gate(self) -> None:
        self.assertEqual(BenchRun({}, 'unknown', ''), parse_run('built in 0.1 s'))


class Comparing(testtools.TestCase):
    def test_the_median_counts(self) -> None:
        plays = [BenchRun({'quiet-1': worth}, 'passed', '') for worth in (0.7, 0.2, 0.8)]
        self.assertEqual({'quiet-1': 0.7}, median_by_day(plays))

    def test_a_fall_beyond_noise_is_listed_and_one_within_it_is_not(self) -> None:
        before = {'quiet-1': 0.8, 'trouble-1': 0.6}
        now = {'quiet-1': 0.8 - NOISE_MARGIN / 2, 'trouble-1': 0.6 - 2 * NOISE_MARGIN}
        self.assertEqual(['trouble-1'], [item.day for item in find_regressions('s', now, before)])

    def test_a_day_that_was_not_played_has_fallen(self) -> None:
        self.assertEqual(
            ['quiet-1'], [item.day for item in find_regressions('s', {}, {'quiet-1': 0.8})]
        )
