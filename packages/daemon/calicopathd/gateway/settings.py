"""Define what a box that passes exchanges through must be told."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.store import RecordKind
from calicopath_core.scheduling.starts import NO_OVERAGE, WarmupTerms

if TYPE_CHECKING:
    from calicopath_core.exchanges.budget import RetryBudgetTerms


CALLER_DESCRIPTORS_SHARE = 0.6
"""The part of the descriptors that connections of callers may take; the rest are for replicas,
peers, the store and files."""

SMALL_CORES = 0.8
SMALL_LINK_MBPS = 50.0
"""A box with less than this works for others only if no other box can: scheduling took 0.2 to 0.3
of a core at 74 boxes, and handing a configuration of 350 routes on to 18 boxes some 2 Mbit."""


DEFAULT_HEARTBEAT_S = 1.2
HEARTBEATS_TO_EXPIRY = 4
"""An entry goes after three beats of silence, and something in between."""


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
    take to stop before it is killed, `evacuate_s` how soon nothing more may reach a failure domain
    that is taken out; there is none where operators do not take failure domains out. A replica
    writes its entry each `replica_beat_s`. `warmup` says how far the rate may be passed that a cold
    replica bears.
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
    retry_budget: RetryBudgetTerms
    cpu_cores: float
    link_mbps: float
    max_descriptors: int
    evacuate_s: float | None = None
    replica_heartbeat_s: float = DEFAULT_HEARTBEAT_S
    warmup: WarmupTerms = NO_OVERAGE

    @property
    def followed_kinds(self) -> tuple[RecordKind, ...]:
        """Return the kinds of records that a box follows: a watch each at every relay."""
        if self.evacuate_s is not None:
            return tuple(RecordKind)
        return tuple(kind for kind in RecordKind if kind is not RecordKind.EVACUATION)

    @property
    def replica_entry_ttl_s(self) -> float:
        """Return how long the entry of a replica stands that has ended."""
        return HEARTBEATS_TO_EXPIRY * self.replica_heartbeat_s

    @property
    def max_caller_connections(self) -> int:
        """Return how many connections of callers a box holds at once."""
        return int(self.max_descriptors * CALLER_DESCRIPTORS_SHARE)

    @property
    def is_small(self) -> bool:
        """Tell whether the box has too little to work for others."""
        return self.cpu_cores < SMALL_CORES or self.link_mbps < SMALL_LINK_MBPS
