"""Test when the fleet is split, how boxes and replicas are assigned, and that boxes agree on it."""

from __future__ import annotations

from collections import Counter

import testtools

from calicopath_core.limits.lag import MAX_SAMPLE_S, SAMPLE_INTERVAL_S
from calicopath_core.scheduling.election import LEADER_PING_INTERVAL_S, BoxAddress, Election
from calicopath_core.scheduling.groups import (
    IDLE_DURATION_S,
    MAX_GROUPS,
    OVERLOAD_DURATION_S,
    OVERLOAD_LAG_S,
    FailureDomainGroups,
    GroupCount,
    GroupPolicy,
)
from calicopath_core.scheduling.tests.work import replica
from testkit.virtual import VirtualClock

FAILURE_DOMAINS = [f'zone-{number}' for number in range(6)]
NOTES_A_STEP = 4
STEP_S = NOTES_A_STEP * SAMPLE_INTERVAL_S


class Rule(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.policy = GroupPolicy(clock=VirtualClock())
        self.count = GroupCount()
        self.now = 0.0

    def run_with_lag(self, lag_s: float, for_s: float, *, is_leader: bool = True) -> int:
        """Apply an event loop lag for some time; return the number of groups after it."""
        until = self.now + for_s
        while self.now < until:
            self.now += STEP_S
            for _ in range(NOTES_A_STEP):
                self.policy.lag.add_sample(lag_s)
            self.count = self.policy.next_count(self.count, is_leader=is_leader, now=self.now)
        return self.count.groups

    def test_a_scheduler_that_is_late_for_seconds_has_the_fleet_split(self) -> None:
        self.assertEqual(2, self.run_with_lag(3 * OVERLOAD_LAG_S, OVERLOAD_DURATION_S + 1))

    def test_one_that_still_is_has_it_split_again_and_not_without_end(self) -> None:
        self.assertEqual(MAX_GROUPS, self.run_with_lag(MAX_SAMPLE_S, 100 * OVERLOAD_DURATION_S))

    def test_a_pause_or_a_start_of_all_boxes_changes_nothing(self) -> None:
        self.assertEqual(1, self.run_with_lag(30.0, STEP_S))
        self.run_with_lag(0.0, 1.0)
        self.assertEqual(1, self.run_with_lag(0.3, OVERLOAD_DURATION_S - 1))
        self.assertEqual(1, self.run_with_lag(0.0, OVERLOAD_DURATION_S))

    def test_groups_are_joined_after_a_long_calm_by_the_first_of_all_boxes(self) -> None:
        self.run_with_lag(3 * OVERLOAD_LAG_S, OVERLOAD_DURATION_S + 1)
        self.assertEqual(2, self.run_with_lag(0.0, 2 * IDLE_DURATION_S, is_leader=False))
        self.assertEqual(1, self.run_with_lag(0.0, 2 * IDLE_DURATION_S))

    def test_a_fleet_that_had_to_be_split_again_is_joined_later(self) -> None:
        for _ in range(2):
            self.run_with_lag(3 * OVERLOAD_LAG_S, OVERLOAD_DURATION_S + 1)
            self.run_with_lag(0.0, IDLE_DURATION_S + 5)
        self.assertEqual(2, self.count.groups)
        self.assertEqual(1, self.run_with_lag(0.0, IDLE_DURATION_S + 5))

    def test_the_newest_count_is_in_force(self) -> None:
        self.assertEqual(GroupCount(2, 1), GroupCount(2, 1).newer(GroupCount(1, 5)))
        self.assertEqual(GroupCount(2, 3), GroupCount(2, 1).newer(GroupCount(2, 3)))


class Groups(testtools.TestCase):
    def test_groups_are_made_of_whole_failure_domains(self) -> None:
        groups = FailureDomainGroups(failure_domains=FAILURE_DOMAINS, groups=3)
        found = {
            failure_domain: {groups.group_of(f'i-{n}', failure_domain) for n in range(20)}
            for failure_domain in FAILURE_DOMAINS
        }
        self.assertEqual({1}, {len(numbers) for numbers in found.values()})
        self.assertEqual({2}, set(Counter(min(item) for item in found.values()).values()))

    def test_with_more_groups_than_failure_domains_each_has_a_part_of_one(self) -> None:
        groups = FailureDomainGroups(failure_domains=FAILURE_DOMAINS, groups=12)
        found = Counter(
            groups.group_of(f'i-{n}', failure_domain)
            for n in range(40)
            for failure_domain in FAILURE_DOMAINS
        )
        self.assertEqual(set(range(12)), set(found))
        self.assertLessEqual(max(found.values()), 3 * min(found.values()))

    def test_boxes_that_come_and_go_move_nobody(self) -> None:
        before, after = (
            FailureDomainGroups(failure_domains=FAILURE_DOMAINS * n, groups=4) for n in (1, 3)
        )
        names = [
            (f'i-{n}', failure_domain) for n in range(40) for failure_domain in FAILURE_DOMAINS
        ]
        self.assertEqual([before.group_of(*i) for i in names], [after.group_of(*i) for i in names])

    def test_replicas_are_shared_by_failure_domain(self) -> None:
        groups = FailureDomainGroups(failure_domains=FAILURE_DOMAINS, groups=2)
        replicas = [replica(f'i-{n}', FAILURE_DOMAINS[n % 6]) for n in range(12)]
        shares = [groups.replicas_of_group(replicas, number) for number in (0, 1)]
        self.assertEqual([6, 6], [len(share) for share in shares])
        self.assertEqual(3, len({item.failure_domain for item in shares[0]}))

    def test_a_group_that_has_too_little_of_a_service_calls_all_of_it(self) -> None:
        groups = FailureDomainGroups(failure_domains=FAILURE_DOMAINS, groups=2)
        near = groups.failure_domains[0]
        replicas = [replica(f'i-{n}', near) for n in range(4)]
        self.assertEqual(replicas, groups.replicas_of_group(replicas, 0))
        self.assertEqual(replicas, groups.replicas_of_group(replicas, 1))


class Members(testtools.TestCase):
    def elections(self, count: int, groups: int = 1) -> list[Election]:
        """Return the elections of some boxes that know of each other."""
        boxes = [
            BoxAddress(f'b{n}', f'b{n}:7', FAILURE_DOMAINS[n % 6], f'life-{n}', n)
            for n in range(1, count + 1)
        ]
        found = [Election(own=box) for box in boxes]
        for election in found:
            election.on_listed(boxes, 0.0)
            election.on_group_count(GroupCount(groups, groups))
        return found

    def test_boxes_are_one_group_however_many_there_are(self) -> None:
        elections = self.elections(300)
        self.assertEqual({'b1'}, {item.scheduler(0.1).name for item in elections})

    def test_half_of_the_boxes_gone_and_back_splits_nothing(self) -> None:
        election = self.elections(300)[0]
        boxes = [item.box for item in election.candidates.values()]
        for listed in (boxes[:100], boxes):
            election.on_listed(listed, 1.0)
            self.assertEqual((1, 0), (election.groups, election.group))

    def test_boxes_agree_who_schedules_for_each_group(self) -> None:
        elections = self.elections(300, groups=3)
        chosen = {(item.group, item.scheduler(0.1).name) for item in elections}
        self.assertEqual(3, len(chosen))
        self.assertEqual({0, 1, 2}, {group for group, _ in chosen})

    def test_each_replica_is_called_by_one_group_and_budgets_are_split_by_all(self) -> None:
        replicas = [replica(f'i-{number}', FAILURE_DOMAINS[number % 6]) for number in range(30)]
        elections = self.elections(300, groups=3)
        shares = {item.group: tuple(item.replicas_of_group(replicas)) for item in elections}
        self.assertEqual(
            sorted(replicas), sorted(item for share in shares.values() for item in share)
        )
        self.assertEqual({300}, {item.box_count() for item in elections})

    def test_boxes_of_other_groups_hear_of_the_count_from_the_first_of_all(self) -> None:
        elections = self.elections(60, groups=2)
        leader = elections[0]
        self.assertTrue(leader.is_leader(0.1))
        other = next(item for item in elections if item.group != leader.group)
        for now in (0.0, LEADER_PING_INTERVAL_S):
            self.assertIn('b1', [item.box.name for item in other.candidates_to_ping(now)])
        self.assertNotIn(
            'b1', [item.box.name for item in other.candidates_to_ping(LEADER_PING_INTERVAL_S + 0.2)]
        )
