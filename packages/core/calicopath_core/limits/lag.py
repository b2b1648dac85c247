"""Measure how late this process's own event loop is, so that it is not taken for others' faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from calicopath_core.clock import Clock

SAMPLE_INTERVAL_S = 0.05
SAMPLE_WEIGHT = 0.2
"""Weight of one measurement in the average."""

MAX_SAMPLE_S = 0.3
"""What one measurement counts at most: a single pause, however long, is not overload."""

MAX_LAG_S = 0.1
"""Lag beyond which the box takes no more requests."""


class LoopLag:
    """Keep the average lag of late."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.value_s = 0.0

    @property
    def is_too_high(self) -> bool:
        """Tell whether the process has more to do than it can."""
        return self.value_s > MAX_LAG_S

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            await self.measure()

    async def measure(self) -> None:
        """Measure once."""
        due_at = self.clock.monotonic() + SAMPLE_INTERVAL_S
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        self.add_sample(max(0.0, self.clock.monotonic() - due_at))

    def add_sample(self, lag_s: float) -> None:
        """Take one measurement in."""
        self.value_s += (min(lag_s, MAX_SAMPLE_S) - self.value_s) * SAMPLE_WEIGHT
