"""Test that less urgent kinds of requests do not fare much worse than the more urgent ones."""

from __future__ import annotations

import testtools

from calicopath_core.scheduling.evenness import MAX_SHARE_GAP, Evenness
from testkit.replay.fleet import fleet_of
from testkit.replay.plain import OURS, VARIANTS
from testkit.replay.world import replay

JOBS = 60


class Ranks(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.evenness = Evenness()

    def record_jobs(self, rank: int, share: float) -> None:
        """Record jobs of a rank, of which a share is in time."""
        for number in range(JOBS):
            self.evenness.learn(rank, in_time=(number * share) % 1 + share >= 1)

    def test_each_keeps_its_own_while_all_fare_alike(self) -> None:
        for rank in (0, 1, 2):
            self.record_jobs(rank, 0.9)
        self.assertEqual([0, 1, 2], [self.evenness.effective_rank(rank) for rank in (0, 1, 2)])

    def test_one_that_fares_much_worse_goes_with_the_one_before_it(self) -> None:
        self.record_jobs(0, 1.0)
        self.record_jobs(1, 1.0)
        self.record_jobs(2, 0.5)
        self.assertEqual([0, 1, 0], [self.evenness.effective_rank(rank) for rank in (0, 1, 2)])

    def test_it_is_lifted_only_as_far_as_others_fare_better(self) -> None:
        self.record_jobs(0, 1.0)
        self.record_jobs(1, 0.5)
        self.record_jobs(2, 0.5)
        self.assertEqual([0, 0, 2], [self.evenness.effective_rank(rank) for rank in (0, 1, 2)])

    def test_it_is_back_once_it_fares_as_well(self) -> None:
        self.record_jobs(1, 1.0)
        self.record_jobs(2, 0.3)
        self.assertEqual(1, self.evenness.effective_rank(2))
        while self.evenness.on_time_shares[2] < self.evenness.on_time_shares[1] - MAX_SHARE_GAP:
            self.evenness.learn(2, in_time=True)
        self.assertEqual(2, self.evenness.effective_rank(2))

    def test_a_tenants_priority_is_not_passed(self) -> None:
        self.record_jobs(2, 1.0)
        self.record_jobs(10, 0.4)
        self.assertEqual(10, self.evenness.effective_rank(10))

    def test_one_never_seen_keeps_its_own(self) -> None:
        self.record_jobs(0, 0.2)
        self.assertEqual(5, self.evenness.effective_rank(5))


class Burst(testtools.TestCase):
    def test_the_least_urgent_kind_earns_more_and_all_together_no_less(self) -> None:
        plain = next(item for item in VARIANTS if item.name == 'ranks alone')
        fleet = fleet_of(60)
        ours, before = (replay('burst-middle', 2, variant, fleet) for variant in (OURS, plain))
        self.assertGreater(ours.by_kind['patient'], before.by_kind['patient'])
        self.assertGreaterEqual(ours.worth, before.worth)
