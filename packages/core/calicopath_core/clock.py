"""Give the time to everything that waits or measures."""

from __future__ import annotations

import asyncio
import math
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


MIN_SUSPENSION_S = 0.05
"""How far the two clocks must part to be told from the time between reading them."""

CHECK_INTERVAL_S = 0.02
"""How often it is looked whether they have: a look takes five times as long as the loop's time."""


def boottime_lead_s() -> float:
    """Return how far the clock that counts suspensions is ahead of the steady one.

    It is read first, so that a pause between the two readings makes the lead less, never more.
    """
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)


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

    def __init__(self, *, lead_s: Callable[[], float] = boottime_lead_s) -> None:
        self.lead_s = lead_s
        self.initial_lead_s = lead_s()
        self.suspended_s = 0.0
        self.next_check_at = -math.inf

    def monotonic(self) -> float:
        """Return the event loop's time and what the machine was suspended for, in seconds."""
        now = asyncio.get_running_loop().time()
        if now >= self.next_check_at:
            self.next_check_at = now + CHECK_INTERVAL_S
            self.update_suspended()
        return now + self.suspended_s

    def update_suspended(self) -> None:
        """See whether the machine was suspended since the last look."""
        suspended_s = self.lead_s() - self.initial_lead_s
        if suspended_s > self.suspended_s + MIN_SUSPENSION_S:
            self.suspended_s = suspended_s
