"""Test which boxes are selected as relays, and what subscribers are sent."""

from __future__ import annotations

from typing import Any

import testtools

from calicopath_core.fleet.contact import StoreContact
from calicopath_core.fleet.positions import Position
from calicopath_core.fleet.publisher import MAX_LOG_ENTRIES, ChangeLog
from calicopath_core.fleet.relay_messages import RelayStatus, decode_changes, encode_changes
from calicopath_core.fleet.relays import (
    MAX_BOXES_PER_RELAY,
    MAX_CONTACT_AGE_S,
    MIN_RELAYS,
    RELAY_TIMEOUT_S,
    RelaySelection,
    choose_relays,
)
from calicopath_core.fleet.store import Change, RecordKind
from calicopath_core.scheduling.election import BoxAddress
from testkit.gateway_world import deployment, replicas


def box(number: int, failure_domain: str = 'a', **changes: Any) -> BoxAddress:
    """Return a box whose place in the order of registration is its number."""
    return BoxAddress(
        f'b{number}', f'b{number}:7', failure_domain, f'life-{number}', number
    )._replace(**changes)


def relay_status(address: str, **changes: Any) -> RelayStatus:
    """Return a relay's status."""
    fields: dict[str, Any] = {
        'sender': address,
        'direct': True,
        'leaving': False,
        'contact': StoreContact(0.1),
        'positions': {},
    }
    return RelayStatus(**(fields | changes))


class Choice(testtools.TestCase):
    def names(self, boxes: list[BoxAddress]) -> list[str]:
        """Return the names of the relays among boxes."""
        return [item.name for item in choose_relays(boxes)]

    def test_relays_are_old_boxes_of_several_failure_domains_that_do_not_schedule(self) -> None:
        boxes = [box(number, 'ab'[number % 2]) for number in range(1, 9)]
        self.assertEqual(['b4', 'b5', 'b6'], sorted(self.names(boxes)))
        self.assertEqual(MIN_RELAYS, len(self.names(boxes)))

    def test_many_boxes_have_more_relays_and_small_ones_go_last(self) -> None:
        boxes = [box(number, small=number < 3) for number in range(4 * MAX_BOXES_PER_RELAY)]
        found = self.names(boxes)
        self.assertEqual(['b6', 'b7', 'b8', 'b9'], found)

    def test_few_boxes_follow_the_store_each_but_some_announce_themselves(self) -> None:
        choice = RelaySelection(own=box(5))
        choice.on_listed([box(number) for number in range(1, 9)])
        self.assertTrue(choice.is_relay)
        self.assertTrue(choice.announces)
        choice.on_listed([box(number) for number in range(1, 10)])
        self.assertEqual(['b4:7', 'b6:7'], sorted(choice.candidates))

    def test_a_box_alone_follows_the_store_itself(self) -> None:
        choice = RelaySelection(own=box(1))
        self.assertTrue(choice.is_relay)
        choice.on_listed([box(1)])
        self.assertTrue(choice.is_relay)


SOUTH = [box(3, 'b'), box(4, 'b'), box(9, 'b')]


class Sources(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.choice = RelaySelection(own=box(9, 'b'))
        self.choice.on_listed([*(box(number) for number in (1, 2, 5, 6, 7, 8)), *SOUTH])

    def test_the_relay_of_the_same_failure_domain_is_heard_first_and_another_beside_it(
        self,
    ) -> None:
        targets = self.choice.subscription_targets(0.0)
        self.assertEqual('b4:7', targets[0])
        self.assertEqual(2, len(targets))
        for address in targets:
            self.choice.on_status(relay_status(address), 0.1)
        self.assertEqual('b4:7', self.choice.current_relay_address(0.2))

    def test_one_that_is_silent_is_given_up_for_another(self) -> None:
        first, second = self.choice.subscription_targets(0.0)
        self.choice.on_status(relay_status(first), 0.1)
        self.choice.on_status(relay_status(second), RELAY_TIMEOUT_S)
        self.assertEqual(second, self.choice.current_relay_address(0.2 + RELAY_TIMEOUT_S))
        self.assertEqual(3, len(self.choice.subscription_targets(0.2 + RELAY_TIMEOUT_S)))

    def test_a_relay_that_the_store_does_not_answer_is_not_heard(self) -> None:
        for contact in (StoreContact(MAX_CONTACT_AGE_S), StoreContact(0.1, failing_s=0.1)):
            self.choice.on_status(relay_status('b4:7', contact=contact), 0.1)
            self.assertIsNone(self.choice.current_relay_address(0.1))

    def test_one_that_leaves_or_hears_another_relay_is_not_heard(self) -> None:
        for changes in ({'leaving': True}, {'direct': False}):
            self.choice.on_status(relay_status('b4:7', **changes), 0.1)
            self.assertIsNone(self.choice.current_relay_address(0.1))

    def test_a_store_outage_is_distinguished_from_silent_relays(self) -> None:
        self.assertFalse(self.choice.store_fails_relays(0.1))
        self.choice.on_status(relay_status('b4:7', contact=StoreContact(2.0, 1.0)), 0.1)
        self.assertTrue(self.choice.store_fails_relays(0.1))
        self.assertFalse(self.choice.store_fails_relays(0.1 + RELAY_TIMEOUT_S))


def at(revision: int, era: int = 1) -> Position:
    return Position(era, revision)


class Log(testtools.TestCase):
    def test_positions_of_an_earlier_era_are_not_known_whatever_their_revision(self) -> None:
        log = ChangeLog()
        log.restart(at(10, era=2))
        log.add(at(12, era=2), ['a'])
        self.assertIsNone(log.names_since(at(11, era=1)))
        self.assertIsNone(log.names_since(at(50, era=1)))

    def test_what_changed_after_a_revision_is_known_from_the_last_whole_reading_on(self) -> None:
        log = ChangeLog()
        self.assertIsNone(log.names_since(at(0)))
        log.restart(at(10))
        log.add(at(12), ['a'])
        log.add(at(15), ['b', 'a'])
        self.assertEqual({'a', 'b'}, log.names_since(at(11)))
        self.assertEqual({'a', 'b'}, log.names_since(at(12)))
        self.assertEqual(set(), log.names_since(at(15)))
        self.assertIsNone(log.names_since(at(9)))

    def test_it_is_bounded(self) -> None:
        log = ChangeLog()
        log.restart(at(0))
        for number in range(1, MAX_LOG_ENTRIES + 3):
            log.add(at(number), [f'r{number}'])
        self.assertIsNone(log.names_since(at(1)))
        self.assertEqual(MAX_LOG_ENTRIES, len(log.names_since(at(2)) or ()))


class Encoding(testtools.TestCase):
    def test_records_come_back_as_they_were(self) -> None:
        one = replicas()[0]
        changes = [Change(one.id, one), Change('gone', None)]
        self.assertEqual(changes, decode_changes(RecordKind.REPLICA, encode_changes(changes)))
        boxes = [Change('b1', box(1, small=True))]
        self.assertEqual(boxes, decode_changes(RecordKind.BOX, encode_changes(boxes)))

    def test_a_deployment_comes_back_whole(self) -> None:
        sent = deployment(7)
        body = encode_changes([Change('main', sent)])
        found = decode_changes(RecordKind.DEPLOYMENT, body)[0].record
        self.assertEqual(vars(sent), vars(found))

    def test_bytes_that_are_no_update_are_an_error(self) -> None:
        self.assertRaises(ValueError, decode_changes, RecordKind.BOX, b'nothing')
