"""Test that estimates follow observations slowly and within bounds."""

from __future__ import annotations

import testtools

from calicopath_core.scheduling.estimates import (
    DEFAULT_FIRST_EVENT_S,
    MAX_OBSERVATION_S,
    SMOOTHING,
    EngineTimes,
)


class FirstEvents(testtools.TestCase):
    def test_before_anything_was_seen_the_prior_holds(self) -> None:
        self.assertEqual(DEFAULT_FIRST_EVENT_S, EngineTimes().expected_s(1000))

    def test_prompts_of_one_size_are_learned_apart_from_others(self) -> None:
        times = EngineTimes()
        for _ in range(100):
            times.learn(9000, 0.2)
            times.learn(500, 0.05)
        self.assertAlmostEqual(0.2, times.expected_s(8500), delta=0.01)
        self.assertAlmostEqual(0.05, times.expected_s(300), delta=0.01)

    def test_half_of_a_change_is_learned_after_fourteen_observations(self) -> None:
        times = EngineTimes()
        for _ in range(14):
            times.learn(1000, 0.0)
        self.assertLess(times.expected_s(1000), DEFAULT_FIRST_EVENT_S / 2)

    def test_one_engine_that_hangs_moves_it_by_a_bounded_step(self) -> None:
        times = EngineTimes()
        times.learn(1000, 3600.0)
        step_s = SMOOTHING * (MAX_OBSERVATION_S - DEFAULT_FIRST_EVENT_S)
        self.assertAlmostEqual(DEFAULT_FIRST_EVENT_S + step_s, times.expected_s(1000))
