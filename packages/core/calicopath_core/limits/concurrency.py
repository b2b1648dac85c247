"""Limit the calls in flight from one box to one endpoint."""

from __future__ import annotations

from abc import ABC, abstractmethod

MIN_LIMIT = 1.0


class ConcurrencyLimit(ABC):
    """Define how many calls may be in flight at once."""

    @property
    @abstractmethod
    def value(self) -> int:
        """Return the number of calls allowed in flight, at least 1."""

    @abstractmethod
    def on_answer(self, *, first_response_s: float, in_flight: int) -> None:
        """Adjust the limit after an answered call; `in_flight` includes it."""

    @abstractmethod
    def on_overload(self) -> None:
        """Adjust the limit after a call that the endpoint declined."""


class FixedLimit(ConcurrencyLimit):
    """Allow a fixed number of calls."""

    def __init__(self, *, limit: int) -> None:
        self.limit = max(1, limit)

    @property
    def value(self) -> int:
        """Return the fixed limit."""
        return self.limit

    def on_answer(self, *, first_response_s: float, in_flight: int) -> None:
        """Do nothing, since the limit is fixed."""

    def on_overload(self) -> None:
        """Do nothing, since the limit is fixed."""


class GradientLimit(ConcurrencyLimit):
    """Adapt the limit to the latency gradient, as TCP Vegas does.

    The limit grows slowly while first responses come about as fast as when unloaded, and shrinks
    when they take longer, which means that calls are queued at the endpoint. It never exceeds the
    endpoint's concurrency.
    """

    LATENCY_TOLERANCE = 1.5
    """Multiple of the baseline up to which a response time counts as unloaded."""

    ALLOWED_JITTER_S = 0.01
    """Extra delay that still counts as unloaded, since network and scheduler cause as much."""

    GROWTH = 0.5
    SHRINK_FACTOR = 0.9
    OVERLOAD_SHRINK_FACTOR = 0.7
    BASELINE_DRIFT = 0.01
    """Weight with which slower samples raise the baseline, so that it can recover."""

    START_FACTOR = 2.0
    """Initial limit as a multiple of the box's even share. A lower one makes a new box refuse
    requests although the endpoint has capacity."""

    def __init__(self, *, concurrency: int, boxes: int) -> None:
        self.ceiling = max(1, concurrency)
        start = self.START_FACTOR * concurrency / max(1, boxes)
        self.limit = min(max(MIN_LIMIT, start), float(self.ceiling))
        self.baseline_s: float | None = None

    @property
    def value(self) -> int:
        """Return the limit, rounded down."""
        return int(self.limit)

    def on_answer(self, *, first_response_s: float, in_flight: int) -> None:
        """Grow if the response was fast and the limit is used up; shrink if it was slow."""
        baseline = self.update_baseline(first_response_s)
        if first_response_s > baseline * self.LATENCY_TOLERANCE + self.ALLOWED_JITTER_S:
            self.limit = max(MIN_LIMIT, self.limit * self.SHRINK_FACTOR)
        elif in_flight + 1 >= self.value:
            self.limit = min(float(self.ceiling), self.limit + self.GROWTH / self.limit)

    def update_baseline(self, sample_s: float) -> float:
        """Update and return the baseline: the lowest response time, drifting slowly upwards."""
        if self.baseline_s is None or sample_s < self.baseline_s:
            self.baseline_s = sample_s
        else:
            self.baseline_s += (sample_s - self.baseline_s) * self.BASELINE_DRIFT
        return self.baseline_s

    def on_overload(self) -> None:
        """Shrink by `OVERLOAD_SHRINK_FACTOR`."""
        self.limit = max(MIN_LIMIT, self.limit * self.OVERLOAD_SHRINK_FACTOR)
