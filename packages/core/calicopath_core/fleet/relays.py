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
    from calicopath_core.fleet.relay_messages import RelayStatus
    from calicopath_core.scheduling.election import BoxAddress

MIN_RELAYS = 3
"""Relays that a fleet has at least, so that two are left when one is lost."""

MIN_BOXES_PER_RELAY = 3
"""With fewer boxes for each relay every box follows the store itself: a relay asks the store more
than twice as often as a box for itself does."""

MAX_BOXES_PER_RELAY = 100
"""Boxes that one relay serves at most: each box hears two, so a relay of a fleet of 195 answers
130 boxes, 2.5 times a second each."""

RELAYS_PER_BOX = 2
"""Relays that a box hears: one may be cut off from the store without knowing it yet."""

RENEWAL_INTERVAL_S = 0.4
RELAY_TIMEOUT_S = 1.0
"""How often a box asks its relays, and after how long without an answer one is given up: two lost
messages, and some delay."""

MAX_CONTACT_AGE_S = 1.6
"""How old a relay's word from the store may be: its watches wait 1 s. A box whose relays are all
cut off without knowing it watches by itself after that, and a change is in force in under 2 s."""


class RelayState:
    """Hold what was heard of one relay; times are monotonic seconds."""

    def __init__(self) -> None:
        self.heard_at = -math.inf
        self.asked_at = -math.inf
        self.contact: StoreContact = UNKNOWN
        self.direct = False
        self.leaving = False

    def update(self, status: RelayStatus, now: float) -> None:
        """Note a relay's answer."""
        self.heard_at = now
        self.contact = status.contact
        self.direct = status.direct
        self.leaving = status.leaving

    def is_alive(self, now: float) -> bool:
        """Tell whether the relay was heard lately."""
        return now - self.heard_at < RELAY_TIMEOUT_S

    def contact_now(self, now: float) -> StoreContact:
        """Return how the store answers the relay, as far as it has told."""
        return self.contact.aged_by(now - self.heard_at)

    def is_usable(self, now: float) -> bool:
        """Tell whether what the store changes comes through this relay at once."""
        if not self.is_alive(now) or not self.direct or self.leaving:
            return False
        return self.has_store_contact(now)

    def has_store_contact(self, now: float) -> bool:
        """Tell whether the store answers the relay, by word that is not too old."""
        contact = self.contact_now(now)
        return contact.failing_s == 0.0 and contact.age_s < MAX_CONTACT_AGE_S


class RelaySelection:
    """Hold the boxes listed and the relays heard, for one box.

    A box that `announces` tells others of itself, whether they hear the store through it or not;
    the one that `is_first` writes down which boxes are relays.
    """

    def __init__(self, *, own: BoxAddress) -> None:
        self.own = own
        self.relays: list[BoxAddress] = []
        self.relay_states: dict[str, RelayState] = {}
        self.candidates: list[str] = []
        self.announces = False
        self.is_first_relay = False

    def on_listed(self, boxes: Iterable[BoxAddress]) -> None:
        """Take in the boxes of the store's list."""
        listed = list(boxes)
        chosen = choose_relays(listed)
        self.announces = any(box.name == self.own.name for box in chosen)
        self.is_first_relay = bool(chosen) and chosen[0].name == self.own.name
        self.set_relays(chosen if len(listed) >= MIN_BOXES_PER_RELAY * len(chosen) else [])

    def on_recorded(self, relays: Iterable[BoxAddress]) -> None:
        """Take in which boxes are relays by what is written down, until the list is known."""
        self.set_relays(list(relays))

    def set_relays(self, relays: list[BoxAddress]) -> None:
        """Take in which boxes are relays."""
        self.relays = relays
        others = [box for box in self.relays if box.name != self.own.name]
        others.sort(
            key=lambda box: (
                box.failure_domain != self.own.failure_domain,
                rendezvous_key(self.own.name, box.name),
            )
        )
        self.candidates = [box.address for box in others]
        self.relay_states = {
            address: self.relay_states.get(address) or RelayState() for address in self.candidates
        }

    @property
    def is_relay(self) -> bool:
        """Tell whether this box follows the store for others, or knows of none that does."""
        return not self.candidates or any(box.name == self.own.name for box in self.relays)

    def subscription_targets(self, now: float) -> list[str]:
        """Return the relays to subscribe to: the first in order, until enough of them are usable.

        Those that were asked a moment ago are given the time to answer.
        """
        if self.is_relay:
            return []
        found: list[str] = []
        good = 0
        for address in self.candidates:
            source = self.relay_states[address]
            found.append(address)
            good += source.is_usable(now) or source.asked_at == -math.inf
            source.asked_at = now
            if good >= RELAYS_PER_BOX:
                break
        return found

    def on_status(self, status: RelayStatus, now: float) -> None:
        """Note a relay's answer; one from a box that is not a relay here is left out."""
        source = self.relay_states.get(status.sender)
        if source is not None:
            source.update(status, now)

    def current_relay(self, now: float) -> RelayState | None:
        """Return the relay through which this box hears the store, or nothing."""
        address = self.current_relay_address(now)
        return None if address is None else self.relay_states[address]

    def current_relay_address(self, now: float) -> str | None:
        """Return that relay's address."""
        if self.is_relay:
            return None
        usable = (
            address for address in self.candidates if self.relay_states[address].is_usable(now)
        )
        return next(usable, None)

    def store_fails_relays(self, now: float) -> bool:
        """Tell whether relays are heard and the store fails all of those, or is silent to them.

        Never at a relay: others wait for its word that the store is back.
        """
        if self.is_relay:
            return False
        alive = [source for source in self.relay_states.values() if source.is_alive(now)]
        return bool(alive) and not any(source.has_store_contact(now) for source in alive)


def choose_relays(boxes: Iterable[BoxAddress]) -> list[BoxAddress]:
    """Return the relays among some boxes: the oldest, of different failure domains first, small
    ones last.

    Those that may schedule come last among their like: of 195 boxes a scheduler answers 975 pings a
    second, a relay 325 subscriptions.
    """
    oldest = sorted(boxes, key=lambda box: (box.small, box.order, box.name))
    ranked = oldest[CANDIDATE_COUNT:] + oldest[:CANDIDATE_COUNT]
    wanted = max(MIN_RELAYS, math.ceil(len(ranked) / MAX_BOXES_PER_RELAY))
    failure_domains: dict[str, int] = {}
    places = []
    for box in ranked:
        place = failure_domains.get(box.failure_domain, 0)
        failure_domains[box.failure_domain] = place + 1
        places.append((box.small, place))
    order = sorted(range(len(ranked)), key=lambda number: (*places[number], number))
    return [ranked[number] for number in order[:wanted]]


def rendezvous_key(box: str, relay: str) -> bytes:
    """Return by what a box orders relays that are alike, so that load spreads over them."""
    return hashlib.blake2b(f'{box}/{relay}'.encode(), digest_size=8).digest()
