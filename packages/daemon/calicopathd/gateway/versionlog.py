"""Log and count streams that are resumed, and the versions at which streams may begin."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from calicopathd import events

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeState
    from calicopath_core.fleet.replicas import Replica
    from calicopathd.gateway.metrics import GatewayMetrics

log = structlog.get_logger(__name__)


class VersionLog:
    """Write a log line for each event about the versions of streams, and count it."""

    metrics: GatewayMetrics

    def on_stream_resumed(
        self, state: ExchangeState, replica: Replica, begun_by: str | None, source: str
    ) -> None:
        """Log and count a stream that a replica continues; `source` showed who began it."""
        by = 'box' if state.first_byte_at is not None else 'caller'
        version = 'same' if begun_by == replica.version else 'other'
        self.metrics.streams_resumed.inc({'by': by, 'version': version})
        events.emit(
            log,
            events.STREAM_RESUMED,
            request=state.exchange.call_id,
            resumes=state.exchange.resumed_call_id,
            by=by,
            replica=replica.id,
            version=replica.version,
            begun_by=begun_by,
            source=source,
        )

    def on_version_unknown(self, state: ExchangeState, waited_s: float) -> None:
        """Log and count a stream that is not resumed because its version is unknown."""
        self.metrics.streams_resumed.inc({'by': 'caller', 'version': 'unknown'})
        events.emit(
            log,
            events.VERSION_UNKNOWN,
            request=state.exchange.call_id,
            resumes=state.exchange.resumed_call_id,
            last_event_id=state.exchange.last_event_id,
            service=state.service,
            waited_ms=round(waited_s * 1000),
        )

    def on_versions_declared(self, versions: dict[str, frozenset[str]]) -> None:
        """Log the versions at which streams may begin."""
        declared = {service: sorted(names) for service, names in versions.items()}
        events.emit(log, events.VERSIONS_DECLARED, versions=declared)

    def on_stream_records_failed(self, error: Exception) -> None:
        """Log that the stored versions and records could not be accessed."""
        events.emit(log, events.STREAM_RECORDS_UNAVAILABLE, error=str(error))
