"""Choose a replica of a plain service from this box's own calls and reported load."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.exchanges.cold import ColdReplicaLimiter
from calicopath_core.fleet.pace import PaceEstimates

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from calicopath_core.fleet.gate import CallGate
    from calicopath_core.fleet.replicas import Replica, ReplicaTable

INITIAL_LATENCY_S = 0.05
SMOOTHING_WEIGHT = 0.2
"""Weight of the newest call in the moving averages of latency and failure rate."""

REMOTE_PENALTY_S = 0.002
"""Cost added for a replica in another failure domain: two crossings of 0.5 ms each, and the
transfer of the bytes."""

FAILURE_COST_FACTOR = 20.0
"""Factor by which a failure rate of 1 raises the cost of a call."""

FAILURES_TO_EJECT = 3
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
REPORT_TTL_S = 0.5
"""How long a reported load is used."""


class LoadReport(NamedTuple):
    """Hold the load that a replica reports: its running and waiting calls and its slots.

    `pace` says how long work takes there at this moment, as a multiple of the usual time; `None` if
    the replica does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class ReplicaStats:
    """Track one replica's calls, latency and failures; times are in monotonic seconds."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_s = INITIAL_LATENCY_S
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.report: LoadReport | None = None
        self.reported_at = 0.0

    def estimated_calls(self, now: float) -> float:
        """Return the estimated number of calls at the replica, including those of other boxes."""
        if self.report is None or now - self.reported_at > REPORT_TTL_S:
            return float(self.in_flight)
        return max(float(self.in_flight), float(self.report.running + self.report.waiting))

    def on_success(self, took_s: float) -> None:
        """Record an answer that came in time."""
        self.latency_s += SMOOTHING_WEIGHT * (took_s - self.latency_s)
        self.failure_rate *= 1 - SMOOTHING_WEIGHT
        self.consecutive_failures = 0

    def on_failure(self, now: float) -> None:
        """Record a failed call; several in a row eject the replica for a while."""
        self.failure_rate += SMOOTHING_WEIGHT * (1 - self.failure_rate)
        self.consecutive_failures += 1
        if self.consecutive_failures >= FAILURES_TO_EJECT:
            ejection_s = min(
                MAX_EJECTION_S,
                MIN_EJECTION_S * 2 ** (self.consecutive_failures - FAILURES_TO_EJECT),
            )
            self.ejected_until = now + ejection_s

    def on_report(self, report: LoadReport, now: float) -> None:
        """Record a reported load."""
        self.report = report
        self.reported_at = now


class Balancer:
    """Choose among the replicas of plain services by expected cost.

    `cold_rate_of` returns the requests per second that this box may send to one cold replica of a
    service, or `None` if they are not limited; `connection_share` the connections that it may open
    to the replica at an address, or `None` for any number.
    """

    def __init__(
        self,
        *,
        replicas: ReplicaTable,
        gate: CallGate,
        failure_domain: str,
        rng: random.Random,
        cold_rate_of: Callable[[str], float | None] = lambda service: None,
        connection_share: Callable[[str], int | None] = lambda address: None,
        pace: PaceEstimates | None = None,
    ) -> None:
        self.pace = pace or PaceEstimates()
        self.connection_share = connection_share
        self.replicas = replicas
        self.gate = gate
        self.failure_domain = failure_domain
        self.rng = rng
        self.stats: dict[str, ReplicaStats] = {}
        self.cold_limiter = ColdReplicaLimiter(rng=rng, rate_of=cold_rate_of)
        replicas.listeners.append(self.drop_removed)

    def drop_removed(self) -> None:
        """Drop the statistics of replicas that have been removed."""
        for name in list(self.stats):
            if name not in self.replicas.replicas:
                del self.stats[name]
        self.pace.keep_only(self.replicas.replicas)
        self.cold_limiter.drop_removed(self.replicas.replicas)

    def stats_of(self, replica: Replica) -> ReplicaStats:
        """Return a replica's statistics, created on first use."""
        found = self.stats.get(replica.id)
        if found is None:
            found = self.stats[replica.id] = ReplicaStats()
        return found

    def on_report(self, replica: Replica, report: LoadReport, now: float) -> None:
        """Record a replica's reported load, and its pace if it reports one."""
        self.stats_of(replica).on_report(report, now)
        if report.pace is not None:
            self.pace.on_report(replica.id, report.pace, now)

    def on_success(self, replica: Replica, took_s: float, now: float) -> None:
        """Record an answer that came in time.

        The part of its duration that is due to a slow moment is left out of the latency, so that
        the next calls are not kept from a replica whose slow moment has ended.
        """
        self.stats_of(replica).on_success(took_s / self.pace.momentary(replica.id, now))

    def choose(self, service: str, excluded: set[str], now: float) -> Replica | None:
        """Return the replica with the lowest expected cost, or `None` if none may be called.

        Ejected replicas are used only when all usable ones are ejected. Ties are broken at random.
        """
        usable = self.gate.usable(service)
        if self.gate.brittle.by_replica:
            usable = self.with_room(service, usable, now)
        usable = [item for item in usable if item.id not in excluded and self.has_connection(item)]
        usable = self.cold_limiter.allowed(usable, now)
        if not usable:
            return None
        healthy = [item for item in usable if self.stats_of(item).ejected_until <= now]
        pool = healthy or usable
        self.rng.shuffle(pool)
        found = min(pool, key=lambda item: self.cost_s(item, now))
        self.cold_limiter.on_sent(found, now)
        return found

    def with_room(self, service: str, replicas: list[Replica], now: float) -> list[Replica]:
        """Return the replicas; of a brittle service those with a free slot for this box.

        The share does not depend on pauses: a box that turned to other replicas would fill those.
        """
        share = self.gate.brittle.share(self.replicas.usable(service))
        if not share:
            return replicas
        return [
            item
            for item in replicas
            if self.stats_of(item).in_flight < share.get(item.id, 0)
            and self.stats_of(item).estimated_calls(now) < item.slots
        ]

    def has_connection(self, replica: Replica) -> bool:
        """Return whether this box may have one more call in progress at a replica."""
        share = self.connection_share(replica.address)
        return share is None or self.stats_of(replica).in_flight < share

    def may_get_room(self, service: str, excluded: set[str]) -> bool:
        """Return whether a request may wait for a connection, or a slot of a brittle replica."""
        usable = self.gate.usable(service)
        if any(item.id not in excluded and not self.has_connection(item) for item in usable):
            return True
        if not self.gate.brittle.by_replica:
            return False
        share = self.gate.brittle.share(self.replicas.usable(service))
        return any(name not in excluded for name in share)

    def permit_candidates(self, service: str, excluded: set[str], now: float) -> list[Replica]:
        """Return the replicas that may be called with a permit, lowest expected cost first."""
        found = [item for item in self.gate.limited_replicas(service) if item.id not in excluded]
        return sorted(
            self.cold_limiter.allowed(found, now), key=lambda item: self.cost_s(item, now)
        )

    def min_latency_s(self, replicas: Iterable[Replica]) -> float:
        """Return the lowest average latency among some replicas, in seconds."""
        return min((self.stats_of(item).latency_s for item in replicas), default=0.0)

    def cost_s(self, replica: Replica, now: float) -> float:
        """Return the expected seconds for a call, weighted for failures and distance."""
        stats = self.stats_of(replica)
        slots = max(1, replica.slots)
        queueing = max(0.0, stats.estimated_calls(now) + 1 - slots) / slots
        distance_s = 0.0 if replica.failure_domain == self.failure_domain else REMOTE_PENALTY_S
        utilization = 0.25 * stats.estimated_calls(now) / slots
        return (
            stats.latency_s
            * self.pace.momentary(replica.id, now)
            * (1 + queueing + utilization + FAILURE_COST_FACTOR * stats.failure_rate)
            + distance_s
        )
