"""Test how removals during and after a store outage are handled."""

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
        """Return the replicas that accept new work."""
        return sorted(item.id for item in self.table.usable('s'))

    def test_a_removal_without_an_outage_takes_effect_at_once(self) -> None:
        self.table.remove('i-1', 1.0)
        self.assertEqual(['i-2'], self.usable())

    def test_one_that_is_missing_when_the_store_is_back_is_held_until_it_may_be_back_too(
        self,
    ) -> None:
        held: list[tuple[str, float]] = []
        self.table.on_removal_held = lambda replica, held_s: held.append((replica.id, held_s))
        self.table.on_disrupted(1.0)
        self.table.remove('i-1', 1.5)
        self.assertEqual([('i-1', RETURN_GRACE_S - 0.5)], held)
        self.assertEqual(['i-1', 'i-2'], self.usable())
        self.assertEqual([], self.table.expire(0.9 + RETURN_GRACE_S))
        self.assertEqual(['i-1'], self.table.expire(1.0 + RETURN_GRACE_S))
        self.assertEqual(['i-2'], self.usable())

    def test_a_later_removal_is_not_held_longer_than_the_store_has_been_back(self) -> None:
        self.table.on_disrupted(1.0)
        self.table.remove('i-1', 0.9 + RETURN_GRACE_S)
        self.assertEqual(['i-1'], self.table.expire(1.0 + RETURN_GRACE_S))

    def test_many_entries_are_one_change_for_those_who_listen(self) -> None:
        sizes: list[int] = []
        self.table.listeners.append(lambda: sizes.append(len(self.table.usable('s'))))
        many = [ONE._replace(id=f'n-{number}') for number in range(100)]
        self.table.replace(many, 1.0)
        self.assertEqual([100], sizes)
        with self.table.batch():
            for item in many[:50]:
                self.table.remove(item.id, 2.0)
            self.assertEqual([100], sizes)
        self.assertEqual([100, 50], sizes)
        self.table.put(ONE)
        self.assertEqual([100, 50, 51], sizes)

    def test_an_entry_that_comes_back_in_time_is_never_removed(self) -> None:
        self.table.on_disrupted(1.0)
        self.table.replace([TWO], 2.0)
        self.table.put(ONE)
        self.table.expire(10.0)
        self.assertEqual(['i-1', 'i-2'], self.usable())

    def test_removals_some_time_after_an_outage_are_not_delayed(self) -> None:
        self.table.on_disrupted(1.0)
        self.table.remove('i-1', 1.0 + RETURN_GRACE_S)
        self.assertEqual(['i-2'], self.usable())

    def test_the_removal_of_a_draining_replica_is_not_delayed(self) -> None:
        self.table.put(ONE._replace(draining=True))
        self.assertEqual(['i-2'], self.usable())
        self.table.on_disrupted(1.0)
        self.table.remove('i-1', 1.1)
        self.assertNotIn('i-1', self.table.replicas)


class Draining(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reported: list[bool] = []
        self.table = ReplicaTable(
            on_draining=lambda replica: self.reported.append(replica.draining)
        )
        self.table.replace([ONE._replace(started_ms=5.0), TWO], 0.0)
        self.table.put(ONE._replace(started_ms=5.0, draining=True))

    # A store restored from a copy listed replicas as ready that had already begun to drain.
    def test_an_entry_that_says_ready_again_does_not_take_it_back(self) -> None:
        self.table.put(ONE._replace(started_ms=5.0))
        self.table.replace([ONE._replace(started_ms=5.0), TWO], 1.0)
        self.assertEqual(['i-2'], [item.id for item in self.table.usable('s')])
        self.assertEqual([True, False, False], self.reported)

    def test_a_later_incarnation_is_called_again(self) -> None:
        self.table.put(ONE._replace(started_ms=6.0))
        self.assertEqual({'i-1', 'i-2'}, {item.id for item in self.table.usable('s')})
