"""Define the settings of a gateway box."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.exchanges.buffers import DEFAULT_MAX_BYTES, MEMORY_SHARE
from calicopath_core.fleet.store import RecordKind
from calicopath_core.scheduling.starts import NO_OVERAGE, WarmupTerms

if TYPE_CHECKING:
    from calicopath_core.exchanges.budget import BudgetTerms


CALLER_DESCRIPTORS_SHARE = 0.6
"""Share of the file descriptors for connections of callers; the rest are for replicas, peers, the
store and files."""

SMALL_CORES = 0.8
SMALL_LINK_MBPS = 50.0
"""A box below either limit schedules or relays only if no other box can. Scheduling takes 0.2 to
0.3 of a core with 74 boxes; relaying a configuration of 350 routes to 18 boxes takes about
2 Mbit."""


DEFAULT_HEARTBEAT_S = 1.2
HEARTBEATS_TO_EXPIRY = 4
"""A replica's entry expires after three missed heartbeats and some tolerance."""


FORWARD_PORT_OFFSET = 1
"""A box forwards connections at the port after the one for its peers' messages, so that others know
it from the box list."""


class HostPort(NamedTuple):
    """Hold a host and port to listen on or to connect to."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f'{self.host}:{self.port}'


def forward_address(peer_address: str) -> HostPort:
    """Return the address at which the box with a peer address forwards connections."""
    host, _, port = peer_address.rpartition(':')
    return HostPort(host, int(port) + FORWARD_PORT_OFFSET)


class GatewaySettings(NamedTuple):
    """Hold the settings of one box.

    `drain_s` is how long a leaving replica keeps serving, and `stop_grace_s` how long a box may
    take to stop before it is killed. `evacuate_s` is the time within which requests must stop
    reaching a failure domain that is taken out, `None` if evacuations are not used. A replica
    renews its entry every `replica_heartbeat_s`. `warmup` limits how far the rate of a cold replica
    may be exceeded. `memory_mb` is the memory limit, `None` if unknown. `promises_returns` allows
    the overload rule, which tells callers who would be late when to return.
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
    cpu_cores: float
    link_mbps: float
    max_descriptors: int
    evacuate_s: float | None = None
    replica_heartbeat_s: float = DEFAULT_HEARTBEAT_S
    warmup: WarmupTerms = NO_OVERAGE
    promises_returns: bool = False
    memory_mb: float | None = None

    @property
    def max_buffered_bytes(self) -> int:
        """Return how many bytes of answers the box may hold until they are whole."""
        if self.memory_mb is None:
            return DEFAULT_MAX_BYTES
        return int(self.memory_mb * 1_000_000 * MEMORY_SHARE)

    @property
    def followed_kinds(self) -> tuple[RecordKind, ...]:
        """Return the kinds of records that a box follows; each costs one watch at every relay."""
        if self.evacuate_s is not None:
            return tuple(RecordKind)
        return tuple(kind for kind in RecordKind if kind is not RecordKind.EVACUATION)

    @property
    def replica_entry_ttl_s(self) -> float:
        """Return how long the entry of a replica stays after its last heartbeat."""
        return HEARTBEATS_TO_EXPIRY * self.replica_heartbeat_s

    @property
    def max_caller_connections(self) -> int:
        """Return the limit of open connections of callers."""
        return int(self.max_descriptors * CALLER_DESCRIPTORS_SHARE)

    @property
    def is_small(self) -> bool:
        """Return whether the box is too small to schedule or relay for others."""
        return self.cpu_cores < SMALL_CORES or self.link_mbps < SMALL_LINK_MBPS
