"""Give the time to everything that waits or measures."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Clock(ABC):
    """Tell the time; tests and the bench bring their own."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since 1970 in UTC; may jump, so nothing safe rests on it."""


SUSPENDED_S = 0.05
"""How far the two clocks must part to be told from the time between reading them."""

READINGS = 3


def boot_lead_s() -> float:
    """Return how far the clock that counts suspensions is ahead of the steady one."""
    return min(
        time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
        for _ in range(READINGS)
    )


class LoopClock(Clock):
    """Read the running event loop's time, so that a virtual loop makes it a fake clock."""

    def monotonic(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the system's time in seconds since 1970."""
        return time.time()


class SuspensionClock(LoopClock):
    """Count the time too in which the machine was suspended, and the loop's time stood still.

    Leases, deadlines and the ages of beliefs are then as old as they are. Not for what is handed to
    the loop as a point in time; spans are alike on both clocks.
    """

    def __init__(self, *, lead_s: Callable[[], float] = boot_lead_s) -> None:
        self.lead_s = lead_s
        self.first_lead_s = lead_s()
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        """Return the event loop's time and what the machine was suspended for, in seconds."""
        suspended_s = self.lead_s() - self.first_lead_s
        if suspended_s > self.suspended_s + SUSPENDED_S:
            self.suspended_s = suspended_s
        return super().monotonic() + self.suspended_s
