"""Track the load, health and speed of one endpoint as seen by this box."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from calicopath_core.routing.outliers import Health

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopath_core.limits.concurrency import ConcurrencyLimit
    from calicopath_core.structure.endpoints import Endpoint

MAX_PENALTY = 20.0
FAILURE_PENALTY = 1.5
"""Factor by which a failed call raises an endpoint's penalty, and an answer lowers it."""

DECAY_TIME_S = 10.0
"""Time constant with which factors decay without new samples, so that a replica is tried again."""

MAX_BACKOFF_S = 60.0
"""Longest backoff that is respected. An endpoint that asks for more is called again after this;
operators can drain it to stop calls for longer."""

SLOWNESS_WEIGHT = 0.2
"""Weight of a new sample in the moving average of slowness."""


class DecayingFactor:
    """Hold a factor that decays to 1 without new samples."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.set_value = 1.0
        self.set_at = clock.monotonic()

    @property
    def value(self) -> float:
        """Return the current factor."""
        age_s = self.clock.monotonic() - self.set_at
        return 1.0 + (self.set_value - 1.0) * math.exp(-age_s / DECAY_TIME_S)

    def set(self, value: float) -> None:
        """Set the factor; its decay starts anew."""
        self.set_value = value
        self.set_at = self.clock.monotonic()


class Replica:
    """Track this box's calls in flight at an endpoint, its health and its slowness.

    `slowness` is the moving average of actual to expected service time of answered calls. `penalty`
    grows with failed calls. The selector uses both; time estimates use only `slowness`, since calls
    also fail when all endpoints are overloaded.
    """

    def __init__(self, *, endpoint: Endpoint, limit: ConcurrencyLimit, clock: Clock) -> None:
        self.endpoint = endpoint
        self.limit = limit
        self.health = Health()
        self.in_flight = 0
        self.backoff_until = -math.inf
        self.slowness = DecayingFactor(clock=clock)
        self.penalty = DecayingFactor(clock=clock)

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.endpoint.name

    def on_answer(self, *, first_response_s: float, served_s: float, expected_s: float) -> None:
        """Record an answered call; `expected_s` is its service time when unloaded."""
        slowness = self.slowness.value
        self.slowness.set(slowness + (served_s / expected_s - slowness) * SLOWNESS_WEIGHT)
        self.penalty.set(max(1.0, self.penalty.value / FAILURE_PENALTY))
        self.limit.on_answer(first_response_s=first_response_s, in_flight=self.in_flight)

    def on_failure(self) -> None:
        """Record a failed call, which raises only the penalty, having no service time."""
        self.penalty.set(min(MAX_PENALTY, self.penalty.value * FAILURE_PENALTY))

    def on_declined(self, backoff_s: float, now: float) -> None:
        """Record a declined call and the backoff that the endpoint asked for, if any."""
        self.limit.on_overload()
        self.backoff_until = max(self.backoff_until, now + min(backoff_s, MAX_BACKOFF_S))

    def backoff_left_s(self, now: float) -> float:
        """Return the seconds until the endpoint's backoff ends, 0 if it has none."""
        return max(0.0, self.backoff_until - now)

    def has_free_slot(self) -> bool:
        """Return whether the concurrency limit allows one more call."""
        return self.in_flight < self.limit.value
