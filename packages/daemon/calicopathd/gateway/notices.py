"""Assemble what a box learns from replica responses: departures, backoffs, limits, permits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.fleet.backoffs import Backoffs
from calicopath_core.fleet.brittle import BrittleReplicas
from calicopath_core.fleet.gate import CallGate
from calicopath_core.fleet.leaving import LeavingReplicas
from calicopath_core.fleet.leaving_sharing import LeavingNews, LeavingSharing
from calicopath_core.fleet.replicas import ReplicaTable
from calicopath_core.permits.client import PermitClient
from calicopath_core.permits.issuer import LimitIssuer
from calicopath_core.permits.limits import AdvertisedLimits
from calicopath_core.permits.messages import PermitAnswer, PermitRequest
from calicopath_core.permits.sharing import LimitNews, LimitSharing

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    import msgspec

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.messages import Presence
    from calicopathd.gateway.observer import GatewayObserver


class BoxNotices:
    """Hold the leaving replicas, backoffs, limits and permits of one box.

    `hubs` returns the addresses of the boxes that are notified first, `issuer_address` that of the
    box that issues permits, `limit_share` the share of each limit that it issues, and `position`
    the place of this box among all boxes and their number. `on_backoff`
    is called with each replica that asks this box to back off.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        observer: GatewayObserver,
        rng: random.Random,
        own_address: str,
        hubs: Callable[[], Iterable[str]],
        send: Callable[[str, msgspec.Struct], None],
        issuer_address: Callable[[], str],
        limit_share: Callable[[], float],
        position: Callable[[], tuple[int, int]],
        on_backoff: Callable[[Replica], None],
    ) -> None:
        self.leaving = LeavingReplicas(clock=clock, observer=observer)
        self.replicas = ReplicaTable(
            leaving=self.leaving,
            on_draining=observer.on_draining,
            on_removal_held=observer.on_removal_held,
        )
        self.permits = PermitClient(
            clock=clock, own_address=own_address, issuer_address=issuer_address, send=send
        )
        self.limits = AdvertisedLimits(clock=clock, observer=observer, on_changed=self.on_limit)
        self.limits.listeners.append(self.permits.on_limits_changed)
        self.gate = CallGate(
            replicas=self.replicas,
            leaving=self.leaving,
            backoffs=Backoffs(clock=clock, observer=observer, rng=rng),
            limits=self.limits,
            permits=self.permits,
            brittle=BrittleReplicas(
                clock=clock, rng=rng, position=position, on_changed=observer.on_brittle
            ),
            observer=observer,
            on_leaving=self.on_leaving,
            on_backoff=on_backoff,
        )
        self.leaving_sharing = LeavingSharing(
            clock=clock, leaving=self.leaving, own_address=own_address, hubs=hubs, send=send
        )
        self.limit_sharing = LimitSharing(
            clock=clock,
            limits=self.limits,
            own_address=own_address,
            hubs=hubs,
            send=send,
            service_of=self.service_of,
        )
        self.limit_issuer = LimitIssuer(
            clock=clock,
            limits=self.limits,
            replicas=self.replicas,
            share=limit_share,
            send=send,
            own_client=self.permits,
            observer=observer,
        )

    def on_leaving(self, replica: str) -> None:
        """Report a leaving replica to other boxes."""
        self.leaving_sharing.report([replica])

    def on_limit(self, replica: str) -> None:
        """Report to other boxes that a replica has advertised a limit or withdrawn it."""
        self.limit_sharing.report([replica])

    def is_limited(self, replica: Replica) -> bool:
        """Return whether a replica advertises a limit, as far as known."""
        return self.limits.limit_of(replica) is not None

    def service_of(self, replica: str) -> str:
        """Return a replica's service, an empty string if the replica is unknown."""
        found = self.replicas.replicas.get(replica)
        return found.service if found is not None else ''

    def on_presence(self, ping: Presence) -> None:
        """Send the departures and limits that a box lacks by the digests in its ping."""
        self.leaving_sharing.on_digest(ping.address, ping.replicas)
        self.limit_sharing.on_digest(ping.address, ping.limits)

    def notify_hubs(self) -> None:
        """Send new departures and limits to the hubs."""
        self.leaving_sharing.notify_hubs()
        self.limit_sharing.notify_hubs()

    def handle(self, message: msgspec.Struct) -> None:
        """Handle a message about departures, limits or permits."""
        match message:
            case LeavingNews():
                self.leaving_sharing.on_news(message)
            case LimitNews():
                self.limit_sharing.on_news(message)
            case PermitRequest():
                self.limit_issuer.on_request(message)
            case PermitAnswer():
                self.permits.on_answer(message)

    def on_issuer_changed(self, *, is_own: bool) -> None:
        """Start or stop issuing permits after a change of the issuer."""
        if is_own:
            self.limit_issuer.on_activate()
        else:
            self.limit_issuer.on_step_down()
        self.permits.on_issuer_changed()

    def expire(self) -> None:
        """Remove expired entries and permit requests."""
        self.gate.expire()
        self.limit_issuer.expire()
