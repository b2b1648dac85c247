"""Log and count the results of connection attempts to replicas."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import structlog

from calicopath_core.fleet.reachability import ConnectResult, ReachabilityObserver
from calicopathd import events

if TYPE_CHECKING:
    from calicopathd.gateway.metrics import GatewayMetrics

log = structlog.get_logger(__name__)


class ConnectLog(ReachabilityObserver):
    """Count each attempt, and log when a box reaches no replica and when it does again."""

    def __init__(self, *, metrics: GatewayMetrics) -> None:
        self.metrics = metrics

    def on_connect_result(self, address: str, result: ConnectResult) -> None:
        """Count the result of an attempt to connect to a replica."""
        self.metrics.replica_connects.inc({'result': result.value})

    def on_partitioned(self, results: dict[str, ConnectResult]) -> None:
        """Log that this box opens no connection to any of some replicas."""
        counts = Counter(result.value for result in results.values())
        events.emit(
            log, events.REPLICAS_UNREACHABLE, replicas=sorted(results), results=dict(counts)
        )

    def on_connected_again(self, address: str, partitioned_s: float) -> None:
        """Log the first connection that opens after a partition."""
        events.emit(
            log,
            events.REPLICAS_REACHABLE,
            replica=address,
            unreachable_ms=round(partitioned_s * 1000),
        )
