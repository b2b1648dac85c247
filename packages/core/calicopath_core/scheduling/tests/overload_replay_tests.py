"""Replay a burst of one kind that exceeds what two stages can do, with and without the decision.

Without it, jobs that will be late take calls from jobs in time until their slack is used up, and
both are late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools

from testkit.replay.fleet import CHECK, MIDDLE, RANK, RETRIEVE, contended_fleet
from testkit.replay.load import Pattern
from testkit.replay.plain import OURS, VARIANTS
from testkit.replay.world import World
from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from testkit.replay.outcomes import Figures
    from testkit.replay.world import Variant

BURST = Pattern('burst-of-one-kind', burst_factor=2.83, burst_kinds=(MIDDLE.name,))
FLEET = contended_fleet()._replace(
    scale=0.5, engines=15, stages={RETRIEVE: 5, RANK: 4, CHECK: 4}, swing=0.0
)
"""Half of the contended fleet, with constant rates besides the burst."""

SEEDS = (1, 2, 3)
PIECES = {RANK: 6, CHECK: 10}


def figures_of(variant: Variant, seed: int) -> Figures:
    return run_virtual(World(fleet=FLEET, pattern=BURST, seed=seed, variant=variant).run())


def load_during_burst(service: str) -> float:
    """Return how many times the pieces that full calls can do arrive during the burst."""
    spec = FLEET.stage_specs[service]
    capacity = FLEET.stages[service] * spec.batch / (spec.call_s + spec.piece_s * spec.batch)
    rates = [
        FLEET.scale
        * kind.rate_per_s
        * (BURST.burst_factor if kind.name in BURST.burst_kinds else 1.0)
        for kind in FLEET.kinds
        if kind.chained
    ]
    return PIECES[service] * sum(rates) / capacity


class Burst(testtools.TestCase):
    def test_it_exceeds_two_stages(self) -> None:
        self.assertAlmostEqual(1.24, load_during_burst(RANK), delta=0.01)
        self.assertAlmostEqual(1.46, load_during_burst(CHECK), delta=0.01)

    def test_more_are_in_time_and_worth_is_higher(self) -> None:
        plain = next(item for item in VARIANTS if item.name == 'no overload rule')
        for seed in SEEDS:
            ours, before = (figures_of(variant, seed) for variant in (OURS, plain))
            self.assertGreater(ours.in_time, before.in_time + 0.01)
            self.assertGreater(ours.worth, before.worth + 0.004)
            self.assertGreater(ours.by_kind['urgent'], before.by_kind['urgent'] - 0.005)
