"""Let a box that starts ask the store next to nothing: relays tell it what the store holds.

Answers many starts at once: a start of 195 boxes, a rolling restart of all, everything killed. A
box writes its record, reads which boxes are relays, and hears the rest from them; it reads by
itself only where none answers. That saves some eleven calls a start: 3,444 on a quiet day of 195
boxes where each reads everything, 1,191 so.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.fleet.store import FleetStoreError, RecordKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from calicopath_core.fleet.relays import RelayChoice
    from calicopath_core.fleet.store import FleetStore
    from calicopath_core.scheduling.election import BoxAddress

FIRST_CALL_S = 0.1
"""How long the box's own record is waited for before anything is read: both calls then use one
connection, of which the store gets hundreds as a fleet starts."""

REGISTERED_S = 0.5
"""How long the box's own record is waited for: a list read after it holds every older box."""

SECOND_LOOK_S = 0.6
"""When a small box looks again for relays that nobody has written down yet: as a fleet starts, the
boxes that will be relays have read the list and written themselves down by then."""

UNREAD_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
"""How long a failed call for that is waited out: callers are refused until it works, so shortly at
first; doubled each time, since a store that resets connections at once would be asked 60 times by
each box that starts."""

RELAYS_S = 0.8
"""How long relays may take to tell everything: they answer in some ms, and in about half a second
while they read it themselves as a fleet starts."""

LISTED_S = 1.0
"""How long the list of boxes may take before the box reads everything by itself."""

START_S = 6.0
"""How long all of this may take, with a store that answers slowly or not at all."""

CHECK_S = 0.02


class Start:
    """Hold how far a box's start has come; `open_kinds` are those it may read of the store."""

    def __init__(
        self,
        *,
        own: BoxAddress,
        store: FleetStore,
        choice: RelayChoice,
        subscribe: Callable[[str], None],
        synced: Callable[[RecordKind], bool],
        on_unread: Callable[[FleetStoreError], None],
    ) -> None:
        self.own = own
        self.store = store
        self.choice = choice
        self.subscribe = subscribe
        self.synced = synced
        self.on_unread = on_unread
        self.registered = False
        self.open_kinds: frozenset[RecordKind] = frozenset()

    def may_read(self, kind: RecordKind) -> bool:
        """Tell whether the box may read a kind of the store by itself."""
        only_list = len(self.open_kinds) == 1
        return kind in self.open_kinds and not (only_list and self.synced(kind))

    async def run(self) -> None:
        """Come to know everything, by relays if they answer; then the store may be read."""
        try:
            async with asyncio.timeout(START_S):
                await self.ask_relays()
        except TimeoutError:
            pass
        finally:
            self.open_kinds = frozenset(RecordKind)

    async def ask_relays(self) -> None:
        """Return once everything is known, or once the box should read it by itself."""
        await self.until(lambda: self.registered, FIRST_CALL_S)
        noted = await self.noted_relays()
        if any(box.name == self.own.name for box in noted):
            # This box was a relay before it restarted; if all were killed, others wait for it.
            return
        if noted and await self.hear(noted):
            return
        await self.until(lambda: self.registered, REGISTERED_S)
        self.open_kinds = frozenset({RecordKind.BOX})
        await self.until(lambda: self.synced(RecordKind.BOX), LISTED_S)
        self.open_kinds = frozenset()
        if not self.choice.is_relay:
            await self.hear(self.choice.relays)

    async def noted_relays(self) -> tuple[BoxAddress, ...]:
        """Return the relays that are written down, as soon as the store answers."""
        found = await self.read_relays()
        if found is None and self.own.small:
            await asyncio.sleep(SECOND_LOOK_S)
            found = await self.read_relays()
        return found or ()

    async def read_relays(self) -> tuple[BoxAddress, ...] | None:
        """Return what the store holds, or nothing if nobody wrote it.

        A store that fails is asked again: boxes that read everything by themselves as it returns
        would ask ten times as much of it.
        """
        pause_s = UNREAD_PAUSE_S
        while True:
            try:
                return await self.store.read_relays()
            except FleetStoreError as error:
                self.on_unread(error)
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    async def hear(self, relays: Iterable[BoxAddress]) -> bool:
        """Subscribe to relays; tell whether they have told everything in time."""
        self.choice.on_noted(relays)
        for address in self.choice.candidates:
            self.subscribe(address)
        return await self.until(self.knows_all, RELAYS_S)

    def knows_all(self) -> bool:
        """Tell whether every kind was read once."""
        return all(self.synced(kind) for kind in RecordKind)

    async def until(self, holds: Callable[[], bool], limit_s: float) -> bool:
        """Wait until something holds, for a while at most; tell whether it does."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + limit_s
        while not holds() and loop.time() < ends_at:
            await asyncio.sleep(CHECK_S)
        return holds()
