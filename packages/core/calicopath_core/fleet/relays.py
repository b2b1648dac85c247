"""Decide which boxes follow the store for others, and whom a box hears the store's changes from.

A waiting watch a kind and box costs the store more than all else at many boxes. So a few boxes of
the fleet, of different failure domains, are relays: they watch, and the others subscribe to two of
them. A box whose relays are silent, or whom the store fails, watches by itself.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

from calicopath_core.fleet.contact import UNKNOWN
from calicopath_core.scheduling.election import CANDIDATE_COUNT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.fleet.contact import StoreContact
    from calicopath_core.fleet.relay_messages import RelayBeat
    from calicopath_core.scheduling.election import BoxAddress

LEAST_RELAYS = 3
"""Relays that a fleet has at least, so that two are left when one is lost."""

LEAST_BOXES_A_RELAY = 3
"""With fewer boxes for each relay every box follows the store itself: a relay asks the store more
than twice as often as a box for itself does."""

BOXES_A_RELAY = 100
"""Boxes that one relay serves at most: each box hears two, so a relay of a fleet of 195 answers
130 boxes, 2.5 times a second each."""

SOURCES = 2
"""Relays that a box hears: one may be cut off from the store without knowing it yet."""

SUBSCRIBE_S = 0.4
SILENT_S = 1.0
"""How often a box asks its relays, and after how long without an answer one is given up: two lost
messages, and some delay."""

STALE_S = 1.6
"""How old a relay's word from the store may be: its watches wait 1 s. A box whose relays are all
cut off without knowing it watches by itself after that, and a change is in force in under 2 s."""


class Source:
    """Hold what was heard of one relay; times are monotonic seconds."""

    def __init__(self) -> None:
        self.heard_at = -math.inf
        self.asked_at = -math.inf
        self.contact: StoreContact = UNKNOWN
        self.direct = False
        self.leaving = False

    def hear(self, beat: RelayBeat, now: float) -> None:
        """Note a relay's answer."""
        self.heard_at = now
        self.contact = beat.contact
        self.direct = beat.direct
        self.leaving = beat.leaving

    def alive(self, now: float) -> bool:
        """Tell whether the relay was heard lately."""
        return now - self.heard_at < SILENT_S

    def contact_now(self, now: float) -> StoreContact:
        """Return how the store answers the relay, as far as it has told."""
        return self.contact.later(now - self.heard_at)

    def usable(self, now: float) -> bool:
        """Tell whether what the store changes comes through this relay at once."""
        if not self.alive(now) or not self.direct or self.leaving:
            return False
        return self.is_answered(now)

    def is_answered(self, now: float) -> bool:
        """Tell whether the store answers the relay, by word that is not too old."""
        contact = self.contact_now(now)
        return contact.failing_s == 0.0 and contact.age_s < STALE_S


class RelayChoice:
    """Hold the boxes listed and the relays heard, for one box.

    A box that `announces` tells others of itself, whether they hear the store through it or not;
    the one that `is_first` writes down which boxes are relays.
    """

    def __init__(self, *, own: BoxAddress) -> None:
        self.own = own
        self.relays: list[BoxAddress] = []
        self.sources: dict[str, Source] = {}
        self.candidates: list[str] = []
        self.announces = False
        self.is_first = False

    def on_listed(self, boxes: Iterable[BoxAddress]) -> None:
        """Take in the boxes of the store's list."""
        listed = list(boxes)
        chosen = choose_relays(listed)
        self.announces = any(box.name == self.own.name for box in chosen)
        self.is_first = bool(chosen) and chosen[0].name == self.own.name
        self.take(chosen if len(listed) >= LEAST_BOXES_A_RELAY * len(chosen) else [])

    def on_noted(self, relays: Iterable[BoxAddress]) -> None:
        """Take in which boxes are relays by what is written down, until the list is known."""
        self.take(list(relays))

    def take(self, relays: list[BoxAddress]) -> None:
        """Take in which boxes are relays."""
        self.relays = relays
        others = [box for box in self.relays if box.name != self.own.name]
        others.sort(
            key=lambda box: (
                box.failure_domain != self.own.failure_domain,
                draw(self.own.name, box.name),
            )
        )
        self.candidates = [box.address for box in others]
        self.sources = {
            address: self.sources.get(address) or Source() for address in self.candidates
        }

    @property
    def is_relay(self) -> bool:
        """Tell whether this box follows the store for others, or knows of none that does."""
        return not self.candidates or any(box.name == self.own.name for box in self.relays)

    def asked(self, now: float) -> list[str]:
        """Return the relays to subscribe to: the first in order, until enough of them are usable.

        Those that were asked a moment ago are given the time to answer.
        """
        if self.is_relay:
            return []
        found: list[str] = []
        good = 0
        for address in self.candidates:
            source = self.sources[address]
            found.append(address)
            good += source.usable(now) or source.asked_at == -math.inf
            source.asked_at = now
            if good >= SOURCES:
                break
        return found

    def on_beat(self, beat: RelayBeat, now: float) -> None:
        """Note a relay's answer; one from a box that is not a relay here is left out."""
        source = self.sources.get(beat.sender)
        if source is not None:
            source.hear(beat, now)

    def current(self, now: float) -> Source | None:
        """Return the relay through which this box hears the store, or nothing."""
        address = self.current_address(now)
        return None if address is None else self.sources[address]

    def current_address(self, now: float) -> str | None:
        """Return that relay's address."""
        if self.is_relay:
            return None
        usable = (address for address in self.candidates if self.sources[address].usable(now))
        return next(usable, None)

    def store_fails_relays(self, now: float) -> bool:
        """Tell whether relays are heard and the store fails all of those, or is silent to them.

        Never at a relay: others wait for its word that the store is back.
        """
        if self.is_relay:
            return False
        alive = [source for source in self.sources.values() if source.alive(now)]
        return bool(alive) and not any(source.is_answered(now) for source in alive)


def choose_relays(boxes: Iterable[BoxAddress]) -> list[BoxAddress]:
    """Return the relays among some boxes: the oldest, of different failure domains first, small
    ones last.

    Those that may schedule come last among their like: of 195 boxes a scheduler answers 975 pings a
    second, a relay 325 subscriptions.
    """
    oldest = sorted(boxes, key=lambda box: (box.small, box.order, box.name))
    ranked = oldest[CANDIDATE_COUNT:] + oldest[:CANDIDATE_COUNT]
    wanted = max(LEAST_RELAYS, math.ceil(len(ranked) / BOXES_A_RELAY))
    failure_domains: dict[str, int] = {}
    places = []
    for box in ranked:
        place = failure_domains.get(box.failure_domain, 0)
        failure_domains[box.failure_domain] = place + 1
        places.append((box.small, place))
    order = sorted(range(len(ranked)), key=lambda number: (*places[number], number))
    return [ranked[number] for number in order[:wanted]]


def draw(box: str, relay: str) -> bytes:
    """Return by what a box orders relays that are alike, so that load spreads over them."""
    return hashlib.blake2b(f'{box}/{relay}'.encode(), digest_size=8).digest()
