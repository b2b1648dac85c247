"""Assemble how a box follows the store's records, relays them and registers its own record."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.fleet.availability import StoreAvailability
from calicopath_core.fleet.evacuations import Evacuations
from calicopath_core.fleet.feed import RecordFeed
from calicopath_core.fleet.publisher import Publisher
from calicopath_core.fleet.registration import Registration
from calicopath_core.fleet.restoring import RestoreFilter
from calicopath_core.fleet.store import RecordKind
from calicopath_core.fleet.subscription import Subscription
from calicopathd.gateway.records import RecordHandler

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    import msgspec

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.deployment import Deployment, DeploymentView
    from calicopath_core.fleet.replicas import ReplicaTable
    from calicopath_core.fleet.store import FleetStore
    from calicopath_core.scheduling.election import BoxAddress
    from calicopathd.gateway.observer import GatewayObserver
    from calicopathd.gateway.settings import GatewaySettings


class StoreFollower:
    """Hold the components that read records from the store and publish them to other boxes.

    `on_boxes_changed` is called with the monotonic time when the listed boxes have changed, and
    `on_deployment_applied` with a newer configuration.
    """

    def __init__(
        self,
        *,
        own: BoxAddress,
        settings: GatewaySettings,
        store: FleetStore,
        clock: Clock,
        rng: random.Random,
        observer: GatewayObserver,
        view: DeploymentView,
        replicas: ReplicaTable,
        send: Callable[[str, msgspec.Struct], None],
        on_boxes_changed: Callable[[float], None],
        on_deployment_applied: Callable[[Deployment], None],
        is_leaving: Callable[[], bool],
    ) -> None:
        self.evacuations = Evacuations(
            wall_clock=clock.wall,
            on_evacuation_started=observer.on_evacuation_started,
            on_evacuation_ended=observer.on_evacuation_ended,
            on_changed=replicas.set_evacuated,
        )
        self.publisher = Publisher(own_address=own.address, clock=clock, send=send)
        self.records = RecordHandler(
            clock=clock,
            view=view,
            replicas=replicas,
            evacuations=self.evacuations,
            publisher=self.publisher,
            on_boxes_changed=on_boxes_changed,
            on_deployment_applied=on_deployment_applied,
        )
        self.restore_filter = RestoreFilter(
            inner=self.records,
            clock=clock,
            entry_ttl_s=settings.replica_entry_ttl_s,
            on_restored=observer.on_restored,
        )
        self.availability = StoreAvailability(
            heartbeat_s=settings.replica_heartbeat_s, on_disrupted=replicas.on_disrupted
        )
        self.subscription = Subscription(
            own=own,
            clock=clock,
            send=send,
            publisher=self.publisher,
            availability=self.availability,
            on_bad_update=observer.on_bad_message,
            on_relay_changed=observer.on_relay_changed,
            store=store,
            on_store_error=observer.on_relay_access_failed,
            rng=rng,
            stale_boxes=self.restore_filter.stale_boxes,
        )
        self.feeds = {
            kind: RecordFeed(
                store=store,
                kind=kind,
                clock=clock,
                observer=observer,
                handler=self.restore_filter,
                policy=self.subscription,
                availability=self.availability,
            )
            for kind in settings.followed_kinds
        }
        self.subscription.feeds.update(self.feeds)
        self.publisher.feeds.update(self.feeds)
        self.registration = Registration(
            own=own,
            store=store,
            feed=self.feeds[RecordKind.BOX],
            rng=rng,
            is_leaving=is_leaving,
            on_registered=self.on_registered,
            on_failed=observer.on_registration_failed,
        )

    def on_registered(self) -> None:
        """Record that the store has this box's own record."""
        self.subscription.startup.registered = True
