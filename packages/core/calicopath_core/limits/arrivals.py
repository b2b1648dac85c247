"""Measure the arrival rate of requests of each priority."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from calicopath_core.clock import Clock

WINDOW_S = 2.0
"""Time constant of the exponential average of the rates."""


class ArrivalRates:
    """Keep an exponentially decaying count of arrivals per priority."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.counts: dict[int, float] = {}
        self.updated_at = 0.0

    def count(self, priority: int) -> None:
        """Count the arrival of a request."""
        self.decay()
        self.counts[priority] = self.counts.get(priority, 0.0) + 1.0

    def decay(self) -> None:
        """Decay all counts to the current time."""
        now = self.clock.monotonic()
        factor = math.exp(-(now - self.updated_at) / WINDOW_S)
        self.updated_at = now
        for priority in self.counts:
            self.counts[priority] *= factor

    def rate_above(self, priority: int) -> float:
        """Return the arrivals per second of all priorities above `priority`."""
        self.decay()
        return sum(count for level, count in self.counts.items() if level > priority) / WINDOW_S
