"""Hear the store's changes from relays, and be one for others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.fleet.feed import PROBE_S, FollowMode
from calicopath_core.fleet.outages import RELAYS_FIRST_S, Outages
from calicopath_core.fleet.positions import NOTHING, Position
from calicopath_core.fleet.relay_messages import (
    RelayBeat,
    RelayUpdate,
    Subscribe,
    decode_changes,
)
from calicopath_core.fleet.relays import SUBSCRIBE_S, RelayChoice
from calicopath_core.fleet.replicas import BACK_S
from calicopath_core.fleet.starting import Start
from calicopath_core.fleet.store import FleetStoreError, RecordKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.contact import StoreContact
    from calicopath_core.fleet.feed import KindFeed
    from calicopath_core.fleet.publisher import Publisher
    from calicopath_core.fleet.store import FleetStore
    from calicopath_core.scheduling.election import BoxAddress

WAIT_S = 2.0
"""How long a watch waits. A store that falls silent is noticed only when a watch is overdue, and a
configuration must be in force 2 s after it was acknowledged."""

RELAY_WAIT_S = 0.7
"""How long a relay's watch waits: those that hear it have to notice its silence in time too."""

HURRIED_KIND = RecordKind.REPLICA
"""The kind by whose watch a relay notices that the store is silent. A change of the others comes as
soon as it is made all the same; where its watch alone went silent, another relay tells of it, or it
comes 2.8 s later. With three relays a kind that is watched in a hurry costs 4.3 calls a second, one
that is not 1.5."""

ANNOUNCE_S = 1.0
"""How often a relay tells boxes of itself that do not subscribe: one that has restarted while the
store is away knows no other box."""


NOTE_S = 0.3
"""How often it is looked whether other boxes are relays than is written down. As a fleet starts
the first relays change several times within this."""


class Subscription(FollowMode):
    """Keep one box's subscriptions to relays, and its subscribers."""

    def __init__(
        self,
        *,
        own: BoxAddress,
        clock: Clock,
        send: Callable[[str, msgspec.Struct], None],
        publisher: Publisher,
        on_disrupted: Callable[[float], None],
        on_bad: Callable[[str], None],
        on_source: Callable[[str | None], None],
        store: FleetStore,
        on_unread: Callable[[FleetStoreError], None],
        rng: random.Random,
        withdrawn: Callable[[], list[BoxAddress]],
    ) -> None:
        self.own = own
        self.clock = clock
        self.send = send
        self.publisher = publisher
        self.on_disrupted = on_disrupted
        self.on_bad = on_bad
        self.on_source = on_source
        self.choice = RelayChoice(own=own)
        self.feeds: dict[RecordKind, KindFeed] = {}
        self.outages = Outages(
            clock=clock,
            rng=rng,
            feeds=self.feeds,
            fails_relays=self.choice.store_fails_relays,
        )
        self.boxes: list[BoxAddress] = []
        self.leaving = False
        self.source: str | None = None
        self.store = store
        self.on_unread = on_unread
        self.withdrawn = withdrawn
        self.noted: tuple[BoxAddress, ...] | None = None
        self.noted_era = NOTHING.era
        self.start = Start(
            own=own,
            store=store,
            choice=self.choice,
            subscribe=self.subscribe,
            synced=lambda kind: kind not in self.feeds or self.feeds[kind].synced,
            on_unread=on_unread,
        )

    def follows(self) -> bool:
        """Tell whether the box hears the store through a relay."""
        return self.choice.current(self.clock.monotonic()) is not None

    def may_read(self, kind: RecordKind) -> bool:
        """Tell whether the box may read a kind of the store by itself."""
        return self.start.may_read(kind) and not self.outages.holds(kind)

    def wait_s(self, kind: RecordKind) -> float:
        """Return how long a watch waits."""
        if self.outages.asks(kind):
            return PROBE_S
        relayed = self.publisher.subscribers and kind is HURRIED_KIND
        return RELAY_WAIT_S if relayed else WAIT_S

    async def wait_for_relays(self) -> None:
        """Give relays the time to tell what the store has forgotten the history of.

        Only a store that is disturbed forgets its history; relays read it anew at once.
        """
        if not self.choice.is_relay:
            await asyncio.sleep(RELAYS_FIRST_S)

    async def wait_out(self, kind: RecordKind, failures: int) -> None:
        """Wait before a kind is asked for again of which so many calls in a row have failed."""
        await self.outages.wait_out(kind, failures)

    def contact(self) -> StoreContact:
        """Return how the store answers this box, or the relay it hears."""
        now = self.clock.monotonic()
        source = self.choice.current(now)
        if source is not None:
            return source.contact_now(now)
        return self.feeds[RecordKind.REPLICA].contact()

    def on_listed(self, boxes: Iterable[BoxAddress]) -> None:
        """Take in the boxes of the store's list."""
        self.boxes = list(boxes)
        self.choice.on_listed(self.boxes)

    def positions(self) -> dict[RecordKind, Position]:
        """Return what this box holds."""
        return {kind: feed.position or NOTHING for kind, feed in self.feeds.items()}

    def era(self) -> int:
        """Return the store's newest era that this box knows of."""
        return max(position.era for position in self.positions().values())

    def beat(self) -> RelayBeat:
        """Return what this box says of itself as a relay."""
        return RelayBeat(
            sender=self.own.address,
            direct=not self.follows(),
            leaving=self.leaving,
            contact=self.feeds[RecordKind.REPLICA].contact(),
            positions=self.positions(),
        )

    def subscribe(self, address: str) -> None:
        """Ask a relay for what this box lacks."""
        self.send(address, Subscribe(sender=self.own.address, positions=self.positions()))

    def on_subscribe(self, message: Subscribe) -> None:
        """Answer a box that wants to hear the store through this one."""
        self.send(message.sender, self.beat())
        self.publisher.on_subscribe(message)

    def on_beat(self, beat: RelayBeat) -> None:
        """Take in how a relay does."""
        now = self.clock.monotonic()
        self.choice.on_beat(beat, now)
        if not all(feed.synced for feed in self.feeds.values()):
            self.subscribe(beat.sender)
        source = self.choice.current(now)
        if source is not None and source.contact.steady_s < BACK_S:
            self.on_disrupted(now - source.contact.steady_s)

    def on_update(self, update: RelayUpdate) -> None:
        """Take in what a relay has read."""
        try:
            changes = decode_changes(update.kind, update.body)
        except (ValueError, msgspec.MsgspecError) as error:
            self.on_bad(str(error))
            return
        since = None if update.since == NOTHING else update.since
        self.feeds[update.kind].take_update(since, update.position, changes)

    def leave(self) -> None:
        """Tell subscribers to hear another relay."""
        self.leaving = True
        for address in self.publisher.subscribers:
            self.send(address, self.beat())

    def announce(self) -> None:
        """Tell boxes of this relay that do not subscribe to it."""
        for box in self.boxes:
            if box.name != self.own.name and not self.publisher.hears(box.address, ANNOUNCE_S):
                self.send(box.address, self.beat())

    async def note_relays(self) -> None:
        """Write down which boxes are relays, if this is the first of them.

        Once for each change and era; a store that fails is asked again with the next round.
        """
        relays = tuple(self.choice.relays)
        is_noted = relays == self.noted and self.noted_era >= self.era()
        if not self.choice.is_first or self.leaving or is_noted:
            return
        try:
            self.noted_era = await self.store.write_relays(relays)
        except FleetStoreError as error:
            self.on_unread(error)
            return
        self.noted = relays

    async def withdraw_ended(self) -> None:
        """Remove the records of boxes that have ended, if this is the first of the relays.

        A box that starts under such a name at the same moment finds its record missing.
        """
        if not self.choice.is_first or self.leaving:
            return
        for box in self.withdrawn():
            try:
                await self.store.withdraw(box)
            except FleetStoreError as error:
                self.on_unread(error)

    async def note_often(self) -> None:
        """Keep up to date what the first of the relays writes, until cancelled."""
        while True:
            await asyncio.sleep(NOTE_S)
            await self.note_relays()
            await self.withdraw_ended()

    async def run(self) -> None:
        """Start, then keep subscriptions, and this box's work as a relay, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.start.run())
            group.create_task(self.note_often())
            group.create_task(self.renew_often())

    async def renew_often(self) -> None:
        """Renew subscriptions, and announce this box if it is a relay, until cancelled."""
        announced_at = 0.0
        while True:
            now = self.clock.monotonic()
            for address in self.choice.asked(now):
                self.subscribe(address)
            if self.choice.announces and now - announced_at >= ANNOUNCE_S:
                announced_at = now
                self.announce()
            self.note_source(now)
            await asyncio.sleep(SUBSCRIBE_S)

    def note_source(self, now: float) -> None:
        """Tell when the box hears another relay, or none."""
        source = self.choice.current_address(now)
        if source != self.source:
            self.source = source
            self.on_source(source)
