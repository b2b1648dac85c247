"""Let calls to replicas go, or hold them back: the one place that all calls of a box pass.

Who chooses replicas leaves out those that are barred; between the choice and the first byte a
connection may have to be opened, and another answer may come.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.fleet.notices import CallInterceptor, Exclusion, ReplicaExcluded

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.fleet.backoffs import Backoffs
    from calicopath_core.fleet.leaving import LeavingReplicas
    from calicopath_core.fleet.notices import Notice, NoticeObserver
    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.permits.client import PermitClient
    from calicopath_core.permits.limits import AdvertisedLimits


class CallGate(CallInterceptor):
    """Know by which orders a replica must not be called from this box.

    `on_leaving` is told of replicas that this box is the first to hear of, `on_backoff` of each
    wish to be left alone.
    """

    def __init__(
        self,
        *,
        replicas: ReplicaTable,
        leaving: LeavingReplicas,
        backoffs: Backoffs,
        limits: AdvertisedLimits,
        permits: PermitClient,
        observer: NoticeObserver,
        on_leaving: Callable[[str], None],
        on_backoff: Callable[[Replica], None],
    ) -> None:
        self.replicas = replicas
        self.leaving = leaving
        self.backoffs = backoffs
        self.limits = limits
        self.permits = permits
        self.observer = observer
        self.on_leaving = on_leaving
        self.on_backoff = on_backoff

    def exclusion_of(self, replica: Replica) -> Exclusion | None:
        """Return why a replica gets no new work from this box."""
        exclusion = self.replicas.exclusion_of(replica)
        if exclusion is None and self.backoffs.remaining_s(replica) > 0:
            return Exclusion.BACKOFF
        return exclusion

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may be called now."""
        found = self.replicas.usable(service)
        if not self.backoffs.by_replica and not self.permits.unavailable_until:
            return found
        return [item for item in found if self.available_in_s(item) <= 0]

    def available_in_s(self, replica: Replica) -> float:
        """Return for how long a replica wants nothing from this box, or has no permit for it."""
        return max(self.backoffs.remaining_s(replica), self.permit_available_in_s(replica))

    def permit_available_in_s(self, replica: Replica) -> float:
        """Return when it makes sense to ask for a permit for a replica, 0 for now."""
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
        """Return when a call without new work may go to a replica, 0 for now."""
        return max(
            self.backoffs.remaining_s(replica), self.limits.control_call_available_in_s(replica)
        )

    def remaining_backoffs(self, service: str) -> dict[str, float]:
        """Return the replicas of a service that want nothing from this box, for how long yet."""
        return self.backoffs.remaining_by_replica(self.replicas.usable(service))

    def earliest_available_in_s(self, service: str) -> float:
        """Return when the first replica of a service may be called, 0 if one may or none will."""
        usable = self.replicas.usable(service)
        return min((self.available_in_s(item) for item in usable), default=0.0)

    def check_call(self, replica: Replica, *, new_work: bool) -> None:
        """Raise `Barred` if a call must not be sent now.

        One that leaves may still be asked for its state, and have results given up.
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
        """Tell whether a replica's limit lets a call go, and count it."""
        if not self.limits.by_replica:
            return True
        if not new_work:
            return self.limits.take_control_call(replica)
        permitted = self.permits.use_permit(replica.id)
        return permitted or not self.limits.requires_permit(replica)

    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Keep what a replica's answer tells; another one's tells only that this one is gone."""
        if notice.from_other_replica:
            self.record_leaving(replica, replica.address)
            return
        self.limits.on_notice(replica, notice)
        if notice.leaving:
            self.record_leaving(replica)
        if notice.backoff_s > 0:
            self.backoffs.record(replica, notice.backoff_s)
            self.on_backoff(replica)
        else:
            self.backoffs.on_accepted(replica)

    def record_leaving(self, replica: Replica, lost_address: str = '') -> None:
        """Keep that a replica leaves, or that another has its address, and tell of it."""
        if self.leaving.record(replica.id, replica.started_ms, lost_address=lost_address):
            self.on_leaving(replica.id)

    def expire(self) -> None:
        """Forget what is old."""
        self.backoffs.expire()
        self.leaving.expire(self.replicas.replicas)
        self.limits.expire(self.replicas.replicas)
        self.permits.expire()
