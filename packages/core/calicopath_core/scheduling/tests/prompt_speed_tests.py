"""Test how the speed at which engines read prompts is learned from first events."""

from __future__ import annotations

import math
import random

import testtools

from calicopath_core.scheduling.prompt_speed import (
    MAX_SPEED_RATIO,
    PREFILL_S_PER_TOKEN,
    PromptSpeed,
)


def learn(
    target: PromptSpeed,
    s_per_token: float,
    count: int = 400,
    base_s: float = 0.03,
    noise_s: float = 0.01,
    tokens: tuple[int, int] = (50, 6000),
) -> None:
    """Add first events of engines that take `s_per_token`, with a uniform noise."""
    rng = random.Random(1)
    for _ in range(count):
        length = rng.randint(*tokens)
        target.learn(length, base_s + length * s_per_token + noise_s * rng.random())


class Learning(testtools.TestCase):
    def test_the_speed_of_much_faster_engines_is_learned(self) -> None:
        """Guards against taking an engine for busy three times as long as it is."""
        for tokens_per_ms in (92.1, 50.7, 20.0):
            target = PromptSpeed()
            learn(target, 1 / 1000 / tokens_per_ms)
            self.assertAlmostEqual(1.0, target.s_per_token * 1000 * tokens_per_ms, delta=0.08)

    def test_engines_as_fast_as_the_constant_keep_exactly_the_constant(self) -> None:
        """Guards against other engine choices where engines are as fast as the constant says."""
        for tokens_per_ms in (32.4, 35.0, 38.0):
            for base_s in (0.02, 0.07, 0.3):
                target = PromptSpeed()
                learn(target, 1 / 1000 / tokens_per_ms, base_s=base_s)
                self.assertEqual(PREFILL_S_PER_TOKEN, target.s_per_token)

    def test_few_observations_change_nothing(self) -> None:
        """Guards against estimates from the first few runs, which are also the coldest."""
        target = PromptSpeed()
        learn(target, PREFILL_S_PER_TOKEN / 3, count=30)
        self.assertEqual(PREFILL_S_PER_TOKEN, target.s_per_token)

    def test_prompts_of_one_length_keep_the_constant(self) -> None:
        """Guards against reading a speed from observations that cannot show it: with one length,
        a slow network looks like slow reading."""
        for length in (100, 500, 2000, 9000):
            target = PromptSpeed()
            learn(target, PREFILL_S_PER_TOKEN, base_s=0.5, tokens=(length, length))
            self.assertEqual(PREFILL_S_PER_TOKEN, target.s_per_token)

    def test_runs_that_hang_do_not_decide(self) -> None:
        """Guards against an engine that hangs for seconds now and then and makes all look slow."""
        target = PromptSpeed()
        rng = random.Random(2)
        for number in range(400):
            length = rng.randint(50, 6000)
            hangs_s = 5.0 if number % 20 == 0 else 0.0
            target.learn(length, 0.05 + length / 92_100 + hangs_s)
        self.assertAlmostEqual(1.0, target.s_per_token * 92_100, delta=0.15)

    def test_the_estimate_is_bounded(self) -> None:
        """Guards against a time of 0 per token, by which every engine looks idle."""
        for took_s in (0.0, 1e9):
            target = PromptSpeed()
            for number in range(1000):
                target.learn(100 + 100 * (number % 50), took_s)
            ratio = target.learned_s_per_token / PREFILL_S_PER_TOKEN
            self.assertTrue(1 / MAX_SPEED_RATIO <= ratio <= MAX_SPEED_RATIO)


class Succession(testtools.TestCase):
    def test_the_next_scheduler_begins_with_the_estimate(self) -> None:
        """Guards against relearning the speed after each change of the scheduler."""
        before, after = PromptSpeed(), PromptSpeed()
        learn(before, 1 / 92_100)
        after.restore(before.learned_s_per_token)
        self.assertEqual(before.s_per_token, after.s_per_token)
        learn(after, 1 / 92_100, count=50)
        self.assertAlmostEqual(1.0, after.s_per_token * 92_100, delta=0.15)

    def test_an_implausible_estimate_is_bounded_or_ignored(self) -> None:
        """Guards against a message of another build that makes every engine look idle."""
        for wild, ratio in ((math.nan, 1.0), (math.inf, 1.0), (-1.0, 1 / 8), (9.0, 8.0)):
            target = PromptSpeed()
            target.restore(wild)
            self.assertAlmostEqual(ratio, target.s_per_token / PREFILL_S_PER_TOKEN)

    def test_a_scheduler_with_observations_keeps_its_own(self) -> None:
        """Guards against an outdated estimate that replaces a fresh one."""
        target = PromptSpeed()
        learn(target, 1 / 92_100)
        own = target.s_per_token
        target.restore(1 / 10_000)
        self.assertEqual(own, target.s_per_token)
