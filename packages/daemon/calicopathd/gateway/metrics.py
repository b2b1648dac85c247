"""Define the Prometheus metrics of a gateway box."""

from __future__ import annotations

from typing import Any

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6, 2.5, 3.6, 5.0, 10.0]
"""In seconds; includes the latency objectives of users."""


class GatewayMetrics:
    """Hold the metrics. Labels are kinds, services and outcomes, never workspaces or callers."""

    def __init__(self, *, box: str) -> None:
        self.registry = Registry()
        self.const_labels = {'box': box}
        self.exchanges = self.counter('exchanges_total', 'Exchanges by route kind and outcome.')
        self.exchange_seconds = self.histogram('exchange_seconds', 'Time to the whole answer.')
        self.first_byte_seconds = self.histogram('first_event_seconds', 'Time to the first event.')
        self.attempts_failed = self.counter(
            'attempts_failed_total', 'Failed attempts by service and failure.'
        )
        self.answers_lost = self.counter(
            'answers_lost_total',
            'Requests that may have run and were not answered, by kind and what ended them.',
        )
        self.streams_resumed = self.counter(
            'streams_resumed_total',
            'Streams that a replica continued, by who resumed them and whose version it has.',
        )
        self.crashes_recorded = self.counter(
            'replica_ends_noted_total', 'Ends of replicas, counted for each request that ran there.'
        )
        self.requests_blocked = self.counter(
            'requests_blocked_total', 'Requests that are not sent on since replicas end under them.'
        )
        self.crashes_cleared = self.counter(
            'crashes_cleared_total', 'Crashes that stopped counting, as a run completed.'
        )
        self.blocked_refused = self.counter(
            'blocked_refusals_total', 'Refusals of requests under which replicas end.'
        )
        self.replicas_leaving = self.counter(
            'replicas_leaving_total', 'Replicas whose answers told this box that they leave.'
        )
        self.replicas_replaced = self.counter(
            'replicas_over_total', 'Replicas at whose addresses others have answered.'
        )
        self.backoffs = self.counter(
            'replica_backoffs_total', 'Times that a replica wanted nothing from this box.'
        )
        self.limits_advertised = self.counter(
            'replica_limits_named_total',
            'Times that a replica named how much it takes, or another.',
        )
        self.permits = self.counter(
            'permits_total', 'Permits to call limited replicas that this box has lent or refused.'
        )
        self.bad_notices = self.counter(
            'notices_bad_total', 'Answers that ask for a pause which can not be read.'
        )
        self.bad_load_reports = self.counter(
            'load_reports_bad_total', 'Answers whose load report has an invalid figure, by service.'
        )
        self.replica_pace_changes = self.counter(
            'replica_pace_changes_total', 'Replicas that became lastingly slow, or recovered.'
        )
        self.calls_held_back = self.counter(
            'calls_held_back_total', 'Calls not sent as their replica must not get them, by bar.'
        )
        self.replicas_skipped = self.counter(
            'replicas_passed_over_total', 'Replicas chosen for requests that must not get them.'
        )
        self.answers_too_large = self.counter(
            'answers_too_large_total', 'Answers of more bytes than their call may have, by part.'
        )
        self.removals_held = self.counter(
            'removals_held_total', 'Removals of replicas delayed after an outage, by service.'
        )
        self.replica_connects = self.counter(
            'replica_connects_total', 'Attempts to connect to replicas by result.'
        )
        self.stage_calls = self.counter('stage_calls_total', 'Stage calls by service and result.')
        self.stage_pieces = self.counter('stage_pieces_total', 'Pieces in stage calls by service.')
        self.stage_seconds = self.histogram('stage_call_seconds', 'Time of a stage call.')
        self.jobs_placed = self.counter('jobs_placed_total', 'Jobs that this box has placed.')
        self.jobs_rejected = self.counter('jobs_rejected_total', 'Jobs not placed, by reason.')
        self.jobs_shed = self.counter(
            'jobs_shed_total', 'Requests that this box, as scheduler, was too busy to decide about.'
        )
        self.jobs_unanswered = self.counter(
            'jobs_unanswered_total', 'Requests refused because their scheduler did not answer.'
        )
        self.placements_unwanted = self.counter(
            'placements_unwanted_total', 'Placements received for requests that were over.'
        )
        self.reservations = self.counter(
            'reservations_total', 'Reservations for callers who return, by what became of them.'
        )
        self.jobs_beyond_capacity = self.counter(
            'jobs_beyond_capacity_total', 'Jobs admitted that their stages would finish late.'
        )
        self.requests_charged = self.counter(
            'requests_charged_total', 'Requests charged to shares of workspaces, by result.'
        )
        self.scheduler_changes = self.counter(
            'scheduler_changes_total', 'Times that another box was taken for the scheduler.'
        )
        self.forged_headers = self.counter(
            'forged_headers_total', 'Headers of callers that only the system may set; dropped.'
        )
        self.bad_objects = self.counter(
            'objects_bad_total', 'Objects of the store that could not be understood, by kind.'
        )
        self.listings_dropped = self.counter(
            'listings_dropped_total', 'Lists of the store older than what is held, by kind.'
        )
        self.store_calls = self.counter('store_calls_total', 'Calls to the store by cause.')
        self.state = Gauge(
            'calicopath_gateway_state', 'State of the box.', self.const_labels, self.registry
        )

    def counter(self, name: str, doc: str) -> Counter:
        """Return a new counter with the common prefix and labels."""
        return Counter(f'calicopath_{name}', doc, self.const_labels, self.registry)

    def histogram(self, name: str, doc: str) -> Histogram:
        """Return a new histogram in seconds with the common prefix and labels."""
        return Histogram(
            f'calicopath_{name}', doc, self.const_labels, self.registry, buckets=LATENCY_BUCKETS
        )

    def on_exchange(
        self, kind: str, outcome: str, duration_s: float, first_byte_s: float | None
    ) -> None:
        """Record one exchange; `first_byte_s` is `None` if no response was started."""
        self.exchanges.inc({'kind': kind, 'outcome': outcome})
        self.exchange_seconds.observe({'kind': kind}, duration_s)
        if first_byte_s is not None:
            self.first_byte_seconds.observe({}, first_byte_s)

    def on_stage_call(self, service: str, pieces: int, duration_s: float, ok: bool) -> None:
        """Record one stage call."""
        self.stage_calls.inc({'service': service, 'result': 'ok' if ok else 'failed'})
        self.stage_pieces.add({'service': service}, pieces)
        self.stage_seconds.observe({'service': service}, duration_s)

    def set_state(self, **values: float) -> None:
        """Set state gauges by their names."""
        for name, value in values.items():
            self.state.set({'of': name}, value)

    def render(self) -> tuple[bytes, dict[str, Any]]:
        """Return the metrics in the text format, with the HTTP headers for it."""
        return render(self.registry, ['text/plain'])
