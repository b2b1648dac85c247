"""Hear the store's changes from relays, and be one for others."""

from __future__ import annotations

import asyncio
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
    from calicopath_core.fleet.contact import StoreContact
    from calicopath_core.fleet.feed import RecordFeed
    from calicopath_core.fleet.publisher import Publisher
    from calicopath_core.fleet.store import FleetStore
    from calicopath_core.scheduling.election import BoxAddress

WATCH_WAIT_S = 2.0
"""How long a watch waits. A store that falls silent is noticed only when a watch is overdue, and a
configuration must be in force 2 s after it was acknowledged."""

RELAY_WATCH_WAIT_S = 0.7
"""How long a relay's watch waits: those that hear it have to notice its silence in time too."""

FAST_WATCH_KIND = RecordKind.REPLICA
"""The kind by whose watch a relay notices that the store is silent. A change of the others comes as
soon as it is made all the same; where its watch alone went silent, another relay tells of it, or it
comes 2.8 s later. With three relays a kind that is watched in a hurry costs 4.3 calls a second, one
that is not 1.5."""

ANNOUNCE_INTERVAL_S = 1.0
"""How often a relay tells boxes of itself that do not subscribe: one that has restarted while the
store is away knows no other box."""


RECORD_INTERVAL_S = 0.3
"""How often it is looked whether other boxes are relays than is written down. As a fleet starts
the first relays change several times within this."""


class Subscription(FollowPolicy):
    """Keep one box's subscriptions to relays, and its subscribers."""

    def __init__(
        self,
        *,
        own: BoxAddress,
        clock: Clock,
        send: Callable[[str, msgspec.Struct], None],
        publisher: Publisher,
        on_disrupted: Callable[[float], None],
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
        self.on_disrupted = on_disrupted
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
        """Tell whether the box hears the store through a relay."""
        return self.relay_selection.current_relay(self.clock.monotonic()) is not None

    def may_read(self, kind: RecordKind) -> bool:
        """Tell whether the box may read a kind of the store by itself."""
        return self.startup.may_read(kind) and not self.outages.must_wait(kind)

    def watch_wait_s(self, kind: RecordKind) -> float:
        """Return how long a watch waits."""
        if self.outages.is_probe_due(kind):
            return PROBE_WAIT_S
        relayed = self.publisher.subscribers and kind is FAST_WATCH_KIND
        return RELAY_WATCH_WAIT_S if relayed else WATCH_WAIT_S

    async def wait_for_relays(self) -> None:
        """Give relays the time to tell what the store has forgotten the history of.

        Only a store that is disturbed forgets its history; relays read it anew at once.
        """
        if not self.relay_selection.is_relay:
            await asyncio.sleep(RELAY_GRACE_S)

    async def back_off(self, kind: RecordKind, failures: int) -> None:
        """Wait before a kind is asked for again of which so many calls in a row have failed."""
        await self.outages.back_off(kind, failures)

    def contact(self) -> StoreContact:
        """Return how the store answers this box, or the relay it hears."""
        now = self.clock.monotonic()
        source = self.relay_selection.current_relay(now)
        if source is not None:
            return source.contact_now(now)
        return self.feeds[RecordKind.REPLICA].contact()

    def on_listed(self, boxes: Iterable[BoxAddress]) -> None:
        """Take in the boxes of the store's list."""
        self.boxes = list(boxes)
        self.relay_selection.on_listed(self.boxes)

    def positions(self) -> dict[RecordKind, Position]:
        """Return what this box holds."""
        return {kind: feed.position or NO_POSITION for kind, feed in self.feeds.items()}

    def era(self) -> int:
        """Return the store's newest era that this box knows of."""
        return max(position.era for position in self.positions().values())

    def status(self) -> RelayStatus:
        """Return what this box says of itself as a relay."""
        return RelayStatus(
            sender=self.own.address,
            direct=not self.uses_relay(),
            leaving=self.leaving,
            contact=self.feeds[RecordKind.REPLICA].contact(),
            positions=self.positions(),
        )

    def subscribe(self, address: str) -> None:
        """Ask a relay for what this box lacks."""
        self.send(address, Subscribe(sender=self.own.address, positions=self.positions()))

    def on_subscribe(self, message: Subscribe) -> None:
        """Answer a box that wants to hear the store through this one."""
        self.send(message.sender, self.status())
        self.publisher.on_subscribe(message)

    def on_status(self, status: RelayStatus) -> None:
        """Take in how a relay does."""
        now = self.clock.monotonic()
        self.relay_selection.on_status(status, now)
        if not all(feed.synced for feed in self.feeds.values()):
            self.subscribe(status.sender)
        source = self.relay_selection.current_relay(now)
        if source is not None and source.contact.steady_s < RETURN_GRACE_S:
            self.on_disrupted(now - source.contact.steady_s)

    def on_update(self, update: RelayUpdate) -> None:
        """Take in what a relay has read."""
        try:
            changes = decode_changes(update.kind, update.body)
        except (ValueError, msgspec.MsgspecError) as error:
            self.on_bad_update(str(error))
            return
        since = None if update.since == NO_POSITION else update.since
        self.feeds[update.kind].apply_update(since, update.position, changes)

    def announce_leaving(self) -> None:
        """Tell subscribers to hear another relay."""
        self.leaving = True
        for address in self.publisher.subscribers:
            self.send(address, self.status())

    def announce(self) -> None:
        """Tell boxes of this relay that do not subscribe to it."""
        for box in self.boxes:
            if box.name != self.own.name and not self.publisher.is_subscribed(
                box.address, ANNOUNCE_INTERVAL_S
            ):
                self.send(box.address, self.status())

    async def record_relays(self) -> None:
        """Write down which boxes are relays, if this is the first of them.

        Once for each change and era; a store that fails is asked again with the next round.
        """
        relays = tuple(self.relay_selection.relays)
        is_noted = relays == self.recorded_relays and self.recorded_era >= self.era()
        if not self.relay_selection.is_first_relay or self.leaving or is_noted:
            return
        try:
            self.recorded_era = await self.store.write_relays(relays)
        except FleetStoreError as error:
            self.on_store_error(error)
            return
        self.recorded_relays = relays

    async def withdraw_stale_boxes(self) -> None:
        """Remove the records of boxes that have ended, if this is the first of the relays.

        A box that starts under such a name at the same moment finds its record missing.
        """
        if not self.relay_selection.is_first_relay or self.leaving:
            return
        for box in self.stale_boxes():
            try:
                await self.store.withdraw(box)
            except FleetStoreError as error:
                self.on_store_error(error)

    async def maintain_records(self) -> None:
        """Keep up to date what the first of the relays writes, until cancelled."""
        while True:
            await asyncio.sleep(RECORD_INTERVAL_S)
            await self.record_relays()
            await self.withdraw_stale_boxes()

    async def run(self) -> None:
        """Start, then keep subscriptions, and this box's work as a relay, until cancelled."""
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
        """Tell when the box hears another relay, or none."""
        source = self.relay_selection.current_relay_address(now)
        if source != self.current_relay_address:
            self.current_relay_address = source
            self.on_relay_changed(source)
