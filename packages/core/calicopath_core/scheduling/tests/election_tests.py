"""Test which box schedules when boxes fall silent, return or lose contact with the store."""

from __future__ import annotations

import testtools

from calicopath_core.fleet.contact import MIN_BEHIND_S, STEADY, StoreContact
from calicopath_core.scheduling.election import (
    CANDIDATE_COUNT,
    NEW_BOX_GRACE_S,
    PING_INTERVAL_S,
    PROBATION_S,
    RECONNECT_AFTER_S,
    SILENCE_TIMEOUT_S,
    STANDBY_PING_INTERVAL_S,
    BoxAddress,
    Election,
)
from calicopath_core.scheduling.messages import Pong


def box(number: int, order: int | None = None) -> BoxAddress:
    """Return a box whose record is as old as its number says, or as `order` says."""
    return BoxAddress(f'b{number}', f'b{number}:7', 'z', f'life-{number}', order or number)


def pong(
    number: int, *, contact: StoreContact = STEADY, leaving: bool = False, version: int = 1
) -> Pong:
    return Pong(f'b{number}', f'b{number}:7', version, contact, leaving, 1)


class Choice(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.election = Election(own=box(3))
        self.election.on_listed([box(number) for number in range(1, 6)], 0.0)

    def receive_pongs(self, now: float, *numbers: int) -> None:
        """Receive answers from boxes."""
        for number in numbers:
            self.election.on_pong(pong(number), now)

    def elected(self, now: float) -> str:
        """Return the name of the elected box."""
        return self.election.scheduler(now).name

    def test_the_oldest_record_schedules(self) -> None:
        self.receive_pongs(1.0, 1, 2)
        self.assertEqual('b1', self.elected(1.0))

    def test_connections_to_a_box_that_stops_answering_are_renewed_in_time(self) -> None:
        candidate = self.election.candidates['b1']
        candidate.mark_ping_if_due(0.5, standby=False)
        self.assertFalse(candidate.mark_reconnect_if_due(5.0))
        self.receive_pongs(5.0, 1)
        candidate.mark_ping_if_due(5.2, standby=False)
        silent = 5.2 + RECONNECT_AFTER_S
        asked = [
            candidate.mark_reconnect_if_due(now) for now in (silent - 0.1, silent, silent + 0.1)
        ]
        self.assertEqual([False, True, False], asked)
        self.assertLess(RECONNECT_AFTER_S, SILENCE_TIMEOUT_S)

    def test_a_box_that_is_not_listed_yet_ranks_itself_last(self) -> None:
        election = Election(own=box(1)._replace(incarnation='another'))
        election.on_listed([box(1), box(2)], 0.0)
        election.on_pong(pong(2), 0.1)
        self.assertEqual('b2', election.scheduler(0.1).name)

    def test_a_silent_box_is_passed_over_and_trusted_again_after_a_while(self) -> None:
        self.receive_pongs(1.0, 1, 2)
        self.receive_pongs(1.0 + SILENCE_TIMEOUT_S / 2, 2)
        self.assertEqual('b2', self.elected(1.0 + SILENCE_TIMEOUT_S))
        back = 1.1 + SILENCE_TIMEOUT_S
        self.receive_pongs(back, 1, 2)
        self.assertEqual('b2', self.elected(back))
        end = back + PROBATION_S
        for step in range(1, 5):
            self.receive_pongs(back + step * PROBATION_S / 4, 1, 2)
        self.assertEqual('b1', self.elected(end))

    def test_one_never_heard_is_waited_for_no_longer_than_its_grace(self) -> None:
        self.assertEqual('b1', self.elected(NEW_BOX_GRACE_S / 2))
        self.assertEqual('b3', self.elected(NEW_BOX_GRACE_S))

    def receive_contact(self, contact: StoreContact, *numbers: int) -> None:
        """Receive answers with a contact with the store from boxes."""
        for number in numbers:
            self.election.on_pong(pong(number, contact=contact), 1.0)

    def test_a_box_that_the_store_fails_while_it_answers_others_goes_last(self) -> None:
        cut = StoreContact(age_s=5.0, failing_s=MIN_BEHIND_S + 1)
        self.receive_contact(cut, 1, 2)
        self.receive_contact(StoreContact(age_s=1.9), 4, 5)
        self.assertEqual('b3', self.election.scheduler(1.0, StoreContact(age_s=1.0)).name)
        self.assertEqual('b4', self.election.scheduler(1.0, cut).name)

    def test_a_store_that_fails_all_changes_nothing_whoever_noticed_first(self) -> None:
        self.receive_contact(StoreContact(age_s=2.5, failing_s=2.4), 1)
        self.receive_contact(StoreContact(age_s=2.6), 2, 4, 5)
        self.assertEqual('b1', self.election.scheduler(1.0, StoreContact(age_s=3.0)).name)

    def test_a_store_that_returns_to_one_box_first_changes_nothing(self) -> None:
        self.receive_contact(StoreContact(age_s=9.0, failing_s=6.5), 1)
        self.receive_contact(StoreContact(age_s=0.0, steady_s=0.1), 2)
        self.assertEqual('b1', self.election.scheduler(1.0, StoreContact(9.0, 7.0)).name)

    def test_contact_grows_older_between_two_pings(self) -> None:
        self.receive_contact(StoreContact(age_s=3.0, failing_s=MIN_BEHIND_S - 0.2), 1)
        self.receive_pongs(1.3, 2)
        self.assertEqual('b2', self.election.scheduler(1.3, STEADY).name)

    def test_one_without_a_configuration_schedules_only_if_nobody_has_one(self) -> None:
        for number in (1, 2, 4, 5):
            self.election.on_pong(pong(number, version=0), 1.0)
        self.assertEqual('b3', self.elected(1.0))
        self.assertEqual('b1', self.election.scheduler(1.0, has_configuration=False).name)
        self.receive_pongs(1.1, 2)
        self.assertEqual('b2', self.elected(1.1))

    def test_one_that_leaves_gets_nothing_new_but_is_still_heard(self) -> None:
        self.election.on_pong(pong(1, leaving=True), 1.0)
        self.receive_pongs(1.0, 2)
        self.assertEqual('b2', self.elected(1.0))
        self.assertTrue(self.election.is_alive('b1:7', 1.0))

    def test_enough_candidates_are_pinged_before_they_are_needed(self) -> None:
        self.assertEqual(CANDIDATE_COUNT, len(self.election.candidates_to_ping(0.1)))
        self.receive_pongs(0.2, 1, 2, 4, 5)
        self.assertEqual({'b1', 'b2', 'b4'}, self.pinged_within(0.3, STANDBY_PING_INTERVAL_S))

    def pinged_within(self, now: float, for_s: float) -> set[str]:
        """Return the boxes pinged in the rounds of `for_s` seconds."""
        rounds = [now + step * PING_INTERVAL_S for step in range(int(for_s / PING_INTERVAL_S) + 1)]
        return {item.box.name for at in rounds for item in self.election.candidates_to_ping(at)}

    def test_those_behind_the_one_that_schedules_are_pinged_seldom(self) -> None:
        counts: dict[str, int] = {}
        for step in range(30):
            now = step * PING_INTERVAL_S
            for item in self.election.candidates_to_ping(now):
                counts[item.box.name] = counts.get(item.box.name, 0) + 1
                self.election.on_pong(pong(int(item.box.name[1:])), now + 0.01)
        self.assertEqual(30, counts['b1'])
        self.assertLessEqual(max(counts['b2'], counts['b4']), 12)

    def test_when_the_scheduler_dies_the_next_is_trusted_at_once_and_stays(self) -> None:
        chosen = []
        for step in range(60):
            now = step * PING_INTERVAL_S
            for item in self.election.candidates_to_ping(now):
                if item.box.name != 'b1' or now < 6.1:
                    self.election.on_pong(pong(int(item.box.name[1:])), now + 0.01)
            chosen.append((now, self.elected(now + 0.02)))
        self.assertEqual({'b1'}, {name for now, name in chosen if now < 6.1})
        self.assertEqual({'b2'}, {name for now, name in chosen if now > 6.1 + SILENCE_TIMEOUT_S})

    def test_one_that_does_not_answer_in_time_has_another_pinged_beside_it(self) -> None:
        self.election.candidates_to_ping(0.1)
        self.receive_pongs(0.2, 2, 4)
        self.assertEqual(
            {'b1', 'b2'}, {item.box.name for item in self.election.candidates_to_ping(0.3)}
        )
        self.receive_pongs(0.1 + SILENCE_TIMEOUT_S, 2, 4)
        self.assertEqual(
            CANDIDATE_COUNT + 1, len(self.election.candidates_to_ping(0.1 + SILENCE_TIMEOUT_S))
        )

    def test_hundreds_of_boxes_that_start_at_once_do_not_all_ping_each_other(self) -> None:
        election = Election(own=box(300))
        election.on_listed([box(number) for number in range(1, 301)], 0.0)
        for step in range(20):
            self.assertLessEqual(
                len(election.candidates_to_ping(0.2 * step)), CANDIDATE_COUNT * (1 + step // 3)
            )

    def test_budgets_are_split_among_all_boxes_listed(self) -> None:
        self.assertEqual(5, self.election.box_count())
