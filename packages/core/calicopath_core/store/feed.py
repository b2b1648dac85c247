"""Keep a box's view in sync with the platform, by a watch and by periodic full reads."""

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
"""A full read of the configuration recovers what a watch that stopped silently has missed."""

TYPICAL_OBJECT_BYTES = 500
MAX_RELIST_BYTES_PER_S = 16_000
"""Limit on the load of full reads; many boxes do them and share the results."""

PROBE_INTERVAL_S = 1.0
PROBE_KEY = 'probe'
"""The key need not exist: a reply that it is absent also proves contact."""

RELIST_BATCH_OBJECTS = 500
"""Objects applied to the view before other tasks get to run."""

RETRY_DELAY_S = 0.5
"""Delay before a retry after a store error."""


class StoreFeed:
    """Watch the configuration and read all of it periodically.

    The view applies only newer versions, so duplicate and reordered events are harmless.
    `missed_updates` counts updates that a full read found before the watch delivered them.
    `on_contact` is called with the monotonic time at which an answered read was sent.
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
        """Return whether the configuration was read completely at least once."""
        return self.last_relist_at is not None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.follow_watch())
            group.create_task(self.relist_periodically())
            group.create_task(self.probe_periodically())

    async def follow_watch(self) -> None:
        """Apply watch events, and start a new watch whenever one ends."""
        while True:
            with contextlib.suppress(StoreError):
                async for stored in self.store.watch(CONFIG_PREFIX):
                    self.view.apply(view_update(stored))
            await asyncio.sleep(self.retry_s)

    async def relist_periodically(self) -> None:
        """Read the whole configuration periodically."""
        while True:
            try:
                await self.relist()
            except StoreError as error:
                self.last_error = str(error)
                await asyncio.sleep(self.retry_s)
                continue
            await asyncio.sleep(self.relist_interval_s())

    async def probe_periodically(self) -> None:
        """Check by a cheap read every second that the platform answers.

        Each contact is reported to the other boxes, which would otherwise do full reads themselves.
        """
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self.synced:
                continue
            sent_at = self.clock.monotonic()
            with contextlib.suppress(StoreError):
                await self.store.get(PROBE_KEY)
                self.on_contact(sent_at)

    def relist_interval_s(self) -> float:
        """Return the seconds until the next full read, longer for a large configuration."""
        size = len(self.view.entries) * TYPICAL_OBJECT_BYTES
        return max(self.relist_s, size / MAX_RELIST_BYTES_PER_S)

    async def relist(self) -> None:
        """Read the whole configuration once and count the updates that the watch had missed."""
        sent_at = self.clock.monotonic()
        objects = await self.store.list(CONFIG_PREFIX)
        for start in range(0, len(objects), RELIST_BATCH_OBJECTS):
            batch = objects[start : start + RELIST_BATCH_OBJECTS]
            self.missed_updates += self.view.apply_all(view_update(stored) for stored in batch)
            # A large configuration must not delay the streams that this box serves.
            await asyncio.sleep(0)
        self.last_relist_at = sent_at
        self.on_contact(sent_at)
