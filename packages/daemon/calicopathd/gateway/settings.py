"""Define what a box that passes exchanges through must be told."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from calicopath_core.exchanges.budget import BudgetTerms


class HostPort(NamedTuple):
    """Hold an address to listen on or to call."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form in which it is written."""
        return f'{self.host}:{self.port}'


class GatewaySettings(NamedTuple):
    """Hold the settings of one box; spans are in seconds.

    `drain_s` is how long a replica that leaves goes on serving, `stop_grace_s` how long a box may
    take to stop before it is killed.
    """

    box: str
    ip: str
    failure_domain: str
    exchange_listen: HostPort
    ready_listen: HostPort
    peer_listen: HostPort
    metrics_listen: HostPort
    store: HostPort
    drain_s: float
    stop_grace_s: float
    retry_budget: BudgetTerms
