"""Keep blocked requests in the platform's store, for a fleet whose boxes are all started anew.

Boxes tell each other while any of them lives. The first of the relays, which read the store for
others anyway, writes what is blocked when that changes, and in each era of the store, and reads it
once in its life: a call a change and a call for each box that comes first.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.crashes.messages import Evidence
from calicopath_core.exceptions import CalicopathError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from calicopath_core.clock import Clock
    from calicopath_core.crashes.ledger import CrashLedger
    from calicopath_core.crashes.sharing import CrashSharing

LOOK_S = 0.3
"""How often it is looked whether there is anything to write."""

READ_LOOK_S = 0.02
"""How often it is looked whether it is this box's turn to read: callers wait for that."""

FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 8.0
"""How long a failed call is waited out; doubled each time."""

MAX_KEPT = 500
"""Blocked requests kept, the newest: 100 KB of the megabyte that a value may have."""


class KeptRequest(NamedTuple):
    """Hold a blocked request and when which replicas ended under it, in seconds since 1970."""

    content: str
    service: str
    ended: dict[str, float]


class BlockedKeeper:
    """Read and write what is blocked while it is this box's turn.

    `read` and `write` raise a `CalicopathError` if the store does not do it. `write` returns the
    store's era, `era` the newest one that the box knows of: what was written in an earlier one may
    be lost.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: CrashLedger,
        sharing: CrashSharing,
        is_due: Callable[[], bool],
        read: Callable[[], Awaitable[tuple[KeptRequest, ...]]],
        write: Callable[[tuple[KeptRequest, ...]], Awaitable[int]],
        era: Callable[[], int],
        on_failed: Callable[[Exception], None],
    ) -> None:
        self.clock = clock
        self.ledger = ledger
        self.sharing = sharing
        self.is_due = is_due
        self.read = read
        self.write = write
        self.era = era
        self.on_failed = on_failed
        self.has_read = False
        self.written: frozenset[tuple[str, str]] = frozenset()
        self.written_era = 0

    async def run(self) -> None:
        """Read once and write what changes, until cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            await asyncio.sleep(LOOK_S if self.sharing.complete else READ_LOOK_S)
            if not self.is_due():
                continue
            try:
                await self.step()
                pause_s = FIRST_PAUSE_S
            except CalicopathError as error:
                self.on_failed(error)
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    async def step(self) -> None:
        """Do what is due."""
        if not self.has_read:
            self.written_era = self.era()
            kept = await self.read()
            self.has_read = True
            self.written = frozenset((item.content, item.service) for item in kept)
            news = self.ledger.merge([self.evidence_of(item) for item in kept], 'store')
            self.sharing.report(news)
            self.sharing.on_complete()
        blocked = frozenset((key.content, key.service) for key in self.ledger.blocked)
        if blocked != self.written or self.written_era < self.era():
            self.written_era = await self.write(self.kept())
            self.written = blocked

    def evidence_of(self, kept: KeptRequest) -> Evidence:
        """Return what is kept with ages; the time of day may have jumped meanwhile."""
        now = self.clock.wall()
        ages = {name: max(0.0, now - at) for name, at in kept.ended.items()}
        ended = {name: (age_s, age_s) for name, age_s in ages.items()}
        return Evidence(kept.content, kept.service, ended, None)

    def kept(self) -> tuple[KeptRequest, ...]:
        """Return what is to be kept."""
        now = self.clock.wall()
        newest = sorted(self.ledger.blocked.values(), key=lambda item: -item.until)
        found = []
        for item in newest[:MAX_KEPT]:
            evidence = self.ledger.evidence_of(item.key)
            ended = {name: now - age_s for name, (age_s, _) in evidence.ended_s.items()}
            found.append(KeptRequest(evidence.content, evidence.service, ended))
        return tuple(found)
