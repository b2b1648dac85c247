"""Test that plain requests go to the replica of the lowest expected time, without herding."""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from typing import NamedTuple

import testtools

from calicopath_core.exchanges.balancer import Balancer, LoadReport
from calicopath_core.fleet.pace import REPORT_TTL_S
from calicopath_core.fleet.replicas import Replica, ReplicaTable
from testkit.gates import new_gate

SLOTS = 6
WORK_S = 0.045
NETWORK_S = 0.002
SLOW_SHARE, SLOW_FACTOR, SLOW_S = 0.15, 2.5, 0.6


class Load(NamedTuple):
    """Describe a load on three replicas: boxes, requests per second, and whether paces are read."""

    boxes: int
    per_s: float
    reads_pace: bool
    seed: int = 1
    length_s: float = 120.0


class Machine:
    """Simulate a replica that is slow at times; calls wait in order for one of its slots."""

    def __init__(self, *, rng: random.Random, length_s: float) -> None:
        self.free_at = [0.0] * SLOTS
        self.ends: list[float] = []
        self.slow_from: list[float] = []
        at = 0.0
        gap_s = SLOW_S * (1 - SLOW_SHARE) / SLOW_SHARE
        while (at := at + rng.expovariate(1 / gap_s)) < length_s:
            self.slow_from.append(at)
            at += SLOW_S

    def pace(self, now: float) -> float:
        """Return the factor on the duration of work that begins now."""
        return SLOW_FACTOR if any(at <= now < at + SLOW_S for at in self.slow_from) else 1.0

    def call(self, now: float) -> float:
        """Return when a call that arrives now is answered."""
        begin = max(now, heapq.heappop(self.free_at))
        end = begin + WORK_S * self.pace(begin)
        heapq.heappush(self.free_at, end)
        self.ends.append(end)
        return end

    def report(self, now: float, *, with_pace: bool) -> LoadReport:
        """Return the load that an answer reports."""
        self.ends = [end for end in self.ends if end > now]
        running = min(SLOTS, len(self.ends))
        pace = self.pace(now) if with_pace else None
        return LoadReport(running, len(self.ends) - running, SLOTS, pace)


def new_balancer(rng: random.Random) -> tuple[Balancer, list[Replica]]:
    """Return a box's balancer for three replicas in its failure domain."""
    table = ReplicaTable()
    replicas = [Replica(f'r{n}', 's', f'r{n}:1', 'here', SLOTS, False) for n in range(3)]
    table.replace(replicas, 0.0)
    balancer = Balancer(replicas=table, gate=new_gate(table), failure_domain='here', rng=rng)
    return balancer, replicas


def durations(load: Load) -> list[float]:
    """Return the durations of all calls of a load, in seconds."""
    rng = random.Random(load.seed)
    balancers = [new_balancer(random.Random(number))[0] for number in range(load.boxes)]
    machines = {f'r{n}': Machine(rng=rng, length_s=load.length_s) for n in range(3)}
    numbers = itertools.count()
    events: list[tuple[float, int, int, Replica | None, float]] = []
    at = 0.0
    while (at := at + rng.expovariate(load.per_s)) < load.length_s:
        events.append((at, next(numbers), rng.randrange(load.boxes), None, at))
    heapq.heapify(events)
    found = []
    while events:
        now, _, box, replica, began = heapq.heappop(events)
        balancer = balancers[box]
        if replica is None:
            replica = balancer.choose('s', set(), now)
            assert replica is not None
            balancer.stats_of(replica).in_flight += 1
            end = machines[replica.id].call(now + NETWORK_S) + NETWORK_S
            heapq.heappush(events, (end, next(numbers), box, replica, now))
            continue
        balancer.stats_of(replica).in_flight -= 1
        report = machines[replica.id].report(now, with_pace=load.reads_pace)
        balancer.on_report(replica, report, now)
        balancer.on_success(replica, now - began, now)
        found.append(now - began)
    return found


class Moments(testtools.TestCase):
    def test_reported_paces_make_calls_faster_for_boxes_with_many_calls(self) -> None:
        """Guards against calls to a replica that has just said that work takes long there."""
        before = durations(Load(4, 57.0, reads_pace=False))
        after = durations(Load(4, 57.0, reads_pace=True))
        self.assertLess(statistics.mean(after), statistics.mean(before))

    def test_reported_paces_never_make_calls_much_slower(self) -> None:
        """Guards against herding: many boxes with few calls, and replicas near their capacity."""
        for boxes, per_s in ((28, 57.0), (28, 250.0), (4, 250.0)):
            before = statistics.mean(durations(Load(boxes, per_s, reads_pace=False, length_s=40)))
            after = statistics.mean(durations(Load(boxes, per_s, reads_pace=True, length_s=40)))
            self.assertLess(after, 1.02 * before, (boxes, per_s))


class Herding(testtools.TestCase):
    def test_boxes_with_the_same_reports_spread_their_calls(self) -> None:
        """Guards against two boxes that both send everything to the replica that reported 100."""
        counts = dict.fromkeys(('r0', 'r1', 'r2'), 0)
        for seed in range(2):
            balancer, replicas = new_balancer(random.Random(seed))
            for replica, pace in zip(replicas, (1.0, 2.5, 2.5), strict=True):
                balancer.on_report(replica, LoadReport(0, 0, SLOTS, pace), 0.0)
            for _ in range(4 * SLOTS):
                chosen = balancer.choose('s', set(), 0.0)
                assert chosen is not None
                balancer.stats_of(chosen).in_flight += 1
                counts[chosen.id] += 1
        self.assertGreater(counts['r0'], max(counts['r1'], counts['r2']))
        self.assertGreater(min(counts.values()), SLOTS)

    def test_a_replica_that_reported_its_usual_pace_is_no_better_than_silent_ones(self) -> None:
        """Guards against drawing all calls of a box to the replica that answered last."""
        counts = dict.fromkeys(('r0', 'r1', 'r2'), 0)
        for seed in range(300):
            balancer, replicas = new_balancer(random.Random(seed))
            balancer.on_report(replicas[0], LoadReport(0, 0, SLOTS, 1.0), 0.0)
            chosen = balancer.choose('s', set(), 0.0)
            assert chosen is not None
            counts[chosen.id] += 1
        self.assertLess(max(counts.values()), 130)

    def test_a_slow_moment_ends_with_its_report(self) -> None:
        """Guards against a replica that stays avoided because a slow call raised its latency."""
        balancer, replicas = new_balancer(random.Random(1))
        balancer.on_report(replicas[0], LoadReport(0, 0, SLOTS, 2.5), 0.0)
        for replica in replicas:
            balancer.on_success(replica, 0.125 if replica is replicas[0] else 0.05, 0.0)
        costs = [balancer.cost_s(replica, REPORT_TTL_S) for replica in replicas]
        self.assertAlmostEqual(costs[1], costs[0], delta=0.001)
        self.assertGreater(balancer.cost_s(replicas[0], 0.0), 2 * costs[1])
