"""Test what a removal around a disruption of the store is worth."""

from __future__ import annotations

import testtools

from calicopath_core.fleet.replicas import RETURN_GRACE_S, Replica, ReplicaTable

ONE = Replica('i-1', 's', 'a:1', 'z', 4, False)
TWO = Replica('i-2', 's', 'b:1', 'z', 4, False)


class Removal(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = ReplicaTable()
        self.table.replace([ONE, TWO], 0.0)

    def usable(self) -> list[str]:
        """Return the replicas that take new work."""
        return sorted(item.id for item in self.table.usable('s'))

    def test_a_removal_in_calm_is_taken_in_at_once(self) -> None:
        self.table.remove('i-1', 1.0)
        self.assertEqual(['i-2'], self.usable())

    def test_one_that_is_missing_when_the_store_is_back_is_held_until_it_may_be_back_too(
        self,
    ) -> None:
        self.table.on_disrupted(1.0)
        self.table.remove('i-1', 1.5)
        self.assertEqual(['i-1', 'i-2'], self.usable())
        self.assertEqual([], self.table.expire(0.9 + RETURN_GRACE_S))
        self.assertEqual(['i-1'], self.table.expire(1.0 + RETURN_GRACE_S))
        self.assertEqual(['i-2'], self.usable())

    def test_a_later_removal_is_not_held_longer_than_the_store_has_been_back(self) -> None:
        self.table.on_disrupted(1.0)
        self.table.remove('i-1', 0.9 + RETURN_GRACE_S)
        self.assertEqual(['i-1'], self.table.expire(1.0 + RETURN_GRACE_S))

    def test_many_entries_are_one_change_for_those_who_listen(self) -> None:
        told: list[int] = []
        self.table.listeners.append(lambda: told.append(len(self.table.usable('s'))))
        many = [ONE._replace(id=f'n-{number}') for number in range(100)]
        self.table.replace(many, 1.0)
        self.assertEqual([100], told)
        with self.table.batch():
            for item in many[:50]:
                self.table.remove(item.id, 2.0)
            self.assertEqual([100], told)
        self.assertEqual([100, 50], told)
        self.table.put(ONE)
        self.assertEqual([100, 50, 51], told)

    def test_an_entry_that_comes_back_in_time_was_never_gone(self) -> None:
        self.table.on_disrupted(1.0)
        self.table.replace([TWO], 2.0)
        self.table.put(ONE)
        self.table.expire(10.0)
        self.assertEqual(['i-1', 'i-2'], self.usable())

    def test_doubt_ends(self) -> None:
        self.table.on_disrupted(1.0)
        self.table.remove('i-1', 1.0 + RETURN_GRACE_S)
        self.assertEqual(['i-2'], self.usable())

    def test_one_that_said_it_leaves_is_believed_whatever_happens(self) -> None:
        self.table.put(ONE._replace(draining=True))
        self.assertEqual(['i-2'], self.usable())
        self.table.on_disrupted(1.0)
        self.table.remove('i-1', 1.1)
        self.assertNotIn('i-1', self.table.replicas)


class Draining(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.heard: list[bool] = []
        self.table = ReplicaTable(on_draining=lambda replica: self.heard.append(replica.draining))
        self.table.replace([ONE._replace(started_ms=5.0), TWO], 0.0)
        self.table.put(ONE._replace(started_ms=5.0, draining=True))

    # A store that came back from a copy listed replicas as ready that had begun to drain.
    def test_an_entry_that_says_ready_again_does_not_take_it_back(self) -> None:
        self.table.put(ONE._replace(started_ms=5.0))
        self.table.replace([ONE._replace(started_ms=5.0), TWO], 1.0)
        self.assertEqual(['i-2'], [item.id for item in self.table.usable('s')])
        self.assertEqual([True, False, False], self.heard)

    def test_a_later_life_is_called_again(self) -> None:
        self.table.put(ONE._replace(started_ms=6.0))
        self.assertEqual({'i-1', 'i-2'}, {item.id for item in self.table.usable('s')})
