"""Decide how a box follows the platform: as a relay, or through its peers.

Relays watch the platform, and all other boxes get updates from their peers, so the number of
platform calls does not grow with the fleet. A box that learns of no contact with the platform reads
the platform directly.
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

BOX_LIST_INTERVAL_S = 10.0
"""How often a relay reads the box list; other boxes learn of boxes from their peers."""

BOX_ENTRY_BYTES = 120
MAX_LIST_BYTES_PER_S = 4000
"""Limit on the traffic for reading the box list; a long list is read less often."""

STALE_CONTACT_S = 3.0
"""A box reads the platform directly if no box has had contact with the platform for this long."""

DIRECT_READ_INTERVAL_S = 2.0
ALONE_LIST_INTERVAL_S = 1.0
"""How often a box that knows no live peer reads the box list."""

ROLE_INTERVAL_S = 1.0


class RelayController:
    """Run gossip and box listing, and the store feed while this box is a relay."""

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
        self.relay_task: asyncio.Task[None] | None = None
        self.feed.on_contact = gossip.on_contact
        self.direct_reads = 0

    @property
    def is_relaying(self) -> bool:
        """Return whether this box watches the platform."""
        return self.relay_task is not None

    async def run(self) -> None:
        """Follow the peers and the platform until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.run_gossip())
                group.create_task(self.run_role_choice())
                group.create_task(self.run_box_listing())
                group.create_task(self.run_direct_reads())
        finally:
            await self.stop_relaying()

    async def run_gossip(self) -> None:
        """Run the gossip ticks every `PUSH_DELAY_S`."""
        while True:
            self.gossip.tick()
            await asyncio.sleep(PUSH_DELAY_S)

    async def run_role_choice(self) -> None:
        """Start or stop relaying according to the rank of this box among the live boxes."""
        while True:
            if self.gossip.members.is_relay(self.clock.monotonic()):
                self.start_relaying()
            else:
                await self.stop_relaying()
            await asyncio.sleep(ROLE_INTERVAL_S)

    def start_relaying(self) -> None:
        """Start watching the platform unless this box does already."""
        if self.relay_task is None or self.relay_task.done():
            self.relay_task = asyncio.get_running_loop().create_task(self.feed.run())

    async def stop_relaying(self) -> None:
        """Stop watching the platform."""
        relay_task, self.relay_task = self.relay_task, None
        if relay_task is None:
            return
        relay_task.cancel()
        # `gather` returns the cancellation of the relay task as a result. Suppressing
        # `CancelledError` would also swallow a cancellation of this task, which then never stops.
        await asyncio.gather(relay_task, return_exceptions=True)

    async def run_box_listing(self) -> None:
        """Read the box list regularly while this box is a relay or knows no live peer."""
        interval_s = BOX_LIST_INTERVAL_S
        while True:
            alone = not self.gossip.members.live(self.clock.monotonic())
            if self.is_relaying or alone:
                with contextlib.suppress(StoreError):
                    records = await self.boxes.boxes()
                    self.gossip.members.on_listed(member_infos(records), self.clock.monotonic())
                    size = len(records) * BOX_ENTRY_BYTES
                    interval_s = max(BOX_LIST_INTERVAL_S, size / MAX_LIST_BYTES_PER_S)
            await asyncio.sleep(
                ALONE_LIST_INTERVAL_S if alone else interval_s * self.rng.uniform(0.5, 1.0)
            )

    async def run_direct_reads(self) -> None:
        """Read the platform directly while no recent contact of any relay is known."""
        while True:
            age = self.gossip.contact_age_s()
            if not self.is_relaying and (age is None or age > STALE_CONTACT_S):
                self.direct_reads += 1
                with contextlib.suppress(StoreError):
                    await self.feed.relist()
            # Jitter keeps boxes that lose their relays together from reading at the same time.
            await asyncio.sleep(DIRECT_READ_INTERVAL_S * self.rng.uniform(0.5, 1.5))


def member_infos(records: Iterable[BoxRecord]) -> list[MemberInfo]:
    """Convert the box list; start times of 0 make it older than any heartbeat."""
    return [
        MemberInfo(record.name, record.failure_domain, record.peer_address, 0, 0, record.leaving)
        for record in records
    ]
