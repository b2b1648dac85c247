"""Test the total rate at which boxes send requests to a cold replica of a plain service."""

from __future__ import annotations

import random

import testtools

from calicopath_core.exchanges.balancer import Balancer
from calicopath_core.fleet.replicas import Replica, ReplicaTable
from testkit.gates import new_gate

COLD_RATE_PER_S = 6.7
MAX_IN_ONE_SECOND = 15
BOXES = 86
DURATION_S = 6.0


def table(*cold: bool) -> ReplicaTable:
    """Return a table with one replica for each flag, cold if the flag is true."""
    found = ReplicaTable()
    for number, is_cold in enumerate(cold):
        found.put(Replica(f'r{number}', 'desk', f'r{number}:1', 'a', 6, False, is_cold))
    return found


def balancer(replicas: ReplicaTable, seed: int, rate: float | None) -> Balancer:
    """Return the balancer of one box; `rate` is its limit per cold replica."""
    return Balancer(
        replicas=replicas,
        gate=new_gate(replicas),
        failure_domain='a',
        rng=random.Random(seed),
        cold_rate_of=lambda service: rate,
    )


class ColdReplicas(testtools.TestCase):
    def test_boxes_that_do_not_know_of_each_other_keep_the_total_rate_in_bounds(self) -> None:
        replicas = table(True)
        boxes = [balancer(replicas, seed, COLD_RATE_PER_S / BOXES) for seed in range(BOXES)]
        sent: list[float] = []
        rng = random.Random(1)
        now = 0.0
        while now < DURATION_S:
            now += rng.expovariate(60.0)
            if rng.choice(boxes).choose('desk', set(), now) is not None:
                sent.append(now)
        max_in_one_second = max(sum(at <= other < at + 1.0 for other in sent) for at in sent)
        self.assertLessEqual(max_in_one_second, MAX_IN_ONE_SECOND)
        self.assertGreater(len(sent), COLD_RATE_PER_S * DURATION_S * 0.5)

    def test_cold_replicas_are_avoided_and_not_chosen_even_if_there_are_no_others(self) -> None:
        for cold, expected in (((True, False), {'r1'}), ((True, True), set())):
            box = balancer(table(*cold), 1, 0.001)
            chosen = {box.choose('desk', set(), 0.1 * number) for number in range(8)} - {None}
            self.assertEqual(expected, {item.id for item in chosen if item is not None})

    def test_a_replica_that_is_warm_again_gets_its_share_at_once(self) -> None:
        replicas = table(True)
        box = balancer(replicas, 1, 0.001)
        self.assertIsNone(box.choose('desk', set(), 0.0))
        replicas.put(replicas.replicas['r0']._replace(cold=False))
        self.assertIsNotNone(box.choose('desk', set(), 0.1))
        self.assertEqual({}, box.cold_limiter.next_send_at)

    def test_without_a_limit_a_cold_replica_is_chosen_like_any_other(self) -> None:
        box = balancer(table(True), 1, None)
        self.assertIsNotNone(box.choose('desk', set(), 0.0))
