"""Tell a box that reaches no replica from replicas that are down.

A connection that can't be opened says only that there is no path from this box. If none opens to
any of several replicas, the box is more likely to be partitioned than all of them to be down.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock

MIN_UNREACHABLE = 3
"""Replicas to which no connection opens before the box counts as partitioned."""

FAILURE_TTL_S = 5.0
"""How long a failed attempt counts without another one to the same replica."""


ISOLATION_TTL_S = 1.0
"""How long the box counts as isolated after an attempt over all paths has failed."""


class ConnectResult(enum.Enum):
    """Name the result of an attempt to open a connection."""

    OPENED = 'opened'
    REFUSED = 'refused'
    TIMED_OUT = 'timed-out'
    FAILED = 'failed'


class ReachabilityObserver(ABC):
    """Receive the results of connection attempts, for logs and metrics."""

    @abstractmethod
    def on_connect_result(self, address: str, result: ConnectResult) -> None:
        """Handle the result of an attempt to connect to a replica."""

    @abstractmethod
    def on_partitioned(self, results: dict[str, ConnectResult]) -> None:
        """Handle that this box opens no connection to any of some replicas, by address."""

    @abstractmethod
    def on_connected_again(self, address: str, partitioned_s: float) -> None:
        """Handle the first connection that opens after a partition of `partitioned_s` seconds."""


class ReplicaReachability:
    """Track the replicas to which no connection opens from this box; times are monotonic."""

    def __init__(self, *, clock: Clock, observer: ReachabilityObserver) -> None:
        self.clock = clock
        self.observer = observer
        self.failures: dict[str, tuple[ConnectResult, float]] = {}
        self.partitioned_at: float | None = None
        self.isolated_at: float | None = None
        self.on_partitioned: Callable[[dict[str, ConnectResult]], None] = lambda results: None
        self.on_connected_again: Callable[[], None] = lambda: None

    @property
    def is_partitioned(self) -> bool:
        """Return whether connections to several replicas fail and none has opened since."""
        return self.partitioned_at is not None

    @property
    def is_isolated(self) -> bool:
        """Return whether neither this box nor those that it asked reach any replica."""
        return (
            self.isolated_at is not None
            and self.clock.monotonic() - self.isolated_at < ISOLATION_TTL_S
        )

    def on_no_path(self) -> None:
        """Record that no path led to a replica, neither from here nor through other boxes."""
        if self.is_partitioned:
            self.isolated_at = self.clock.monotonic()

    def on_forwarded(self) -> None:
        """Record a connection that opened through another box."""
        self.isolated_at = None

    def on_connect(self, address: str, result: ConnectResult) -> None:
        """Record the result of an attempt to connect to a replica."""
        now = self.clock.monotonic()
        self.observer.on_connect_result(address, result)
        if result is ConnectResult.OPENED:
            self.on_opened(address, now)
        else:
            self.on_failed(address, result, now)

    def on_silent(self, address: str) -> None:
        """Record an open connection that ended because the replica acknowledged nothing."""
        self.on_failed(address, ConnectResult.TIMED_OUT, self.clock.monotonic())

    def on_failed(self, address: str, result: ConnectResult, now: float) -> None:
        """Record a replica that this box does not reach."""
        self.failures[address] = (result, now)
        if self.partitioned_at is None and len(self.current_failures(now)) >= MIN_UNREACHABLE:
            self.partitioned_at = now
            results = {key: item[0] for key, item in self.failures.items()}
            self.observer.on_partitioned(results)
            self.on_partitioned(results)

    def on_opened(self, address: str, now: float) -> None:
        """Record a connection that opened: this box is not partitioned."""
        self.failures.clear()
        self.isolated_at = None
        if self.partitioned_at is not None:
            partitioned_s = now - self.partitioned_at
            self.partitioned_at = None
            self.observer.on_connected_again(address, partitioned_s)
            self.on_connected_again()

    def current_failures(self, now: float) -> dict[str, tuple[ConnectResult, float]]:
        """Return the replicas whose last attempt failed, without outdated ones."""
        self.failures = {
            address: item
            for address, item in self.failures.items()
            if now - item[1] < FAILURE_TTL_S
        }
        return self.failures
