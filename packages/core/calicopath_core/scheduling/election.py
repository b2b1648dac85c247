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
from calicopath_core.scheduling.groups import GroupCount, ZoneGroups

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from calicopath_core.fleet.contact import StoreContact
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.messages import Ping, Pong, Presence

CANDIDATES = 3
"""Boxes, first by rank, that every box pings: enough that one of them lives through two losses."""

COMPARED = 8
"""Boxes, first by rank, whose contact with the store is compared: more than are ever pinged."""

PING_S = 0.2
SILENT_S = 0.7
"""A candidate not heard for this long is passed over: three pings lost, and some delay. Shorter
takes pauses for deaths, longer holds requests up behind a dead scheduler."""

STANDBY_PING_S = 0.6
"""How often candidates are pinged that come after the one that schedules: three pings each 0.2 s
from 195 boxes would be 5,850 messages a second with their answers, two thirds of them with boxes
that do nothing for others."""

PING_SLACK_S = 0.05
"""How much earlier than due a ping goes out, so that it does not wait for the round after."""

UNANSWERED_S = 0.5
"""After this time without an answer to pings the connection to a box is made anew, and the box is
asked to do the same: two pings more may be answered before it is passed over."""

NEW_GRACE_S = 1.5
"""How long a candidate never heard is waited for after it was listed: a box that has restarted is
reached again only when its peers have connected anew, and must not schedule beside them."""


LEAD_PING_S = 1.0
"""How often boxes of other groups than the first hear how many groups there are: from the box that
ranks first of all."""

TRUST_S = 2.0
"""How long a candidate that had fallen silent must be heard again before it may schedule."""


class BoxAddress(NamedTuple):
    """Name a box and the address on which its peers reach it.

    `life` is new with each start; `order` is the store's revision at which the record was written.
    A `small` box has little processor or link: it works for others only if no other box can.
    """

    name: str
    address: str
    zone: str
    life: str
    order: int = 0
    small: bool = False


class Candidate:
    """Hold what was heard of one box; times are monotonic seconds."""

    def __init__(self, *, box: BoxAddress, listed_at: float) -> None:
        self.box = box
        self.listed_at = listed_at
        self.heard_at: float | None = None
        self.pinged_at: float | None = None
        self.renewed_at = 0.0
        self.sent_at = -math.inf
        self.standby = False
        self.fast_since = -math.inf
        self.leaving = False
        self.knows = True
        self.trusted_at = 0.0
        self.contact = UNKNOWN

    def alive(self, now: float) -> bool:
        """Tell whether the box was heard lately, or is too new to tell."""
        if self.heard_at is None:
            return now - self.listed_at < NEW_GRACE_S
        return now - self.heard_at < self.patience_s(now)

    def patience_s(self, now: float) -> float:
        """Return how long the box may be unheard: longer while it is pinged seldom."""
        seldom = self.standby or now - self.fast_since < SILENT_S
        return SILENT_S + (STANDBY_PING_S if seldom else 0.0)

    def due(self, now: float, *, standby: bool) -> bool:
        """Tell whether the box is to be pinged now, and note that it is."""
        if self.standby and not standby:
            self.fast_since = now
        self.standby = standby
        if standby and now - self.sent_at < STANDBY_PING_S - PING_SLACK_S:
            return False
        self.sent_at = now
        if self.pinged_at is None:
            self.pinged_at = now
        return True

    def hear(self, message: Presence, now: float) -> None:
        """Note a sign of life; after a silence, trust has to grow again."""
        if self.heard_at is not None and now - self.heard_at >= self.patience_s(now):
            self.trusted_at = now + TRUST_S
        self.heard_at = now
        self.pinged_at = None
        self.leaving = message.leaving
        self.knows = message.config_version > 0
        self.contact = message.contact

    def has_time(self, now: float) -> bool:
        """Tell whether the box still has the time to answer."""
        return self.pinged_at is None or now - self.pinged_at < SILENT_S

    def must_renew(self, now: float) -> bool:
        """Tell whether the connection to the box should be made anew, and note that it is."""
        silent_from = max(self.renewed_at, self.pinged_at if self.pinged_at is not None else now)
        if self.heard_at is None or now - silent_from < UNANSWERED_S:
            return False
        self.renewed_at = now
        return True

    def may_schedule(self, now: float) -> bool:
        """Tell whether the box may be given work."""
        return self.alive(now) and not self.leaving and now >= self.trusted_at


class Election:
    """Hold the boxes listed and choose the scheduler of this box's group among those heard.

    `ranked` are the boxes of the group in rank order, this one included.
    """

    def __init__(self, *, own: BoxAddress) -> None:
        self.own = own
        self.candidates: dict[str, Candidate] = {}
        self.own_order: int | None = None
        self.ranked: list[str] = [own.name]
        self.ranked_all: list[str] = [own.name]
        self.count = GroupCount()
        self.zone_groups = ZoneGroups(zones=[own.zone], groups=1)
        self.group = 0
        self.lead_pinged_at = -math.inf
        self.sequence = 0
        self.leaving = False

    def on_listed(self, boxes: Iterable[BoxAddress], now: float) -> None:
        """Take in the boxes of the platform's list; a new address is a new incarnation."""
        listed = {box.name: box for box in boxes if box.name != self.own.name}
        mine = [box for box in boxes if box.name == self.own.name and box.life == self.own.life]
        self.own_order = mine[0].order if mine else None
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
        zones = (box.zone for box in boxes)
        self.zone_groups = ZoneGroups(zones=zones, groups=self.count.groups)
        assigned = {box.name: self.zone_groups.group_of(box.name, box.zone) for box in boxes}
        self.group = assigned[self.own.name]
        self.ranked_all = sorted(assigned, key=self.rank)
        self.ranked = [name for name in self.ranked_all if assigned[name] == self.group]

    @property
    def groups(self) -> int:
        """Return into how many groups the fleet is split."""
        return self.count.groups

    def on_count(self, count: GroupCount) -> None:
        """Take in how many groups there are, as another box or this one says."""
        newest = self.count.newer(count)
        if newest != self.count:
            self.count = newest
            self.regroup()

    def leads(self, now: float) -> bool:
        """Tell whether this box is the first of all that may schedule."""
        return next(self.able_of(self.ranked_all, now), None) == self.own.name

    def rank(self, name: str) -> tuple[bool, float, str]:
        """Return by what boxes are ordered; the least schedules, a box not listed yet last."""
        if name != self.own.name:
            box = self.candidates[name].box
            return (box.small, box.order, name)
        order = float('inf') if self.own_order is None else self.own_order
        return (self.own.small, order, name)

    def on_ping(self, ping: Ping, now: float) -> None:
        """Note a box that sees this one as a candidate."""
        self.heard(ping, now)

    def on_pong(self, pong: Pong, now: float) -> None:
        """Note a candidate's answer."""
        self.heard(pong, now)

    def heard(self, message: Presence, now: float) -> Candidate | None:
        """Note a sign of life."""
        self.on_count(message.groups)
        candidate = self.candidates.get(message.box)
        if candidate is None:
            return None
        candidate.hear(message, now)
        return candidate

    def pinged(self, now: float) -> list[Candidate]:
        """Return the candidates to ping: enough from the front that some may schedule.

        Those that still have the time to answer count as good: when all boxes start at once nobody
        was heard yet, and each would ping every other.
        """
        found = self.enough_of(self.ranked, CANDIDATES, now)
        if self.groups > 1 and now - self.lead_pinged_at >= LEAD_PING_S:
            self.lead_pinged_at = now
            leads = self.enough_of(self.ranked_all, 1, now)
            found.extend(item for item in leads if item not in found)
        return found

    def enough_of(self, names: Iterable[str], wanted: int, now: float) -> list[Candidate]:
        """Return the candidates to ping now: from the front until so many of them are good.

        Those behind the one that schedules are pinged less often.
        """
        found: list[Candidate] = []
        good = 0
        standby = False
        for name in names:
            if name == self.own.name:
                standby = standby or not self.leaving
                continue
            candidate = self.candidates[name]
            if candidate.due(now, standby=standby):
                found.append(candidate)
            heard = candidate.heard_at is not None
            is_good = candidate.may_schedule(now) if heard else candidate.has_time(now)
            good += is_good
            standby = standby or (heard and is_good)
            if good >= wanted:
                break
        return found

    def scheduler(
        self, now: float, own: StoreContact = STEADY, *, knows: bool = True
    ) -> BoxAddress:
        """Return the box that schedules, as far as this box can tell; itself if it hears nobody.

        `own` is this box's contact with the store, `knows` tells whether it has a configuration:
        one that has none yet would refuse what others could serve. Boxes that are behind another
        go last.
        """
        knowing = (name for name in self.able(now) if self.knows(name, own=knows))
        able = list(itertools.islice(knowing, COMPARED))
        able = able or list(itertools.islice(self.able(now), COMPARED))
        contacts = {name: self.contact_of(name, own, now) for name in able}
        current = [name for name in able if not contacts[name].is_behind_any(contacts.values())]
        chosen = (current or able or [self.own.name])[0]
        return self.own if chosen == self.own.name else self.candidates[chosen].box

    def knows(self, name: str, *, own: bool) -> bool:
        """Tell whether a box has a configuration, as far as it has told."""
        return own if name == self.own.name else self.candidates[name].knows

    def able(self, now: float) -> Iterator[str]:
        """Yield the boxes that are there to schedule, in rank order."""
        return self.able_of(self.ranked, now)

    def able_of(self, names: Iterable[str], now: float) -> Iterator[str]:
        """Yield those of some boxes that are there to schedule."""
        return (name for name in names if self.is_able(name, now))

    def is_able(self, name: str, now: float) -> bool:
        """Tell whether a box is there to schedule."""
        if name == self.own.name:
            return not self.leaving
        return self.candidates[name].may_schedule(now)

    def hubs(self, now: float) -> list[str]:
        """Return the addresses of the boxes that others ping: they hear first of what is news."""
        names = list(itertools.islice(self.able(now), CANDIDATES))
        if self.groups > 1:
            names.extend(itertools.islice(self.able_of(self.ranked_all, now), 1))
        return [
            self.own.address if name == self.own.name else self.candidates[name].box.address
            for name in dict.fromkeys(names)
        ]

    def contact_of(self, name: str, own: StoreContact, now: float) -> StoreContact:
        """Return how the store answers a box, as far as this box was told."""
        if name == self.own.name:
            return own
        candidate = self.candidates[name]
        heard_at = now if candidate.heard_at is None else candidate.heard_at
        return candidate.contact.aged_by(now - heard_at)

    def hears(self, address: str, now: float) -> bool:
        """Tell whether the box at an address, leaving or not, was heard lately."""
        if address == self.own.address:
            return True
        return any(
            item.box.address == address and item.alive(now) for item in self.candidates.values()
        )

    def boxes_sharing(self) -> int:
        """Return among how many boxes the fleet's budgets are split: all those listed.

        Boxes that are listed and dead make each share smaller, never the whole larger.
        """
        return len(self.candidates) + 1

    def share_of(self, replicas: list[Replica]) -> list[Replica]:
        """Return those of a service's replicas that this box's group calls; all if it has none."""
        return self.zone_groups.share_of(replicas, self.group)
