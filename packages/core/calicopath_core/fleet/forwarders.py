"""Choose the boxes that connect to replicas for a box that can't."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.scheduling.election import BoxAddress

MAX_FORWARDERS = 3
"""Boxes that are asked for one connection."""

MAX_RANKED = 16
"""Boxes drawn from a large fleet for one choice, so that its cost stays bounded."""

UNAVAILABLE_S = 1.0
"""How long a box that did not forward a connection is asked after the others."""


class Forwarders:
    """Rank the other boxes: the last one that forwarded, then those of this failure domain.

    `boxes` returns the listed boxes without this one and without those known to leave, and
    `address_of` the address at which a box forwards. Times are monotonic seconds.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        failure_domain: str,
        boxes: Callable[[], Iterable[BoxAddress]],
        address_of: Callable[[BoxAddress], str],
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.failure_domain = failure_domain
        self.boxes = boxes
        self.address_of = address_of
        self.last_used = ''
        self.unavailable_until: dict[str, float] = {}

    def choose(self) -> list[str]:
        """Return the addresses of up to `MAX_FORWARDERS` boxes, best first.

        The second choice is in another failure domain: a partition often hits a whole one.
        """
        now = self.clock.monotonic()
        listed = list(self.boxes())
        sampled = self.rng.sample(listed, min(MAX_RANKED, len(listed)))
        boxes = [(self.address_of(box), box.failure_domain) for box in sampled]
        if self.last_used and all(address != self.last_used for address, _ in boxes):
            boxes.append((self.last_used, self.failure_domain))
        boxes.sort(key=lambda box: self.rank(box[0], box[1], now))
        found = boxes[:1]
        others = [box for box in boxes[1:] if box[1] != self.failure_domain]
        found += others[:1]
        found += [box for box in boxes if box not in found][: MAX_FORWARDERS - len(found)]
        return [address for address, _ in found]

    def rank(self, address: str, failure_domain: str, now: float) -> tuple[bool, bool, bool]:
        """Return the sort key of a box; the least is asked first."""
        return (
            self.unavailable_until.get(address, now) > now,
            address != self.last_used,
            failure_domain != self.failure_domain,
        )

    def on_forwarded(self, address: str) -> None:
        """Record that a box has opened a connection for this one."""
        self.last_used = address
        self.unavailable_until.pop(address, None)

    def on_unavailable(self, address: str) -> None:
        """Record that a box did not open a connection, for a reason of its own."""
        now = self.clock.monotonic()
        self.unavailable_until = {
            key: until for key, until in self.unavailable_until.items() if until > now
        }
        self.unavailable_until[address] = now + UNAVAILABLE_S
        if self.last_used == address:
            self.last_used = ''
