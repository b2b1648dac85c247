"""Keep what a box knows of one endpoint."""

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
"""Factor by which a failed call makes an endpoint look slower; each answer takes it back."""

DECAY_TIME_S = 10.0
"""Time in which what was learnt fades when no call tells more, so that a replica is tried again."""

MAX_BACKOFF_S = 60.0
"""The longest pause that is kept to; an endpoint that asks for more is called again after this, and
operators who want it left alone drain it."""

SLOWNESS_WEIGHT = 0.2
"""Weight of a new sample in the moving average."""


class DecayingFactor:
    """Hold a factor that fades to one when nothing tells more."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.initial = 1.0
        self.set_at = clock.monotonic()

    @property
    def value(self) -> float:
        """Return the factor as it is now."""
        age_s = self.clock.monotonic() - self.set_at
        return 1.0 + (self.initial - 1.0) * math.exp(-age_s / DECAY_TIME_S)

    def set(self, value: float) -> None:
        """Hold a new factor from now on."""
        self.initial = value
        self.set_at = self.clock.monotonic()


class Replica:
    """Hold this box's calls in flight at an endpoint, its health and slowness.

    Slowness is the average of how many times longer than expected its answered calls take. The
    penalty grows with calls that fail: the choice heeds both, estimates of time only the first,
    since calls also fail when everything is overloaded.
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
        """Learn from an answered call that should have taken `expected_s` unloaded."""
        slowness = self.slowness.value
        self.slowness.set(slowness + (served_s / expected_s - slowness) * SLOWNESS_WEIGHT)
        self.penalty.set(max(1.0, self.penalty.value / FAILURE_PENALTY))
        self.limit.on_answer(first_response_s=first_response_s, in_flight=self.in_flight)

    def on_failure(self) -> None:
        """Learn from a failed call, which has no service time of its own."""
        self.penalty.set(min(MAX_PENALTY, self.penalty.value * FAILURE_PENALTY))

    def on_declined(self, backoff_s: float, now: float) -> None:
        """Learn from a call that the endpoint would not take; it may ask for a pause."""
        self.limit.on_overload()
        self.backoff_until = max(self.backoff_until, now + min(backoff_s, MAX_BACKOFF_S))

    def backoff_left_s(self, now: float) -> float:
        """Return for how long the endpoint wants nothing yet."""
        return max(0.0, self.backoff_until - now)

    def has_free_slot(self) -> bool:
        """Tell whether the limit allows one more call."""
        return self.in_flight < self.limit.value
