"""Divide the connections that replicas accept among the boxes, following their use.

Half of the connections are divided evenly, so that each box has some without asking. The scheduler
lends the other half to the boxes that need more: a box reports with each ping how many it wants,
and the answer says how many it may open. What is lent is not lent again until the lease of the box
has expired, which counts it from when it asked.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from calicopath_core.clock import Clock

USABLE_RATIO = 0.8
"""Part of a replica's connections that all boxes may use together. A restarted box opens new
connections while the replica still holds its old ones."""

EVEN_RATIO = 0.5
"""Part of the usable connections that is divided evenly."""

UNKNOWN_SERVICE_CONNECTIONS = 4
"""Connections to a replica whose service is not known: for a stage call, for a call that frees
results, and for reports."""

LEASE_S = 1.0
"""How long a box may use what was lent; pings renew it five times in this time."""

MIN_USE_RATIO = 0.5
"""Part of its share from which a box asks for more connections."""

GROWTH_FACTOR = 2.0
MIN_GROWTH = 2.0
"""A box asks for this multiple of the connections in use, or for so many more: the number may
double between two pings."""


def even_share(max_connections: int, boxes: int) -> int:
    """Return how many connections to one replica each box may always open."""
    return max(1, int(max_connections * USABLE_RATIO * EVEN_RATIO / max(1, boxes)))


class Lease(NamedTuple):
    """Hold connections lent beyond the even share, and until when, in monotonic seconds."""

    connections: int
    expires_at: float


class ConnectionShares:
    """Track how many connections to each replica of a service this box may open.

    `max_connections_of` returns what one replica of a service accepts, `box_count` the number of
    boxes, `service_of` the service at an address, `replica_count` the number of replicas that a
    service has. `in_use` returns the open connections by address.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        max_connections_of: Callable[[str], int | None],
        box_count: Callable[[], int],
        service_of: Callable[[str], str | None],
        replica_count: Callable[[str], int],
    ) -> None:
        self.replica_count = replica_count
        self.clock = clock
        self.max_connections_of = max_connections_of
        self.box_count = box_count
        self.service_of = service_of
        self.in_use: Callable[[], Mapping[str, int]] = dict
        self.leases: dict[str, Lease] = {}
        self.asked_at: dict[int, float] = {}

    def share(self, address: str) -> int:
        """Return how many connections this box may open to a replica."""
        service = self.service_of(address)
        max_connections = self.max_connections_of(service) if service is not None else None
        if service is None or max_connections is None:
            return UNKNOWN_SERVICE_CONNECTIONS
        lease = self.leases.get(service)
        is_valid = lease is not None and lease.expires_at > self.clock.monotonic()
        extra = lease.connections if lease is not None and is_valid else 0
        return even_share(max_connections, self.box_count()) + extra

    def wanted(self, sequence: int) -> dict[str, int]:
        """Return the connections beyond the even share that this box asks for, by service.

        Calls are spread over the replicas of a service, so their mean counts. `sequence` identifies
        the ping that carries the request.
        """
        now = self.clock.monotonic()
        self.asked_at = {known: at for known, at in self.asked_at.items() if now - at < LEASE_S} | {
            sequence: now
        }
        totals: Counter[str] = Counter()
        for address, count in self.in_use().items():
            service = self.service_of(address)
            if service is not None:
                totals[service] += count
        found = {}
        for service, total in totals.items():
            max_connections = self.max_connections_of(service)
            if max_connections is None:
                continue
            even = even_share(max_connections, self.box_count())
            mean = total / max(1, self.replica_count(service))
            needed = math.ceil(max(GROWTH_FACTOR * mean, mean + MIN_GROWTH)) - even
            if needed > 0 and mean >= MIN_USE_RATIO * even:
                found[service] = needed
        return found

    def on_lent(self, lent: Mapping[str, int], sequence: int) -> None:
        """Take over what the scheduler lent in its answer to the ping `sequence`."""
        asked_at = self.asked_at.get(sequence)
        if asked_at is None:
            return
        expires_at = asked_at + LEASE_S
        for service, connections in lent.items():
            self.leases[service] = Lease(connections, expires_at)


class ConnectionLender:
    """Lend connections beyond the even shares to boxes, never the same ones twice.

    `group_count` returns among how many schedulers the connections are divided.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        max_connections_of: Callable[[str], int | None],
        box_count: Callable[[], int],
        group_count: Callable[[], int],
    ) -> None:
        self.clock = clock
        self.max_connections_of = max_connections_of
        self.box_count = box_count
        self.group_count = group_count
        self.leases: dict[str, dict[str, list[Lease]]] = {}
        self.wants: dict[str, dict[str, Lease]] = {}
        self.lends_from: float | None = None

    def on_scheduler(self, *, is_own: bool) -> None:
        """Start or stop lending; the leases of an earlier scheduler expire first."""
        if not is_own:
            self.lends_from = None
            self.leases.clear()
            self.wants.clear()
        elif self.lends_from is None:
            self.lends_from = self.clock.monotonic() + LEASE_S

    def lend(self, box: str, wanted: Mapping[str, int]) -> dict[str, int]:
        """Return the connections that a box gets beyond its even share, by service."""
        now = self.clock.monotonic()
        if self.lends_from is None or now < self.lends_from:
            return {}
        return {
            service: connections
            for service, count in wanted.items()
            if (connections := self.lend_service(service, box, count, now)) > 0
        }

    def pool(self, service: str) -> int:
        """Return how many connections to one replica may be lent in all."""
        max_connections = self.max_connections_of(service)
        if max_connections is None:
            return 0
        boxes = self.box_count()
        usable = int(max_connections * USABLE_RATIO)
        left = usable - boxes * even_share(max_connections, boxes)
        return max(0, left) // max(1, self.group_count())

    def lend_service(self, service: str, box: str, wanted: int, now: float) -> int:
        """Lend connections to the replicas of one service, at most the box's fair share of them."""
        pool = self.pool(service)
        wants = self.wants.setdefault(service, {})
        wants[box] = Lease(wanted, now + LEASE_S)
        demands = {name: item.connections for name, item in wants.items() if item.expires_at > now}
        leases = self.leases.setdefault(service, {})
        for name in list(leases):
            leases[name] = [item for item in leases[name] if item.expires_at > now]
            if not leases[name]:
                del leases[name]
        lent = sum(
            max(item.connections for item in items) for name, items in leases.items() if name != box
        )
        granted = max(0, min(wanted, pool - lent, fair_share(pool, demands, box)))
        leases.setdefault(box, []).append(Lease(granted, now + LEASE_S))
        return granted


def fair_share(pool: int, demands: Mapping[str, int], box: str) -> int:
    """Return a box's part of a pool that is divided so that the smallest demands are met first."""
    left, remaining = pool, len(demands)
    for name, demand in sorted(demands.items(), key=lambda item: (item[1], item[0])):
        part = min(demand, left // max(1, remaining))
        if name == box:
            return part
        left -= part
        remaining -= 1
    return 0
