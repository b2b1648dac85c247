"""Test how a box tells a partition from replicas that are down."""

from __future__ import annotations

import testtools

from calicopath_core.clock import Clock
from calicopath_core.fleet.reachability import (
    FAILURE_TTL_S,
    ConnectResult,
    ReachabilityObserver,
    ReplicaReachability,
)


class ManualClock(Clock):
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class RecordingObserver(ReachabilityObserver):
    def __init__(self) -> None:
        self.seen: list[str] = []

    def on_connect_result(self, address: str, result: ConnectResult) -> None:
        pass

    def on_partitioned(self, results: dict[str, ConnectResult]) -> None:
        self.seen.append(f'partitioned from {",".join(sorted(results))}')

    def on_connected_again(self, address: str, partitioned_s: float) -> None:
        self.seen.append(f'reached {address} after {partitioned_s}')


class Reachability(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.observer = RecordingObserver()
        self.reachability = ReplicaReachability(clock=self.clock, observer=self.observer)

    def fail_at(self, *addresses: str) -> None:
        for address in addresses:
            self.reachability.on_connect(address, ConnectResult.REFUSED)

    def test_one_dead_replica_is_no_partition(self) -> None:
        self.fail_at('a', 'a', 'a', 'a')
        self.assertFalse(self.reachability.is_partitioned)

    def test_several_replicas_without_one_that_opens_are_a_partition(self) -> None:
        self.fail_at('a', 'b', 'c')
        self.assertTrue(self.reachability.is_partitioned)
        self.clock.now += 1.0
        self.reachability.on_connect('b', ConnectResult.OPENED)
        self.assertFalse(self.reachability.is_partitioned)
        self.assertEqual(['partitioned from a,b,c', 'reached b after 1.0'], self.observer.seen)

    def test_a_connection_between_failures_rules_a_partition_out(self) -> None:
        self.fail_at('a', 'b')
        self.reachability.on_connect('d', ConnectResult.OPENED)
        self.fail_at('c', 'a')
        self.assertFalse(self.reachability.is_partitioned)

    def test_old_failures_do_not_count(self) -> None:
        self.fail_at('a', 'b')
        self.clock.now += FAILURE_TTL_S + 0.1
        self.fail_at('c')
        self.assertFalse(self.reachability.is_partitioned)
