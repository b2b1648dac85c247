"""Observe how fast work arrives for each stage, and forecast it for the next seconds."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from calicopath_core.scheduling.fairness import AverageRate

if TYPE_CHECKING:
    from calicopath_core.scheduling.messages import PlaceJob

RECENT_WINDOW_S = 1.0
"""Averaging window of the rates. It must be shorter than the time for which a caller can be sent
away, and long enough to average over clusters of requests."""


class ArrivalRates:
    """Hold the pieces per second that new requests bring, by service and priority."""

    def __init__(self) -> None:
        self.started_at: float | None = None
        self.rates: dict[str, dict[int, AverageRate]] = {}

    def add(self, place: PlaceJob, now: float) -> None:
        """Record a new request."""
        if self.started_at is None:
            self.started_at = now
        for phase in place.phases:
            if phase.pieces:
                by_priority = self.rates.setdefault(phase.service, {})
                rate = by_priority.get(place.priority)
                if rate is None:
                    rate = by_priority[place.priority] = AverageRate(window_s=RECENT_WINDOW_S)
                rate.add(phase.pieces, now)

    def up_to(self, service: str, priority: int, now: float) -> float:
        """Return the pieces per second of requests of a priority and of more urgent ones."""
        return self.sum_rates(service, now, below=priority + 1)

    def all(self, service: str, now: float) -> float:
        """Return the pieces per second of all requests."""
        return self.sum_rates(service, now, below=math.inf)

    def sum_rates(self, service: str, now: float, *, below: float) -> float:
        """Return the pieces per second of the requests whose priority is below a number."""
        rates = self.rates.get(service, {})
        total = sum(rate.value_at(now) for level, rate in rates.items() if level < below)
        return total / self.observed_share(now)

    def observed_share(self, now: float) -> float:
        """Return the share of the window that this scheduler has observed."""
        seen_s = now - self.started_at if self.started_at is not None else 0.0
        return max(0.1, 1 - math.exp(-seen_s / RECENT_WINDOW_S))
