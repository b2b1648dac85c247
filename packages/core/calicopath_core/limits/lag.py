"""Measure the lag of this process's event loop, to tell its own overload from slow endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from calicopath_core.clock import Clock

SAMPLE_INTERVAL_S = 0.05
SAMPLE_WEIGHT = 0.2
"""Weight of one sample in the moving average."""

MAX_SAMPLE_S = 0.3
"""Upper bound of one sample, since a single long pause is not overload."""

MAX_LAG_S = 0.1
"""Average lag above which the box admits no more requests."""


class LoopLag:
    """Keep a moving average of the event loop's lag, in seconds."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.value_s = 0.0

    @property
    def is_too_high(self) -> bool:
        """Return whether the process is overloaded."""
        return self.value_s > MAX_LAG_S

    async def run(self) -> None:
        """Take samples until cancelled."""
        while True:
            await self.measure()

    async def measure(self) -> None:
        """Sleep for one interval and record how late the wake-up is."""
        due_at = self.clock.monotonic() + SAMPLE_INTERVAL_S
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        self.add_sample(max(0.0, self.clock.monotonic() - due_at))

    def add_sample(self, lag_s: float) -> None:
        """Add a sample to the average, at most `MAX_SAMPLE_S`."""
        self.value_s += (min(lag_s, MAX_SAMPLE_S) - self.value_s) * SAMPLE_WEIGHT
