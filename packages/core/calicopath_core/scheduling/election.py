"""Elect the box that schedules, by rank among the boxes that are alive.

Of the boxes that are heard, the one with the oldest record in the platform's store schedules; no
box is reserved for it. A box that restarts writes a new record and so ranks last. Ranking by a hash
of the names would return the work to it at once, and each handover costs the stage calls in
progress. Two boxes that both schedule for a moment only cost efficiency, since a piece may be
computed twice.
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
"""Number of boxes, first by rank, that every box pings; one of them survives the loss of two."""

MAX_COMPARED_CONTACTS = 8
"""Number of boxes, first by rank, whose contact with the store is compared: more than are ever
pinged."""

PING_INTERVAL_S = 0.2
SILENCE_TIMEOUT_S = 0.7
"""A candidate not heard for this long is skipped: three lost pings and some delay. A shorter
timeout mistakes pauses for crashes; a longer one delays requests behind a crashed scheduler."""

STANDBY_PING_INTERVAL_S = 0.6
"""How often candidates that rank behind the scheduler are pinged. With 195 boxes, three pings each
every 0.2 s would be 5,850 messages per second including answers, two thirds of them exchanged with
standby boxes."""

PING_SLACK_S = 0.05
"""How much earlier than due a ping may be sent, so that it does not wait for the next round."""

RECONNECT_AFTER_S = 0.5
"""After this time of unanswered pings the connection to a box is reopened, and the box is asked to
do the same; two more pings may then be answered before the box is skipped."""

NEW_BOX_GRACE_S = 1.5
"""How long a newly listed candidate counts as alive before it is first heard. A restarted box is
reachable only once its peers have reconnected, and must not schedule in parallel with them."""


LEADER_PING_INTERVAL_S = 1.0
"""With several groups, how often every box pings the one that ranks first in the whole fleet, to
learn the current group count."""

PROBATION_S = 2.0
"""How long a candidate that was silent must be heard again before it may schedule."""


class BoxAddress(NamedTuple):
    """Identify a box and the address at which its peers reach it.

    `incarnation` is new with each start; `order` is the store's revision at which the record was
    written. A `small` box has little processor or network capacity: it schedules only if no other
    box can.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: str
    order: int = 0
    small: bool = False


class Candidate:
    """Hold what was heard of one box; times are monotonic seconds.

    `unanswered_since` is the time of the first ping after the last answer, `None` if there is none.
    A `standby` candidate is pinged less often; `frequent_since` is when that last ended.
    `acknowledges` says that the box, as scheduler, answers each request at once.
    """

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
        self.acknowledges = False

    def is_alive(self, now: float) -> bool:
        """Tell whether the box was heard recently, or is within its grace period."""
        if self.last_heard_at is None:
            return now - self.listed_at < NEW_BOX_GRACE_S
        return now - self.last_heard_at < self.silence_timeout_s(now)

    def silence_timeout_s(self, now: float) -> float:
        """Return how long the box may be silent; longer while it is pinged rarely."""
        pinged_rarely = self.standby or now - self.frequent_since < SILENCE_TIMEOUT_S
        return SILENCE_TIMEOUT_S + (STANDBY_PING_INTERVAL_S if pinged_rarely else 0.0)

    def mark_ping_if_due(self, now: float, *, standby: bool) -> bool:
        """Tell whether the box must be pinged now, and record the ping if so."""
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
        """Record a message of the box; after a silence its probation starts."""
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
        """Tell whether no ping is pending, or the time for its answer is not over."""
        return self.unanswered_since is None or now - self.unanswered_since < SILENCE_TIMEOUT_S

    def mark_reconnect_if_due(self, now: float) -> bool:
        """Tell whether the connection to the box must be reopened, and record it if so."""
        waiting_since = max(
            self.reconnected_at, self.unanswered_since if self.unanswered_since is not None else now
        )
        if self.last_heard_at is None or now - waiting_since < RECONNECT_AFTER_S:
            return False
        self.reconnected_at = now
        return True

    def is_eligible(self, now: float) -> bool:
        """Tell whether the box may schedule."""
        return self.is_alive(now) and not self.leaving and now >= self.probation_until


class Election:
    """Hold the listed boxes and choose the scheduler of this box's group among those alive.

    `group_ranking` and `fleet_ranking` are the names of the group's and of all boxes in rank order,
    this one included.
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
        """Set the platform's list of boxes; a changed record starts a new candidate."""
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
        """Recompute the groups from the listed boxes and the current group count."""
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
        """Return the number of groups that the fleet is split into."""
        return self.group_count.groups

    def on_group_count(self, count: GroupCount) -> None:
        """Take over a group count of this box or of another one, if it is newer."""
        newest = self.group_count.newer(count)
        if newest != self.group_count:
            self.group_count = newest
            self.regroup()

    def is_leader(self, now: float) -> bool:
        """Tell whether this box is the first one of the whole fleet that may schedule."""
        return next(self.eligible_among(self.fleet_ranking, now), None) == self.own.name

    def rank(self, name: str) -> tuple[bool, float, str]:
        """Return the sort key of a box: the least schedules, an unlisted box comes last."""
        if name != self.own.name:
            box = self.candidates[name].box
            return (box.small, box.order, name)
        order = float('inf') if self.own_order is None else self.own_order
        return (self.own.small, order, name)

    def on_ping(self, ping: Ping, now: float) -> None:
        """Record a ping of a box to which this one is a candidate."""
        self.on_presence(ping, now)

    def on_pong(self, pong: Pong, now: float) -> None:
        """Record a candidate's answer to a ping."""
        candidate = self.on_presence(pong, now)
        if candidate is not None:
            candidate.acknowledges = pong.acknowledges

    def on_presence(self, message: Presence, now: float) -> Candidate | None:
        """Record a message of a box; return its candidate, `None` if it is not listed."""
        self.on_group_count(message.groups)
        candidate = self.candidates.get(message.box)
        if candidate is None:
            return None
        candidate.on_heard(message, now)
        return candidate

    def candidates_to_ping(self, now: float) -> list[Candidate]:
        """Return the candidates to ping now, so many that some of them are fit to schedule.

        Candidates that still have time to answer count as fit: when all boxes start at once, none
        has been heard yet, and each box would ping every other.
        """
        due = self.due_candidates(self.group_ranking, CANDIDATE_COUNT, now)
        if self.groups > 1 and now - self.leader_pinged_at >= LEADER_PING_INTERVAL_S:
            self.leader_pinged_at = now
            leaders = self.due_candidates(self.fleet_ranking, 1, now)
            due.extend(item for item in leaders if item not in due)
        return due

    def due_candidates(self, names: Iterable[str], needed: int, now: float) -> list[Candidate]:
        """Return the candidates with a ping due, in rank order until `needed` of them are fit.

        Those that rank behind the scheduler are pinged less often.
        """
        due: list[Candidate] = []
        fit_count = 0
        standby = False
        for name in names:
            if name == self.own.name:
                standby = standby or not self.leaving
                continue
            candidate = self.candidates[name]
            if candidate.mark_ping_if_due(now, standby=standby):
                due.append(candidate)
            heard = candidate.last_heard_at is not None
            is_fit = candidate.is_eligible(now) if heard else candidate.may_still_answer(now)
            fit_count += is_fit
            standby = standby or (heard and is_fit)
            if fit_count >= needed:
                break
        return due

    def scheduler(
        self, now: float, own_contact: StoreContact = STEADY, *, has_configuration: bool = True
    ) -> BoxAddress:
        """Return the box that schedules as this box sees it; itself if no box is heard.

        `own_contact` is this box's contact with the store. `has_configuration` tells whether this
        box has a configuration; one without would refuse requests that others can serve. Boxes
        whose contact with the store is behind that of another box come last.
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
        """Tell whether a box has reported a configuration; `own` is the answer for this box."""
        return own if name == self.own.name else self.candidates[name].has_configuration

    def eligible(self, now: float) -> Iterator[str]:
        """Yield the boxes of the group that may schedule, in rank order."""
        return self.eligible_among(self.group_ranking, now)

    def eligible_among(self, names: Iterable[str], now: float) -> Iterator[str]:
        """Yield those of some boxes that may schedule."""
        return (name for name in names if self.is_eligible(name, now))

    def is_eligible(self, name: str, now: float) -> bool:
        """Tell whether a box may schedule."""
        if name == self.own.name:
            return not self.leaving
        return self.candidates[name].is_eligible(now)

    def candidate_addresses(self, now: float) -> list[str]:
        """Return the addresses of the boxes that others ping; they receive notices first."""
        names = list(itertools.islice(self.eligible(now), CANDIDATE_COUNT))
        if self.groups > 1:
            names.extend(itertools.islice(self.eligible_among(self.fleet_ranking, now), 1))
        return [
            self.own.address if name == self.own.name else self.candidates[name].box.address
            for name in dict.fromkeys(names)
        ]

    def store_contact_of(self, name: str, own_contact: StoreContact, now: float) -> StoreContact:
        """Return a box's contact with the store, aged by the time since its last message."""
        if name == self.own.name:
            return own_contact
        candidate = self.candidates[name]
        heard_at = now if candidate.last_heard_at is None else candidate.last_heard_at
        return candidate.contact.aged_by(now - heard_at)

    def is_alive(self, address: str, now: float) -> bool:
        """Tell whether the box at an address, leaving or not, was heard recently."""
        if address == self.own.address:
            return True
        return any(
            item.box.address == address and item.is_alive(now) for item in self.candidates.values()
        )

    def acknowledges(self, address: str) -> bool:
        """Tell whether the box at an address has said that it answers each request at once."""
        if address == self.own.address:
            return True
        return any(
            item.box.address == address and item.acknowledges for item in self.candidates.values()
        )

    def box_count(self) -> int:
        """Return the number of boxes that share the fleet's budgets: all that are listed.

        A listed box that is dead makes each share smaller, never the total larger.
        """
        return len(self.candidates) + 1

    def position(self) -> tuple[int, int]:
        """Return the place of this box among all listed boxes, and their number."""
        return self.fleet_ranking.index(self.own.name), len(self.fleet_ranking)

    def replicas_of_group(self, replicas: list[Replica]) -> list[Replica]:
        """Return the replicas that this box's group calls; all of them if the group has too few."""
        return self.failure_domain_groups.replicas_of_group(replicas, self.group)
