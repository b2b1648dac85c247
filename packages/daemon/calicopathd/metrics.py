"""Define the Prometheus metrics of the daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from calicopath_core.execution.requests import CallResult, Observer

if TYPE_CHECKING:
    from calicopath_core.structure.outcomes import Outcome, StageTiming
    from calicopath_core.structure.stages import Plan, StagePlan

LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0]

OUTCOME_LABELS = {'Answered': 'answered', 'Refused': 'refused', 'Failed': 'failed'}


class Metrics(Observer):
    """Hold the metrics, labelled by stage, service and outcome, never by workspace or caller."""

    def __init__(self, *, box: str) -> None:
        self.registry = Registry()
        const_labels = {'box': box}
        self.requests = Counter(
            'calicopath_requests_total',
            'Requests by outcome and reason.',
            const_labels,
            self.registry,
        )
        self.request_seconds = Histogram(
            'calicopath_request_seconds',
            'Time from arrival to the final answer.',
            const_labels,
            self.registry,
            buckets=LATENCY_BUCKETS,
        )
        self.first_token_seconds = Histogram(
            'calicopath_first_token_seconds',
            'Time from arrival to the first token.',
            const_labels,
            self.registry,
            buckets=LATENCY_BUCKETS,
        )
        self.calls = Counter(
            'calicopath_calls_total',
            'Calls to endpoints by service and result.',
            const_labels,
            self.registry,
        )
        self.call_seconds = Counter(
            'calicopath_call_seconds_total',
            'Time that endpoints spent on calls, by service and result.',
            const_labels,
            self.registry,
        )
        self.crashes_recorded = Counter(
            'calicopath_replica_ends_noted_total',
            'Ends of endpoints, counted for each request that ran there.',
            const_labels,
            self.registry,
        )
        self.requests_blocked = Counter(
            'calicopath_requests_blocked_total',
            'Requests that are not sent on since endpoints end under them.',
            const_labels,
            self.registry,
        )
        self.crashes_cleared = Counter(
            'calicopath_crashes_cleared_total',
            'Crashes that stopped counting, as a run completed.',
            const_labels,
            self.registry,
        )
        self.state = Gauge(
            'calicopath_state', 'State of the box, by what is counted.', const_labels, self.registry
        )

    def on_call(self, stage: StagePlan, endpoint: str, served_s: float, result: CallResult) -> None:
        """Count one call to an endpoint and its duration in seconds."""
        labels = {'service': stage.service, 'result': result.value}
        self.calls.inc(labels)
        self.call_seconds.add(labels, served_s)

    def on_first_token(self, plan: Plan, after_s: float) -> None:
        """Record the seconds from arrival to the first token."""
        self.first_token_seconds.observe({}, after_s)

    def on_outcome(
        self, plan: Plan, outcome: Outcome, took_s: float, timings: tuple[StageTiming, ...]
    ) -> None:
        """Count a request by its outcome and record its duration in seconds."""
        name = type(outcome).__name__
        reason = getattr(outcome, 'reason', None)
        self.requests.inc({'outcome': OUTCOME_LABELS[name], 'reason': reason or ''})
        self.request_seconds.observe({'outcome': OUTCOME_LABELS[name]}, took_s)

    def set_state(self, **values: float) -> None:
        """Set gauges of the box's state by name."""
        for name, value in values.items():
            self.state.set({'of': name}, value)

    def render(self) -> tuple[bytes, dict[str, Any]]:
        """Return the metrics in the Prometheus text format, and the HTTP headers for it."""
        return render(self.registry, ['text/plain'])
