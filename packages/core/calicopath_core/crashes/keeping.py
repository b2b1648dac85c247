"""Persist blocked requests in the platform's store, so that they survive a restart of all boxes.

As long as any box is running, boxes get the blocks from each other. The first of the relays writes
the blocked requests whenever they change and once in each era of the store, and reads them once
after it starts. This costs one store call per change and one per box that becomes the first relay.
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

WRITE_POLL_S = 0.3
"""How often this box checks whether there is anything to write."""

READ_POLL_S = 0.02
"""How often this box checks whether it has to read; short, because callers wait for the read."""

MIN_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 8.0
"""Upper limit of the delay after a failed call, which doubles with each failure."""

MAX_STORED = 500
"""Blocked requests stored, newest first: 100 KB of the 1 MB that a value may have."""


class StoredRequest(NamedTuple):
    """Hold a blocked request; `ended` maps crash IDs to crash times in seconds since 1970."""

    content: str
    service: str
    ended: dict[str, float]


class BlockedRequestPersister:
    """Read and write the blocked requests while `is_due` is true for this box.

    `read` and `write` raise a `CalicopathError` if the store call fails. `write` returns the era of
    the store, `era` the newest era known to this box; data written in an earlier era may be lost.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: CrashLedger,
        sharing: CrashSharing,
        is_due: Callable[[], bool],
        read: Callable[[], Awaitable[tuple[StoredRequest, ...]]],
        write: Callable[[tuple[StoredRequest, ...]], Awaitable[int]],
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
        """Read the stored blocks once and write changes, until cancelled."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            await asyncio.sleep(WRITE_POLL_S if self.sharing.complete else READ_POLL_S)
            if not self.is_due():
                continue
            try:
                await self.step()
                retry_delay_s = MIN_RETRY_DELAY_S
            except CalicopathError as error:
                self.on_failed(error)
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)

    async def step(self) -> None:
        """Read the stored blocks if this box has not yet, then write the blocks if they changed."""
        if not self.has_read:
            self.written_era = self.era()
            stored = await self.read()
            self.has_read = True
            self.written = frozenset((item.content, item.service) for item in stored)
            changed = self.ledger.merge([self.evidence_from(item) for item in stored], 'store')
            self.sharing.report(changed)
            self.sharing.on_complete()
        blocked = frozenset((key.content, key.service) for key in self.ledger.blocked_keys())
        if blocked != self.written or self.written_era < self.era():
            self.written_era = await self.write(self.requests_to_store())
            self.written = blocked

    def evidence_from(self, stored: StoredRequest) -> Evidence:
        """Convert a stored request to evidence; ages are clamped, as wall time may step back."""
        now = self.clock.wall()
        ages = {name: max(0.0, now - at) for name, at in stored.ended.items()}
        crash_ages_s = {name: (age_s, age_s) for name, age_s in ages.items()}
        return Evidence(stored.content, stored.service, crash_ages_s, None)

    def requests_to_store(self) -> tuple[StoredRequest, ...]:
        """Return the newest blocked requests, up to `MAX_STORED`."""
        now = self.clock.wall()
        newest = sorted(self.ledger.blocked.values(), key=lambda item: -item.until)
        keys = dict.fromkeys(key for item in newest for key in sorted(item.keys))
        found = []
        for key in list(keys)[:MAX_STORED]:
            evidence = self.ledger.evidence_for(key)
            crashed_at = {name: now - age_s for name, (age_s, _) in evidence.crash_ages_s.items()}
            found.append(StoredRequest(evidence.content, evidence.service, crashed_at))
        return tuple(found)
