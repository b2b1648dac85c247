"""Say how long failed calls to the store are waited out, for all kinds of one box together.

Answers a store that is down, resets connections or turns boxes away, for seconds and for many boxes
at once: each box asks by itself then, since the store may fail just those that are relays, but what
one call finds out holds for all kinds of records, and need not be found out often.
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
"""How long a failed call is waited out: doubled each time, with jitter, so that boxes do not come
back together."""

OUTAGE_INITIAL_DELAY_S = 0.8
OUTAGE_MAX_DELAY_S = 3.0
"""The same while the store fails the relays as well: they will tell when it is back."""

MAX_DOUBLINGS = 6
"""Pauses are at their longest before they were doubled so often."""

PROBE_KIND = RecordKind.REPLICA
"""The kind that is asked for while the store fails; the others are asked for once it answers. Each
for itself, three kinds cost a box 20 calls in the first 6 s of an outage (12 boxes, virtual time);
so, four cost 4."""

PROBE_FIRST_S = 12.0
"""How long the others wait for the probe: its own answers, the largest, may be all that fails.
Longer than the outages seen (3 to 9 s), at whose end all boxes would else ask for each kind."""

RELAY_GRACE_S = 1.0
"""How long relays may take to tell what the store has told them, before a box that found it
answered asks for what can wait, or reads what the store has forgotten anew. Each of 83 boxes made
four calls in vain, lost four histories and read four lists when the store told watches nothing for
a second and then forgot its history (log lines); with this it makes one to four calls in all."""

URGENT_KINDS = (PROBE_KIND, RecordKind.DEPLOYMENT)
"""Kinds that a box asks for at once when it is answered and its relays are not: a configuration
must be in force 2 s after it was acknowledged, also where all relays are cut off."""

CHECK_INTERVAL_S = 0.05
"""How often it is looked whether the probe was answered."""


class OutageBackoff:
    """Hold how a box asks while the store fails; `fails_relays` tells if it fails those too."""

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
        """Tell whether a kind waits for the probe to find out if the store fails this box too."""
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
        """Return until when a kind waits, in an outage that began at some time."""
        if self.probe_answered_at is None:
            return since + PROBE_FIRST_S
        return self.probe_answered_at + (0.0 if kind in URGENT_KINDS else RELAY_GRACE_S)

    def is_probe_due(self, kind: RecordKind) -> bool:
        """Tell whether the next call of a kind should find out soon if the store fails this box."""
        return (
            kind is PROBE_KIND
            and self.outage_since is not None
            and not self.probe_answered(self.outage_since)
        )

    def probe_answered(self, since: float) -> bool:
        """Tell whether the store has answered the probe since some time."""
        probe = self.feeds[PROBE_KIND]
        heard = probe.contact_at is not None and probe.contact_at >= since
        return heard and probe.failing_since is None

    async def back_off(self, kind: RecordKind, failures: int) -> None:
        """Wait before a kind is asked for again of which so many calls in a row have failed."""
        await asyncio.sleep(self.delay_s(failures) * self.rng.uniform(0.5, 1.0))
        if kind is PROBE_KIND:
            return
        ends_at = self.clock.monotonic() + PROBE_FIRST_S
        while self.feeds[PROBE_KIND].failing_since is not None and self.clock.monotonic() < ends_at:
            await asyncio.sleep(CHECK_INTERVAL_S)

    def delay_s(self, failures: int) -> float:
        """Return how long a failed call is waited out."""
        first_s, most_s = INITIAL_DELAY_S, MAX_DELAY_S
        if self.store_fails_relays(self.clock.monotonic()):
            first_s, most_s = OUTAGE_INITIAL_DELAY_S, OUTAGE_MAX_DELAY_S
        return min(most_s, float(first_s * 2 ** min(failures - 1, MAX_DOUBLINGS)))
