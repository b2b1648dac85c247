"""Apply the records of the store's feeds, and publish them to boxes that follow this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.fleet.deployment import Deployment
from calicopath_core.fleet.evacuations import Evacuation
from calicopath_core.fleet.feed import FeedHandler
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import RecordKind
from calicopath_core.scheduling.election import BoxAddress

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.deployment import DeploymentView
    from calicopath_core.fleet.evacuations import Evacuations
    from calicopath_core.fleet.positions import Position
    from calicopath_core.fleet.publisher import Publisher
    from calicopath_core.fleet.replicas import ReplicaTable
    from calicopath_core.fleet.store import Change, Listing


class RecordHandler(FeedHandler):
    """Hold the listed boxes, and update the replicas, evacuations and the configuration.

    `on_boxes_changed` is called with the monotonic time when the listed boxes have changed, and
    `on_deployment_applied` with a newer configuration.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        view: DeploymentView,
        replicas: ReplicaTable,
        evacuations: Evacuations,
        publisher: Publisher,
        on_boxes_changed: Callable[[float], None],
        on_deployment_applied: Callable[[Deployment], None],
    ) -> None:
        self.clock = clock
        self.view = view
        self.replicas = replicas
        self.evacuations = evacuations
        self.publisher = publisher
        self.on_boxes_changed = on_boxes_changed
        self.on_deployment_applied = on_deployment_applied
        self.boxes: dict[str, BoxAddress] = {}

    def on_disrupted(self) -> None:
        """Record that updates from the store may be missing."""
        self.replicas.on_disrupted(self.clock.monotonic())

    def on_listing(self, kind: RecordKind, listing: Listing) -> None:
        """Replace all records of a kind."""
        now = self.clock.monotonic()
        records = listing.records
        if kind is RecordKind.REPLICA:
            self.replicas.replace(
                [item for item in records.values() if isinstance(item, Replica)], now
            )
        elif kind is RecordKind.BOX:
            self.boxes = {
                name: item for name, item in records.items() if isinstance(item, BoxAddress)
            }
            self.on_boxes_changed(now)
        elif kind is RecordKind.EVACUATION:
            self.evacuations.replace_all(
                [item for item in records.values() if isinstance(item, Evacuation)]
            )
        else:
            for record in records.values():
                if isinstance(record, Deployment):
                    self.on_deployment(record)
        self.publisher.on_listed(kind, listing.position)

    def on_changes(self, kind: RecordKind, position: Position, changes: list[Change]) -> None:
        """Apply changes as one batch, and publish them to boxes that follow this one."""
        with self.replicas.batch():
            for change in changes:
                self.on_change(kind, change)
        if kind is RecordKind.BOX:
            self.on_boxes_changed(self.clock.monotonic())
        self.publisher.on_changed(kind, position, [change.name for change in changes])

    def on_change(self, kind: RecordKind, change: Change) -> None:
        """Apply the change or removal of one record."""
        now = self.clock.monotonic()
        record = change.record
        if isinstance(record, Deployment):
            self.on_deployment(record)
        elif isinstance(record, Replica):
            self.replicas.put(record)
        elif isinstance(record, BoxAddress):
            self.boxes[change.name] = record
        elif isinstance(record, Evacuation):
            self.evacuations.apply_changes([(change.name, record)])
        elif kind is RecordKind.EVACUATION:
            self.evacuations.apply_changes([(change.name, None)])
        elif kind is RecordKind.BOX:
            self.boxes.pop(change.name, None)
        elif kind is RecordKind.REPLICA:
            self.replicas.remove(change.name, now)

    def on_deployment(self, deployment: Deployment) -> None:
        """Apply a configuration if it is newer than the one in force."""
        if self.view.apply_if_newer(deployment, self.clock.monotonic()):
            self.on_deployment_applied(deployment)
