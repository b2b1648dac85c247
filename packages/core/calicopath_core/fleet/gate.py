"""Check every call from this box to a replica before it is sent.

The code that selects replicas already leaves out excluded ones, but a new answer can exclude a
replica while the connection is being opened, so each call is checked again before its first byte.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.fleet.notices import CallInterceptor, Exclusion, ReplicaExcluded

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.fleet.backoffs import Backoffs
    from calicopath_core.fleet.brittle import BrittleReplicas
    from calicopath_core.fleet.leaving import LeavingReplicas
    from calicopath_core.fleet.notices import Notice, NoticeObserver
    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.permits.client import PermitClient
    from calicopath_core.permits.limits import AdvertisedLimits


class CallGate(CallInterceptor):
    """Decide which replicas this box may call, from their entries, answers, backoffs and limits.

    `on_leaving` is called for each leaving or replaced replica that this box reports first,
    `on_backoff` for each backoff that a replica requests.
    """

    def __init__(
        self,
        *,
        replicas: ReplicaTable,
        leaving: LeavingReplicas,
        backoffs: Backoffs,
        limits: AdvertisedLimits,
        permits: PermitClient,
        brittle: BrittleReplicas,
        observer: NoticeObserver,
        on_leaving: Callable[[str], None],
        on_backoff: Callable[[Replica], None],
    ) -> None:
        self.replicas = replicas
        self.leaving = leaving
        self.backoffs = backoffs
        self.limits = limits
        self.permits = permits
        self.brittle = brittle
        self.observer = observer
        self.on_leaving = on_leaving
        self.on_backoff = on_backoff

    def exclusion_of(self, replica: Replica) -> Exclusion | None:
        """Return why a replica gets no new work from this box, or `None`."""
        exclusion = self.replicas.exclusion_of(replica)
        if exclusion is None and self.backoffs.remaining_s(replica) > 0:
            return Exclusion.BACKOFF
        return exclusion

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may be called now."""
        found = self.replicas.usable(service)
        is_open = not self.backoffs.by_replica and not self.permits.unavailable_until
        if is_open and not self.brittle.by_replica:
            return found
        return [item for item in found if self.available_in_s(item) <= 0]

    def available_in_s(self, replica: Replica) -> float:
        """Return the seconds until a replica's pauses end and a permit may be requested."""
        return max(
            self.backoffs.remaining_s(replica),
            self.permit_available_in_s(replica),
            self.brittle.available_in_s(replica),
        )

    def permit_available_in_s(self, replica: Replica) -> float:
        """Return the seconds until it is useful to request a permit for a replica."""
        if self.limits.limit_of(replica) is None:
            return 0.0
        return self.permits.available_in_s(replica.id)

    def limited_replicas(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may be called with a permit."""
        if not self.limits.by_replica:
            return []
        found = self.replicas.usable(service)
        return [
            item
            for item in found
            if self.limits.limit_of(item) is not None and self.backoffs.remaining_s(item) <= 0
        ]

    def control_call_available_in_s(self, replica: Replica) -> float:
        """Return the seconds until a call without new work may be sent to a replica."""
        return max(
            self.backoffs.remaining_s(replica), self.limits.control_call_available_in_s(replica)
        )

    def remaining_backoffs(self, service: str) -> dict[str, float]:
        """Return the seconds left of each active backoff of a service's replicas, by replica."""
        return self.backoffs.remaining_by_replica(self.replicas.usable(service))

    def earliest_available_in_s(self, service: str) -> float:
        """Return the seconds until a replica of a service is available, 0 if there is none."""
        usable = self.replicas.usable(service)
        return min((self.available_in_s(item) for item in usable), default=0.0)

    def check_call(self, replica: Replica, *, new_work: bool) -> None:
        """Raise `ReplicaExcluded` if a call must not be sent now.

        Calls without new work, which query state or release results, are held back only by a
        backoff or by their own rate limit.
        """
        exclusion = self.exclusion_of(replica)
        if exclusion is not None and not new_work and exclusion is not Exclusion.BACKOFF:
            exclusion = None
        if exclusion is None and not self.consume_permit(replica, new_work=new_work):
            exclusion = Exclusion.LIMIT
        if exclusion is not None:
            self.observer.on_held_back(replica, exclusion)
            raise ReplicaExcluded(replica, exclusion)
        self.backoffs.on_sent(replica)
        self.limits.on_sent(replica)

    def consume_permit(self, replica: Replica, *, new_work: bool) -> bool:
        """Count a call against the replica's limit; return False if the limit forbids it."""
        if not self.limits.by_replica:
            return True
        if not new_work:
            return self.limits.take_control_call(replica)
        permitted = self.permits.use_permit(replica.id)
        return permitted or not self.limits.requires_permit(replica)

    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Apply the notice in a replica's answer, or record that the replica was replaced."""
        if notice.from_other_replica:
            self.record_leaving(replica, replica.address)
            return
        self.limits.on_notice(replica, notice)
        self.brittle.on_notice(replica, notice)
        if notice.leaving:
            self.record_leaving(replica)
        if notice.backoff_s > 0:
            self.backoffs.record(replica, notice.backoff_s)
            self.on_backoff(replica)
        else:
            self.backoffs.on_accepted(replica)

    def record_leaving(self, replica: Replica, lost_address: str = '') -> None:
        """Record that a replica is leaving or was replaced, and report it if this is new."""
        if self.leaving.record(replica.id, replica.started_ms, lost_address=lost_address):
            self.on_leaving(replica.id)

    def expire(self) -> None:
        """Remove expired backoffs, departures, limits and permits."""
        self.backoffs.expire()
        self.leaving.expire(self.replicas.replicas)
        self.limits.expire(self.replicas.replicas)
        self.brittle.keep_only(self.replicas.replicas)
        self.permits.expire()
