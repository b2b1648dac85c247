"""Agree on which box schedules, by rank and by who is heard.

No box is set aside: of the boxes that are heard, the one whose record in the platform's store is
oldest schedules. A box that restarts writes a new record and so ranks last; a hash of the names
would give it the work back at once, and each hand-over costs the stage work that is under way. Two
boxes that both think that they schedule only cost efficiency, since a piece may be made again.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.contact import STEADY, UNKNOWN
from calicopath_core.scheduling.groups import FailureDomainGroups, GroupCount

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from calicopath_core.fleet.contact import StoreContact
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.messages import Ping, Pong, Presence

CANDIDATE_COUNT = 3
"""Boxes, first by rank, that every box pings: enough that one of them lives through two losses."""

MAX_COMPARED_CONTACTS = 8
"""Boxes, first by rank, whose contact with the store is compared: more than are ever pinged."""

PING_INTERVAL_S = 0.2
SILENCE_TIMEOUT_S = 0.7
"""A candidate not heard for this long is passed over: three pings lost, and some delay. Shorter
takes pauses for deaths, longer holds requests up behind a dead scheduler."""

STANDBY_PING_INTERVAL_S = 0.6
"""How often candidates are pinged that come after the one that schedules: three pings each 0.2 s
from 195 boxes would be 5,850 messages a second with their answers, two thirds of them with boxes
that do nothing for others."""

PING_SLACK_S = 0.05
"""How much earlier than due a ping goes out, so that it does not wait for the round after."""

RECONNECT_AFTER_S = 0.5
"""After this time without an answer to pings the connection to a box is made anew, and the box is
asked to do the same: two pings more may be answered before it is passed over."""

NEW_BOX_GRACE_S = 1.5
"""How long a candidate never heard is waited for after it was listed: a box that has restarted is
reached again only when its peers have connected anew, and must not schedule beside them."""


LEADER_PING_INTERVAL_S = 1.0
"""How often boxes of other groups than the first hear how many groups there are: from the box that
ranks first of all."""

PROBATION_S = 2.0
"""How long a candidate that had fallen silent must be heard again before it may schedule."""


class BoxAddress(NamedTuple):
    """Name a box and the address on which its peers reach it.

    `life` is new with each start; `order` is the store's revision at which the record was written.
    A `small` box has little processor or link: it works for others only if no other box can.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: str
    order: int = 0
    small: bool = False


class Candidate:
    """Hold what was heard of one box; times are monotonic seconds."""

    def __init__(self, *, box: BoxAddress, listed_at: float) -> None:
        self.box = box
        self.listed_at = listed_at
        self.last_heard_at: float | None = None
        self.unanswered_since: float | None = None
        self.reconnected_at = 0.0
        self.last_ping_at = -math.inf
        self.standby = False
        self.frequent_since = -math.inf
        self.leaving = False
        self.has_configuration = True
        self.probation_until = 0.0
        self.contact = UNKNOWN

    def is_alive(self, now: float) -> bool:
        """Tell whether the box was heard lately, or is too new to tell."""
        if self.last_heard_at is None:
            return now - self.listed_at < NEW_BOX_GRACE_S
        return now - self.last_heard_at < self.silence_timeout_s(now)

    def silence_timeout_s(self, now: float) -> float:
        """Return how long the box may be unheard: longer while it is pinged seldom."""
        pinged_rarely = self.standby or now - self.frequent_since < SILENCE_TIMEOUT_S
        return SILENCE_TIMEOUT_S + (STANDBY_PING_INTERVAL_S if pinged_rarely else 0.0)

    def mark_ping_if_due(self, now: float, *, standby: bool) -> bool:
        """Tell whether the box is to be pinged now, and note that it is."""
        if self.standby and not standby:
            self.frequent_since = now
        self.standby = standby
        if standby and now - self.last_ping_at < STANDBY_PING_INTERVAL_S - PING_SLACK_S:
            return False
        self.last_ping_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now
        return True

    def on_heard(self, message: Presence, now: float) -> None:
        """Note a sign of life; after a silence, trust has to grow again."""
        if self.last_heard_at is not None and now - self.last_heard_at >= self.silence_timeout_s(
            now
        ):
            self.probation_until = now + PROBATION_S
        self.last_heard_at = now
        self.unanswered_since = None
        self.leaving = message.leaving
        self.has_configuration = message.config_version > 0
        self.contact = message.contact

    def may_still_answer(self, now: float) -> bool:
        """Tell whether the box still has the time to answer."""
        return self.unanswered_since is None or now - self.unanswered_since < SILENCE_TIMEOUT_S

    def mark_reconnect_if_due(self, now: float) -> bool:
        """Tell whether the connection to the box should be made anew, and note that it is."""
        waiting_since = max(
            self.reconnected_at, self.unanswered_since if self.unanswered_since is not None else now
        )
        if self.last_heard_at is None or now - waiting_since < RECONNECT_AFTER_S:
            return False
        self.reconnected_at = now
        return True

    def is_eligible(self, now: float) -> bool:
        """Tell whether the box may be given work."""
        return self.is_alive(now) and not self.leaving and now >= self.probation_until


class Election:
    """Hold the boxes listed and choose the scheduler of this box's group among those heard.

    `ranked` are the boxes of the group in rank order, this one included.
    """

    def __init__(self, *, own: BoxAddress) -> None:
        self.own = own
        self.candidates: dict[str, Candidate] = {}
        self.own_order: int | None = None
        self.group_ranking: list[str] = [own.name]
        self.fleet_ranking: list[str] = [own.name]
        self.group_count = GroupCount()
        self.failure_domain_groups = FailureDomainGroups(
            failure_domains=[own.failure_domain], groups=1
        )
        self.group = 0
        self.leader_pinged_at = -math.inf
        self.sequence = 0
        self.leaving = False

    def on_listed(self, boxes: Iterable[BoxAddress], now: float) -> None:
        """Take in the boxes of the platform's list; a new address is a new incarnation."""
        listed = {box.name: box for box in boxes if box.name != self.own.name}
        own_records = [
            box
            for box in boxes
            if box.name == self.own.name and box.incarnation == self.own.incarnation
        ]
        self.own_order = own_records[0].order if own_records else None
        for name, box in listed.items():
            known = self.candidates.get(name)
            if known is None or known.box != box:
                self.candidates[name] = Candidate(box=box, listed_at=now)
        for name in list(self.candidates):
            if name not in listed:
                del self.candidates[name]
        self.regroup()

    def regroup(self) -> None:
        """Work the groups out from the boxes listed and the count in force."""
        boxes = [self.own, *(item.box for item in self.candidates.values())]
        failure_domains = (box.failure_domain for box in boxes)
        self.failure_domain_groups = FailureDomainGroups(
            failure_domains=failure_domains, groups=self.group_count.groups
        )
        assigned = {
            box.name: self.failure_domain_groups.group_of(box.name, box.failure_domain)
            for box in boxes
        }
        self.group = assigned[self.own.name]
        self.fleet_ranking = sorted(assigned, key=self.rank)
        self.group_ranking = [name for name in self.fleet_ranking if assigned[name] == self.group]

    @property
    def groups(self) -> int:
        """Return into how many groups the fleet is split."""
        return self.group_count.groups

    def on_group_count(self, count: GroupCount) -> None:
        """Take in how many groups there are, as another box or this one says."""
        newest = self.group_count.newer(count)
        if newest != self.group_count:
            self.group_count = newest
            self.regroup()

    def is_leader(self, now: float) -> bool:
        """Tell whether this box is the first of all that may schedule."""
        return next(self.eligible_among(self.fleet_ranking, now), None) == self.own.name

    def rank(self, name: str) -> tuple[bool, float, str]:
        """Return by what boxes are ordered; the least schedules, a box not listed yet last."""
        if name != self.own.name:
            box = self.candidates[name].box
            return (box.small, box.order, name)
        order = float('inf') if self.own_order is None else self.own_order
        return (self.own.small, order, name)

    def on_ping(self, ping: Ping, now: float) -> None:
        """Note a box that sees this one as a candidate."""
        self.on_presence(ping, now)

    def on_pong(self, pong: Pong, now: float) -> None:
        """Note a candidate's answer."""
        self.on_presence(pong, now)

    def on_presence(self, message: Presence, now: float) -> Candidate | None:
        """Note a sign of life."""
        self.on_group_count(message.groups)
        candidate = self.candidates.get(message.box)
        if candidate is None:
            return None
        candidate.on_heard(message, now)
        return candidate

    def candidates_to_ping(self, now: float) -> list[Candidate]:
        """Return the candidates to ping: enough from the front that some may schedule.

        Those that still have the time to answer count as good: when all boxes start at once nobody
        was heard yet, and each would ping every other.
        """
        found = self.due_candidates(self.group_ranking, CANDIDATE_COUNT, now)
        if self.groups > 1 and now - self.leader_pinged_at >= LEADER_PING_INTERVAL_S:
            self.leader_pinged_at = now
            leaders = self.due_candidates(self.fleet_ranking, 1, now)
            found.extend(item for item in leaders if item not in found)
        return found

    def due_candidates(self, names: Iterable[str], needed: int, now: float) -> list[Candidate]:
        """Return the candidates to ping now: from the front until so many of them are good.

        Those behind the one that schedules are pinged less often.
        """
        found: list[Candidate] = []
        good_count = 0
        standby = False
        for name in names:
            if name == self.own.name:
                standby = standby or not self.leaving
                continue
            candidate = self.candidates[name]
            if candidate.mark_ping_if_due(now, standby=standby):
                found.append(candidate)
            heard = candidate.last_heard_at is not None
            is_good = candidate.is_eligible(now) if heard else candidate.may_still_answer(now)
            good_count += is_good
            standby = standby or (heard and is_good)
            if good_count >= needed:
                break
        return found

    def scheduler(
        self, now: float, own_contact: StoreContact = STEADY, *, has_configuration: bool = True
    ) -> BoxAddress:
        """Return the box that schedules, as far as this box can tell; itself if it hears nobody.

        `own` is this box's contact with the store, `knows` tells whether it has a configuration:
        one that has none yet would refuse what others could serve. Boxes that are behind another
        go last.
        """
        configured = (
            name
            for name in self.eligible(now)
            if self.has_configuration(name, own=has_configuration)
        )
        eligible = list(itertools.islice(configured, MAX_COMPARED_CONTACTS))
        eligible = eligible or list(itertools.islice(self.eligible(now), MAX_COMPARED_CONTACTS))
        contacts = {name: self.store_contact_of(name, own_contact, now) for name in eligible}
        current = [name for name in eligible if not contacts[name].is_behind_any(contacts.values())]
        chosen = (current or eligible or [self.own.name])[0]
        return self.own if chosen == self.own.name else self.candidates[chosen].box

    def has_configuration(self, name: str, *, own: bool) -> bool:
        """Tell whether a box has a configuration, as far as it has told."""
        return own if name == self.own.name else self.candidates[name].has_configuration

    def eligible(self, now: float) -> Iterator[str]:
        """Yield the boxes that are there to schedule, in rank order."""
        return self.eligible_among(self.group_ranking, now)

    def eligible_among(self, names: Iterable[str], now: float) -> Iterator[str]:
        """Yield those of some boxes that are there to schedule."""
        return (name for name in names if self.is_eligible(name, now))

    def is_eligible(self, name: str, now: float) -> bool:
        """Tell whether a box is there to schedule."""
        if name == self.own.name:
            return not self.leaving
        return self.candidates[name].is_eligible(now)

    def candidate_addresses(self, now: float) -> list[str]:
        """Return the addresses of the boxes that others ping: they hear first of what is news."""
        names = list(itertools.islice(self.eligible(now), CANDIDATE_COUNT))
        if self.groups > 1:
            names.extend(itertools.islice(self.eligible_among(self.fleet_ranking, now), 1))
        return [
            self.own.address if name == self.own.name else self.candidates[name].box.address
            for name in dict.fromkeys(names)
        ]

    def store_contact_of(self, name: str, own_contact: StoreContact, now: float) -> StoreContact:
        """Return how the store answers a box, as far as this box was told."""
        if name == self.own.name:
            return own_contact
        candidate = self.candidates[name]
        heard_at = now if candidate.last_heard_at is None else candidate.last_heard_at
        return candidate.contact.aged_by(now - heard_at)

    def is_alive(self, address: str, now: float) -> bool:
        """Tell whether the box at an address, leaving or not, was heard lately."""
        if address == self.own.address:
            return True
        return any(
            item.box.address == address and item.is_alive(now) for item in self.candidates.values()
        )

    def box_count(self) -> int:
        """Return among how many boxes the fleet's budgets are split: all those listed.

        Boxes that are listed and dead make each share smaller, never the whole larger.
        """
        return len(self.candidates) + 1

    def share_of(self, replicas: list[Replica]) -> list[Replica]:
        """Return those of a service's replicas that this box's group calls; all if it has none."""
        return self.failure_domain_groups.share_of(replicas, self.group)
