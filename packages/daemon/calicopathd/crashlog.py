"""Log and count the requests during which replicas crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import structlog

from calicopath_core.crashes.ledger import CrashObserver
from calicopathd import events

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aioprometheus.collectors import Counter

    from calicopath_core.crashes.ledger import Block
    from calicopath_core.crashes.suspects import SuspectKey

log = structlog.get_logger(__name__)


class CrashCounters(Protocol):
    """Hold the counters of replica crashes during requests and of blocked requests."""

    crashes_recorded: Counter
    requests_blocked: Counter
    crashes_cleared: Counter


class CrashLog(CrashObserver):
    """Log each change of the crash ledger and update the counters."""

    def __init__(self, *, counters: CrashCounters) -> None:
        self.counters = counters

    def on_evidence(self, key: SuspectKey, replicas: Iterable[str], source: str) -> None:
        """Log replicas that crashed during a request and count them."""
        crashed = sorted(replicas)
        self.counters.crashes_recorded.add({'service': key.service}, len(crashed))
        events.emit(
            log,
            events.REPLICA_CRASHED_DURING_REQUEST,
            content=key.content,
            service=key.service,
            replicas=crashed,
            source=source,
        )

    def on_blocked(self, blocked: Block, now: float) -> None:
        """Log and count a request that is blocked from now on."""
        self.counters.requests_blocked.inc({'service': blocked.key.service})
        events.emit(
            log,
            events.REQUEST_BLOCKED,
            content=blocked.key.content,
            service=blocked.key.service,
            replicas=list(blocked.replicas),
            blocks=sorted(key.content for key in blocked.keys),
            spared=[key.content for key in blocked.spared],
            for_s=round(blocked.until - now),
        )

    def on_cleared(self, key: SuspectKey, crashes: int, source: str) -> None:
        """Log and count crashes that no longer count since a run of the request completed."""
        self.counters.crashes_cleared.add({'service': key.service}, crashes)
        events.emit(
            log,
            events.CRASHES_CLEARED,
            content=key.content,
            service=key.service,
            crashes=crashes,
            source=source,
        )

    def on_unblocked(self, key: SuspectKey, reason: str) -> None:
        """Log that a request is no longer blocked."""
        events.emit(
            log, events.REQUEST_UNBLOCKED, content=key.content, service=key.service, reason=reason
        )
