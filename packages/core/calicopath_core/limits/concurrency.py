"""Limit the calls that one box has in flight at one endpoint."""

from __future__ import annotations

from abc import ABC, abstractmethod

MIN_LIMIT = 1.0


class ConcurrencyLimit(ABC):
    """Decide how many calls may be in flight at once."""

    @property
    @abstractmethod
    def value(self) -> int:
        """Return the calls allowed in flight, at least one."""

    @abstractmethod
    def on_answer(self, *, first_response_s: float, in_flight: int) -> None:
        """Learn from a call that was answered."""

    @abstractmethod
    def on_overload(self) -> None:
        """Learn from a call that was declined or timed out."""


class FixedLimit(ConcurrencyLimit):
    """Allow a fixed number of calls."""

    def __init__(self, *, limit: int) -> None:
        self.limit = max(1, limit)

    @property
    def value(self) -> int:
        """Return the fixed number."""
        return self.limit

    def on_answer(self, *, first_response_s: float, in_flight: int) -> None:
        """Learn nothing."""

    def on_overload(self) -> None:
        """Learn nothing."""


class GradientLimit(ConcurrencyLimit):
    """Follow the latency gradient, as TCP Vegas does.

    The limit grows by a little while the first response comes about as fast as it does
    unloaded, and shrinks as soon as responses take longer, which means that calls wait at the
    endpoint. It never exceeds the endpoint's concurrency.
    """

    LATENCY_TOLERANCE = 1.5
    """Responses up to this many times the baseline count as unloaded."""

    ALLOWED_JITTER_S = 0.01
    """Responses late by no more than this count as unloaded: network and scheduler do as much."""

    GROWTH = 0.5
    SHRINK_FACTOR = 0.9
    OVERLOAD_SHRINK_FACTOR = 0.7
    BASELINE_DRIFT = 0.01
    """Share by which the baseline follows slower samples, so that it can rise again."""

    START_FACTOR = 2.0
    """A box starts with this many times its even share: too few places at the start make it refuse
    requests for which there is room."""

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
        """Grow when responses are fast and the limit is used; shrink when they are slow."""
        baseline = self.update_baseline(first_response_s)
        if first_response_s > baseline * self.LATENCY_TOLERANCE + self.ALLOWED_JITTER_S:
            self.limit = max(MIN_LIMIT, self.limit * self.SHRINK_FACTOR)
        elif in_flight + 1 >= self.value:
            self.limit = min(float(self.ceiling), self.limit + self.GROWTH / self.limit)

    def update_baseline(self, sample_s: float) -> float:
        """Return the least response time seen, drifting slowly upwards."""
        if self.baseline_s is None or sample_s < self.baseline_s:
            self.baseline_s = sample_s
        else:
            self.baseline_s += (sample_s - self.baseline_s) * self.BASELINE_DRIFT
        return self.baseline_s

    def on_overload(self) -> None:
        """Shrink by a larger step."""
        self.limit = max(MIN_LIMIT, self.limit * self.OVERLOAD_SHRINK_FACTOR)
