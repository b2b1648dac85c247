"""Test on replayed load that callers are served as well or better when paces are learned.

Every third engine is 1.3 times slower, engines read 92 prompt tokens per ms, and each has moments
in which it is 2.5 times slower. Without the estimate, the scheduler takes prompts for three times
as long as they are, moves work and results away from engines that are not busy, and has parts of
prompts read again.
"""

from __future__ import annotations

from typing import NamedTuple

import testtools

from calicopath_core.scheduling.prompt_speed import PREFILL_S_PER_TOKEN
from testkit.replay.fleet import Fleet, contended_moments_fleet, hurried_fleet
from testkit.replay.load import CLUSTERED_PATTERNS, PATTERNS, Pattern
from testkit.replay.plain import OURS, without_pace
from testkit.replay.world import Variant, World
from testkit.virtual import run_virtual

SEEDS = (1, 2)
TOLERANCE = 0.004
"""Share of requests by which two replays of this size differ for other reasons."""


class Served(NamedTuple):
    """Hold how a replay served its callers, and what its scheduler had learned at the end."""

    in_time: float
    reread_tokens: float
    cross_domain_bytes: float
    s_per_token: float
    factors: list[float]


class PaceWorld(World):
    """Keep what the scheduler has learned when it stops."""

    s_per_token = 0.0
    factors: list[float]

    async def stop_scheduler(self) -> None:
        """Keep the estimates, then stop the scheduler."""
        if self.scheduler is not None:
            pool = self.scheduler.engine_pools['engine']
            now = self.clock.monotonic()
            self.s_per_token = pool.prompt_speed.s_per_token
            self.factors = [pool.pace.lasting(name, now) for name in self.engines]
        await super().stop_scheduler()


def small_fleet() -> Fleet:
    """Return a third of the contended fleet, with moments in which engines are slow."""
    fleet = contended_moments_fleet()
    stages = dict.fromkeys(fleet.stages, 3)
    return fleet._replace(engines=9, stages=stages, scale=0.3)


def serve(fleet: Fleet, pattern: Pattern, seed: int, variant: Variant) -> Served:
    """Replay a pattern of load."""
    world = PaceWorld(fleet=fleet, pattern=pattern, seed=seed, variant=variant)
    figures = run_virtual(world.run())
    in_time = sum(item.in_time for item in world.outcomes) / len(world.outcomes)
    return Served(
        in_time,
        figures.reread_tokens,
        figures.cross_domain_bytes,
        world.s_per_token,
        world.factors,
    )


class UnevenEngines(testtools.TestCase):
    def test_callers_are_served_as_well_and_less_is_read_and_moved_again(self) -> None:
        """Guards against estimates that cost callers more than they bring."""
        fleet, pattern = small_fleet(), CLUSTERED_PATTERNS['clusters']
        for seed in SEEDS:
            before = serve(fleet, pattern, seed, Variant('no pace', without_pace))
            after = serve(fleet, pattern, seed, OURS)
            self.assertGreaterEqual(after.in_time, before.in_time - TOLERANCE)
            self.assertLess(after.reread_tokens, before.reread_tokens)
            self.assertLess(after.cross_domain_bytes, before.cross_domain_bytes)
            self.assertAlmostEqual(1.0, after.s_per_token * 92_100, delta=0.2)
            slow, others = after.factors[::3], after.factors[1::3] + after.factors[2::3]
            self.assertGreater(min(slow), max(others))


class EvenEngines(testtools.TestCase):
    def test_engines_as_fast_as_the_constant_are_served_exactly_as_before(self) -> None:
        """Guards against other engine choices where engines are as fast as the constant says."""
        fleet, pattern = hurried_fleet(), PATTERNS['steady']
        before = serve(fleet, pattern, 1, Variant('no pace', without_pace))
        after = serve(fleet, pattern, 1, OURS)
        self.assertEqual(before[:3], after[:3])
        self.assertEqual(PREFILL_S_PER_TOKEN, after.s_per_token)
