"""Decide how a box follows the platform: as a relay, or through its peers.

Relays watch the platform; every other box only hears from peers, so that the platform's calls do
not grow with the fleet. A box that hears of no contact with the platform reads it by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from calicopath_core.membership.gossip import PUSH_DELAY_S
from calicopath_core.membership.messages import MemberInfo
from calicopath_core.store.base import StoreError

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.membership.gossip import Gossip
    from calicopath_core.store.base import BoxList, BoxRecord
    from calicopath_core.store.feed import StoreFeed

BOX_LIST_S = 10.0
"""How often a relay reads the box list; the others learn of boxes from peers."""

LISTED_BYTES = 120
MAX_LIST_BYTES_A_SECOND = 4000
"""What reading the box list may cost; a long list is read less often."""

STALE_CONTACT_S = 3.0
"""A box that has heard of no contact with the platform for this long reads it by itself."""

OWN_READ_S = 2.0
ALONE_S = 1.0
"""How often a box that knows of no other reads the box list."""

ROLE_S = 1.0


class RoleKeeper:
    """Run the parts of membership, and the store feed while this box relays."""

    def __init__(
        self,
        *,
        gossip: Gossip,
        feed: StoreFeed,
        boxes: BoxList,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.gossip = gossip
        self.feed = feed
        self.boxes = boxes
        self.clock = clock
        self.rng = rng
        self.relaying: asyncio.Task[None] | None = None
        self.feed.on_contact = gossip.on_contact
        self.own_reads = 0

    @property
    def is_relaying(self) -> bool:
        """Tell whether this box watches the platform."""
        return self.relaying is not None

    async def run(self) -> None:
        """Keep up with peers and platform until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.tick_often())
                group.create_task(self.choose_role_often())
                group.create_task(self.list_boxes_often())
                group.create_task(self.read_when_stale())
        finally:
            await self.stop_relaying()

    async def tick_often(self) -> None:
        """Send what is due."""
        while True:
            self.gossip.tick()
            await asyncio.sleep(PUSH_DELAY_S)

    async def choose_role_often(self) -> None:
        """Take up or give up the relay's role, as this box ranks among the live ones."""
        while True:
            if self.gossip.members.is_relay(self.clock.monotonic()):
                self.start_relaying()
            else:
                await self.stop_relaying()
            await asyncio.sleep(ROLE_S)

    def start_relaying(self) -> None:
        """Watch the platform."""
        if self.relaying is None or self.relaying.done():
            self.relaying = asyncio.get_running_loop().create_task(self.feed.run())

    async def stop_relaying(self) -> None:
        """Stop watching the platform."""
        relaying, self.relaying = self.relaying, None
        if relaying is None:
            return
        relaying.cancel()
        # The relaying task's own cancellation is a result here; ours must not be swallowed, or
        # this box would never stop.
        await asyncio.gather(relaying, return_exceptions=True)

    async def list_boxes_often(self) -> None:
        """Read the box list at the start, and from time to time while relaying or alone."""
        interval_s = BOX_LIST_S
        while True:
            alone = not self.gossip.members.live(self.clock.monotonic())
            if self.is_relaying or alone:
                with contextlib.suppress(StoreError):
                    records = await self.boxes.boxes()
                    self.gossip.members.on_listed(member_infos(records), self.clock.monotonic())
                    size = len(records) * LISTED_BYTES
                    interval_s = max(BOX_LIST_S, size / MAX_LIST_BYTES_A_SECOND)
            await asyncio.sleep(ALONE_S if alone else interval_s * self.rng.uniform(0.5, 1.0))

    async def read_when_stale(self) -> None:
        """Read the platform directly while no relay's contact reaches us."""
        while True:
            age = self.gossip.contact_age()
            if not self.is_relaying and (age is None or age > STALE_CONTACT_S):
                self.own_reads += 1
                with contextlib.suppress(StoreError):
                    await self.feed.relist()
            # Boxes that lose their relays together must not read together.
            await asyncio.sleep(OWN_READ_S * self.rng.uniform(0.5, 1.5))


def member_infos(records: Iterable[BoxRecord]) -> list[MemberInfo]:
    """Return what the box list says of boxes, older than anything heard from themselves."""
    return [
        MemberInfo(record.name, record.failure_domain, record.peer_address, 0, 0, record.leaving)
        for record in records
    ]
