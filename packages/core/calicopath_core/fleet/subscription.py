"""Receive the store's changes from relays, and act as a relay for other boxes."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.fleet.feed import PROBE_WAIT_S, FollowPolicy
from calicopath_core.fleet.outages import RELAY_GRACE_S, OutageBackoff
from calicopath_core.fleet.positions import NO_POSITION, Position
from calicopath_core.fleet.relay_messages import (
    RelayStatus,
    RelayUpdate,
    Subscribe,
    decode_changes,
)
from calicopath_core.fleet.relays import RENEWAL_INTERVAL_S, RelaySelection
from calicopath_core.fleet.replicas import RETURN_GRACE_S
from calicopath_core.fleet.starting import StartupSync
from calicopath_core.fleet.store import FleetStoreError, RecordKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.availability import StoreAvailability
    from calicopath_core.fleet.contact import StoreContact
    from calicopath_core.fleet.feed import RecordFeed
    from calicopath_core.fleet.publisher import Publisher
    from calicopath_core.fleet.store import FleetStore
    from calicopath_core.scheduling.election import BoxAddress

WATCH_WAIT_S = 2.0
"""How long a watch waits. A silent store is detected only once a watch is overdue, and a
configuration must be in force 2 s after it was acknowledged."""

RELAY_WATCH_WAIT_S = 0.7
"""How long a relay's watch waits: shorter, since its subscribers must detect the relay's silence in
the same time."""

FAST_WATCH_KIND = RecordKind.REPLICA
"""The kind whose watch waits for the shorter time at a relay, to detect a silent store. Changes of
other kinds still arrive at once; if only their watch went silent, another relay sends them, or they
arrive 2.8 s later. With three relays a kind with the shorter wait costs 4.3 calls a second, any
other 1.5."""

ANNOUNCE_INTERVAL_S = 1.0
"""How often a relay sends its status to boxes that do not subscribe to it: a box that restarted
during a store outage knows no other box."""


RECORD_INTERVAL_S = 0.3
"""How often the recorded list of relays is compared with the current one. While a fleet starts, the
first relays change several times in this time."""


class Subscription(FollowPolicy):
    """Maintain one box's subscriptions to relays, and serve its subscribers."""

    def __init__(
        self,
        *,
        own: BoxAddress,
        clock: Clock,
        send: Callable[[str, msgspec.Struct], None],
        publisher: Publisher,
        availability: StoreAvailability,
        on_bad_update: Callable[[str], None],
        on_relay_changed: Callable[[str | None], None],
        store: FleetStore,
        on_store_error: Callable[[FleetStoreError], None],
        rng: random.Random,
        stale_boxes: Callable[[], list[BoxAddress]],
    ) -> None:
        self.own = own
        self.clock = clock
        self.send = send
        self.publisher = publisher
        self.availability = availability
        self.on_bad_update = on_bad_update
        self.on_relay_changed = on_relay_changed
        self.relay_selection = RelaySelection(own=own)
        self.feeds: dict[RecordKind, RecordFeed] = {}
        self.outages = OutageBackoff(
            clock=clock,
            rng=rng,
            feeds=self.feeds,
            store_fails_relays=self.relay_selection.store_fails_relays,
        )
        self.boxes: list[BoxAddress] = []
        self.leaving = False
        self.current_relay_address: str | None = None
        self.store = store
        self.on_store_error = on_store_error
        self.stale_boxes = stale_boxes
        self.recorded_relays: tuple[BoxAddress, ...] | None = None
        self.recorded_era = NO_POSITION.era
        self.startup = StartupSync(
            own=own,
            store=store,
            relay_selection=self.relay_selection,
            subscribe=self.subscribe,
            synced=lambda kind: kind not in self.feeds or self.feeds[kind].synced,
            on_store_error=on_store_error,
        )

    def uses_relay(self) -> bool:
        """Tell whether the box receives the store's changes through a relay."""
        return self.relay_selection.current_relay(self.clock.monotonic()) is not None

    def may_read(self, kind: RecordKind) -> bool:
        """Tell whether the box may read a kind directly from the store."""
        return self.startup.may_read(kind) and not self.outages.must_wait(kind)

    def watch_wait_s(self, kind: RecordKind) -> float:
        """Return how long a watch waits, in seconds."""
        if self.outages.is_probe_due(kind):
            return PROBE_WAIT_S
        relayed = self.publisher.subscribers and kind is FAST_WATCH_KIND
        return RELAY_WATCH_WAIT_S if relayed else WATCH_WAIT_S

    async def wait_for_relays(self) -> None:
        """Give relays time to send what the store no longer has the history of.

        Only a disrupted store loses its history, and relays list all records again at once.
        """
        if not self.relay_selection.is_relay:
            await asyncio.sleep(RELAY_GRACE_S)

    async def back_off(self, kind: RecordKind, failures: int) -> None:
        """Wait before the next call for a kind after a number of consecutive failures."""
        await self.outages.back_off(kind, failures)

    def contact(self) -> StoreContact:
        """Return the store contact of the relay in use, or of this box itself."""
        now = self.clock.monotonic()
        relay = self.relay_selection.current_relay(now)
        if relay is not None:
            return relay.contact_now(now)
        return self.feeds[RecordKind.REPLICA].contact()

    def on_listed(self, boxes: Iterable[BoxAddress]) -> None:
        """Set the boxes that the store lists."""
        self.boxes = list(boxes)
        self.relay_selection.on_listed(self.boxes)

    def positions(self) -> dict[RecordKind, Position]:
        """Return the position held for each kind."""
        return {kind: feed.position or NO_POSITION for kind, feed in self.feeds.items()}

    def era(self) -> int:
        """Return the newest era of the store that this box knows of."""
        return max(position.era for position in self.positions().values())

    def status(self) -> RelayStatus:
        """Return this box's status as a relay."""
        return RelayStatus(
            sender=self.own.address,
            direct=not self.uses_relay(),
            leaving=self.leaving,
            contact=self.feeds[RecordKind.REPLICA].contact(),
            positions=self.positions(),
        )

    def subscribe(self, address: str) -> None:
        """Ask a relay for the changes that this box lacks."""
        self.send(address, Subscribe(sender=self.own.address, positions=self.positions()))

    def on_subscribe(self, message: Subscribe) -> None:
        """Send a subscriber this box's status and the changes that it lacks."""
        self.send(message.sender, self.status())
        self.publisher.on_subscribe(message)

    def on_status(self, status: RelayStatus) -> None:
        """Handle a relay's status."""
        now = self.clock.monotonic()
        self.relay_selection.on_status(status, now)
        if math.isfinite(status.contact.age_s):
            self.availability.on_answer(now - status.contact.age_s)
        if not all(feed.synced for feed in self.feeds.values()):
            self.subscribe(status.sender)
        relay = self.relay_selection.current_relay(now)
        if relay is not None and relay.contact.steady_s < RETURN_GRACE_S:
            self.availability.on_disrupted(now - relay.contact.steady_s)

    def on_update(self, update: RelayUpdate) -> None:
        """Apply the records that a relay sent; report an update that cannot be decoded."""
        try:
            changes = decode_changes(update.kind, update.body)
        except (ValueError, msgspec.MsgspecError) as error:
            self.on_bad_update(str(error))
            return
        since = None if update.since == NO_POSITION else update.since
        self.feeds[update.kind].apply_update(since, update.position, changes)

    def announce_leaving(self) -> None:
        """Tell subscribers that this box leaves, so that they use another relay."""
        self.leaving = True
        for address in self.publisher.subscribers:
            self.send(address, self.status())

    def announce(self) -> None:
        """Send this relay's status to the boxes that do not subscribe to it."""
        for box in self.boxes:
            if box.name != self.own.name and not self.publisher.is_subscribed(
                box.address, ANNOUNCE_INTERVAL_S
            ):
                self.send(box.address, self.status())

    async def record_relays(self) -> None:
        """Record in the store which boxes are relays, if this box is the first relay.

        Writes once per change and era; a failed write is retried in the next round.
        """
        relays = tuple(self.relay_selection.relays)
        is_recorded = relays == self.recorded_relays and self.recorded_era >= self.era()
        if not self.relay_selection.is_first_relay or self.leaving or is_recorded:
            return
        try:
            self.recorded_era = await self.store.write_relays(relays)
        except FleetStoreError as error:
            self.on_store_error(error)
            return
        self.recorded_relays = relays

    async def withdraw_stale_boxes(self) -> None:
        """Remove the records of boxes that have stopped, if this box is the first relay.

        A box that starts under the same name at that moment finds its record missing and writes it
        again.
        """
        if not self.relay_selection.is_first_relay or self.leaving:
            return
        for box in self.stale_boxes():
            try:
                await self.store.withdraw(box)
            except FleetStoreError as error:
                self.on_store_error(error)

    async def maintain_records(self) -> None:
        """Keep the first relay's records in the store up to date until cancelled."""
        while True:
            await asyncio.sleep(RECORD_INTERVAL_S)
            await self.record_relays()
            await self.withdraw_stale_boxes()

    async def run(self) -> None:
        """Synchronize at startup, then run subscriptions and relay duties until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.startup.run())
            group.create_task(self.maintain_records())
            group.create_task(self.maintain_subscriptions())

    async def maintain_subscriptions(self) -> None:
        """Renew subscriptions, and announce this box if it is a relay, until cancelled."""
        announced_at = 0.0
        while True:
            now = self.clock.monotonic()
            for address in self.relay_selection.subscription_targets(now):
                self.subscribe(address)
            if self.relay_selection.announces and now - announced_at >= ANNOUNCE_INTERVAL_S:
                announced_at = now
                self.announce()
            self.report_relay_change(now)
            await asyncio.sleep(RENEWAL_INTERVAL_S)

    def report_relay_change(self, now: float) -> None:
        """Report when the box switches to another relay, or to none."""
        address = self.relay_selection.current_relay_address(now)
        if address != self.current_relay_address:
            self.current_relay_address = address
            self.on_relay_changed(address)
