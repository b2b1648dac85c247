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

UNAVAILABLE_S = 1.0
"""How long a box that did not forward a connection is asked after the others."""


class Forwarders:
    """Rank the other boxes: the last one that forwarded, then those of this failure domain.

    `boxes` returns the listed boxes without this one and without those known to leave. Times are
    monotonic seconds.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        failure_domain: str,
        boxes: Callable[[], Iterable[BoxAddress]],
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.failure_domain = failure_domain
        self.boxes = boxes
        self.last_used = ''
        self.unavailable_until: dict[str, float] = {}

    def choose(self) -> list[str]:
        """Return the addresses of up to `MAX_FORWARDERS` boxes, best first.

        The second choice is in another failure domain: a partition often hits a whole one.
        """
        now = self.clock.monotonic()
        boxes = list(self.boxes())
        self.rng.shuffle(boxes)
        boxes.sort(key=lambda box: self.rank(box, now))
        found = boxes[:1]
        others = [box for box in boxes[1:] if box.failure_domain != self.failure_domain]
        found += others[:1]
        found += [box for box in boxes if box not in found][: MAX_FORWARDERS - len(found)]
        return [box.address for box in found]

    def rank(self, box: BoxAddress, now: float) -> tuple[bool, bool, bool]:
        """Return the sort key of a box; the least is asked first."""
        return (
            self.unavailable_until.get(box.address, now) > now,
            box.address != self.last_used,
            box.failure_domain != self.failure_domain,
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
