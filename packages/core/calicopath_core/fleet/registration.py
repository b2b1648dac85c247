"""Keep a box's own record in the store: by it the others find this box.

A store that comes back from a copy has lost the records written since. A box sees that in the list
of boxes, which it follows anyway, and writes its record again.
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
"""How long a failed write is waited out; doubled each time, since a whole fleet may start while the
store is away: 86 boxes twice a second would be 1,000 calls in 6 s."""

CHECK_INTERVAL_S = 1.0
MAX_CHECK_INTERVAL_S = 4.0
"""How often the list is looked at, in which a record that was written shows a little later; less
often while it goes on lacking the record."""

MIN_JITTER_S = 0.2

WRITES_PER_S = 200.0
"""How many boxes may write again in a second: half of what the smallest store takes."""


class Registration:
    """Write one box's record until that has worked, and again whenever the list lacks it.

    `feed` follows the list of boxes; `on_failed` learns of each write that did not work.
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
        """Write the record and keep it written until cancelled."""
        await self.write()
        self.on_registered()
        await self.keep_registered()

    async def write(self) -> None:
        """Write the record until that has worked."""
        pause_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                await self.store.register(self.own)
            except FleetStoreError as error:
                self.on_failed(error)
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_RETRY_DELAY_S, 2 * pause_s)
                continue
            return

    async def keep_registered(self) -> None:
        """Write the record again whenever the list lacks it, until cancelled."""
        look_s = CHECK_INTERVAL_S
        while True:
            await asyncio.sleep(look_s)
            if not self.is_missing():
                look_s = CHECK_INTERVAL_S
                continue
            await asyncio.sleep(self.rng.uniform(0.0, self.max_jitter_s()))
            if self.is_missing():
                await self.write()
                look_s = min(MAX_CHECK_INTERVAL_S, 2 * look_s)

    def is_missing(self) -> bool:
        """Tell whether the list, as far as it is known, lacks this life of the box."""
        if self.feed.position is None or self.is_leaving():
            return False
        listed = self.feed.records.get(self.own.name)
        return not isinstance(listed, BoxAddress) or listed.incarnation != self.own.incarnation

    def max_jitter_s(self) -> float:
        """Return over what time boxes write again: any number of them may be missing."""
        return MIN_JITTER_S + len(self.feed.records) / WRITES_PER_S
