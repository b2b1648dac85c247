"""Monitor a box's state: log its changes and set its gauges."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from calicopathd import events

if TYPE_CHECKING:
    from calicopathd.box.box import Box

log = structlog.get_logger(__name__)

CHECK_INTERVAL_S = 0.2
PLATFORM_LOST_AFTER_S = 5.0
"""Seconds without contact, direct or through peers, after which the platform counts as lost."""


class Monitor:
    """Log changes of the state since the last check and set the gauges."""

    def __init__(self, *, box: Box) -> None:
        self.box = box
        self.synced = False
        self.unreachable_logged = False
        self.ready = False
        self.platform_lost = False
        self.ejections = 0

    async def run(self) -> None:
        """Check every `CHECK_INTERVAL_S` seconds until cancelled."""
        while True:
            self.check_sync()
            self.check_platform()
            self.check_ready()
            self.check_ejections()
            self.set_gauges()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check_sync(self) -> None:
        """Log the first complete view; log once if the platform is unreachable before that."""
        if self.box.is_synced() and not self.synced:
            self.synced = True
            events.emit(log, events.VIEW_SYNCED, objects=len(self.box.view.entries))
        elif not self.synced and self.box.feed.last_error and not self.unreachable_logged:
            self.unreachable_logged = True
            platform = self.box.settings.platform
            error = self.box.feed.last_error
            events.emit(log, events.PLATFORM_UNREACHABLE, platform=platform, error=error)

    def check_platform(self) -> None:
        """Log when contact with the platform is lost after the first sync, or restored."""
        age = self.box.gossip.contact_age_s()
        lost = age is None or age > PLATFORM_LOST_AFTER_S
        if lost and not self.platform_lost and self.synced:
            events.emit(log, events.PLATFORM_LOST, contact_age_s=age)
        if not lost and self.platform_lost:
            events.emit(log, events.PLATFORM_BACK)
        self.platform_lost = lost and self.synced

    def check_ready(self) -> None:
        """Log when the box becomes ready or stops being ready outside a planned stop."""
        ready = self.box.is_ready()
        if ready and not self.ready:
            events.emit(log, events.READY, objects=len(self.box.view.entries))
        if self.ready and not ready and not self.box.lifecycle.leaving:
            events.emit(log, events.NOT_READY, contact_age_s=self.box.gossip.contact_age_s())
        self.ready = ready

    def check_ejections(self) -> None:
        """Log the ejected endpoints when there are new ejections."""
        pools = self.box.pools.pools.values()
        ejections = sum(pool.ejections for pool in pools)
        if ejections > self.ejections:
            names = [
                replica.name
                for pool in pools
                for replica in pool.active()
                if replica.health.ejected_until is not None
            ]
            events.emit(log, events.ENDPOINT_EJECTED, endpoints=names)
        self.ejections = ejections

    def set_gauges(self) -> None:
        """Set the gauges of the box; a contact age of -1 means no contact yet."""
        box = self.box
        age = box.gossip.contact_age_s()
        box.metrics.set_state(
            ready=float(self.ready),
            relaying=float(box.relay_controller.is_relaying),
            in_progress=box.lifecycle.in_progress,
            objects=len(box.view.entries),
            boxes_live=len(box.gossip.members.live(box.clock.monotonic())) + 1,
            contact_age_seconds=-1.0 if age is None else age,
            peer_sent_bytes=box.gossip.counts.sent_bytes,
            peer_received_bytes=box.gossip.counts.received_bytes,
            peer_bad_messages=box.gossip.counts.undecodable,
            peer_dropped_messages=box.transport.dropped_messages,
            peer_repaired_objects=box.gossip.counts.repaired,
            own_reads=box.relay_controller.direct_reads,
            claim_owners_passed_over=box.forwarding_executor.owner_timeouts,
            ejections=self.ejections,
            loop_lag_seconds=box.lag.value_s,
        )
