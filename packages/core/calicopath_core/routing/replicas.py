"""Keep what a box knows of one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.routing.outliers import Health

if TYPE_CHECKING:
    from calicopath_core.limits.concurrency import ConcurrencyLimit
    from calicopath_core.structure.calls import LoadReport
    from calicopath_core.structure.endpoints import Endpoint

LATENCY_WEIGHT = 0.2
"""Weight of a new sample in the moving average."""


class Replica:
    """Hold an endpoint's calls in flight (exact), reported load, health and slowness.

    `slowness` is the average of how many times longer than expected its calls take.
    """

    def __init__(self, *, endpoint: Endpoint, limit: ConcurrencyLimit) -> None:
        self.endpoint = endpoint
        self.limit = limit
        self.health = Health()
        self.in_flight = 0
        self.slowness = 1.0
        self.report: LoadReport | None = None
        self.own_at_report = 0
        self.reported_at = 0.0

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.endpoint.name

    def has_room(self) -> bool:
        """Tell whether the limit allows one more call."""
        return self.in_flight < self.limit.value

    def on_answer(self, *, first_response_s: float, served_s: float, expected_s: float) -> None:
        """Learn from an answered call that should have taken `expected_s` unloaded."""
        self.slowness += (served_s / expected_s - self.slowness) * LATENCY_WEIGHT
        self.limit.on_answer(first_response_s=first_response_s, in_flight=self.in_flight)

    def on_report(self, report: LoadReport, now: float) -> None:
        """Take a load report in; it holds this box's own calls too."""
        self.report = report
        self.own_at_report = self.in_flight
        self.reported_at = now

    def others_in_flight(self, now: float, max_age_s: float) -> float:
        """Estimate the calls of other boxes; an old report counts for less and less."""
        if self.report is None:
            return 0.0
        age = now - self.reported_at
        if age >= max_age_s:
            return 0.0
        others = self.report.running + self.report.waiting - self.own_at_report
        return max(0.0, others) * (1.0 - age / max_age_s)
