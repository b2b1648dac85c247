"""Test how boxes and replicas are split into groups."""

from __future__ import annotations

from collections import Counter

import testtools

from calicopath_core.scheduling.election import BoxAddress, Election
from calicopath_core.scheduling.groups import BOXES_A_GROUP, assign, group_count
from calicopath_core.scheduling.tests.work import replica


class Counts(testtools.TestCase):
    def test_a_group_is_added_for_each_so_many_boxes(self) -> None:
        self.assertEqual(1, group_count(1, 1))
        self.assertEqual(1, group_count(BOXES_A_GROUP, 1))
        self.assertEqual(2, group_count(BOXES_A_GROUP + 1, 1))
        self.assertEqual(16, group_count(1700, 1))

    def test_boxes_that_come_and_go_at_the_bound_change_nothing(self) -> None:
        self.assertEqual(2, group_count(BOXES_A_GROUP, 2))
        self.assertEqual(1, group_count(BOXES_A_GROUP // 2, 2))


class Groups(testtools.TestCase):
    def test_groups_are_even(self) -> None:
        names = [f'i-{number}' for number in range(26)]
        counts = Counter(assign(names, 3).values())
        self.assertEqual({0, 1, 2}, set(counts))
        self.assertLessEqual(max(counts.values()), 9)

    def test_one_that_goes_moves_few_others(self) -> None:
        names = [f'i-{number}' for number in range(300)]
        before = assign(names, 3)
        after = assign(names[1:], 3)
        moved = sum(before[name] != after[name] for name in after)
        self.assertLess(moved, 15)

    def test_order_does_not_matter(self) -> None:
        names = [f'i-{number}' for number in range(50)]
        self.assertEqual(assign(names, 4), assign(reversed(names), 4))


class Members(testtools.TestCase):
    def elections(self, count: int) -> list[Election]:
        """Return what each of some boxes has worked out."""
        boxes = [BoxAddress(f'b{n}', f'b{n}:7', 'z', f'life-{n}', n) for n in range(1, count + 1)]
        found = [Election(own=box) for box in boxes]
        for election in found:
            election.on_listed(boxes, 0.0)
        return found

    def test_boxes_agree_who_schedules_for_each_group(self) -> None:
        elections = self.elections(300)
        chosen = {(item.group, item.scheduler(0.1).name) for item in elections}
        self.assertEqual(3, len(chosen))
        self.assertEqual({0, 1, 2}, {group for group, _ in chosen})

    def test_each_replica_is_called_by_one_group_and_budgets_are_split_by_all(self) -> None:
        replicas = [replica(f'i-{number}') for number in range(30)]
        elections = self.elections(300)
        shares = {item.group: tuple(item.share_of(replicas)) for item in elections}
        self.assertEqual(
            sorted(replicas), sorted(item for share in shares.values() for item in share)
        )
        self.assertEqual({300}, {item.boxes_sharing() for item in elections})

    def test_a_service_with_fewer_replicas_than_groups_is_called_by_all(self) -> None:
        one = [replica('i-1')]
        self.assertEqual({1}, {len(item.share_of(one)) for item in self.elections(300)})

    def test_a_few_boxes_are_one_group(self) -> None:
        election = self.elections(8)[0]
        replicas = [replica(f'i-{number}') for number in range(4)]
        self.assertEqual(replicas, election.share_of(replicas))
