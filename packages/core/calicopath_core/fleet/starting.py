"""Synchronize a starting box through relays, so that it makes few store calls.

Needed when many boxes start at once: a fleet of 195 boxes, a rolling restart, or a crash of all
boxes. A box writes its record, reads which boxes are relays, and receives everything else from
them; it reads the store itself only if no relay answers. This saves about eleven calls per start:
1,191 instead of 3,444 when 195 boxes start on a quiet day.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.fleet.store import FleetStoreError, RecordKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from calicopath_core.fleet.relays import RelaySelection
    from calicopath_core.fleet.store import FleetStore
    from calicopath_core.scheduling.election import BoxAddress

FIRST_CALL_WAIT_S = 0.1
"""How long to wait for the box's own record before reading: both calls then share one connection. A
starting fleet opens hundreds of connections to the store."""

REGISTRATION_WAIT_S = 0.5
"""How long to wait for the box's own record: a list read after it contains every older box."""

RECORDED_RELAYS_RETRY_S = 0.6
"""When a small box looks again for relays that no box has recorded yet. When a fleet starts, the
future relays have read the list and recorded themselves by then."""

INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
"""How long to wait after a failed read of the relays. Callers are refused until it succeeds, so the
first delay is short; it doubles each time, since each starting box would otherwise call a store
that resets connections 60 times."""

RELAY_SYNC_WAIT_S = 0.8
"""How long relays may take to send all records. They answer within some ms, or in about half a
second while they read the records themselves as a fleet starts."""

LIST_WAIT_S = 1.0
"""How long the list of boxes may take before the box reads everything itself."""

STARTUP_TIMEOUT_S = 6.0
"""How long the whole synchronization may take with a slow or silent store."""

CHECK_INTERVAL_S = 0.02


class StartupSync:
    """Synchronize a starting box; `readable_kinds` are the kinds it may read from the store."""

    def __init__(
        self,
        *,
        own: BoxAddress,
        store: FleetStore,
        relay_selection: RelaySelection,
        subscribe: Callable[[str], None],
        synced: Callable[[RecordKind], bool],
        on_store_error: Callable[[FleetStoreError], None],
    ) -> None:
        self.own = own
        self.store = store
        self.relay_selection = relay_selection
        self.subscribe = subscribe
        self.synced = synced
        self.on_store_error = on_store_error
        self.registered = False
        self.readable_kinds: frozenset[RecordKind] = frozenset()

    def may_read(self, kind: RecordKind) -> bool:
        """Tell whether the box may read a kind directly from the store."""
        is_single_kind = len(self.readable_kinds) == 1
        return kind in self.readable_kinds and not (is_single_kind and self.synced(kind))

    async def run(self) -> None:
        """Synchronize through relays if they answer, then allow the box to read the store."""
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                await self.sync_from_relays()
        except TimeoutError:
            pass
        finally:
            self.readable_kinds = frozenset(RecordKind)

    async def sync_from_relays(self) -> None:
        """Wait until all records are known, or until the box should read them from the store."""
        await self.wait_until(lambda: self.registered, FIRST_CALL_WAIT_S)
        recorded = await self.recorded_relays()
        if any(box.name == self.own.name for box in recorded):
            # This box was a relay before it restarted; after a crash of all boxes the others wait
            # for it.
            return
        if recorded and await self.subscribe_and_wait(recorded):
            return
        await self.wait_until(lambda: self.registered, REGISTRATION_WAIT_S)
        self.readable_kinds = frozenset({RecordKind.BOX})
        await self.wait_until(lambda: self.synced(RecordKind.BOX), LIST_WAIT_S)
        self.readable_kinds = frozenset()
        if not self.relay_selection.is_relay:
            await self.subscribe_and_wait(self.relay_selection.relays)

    async def recorded_relays(self) -> tuple[BoxAddress, ...]:
        """Return the relays recorded in the store, as soon as the store answers."""
        found = await self.read_relays()
        if found is None and self.own.small:
            await asyncio.sleep(RECORDED_RELAYS_RETRY_S)
            found = await self.read_relays()
        return found or ()

    async def read_relays(self) -> tuple[BoxAddress, ...] | None:
        """Return the relays recorded in the store, `None` if none were recorded.

        A failed read is retried: boxes that instead read everything themselves once the store is
        back would make ten times as many calls.
        """
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                return await self.store.read_relays()
            except FleetStoreError as error:
                self.on_store_error(error)
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)

    async def subscribe_and_wait(self, relays: Iterable[BoxAddress]) -> bool:
        """Subscribe to relays; return whether they sent all records in time."""
        self.relay_selection.on_recorded(relays)
        for address in self.relay_selection.candidates:
            self.subscribe(address)
        return await self.wait_until(self.is_synced, RELAY_SYNC_WAIT_S)

    def is_synced(self) -> bool:
        """Tell whether every kind was read once."""
        return all(self.synced(kind) for kind in RecordKind)

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait for a condition until a timeout; return whether it holds."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        while not condition() and loop.time() < ends_at:
            await asyncio.sleep(CHECK_INTERVAL_S)
        return condition()
