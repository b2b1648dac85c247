"""Select the boxes that act as relays, and the relays that a box subscribes to.

With many boxes, one pending watch per kind and box is most of the store's load. So a few boxes in
different failure domains are relays: they watch the store, and the other boxes subscribe to two of
them. A box whose relays are silent, or whose relays the store does not answer, watches the store
itself.
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
"""Minimum number of relays, so that two are left when one fails."""

MIN_BOXES_PER_RELAY = 3
"""With fewer boxes per relay every box watches the store itself: a relay calls the store more than
twice as often as a box that watches only for itself."""

MAX_BOXES_PER_RELAY = 100
"""Maximum number of boxes per relay. Each box subscribes to two, so each relay of a fleet of 195
boxes answers 130 boxes, 2.5 times a second each."""

RELAYS_PER_BOX = 2
"""Relays that a box subscribes to: one may have lost the store without knowing it yet."""

RENEWAL_INTERVAL_S = 0.4
RELAY_TIMEOUT_S = 1.0
"""How often a box renews its subscriptions, and after how long without an answer a relay counts as
silent: two lost messages and some delay."""

MAX_CONTACT_AGE_S = 1.6
"""Maximum age of a relay's last contact with the store; its watches wait up to
`RELAY_WATCH_WAIT_S`. A box whose relays are all cut off without knowing it then watches the store
itself, so that a change is in force in under 2 s."""


class RelayState:
    """Hold what one relay last reported; times are monotonic seconds."""

    def __init__(self) -> None:
        self.heard_at = -math.inf
        self.asked_at = -math.inf
        self.contact: StoreContact = UNKNOWN
        self.direct = False
        self.leaving = False

    def update(self, status: RelayStatus, now: float) -> None:
        """Store a relay's status."""
        self.heard_at = now
        self.contact = status.contact
        self.direct = status.direct
        self.leaving = status.leaving

    def is_alive(self, now: float) -> bool:
        """Tell whether the relay answered recently."""
        return now - self.heard_at < RELAY_TIMEOUT_S

    def contact_now(self, now: float) -> StoreContact:
        """Return the relay's store contact as last reported, aged to `now`."""
        return self.contact.aged_by(now - self.heard_at)

    def is_usable(self, now: float) -> bool:
        """Tell whether this relay delivers the store's changes without delay."""
        if not self.is_alive(now) or not self.direct or self.leaving:
            return False
        return self.has_store_contact(now)

    def has_store_contact(self, now: float) -> bool:
        """Tell whether the store answers the relay, by a report that is not too old."""
        contact = self.contact_now(now)
        return contact.failing_s == 0.0 and contact.age_s < MAX_CONTACT_AGE_S


class RelaySelection:
    """Hold the listed boxes and the state of the relays, for one box.

    A box that `announces` sends its status to boxes that do not subscribe to it. The box that
    `is_first_relay` records in the store which boxes are relays.
    """

    def __init__(self, *, own: BoxAddress) -> None:
        self.own = own
        self.relays: list[BoxAddress] = []
        self.relay_states: dict[str, RelayState] = {}
        self.candidates: list[str] = []
        self.announces = False
        self.is_first_relay = False

    def on_listed(self, boxes: Iterable[BoxAddress]) -> None:
        """Select the relays among the boxes that the store lists."""
        listed = list(boxes)
        chosen = choose_relays(listed)
        self.announces = any(box.name == self.own.name for box in chosen)
        self.is_first_relay = bool(chosen) and chosen[0].name == self.own.name
        self.set_relays(chosen if len(listed) >= MIN_BOXES_PER_RELAY * len(chosen) else [])

    def on_recorded(self, relays: Iterable[BoxAddress]) -> None:
        """Use the relays recorded in the store, until the list of boxes is known."""
        self.set_relays(list(relays))

    def set_relays(self, relays: list[BoxAddress]) -> None:
        """Set which boxes are relays and keep the state of those already known."""
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
        """Tell whether this box follows the store for others, or knows no relay."""
        return not self.candidates or any(box.name == self.own.name for box in self.relays)

    def subscription_targets(self, now: float) -> list[str]:
        """Return the relays to subscribe to: the first candidates, until enough of them are usable.

        Relays asked for the first time count as usable, so that they have time to answer.
        """
        if self.is_relay:
            return []
        found: list[str] = []
        usable_count = 0
        for address in self.candidates:
            state = self.relay_states[address]
            found.append(address)
            usable_count += state.is_usable(now) or state.asked_at == -math.inf
            state.asked_at = now
            if usable_count >= RELAYS_PER_BOX:
                break
        return found

    def on_status(self, status: RelayStatus, now: float) -> None:
        """Store a relay's status; statuses of boxes that are not candidates are ignored."""
        state = self.relay_states.get(status.sender)
        if state is not None:
            state.update(status, now)

    def current_relay(self, now: float) -> RelayState | None:
        """Return the relay through which this box receives the store's changes, or `None`."""
        address = self.current_relay_address(now)
        return None if address is None else self.relay_states[address]

    def current_relay_address(self, now: float) -> str | None:
        """Return the address of the relay in use, or `None`."""
        if self.is_relay:
            return None
        usable = (
            address for address in self.candidates if self.relay_states[address].is_usable(now)
        )
        return next(usable, None)

    def store_fails_relays(self, now: float) -> bool:
        """Tell whether relays answer but the store answers none of them.

        Always false at a relay: other boxes wait for it to report that the store is back.
        """
        if self.is_relay:
            return False
        alive = [state for state in self.relay_states.values() if state.is_alive(now)]
        return bool(alive) and not any(state.has_store_contact(now) for state in alive)


def choose_relays(boxes: Iterable[BoxAddress]) -> list[BoxAddress]:
    """Return the relays among some boxes: oldest first, spread over domains, small ones last.

    Within each group the boxes that may become scheduler come last: with 195 boxes a scheduler
    answers 975 pings a second, a relay 325 subscriptions.
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
    """Return the key by which a box orders equal relays, so that load spreads over them."""
    return hashlib.blake2b(f'{box}/{relay}'.encode(), digest_size=8).digest()
