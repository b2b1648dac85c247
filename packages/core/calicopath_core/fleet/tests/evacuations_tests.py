"""Test which failure domains a box holds as evacuated."""

from __future__ import annotations

import testtools

from calicopath_core.fleet.evacuations import Evacuation, Evacuations
from calicopath_core.fleet.notices import Exclusion
from calicopath_core.fleet.relay_messages import decode_changes, encode_changes
from calicopath_core.fleet.replicas import Replica, ReplicaTable
from calicopath_core.fleet.store import Change, RecordKind


class Held(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.changes: list[str] = []
        self.table = ReplicaTable()
        for failure_domain in 'ab':
            self.table.put(
                Replica(f'r-{failure_domain}', 's', f'{failure_domain}:1', failure_domain, 1, False)
            )
        self.evacuations = Evacuations(
            wall_clock=lambda: self.now,
            on_evacuation_started=lambda item: self.changes.append(f'out {item.failure_domain}'),
            on_evacuation_ended=lambda held: self.changes.append(
                f'back {held.evacuation.failure_domain}'
            ),
            on_changed=self.table.set_evacuated,
        )

    def usable(self) -> list[str]:
        """Return the replicas that may get new work."""
        return [item.id for item in self.table.usable('s')]

    def test_replicas_of_a_failure_domain_taken_out_get_no_new_work_until_it_is_restored(
        self,
    ) -> None:
        self.evacuations.apply_changes([('a', Evacuation('a', 7))])
        self.assertEqual(['r-b'], self.usable())
        self.assertEqual(Exclusion.EVACUATED, self.table.exclusion_of(self.table.replicas['r-a']))
        self.evacuations.apply_changes([('a', None)])
        self.assertEqual(['r-a', 'r-b'], sorted(self.usable()))
        self.assertEqual(['out a', 'back a'], self.changes)

    def test_a_new_replica_in_a_failure_domain_taken_out_gets_no_work_either(self) -> None:
        self.evacuations.apply_changes([('a', Evacuation('a', 7))])
        self.table.put(Replica('new', 's', 'a:2', 'a', 1, False))
        self.assertEqual(['r-b'], self.usable())

    def test_a_list_read_anew_ends_what_it_does_not_name(self) -> None:
        self.evacuations.apply_changes([('a', Evacuation('a', 7)), ('b', Evacuation('b', 8))])
        self.assertEqual([], self.usable())
        self.evacuations.replace_all([Evacuation('b', 8)])
        self.assertEqual(['r-a'], self.usable())

    def test_a_rewritten_record_keeps_the_time_since_which_the_failure_domain_is_out(self) -> None:
        self.evacuations.apply_changes([('a', Evacuation('a', 7))])
        self.now = 105.0
        self.evacuations.apply_changes([('a', Evacuation('a', 9))])
        held = self.evacuations.active['a']
        self.assertEqual((100.0, 9), (held.since, held.evacuation.revision))
        self.assertEqual(['out a'], self.changes)

    def test_out_and_back_in_one_change_of_the_feed_leaves_the_failure_domain_in(self) -> None:
        self.evacuations.apply_changes([('a', Evacuation('a', 7)), ('a', None)])
        self.assertEqual(['r-a', 'r-b'], sorted(self.usable()))

    def test_a_name_that_is_no_failure_domain_has_no_effect(self) -> None:
        self.evacuations.apply_changes(
            [('nowhere', Evacuation('nowhere', 7)), ('', Evacuation('', 8))]
        )
        self.assertEqual(['r-a', 'r-b'], sorted(self.usable()))

    def test_relays_tell_both(self) -> None:
        changes = [Change('a', Evacuation('a', 7)), Change('b', None)]
        body = encode_changes(changes)
        self.assertEqual(changes, decode_changes(RecordKind.EVACUATION, body))
