"""Keep a box's view up with the platform, whatever its watch does."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from calicopath_core.store.base import StoreError
from calicopath_core.store.records import view_update
from calicopath_core.structure.keys import CONFIG_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.store.base import ObjectStore
    from calicopath_core.store.view import ConfigView

RELIST_INTERVAL_S = 2.0
"""How often the whole configuration is read again, which heals a watch that ended silently."""

TYPICAL_OBJECT_BYTES = 500
MAX_RELIST_BYTES_PER_S = 16_000
"""What reading everything again may cost; many boxes that do so share what they find."""

PROBE_INTERVAL_S = 1.0
PROBE_KEY = 'probe'
"""A key that need not exist: the answer that it does not is an answer."""

RELIST_BATCH_OBJECTS = 500
"""Objects applied at a time."""

RETRY_DELAY_S = 0.5
"""How long to wait after the store failed."""


class StoreFeed:
    """Watch the configuration and read it whole from time to time.

    The view takes only newer versions, so duplicates and crossed events do no harm.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        view: ConfigView,
        clock: Clock,
        relist_s: float = RELIST_INTERVAL_S,
        retry_s: float = RETRY_DELAY_S,
    ) -> None:
        self.store = store
        self.view = view
        self.clock = clock
        self.relist_s = relist_s
        self.retry_s = retry_s
        self.last_relist_at: float | None = None
        self.last_error = ''
        self.missed_updates = 0
        self.on_contact: Callable[[float], None] = lambda at: None

    @property
    def synced(self) -> bool:
        """Tell whether the view was read whole at least once."""
        return self.last_relist_at is not None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.follow_watch())
            group.create_task(self.relist_periodically())
            group.create_task(self.probe_periodically())

    async def follow_watch(self) -> None:
        """Apply watch events, starting a new watch whenever one ends."""
        while True:
            with contextlib.suppress(StoreError):
                async for stored in self.store.watch(CONFIG_PREFIX):
                    self.view.apply(view_update(stored))
            await asyncio.sleep(self.retry_s)

    async def relist_periodically(self) -> None:
        """Read the whole configuration again and again."""
        while True:
            try:
                await self.relist()
            except StoreError as error:
                self.last_error = str(error)
                await asyncio.sleep(self.retry_s)
                continue
            await asyncio.sleep(self.relist_interval_s())

    async def probe_periodically(self) -> None:
        """Make sure every second that the platform answers, by a read that costs next to nothing.

        The contact is told to the other boxes, which would read everything by themselves without.
        """
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self.synced:
                continue
            asked_at = self.clock.monotonic()
            with contextlib.suppress(StoreError):
                await self.store.get(PROBE_KEY)
                self.on_contact(asked_at)

    def relist_interval_s(self) -> float:
        """Return the seconds to the next read of everything, longer for a large configuration."""
        size = len(self.view.entries) * TYPICAL_OBJECT_BYTES
        return max(self.relist_s, size / MAX_RELIST_BYTES_PER_S)

    async def relist(self) -> None:
        """Read the whole configuration once and count what the watch had missed."""
        asked_at = self.clock.monotonic()
        objects = await self.store.list(CONFIG_PREFIX)
        for start in range(0, len(objects), RELIST_BATCH_OBJECTS):
            batch = objects[start : start + RELIST_BATCH_OBJECTS]
            self.missed_updates += self.view.apply_all(view_update(stored) for stored in batch)
            # A large configuration must not hold up the streams that this box serves.
            await asyncio.sleep(0)
        self.last_relist_at = asked_at
        self.on_contact(asked_at)
