"""Decide how long to wait after failed store calls, for all record kinds of one box together.

Handles a store that is down, resets connections or rejects boxes, for seconds and for many boxes at
once. Each box still tests the store itself, since the store may fail only the relays, but the
result of one call holds for all kinds of records, and calls can be rare.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.fleet.store import RecordKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.feed import RecordFeed

INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 0.8
"""How long to wait after a failed call: doubled each time, with jitter, so that boxes do not retry
at the same time."""

OUTAGE_INITIAL_DELAY_S = 0.8
OUTAGE_MAX_DELAY_S = 3.0
"""The same while the store fails the relays too, which will report when it is back."""

MAX_DOUBLINGS = 6
"""More doublings than any delay needs to reach its maximum."""

PROBE_KIND = RecordKind.REPLICA
"""The kind that is requested while the store fails; the others follow once it answers. If each kind
probed by itself, three kinds would cost a box 20 calls in the first 6 s of an outage (12 boxes,
virtual time); with one probe four kinds cost 4."""

PROBE_FIRST_S = 12.0
"""How long the other kinds wait for the probe, whose answers are the largest and may be all that
fails. Longer than known outages (3 to 9 s), at whose end all boxes would otherwise request every
kind."""

RELAY_GRACE_S = 1.0
"""How long relays may take to pass on the store's answers before a box that the store answered
requests what is not urgent, or lists records whose history the store has lost. Without it, when the
store left watches unanswered for a second and then lost its history, each of 83 boxes made four
failed calls, lost four histories and read four lists; with it a box makes one to four calls."""

URGENT_KINDS = (PROBE_KIND, RecordKind.DEPLOYMENT)
"""Kinds that a box requests at once when the store answers it and not its relays: a configuration
must be in force 2 s after it was acknowledged, even if all relays are cut off."""

CHECK_INTERVAL_S = 0.05
"""How often to check whether the probe was answered."""


class OutageBackoff:
    """Control a box's calls while the store fails; `store_fails_relays` takes the current time."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        feeds: Mapping[RecordKind, RecordFeed],
        store_fails_relays: Callable[[float], bool],
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.feeds = feeds
        self.store_fails_relays = store_fails_relays
        self.outage_since: float | None = None
        self.probe_answered_at: float | None = None

    def must_wait(self, kind: RecordKind) -> bool:
        """Tell whether a kind waits for the probe to show if the store fails this box too."""
        now = self.clock.monotonic()
        if not self.store_fails_relays(now):
            self.outage_since = self.probe_answered_at = None
            return False
        if self.outage_since is None:
            self.outage_since = now
        if self.probe_answered_at is None and self.probe_answered(self.outage_since):
            self.probe_answered_at = now
        return kind is not PROBE_KIND and now < self.waits_until(kind, self.outage_since)

    def waits_until(self, kind: RecordKind, since: float) -> float:
        """Return until when a kind waits in an outage that began at `since`."""
        if self.probe_answered_at is None:
            return since + PROBE_FIRST_S
        return self.probe_answered_at + (0.0 if kind in URGENT_KINDS else RELAY_GRACE_S)

    def is_probe_due(self, kind: RecordKind) -> bool:
        """Tell whether the next call of a kind is the probe, which should end soon."""
        return (
            kind is PROBE_KIND
            and self.outage_since is not None
            and not self.probe_answered(self.outage_since)
        )

    def probe_answered(self, since: float) -> bool:
        """Tell whether the store has answered the probe since a given time."""
        probe = self.feeds[PROBE_KIND]
        has_answered = probe.contact_at is not None and probe.contact_at >= since
        return has_answered and probe.failing_since is None

    async def back_off(self, kind: RecordKind, failures: int) -> None:
        """Wait after a number of consecutive failures of a kind, and until the probe succeeds."""
        await asyncio.sleep(self.delay_s(failures) * self.rng.uniform(0.5, 1.0))
        if kind is PROBE_KIND:
            return
        ends_at = self.clock.monotonic() + PROBE_FIRST_S
        while self.feeds[PROBE_KIND].failing_since is not None and self.clock.monotonic() < ends_at:
            await asyncio.sleep(CHECK_INTERVAL_S)

    def delay_s(self, failures: int) -> float:
        """Return the delay after a number of consecutive failures, before jitter."""
        initial_s, max_s = INITIAL_DELAY_S, MAX_DELAY_S
        if self.store_fails_relays(self.clock.monotonic()):
            initial_s, max_s = OUTAGE_INITIAL_DELAY_S, OUTAGE_MAX_DELAY_S
        return min(max_s, float(initial_s * 2 ** min(failures - 1, MAX_DOUBLINGS)))
