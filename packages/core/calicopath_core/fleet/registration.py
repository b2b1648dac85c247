"""Keep a box's own record in the store, by which other boxes find it.

A store restored from a copy has lost the records written since. A box detects this in the list of
boxes, which it follows anyway, and writes its record again.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.fleet.store import FleetStoreError
from calicopath_core.scheduling.election import BoxAddress

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from calicopath_core.fleet.feed import RecordFeed
    from calicopath_core.fleet.store import FleetStore

INITIAL_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 4.0
"""How long to wait after a failed write; doubled each time, since a whole fleet may start during a
store outage: 86 boxes that retry twice a second would make 1,000 calls in 6 s."""

CHECK_INTERVAL_S = 1.0
MAX_CHECK_INTERVAL_S = 4.0
"""How often the list is checked. A new record appears in it a little later, so checks are less
frequent while the record is missing."""

MIN_JITTER_S = 0.2

WRITES_PER_S = 200.0
"""How many boxes may rewrite their records per second: half the capacity of the smallest store."""


class Registration:
    """Write one box's record until it succeeds, and again whenever the list lacks it.

    `feed` follows the list of boxes; `on_failed` is called for each failed write.
    """

    def __init__(
        self,
        *,
        own: BoxAddress,
        store: FleetStore,
        feed: RecordFeed,
        rng: random.Random,
        is_leaving: Callable[[], bool],
        on_registered: Callable[[], None],
        on_failed: Callable[[FleetStoreError], None],
    ) -> None:
        self.own = own
        self.store = store
        self.feed = feed
        self.rng = rng
        self.is_leaving = is_leaving
        self.on_registered = on_registered
        self.on_failed = on_failed

    async def run(self) -> None:
        """Write the record and keep it registered until cancelled."""
        await self.write()
        self.on_registered()
        await self.keep_registered()

    async def write(self) -> None:
        """Write the record, with retries until it succeeds."""
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                await self.store.register(self.own)
            except FleetStoreError as error:
                self.on_failed(error)
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
                continue
            return

    async def keep_registered(self) -> None:
        """Write the record again whenever the list lacks it, until cancelled."""
        interval_s = CHECK_INTERVAL_S
        while True:
            await asyncio.sleep(interval_s)
            if not self.is_missing():
                interval_s = CHECK_INTERVAL_S
                continue
            await asyncio.sleep(self.rng.uniform(0.0, self.max_jitter_s()))
            if self.is_missing():
                await self.write()
                interval_s = min(MAX_CHECK_INTERVAL_S, 2 * interval_s)

    def is_missing(self) -> bool:
        """Tell whether the list is known and lacks this incarnation of the box."""
        if self.feed.position is None or self.is_leaving():
            return False
        listed = self.feed.records.get(self.own.name)
        return not isinstance(listed, BoxAddress) or listed.incarnation != self.own.incarnation

    def max_jitter_s(self) -> float:
        """Return the time over which rewrites are spread, as many boxes may be missing."""
        return MIN_JITTER_S + len(self.feed.records) / WRITES_PER_S
