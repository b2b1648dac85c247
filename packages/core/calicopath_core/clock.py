"""Define the clocks from which all other code reads the time."""

from __future__ import annotations

import asyncio
import math
import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Clock(ABC):
    """Define a source of time; tests and benchmarks have their own."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never decrease, since an arbitrary start."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since 1970 in UTC; may jump, so no guarantee may depend on it."""


MIN_SUSPENSION_S = 0.05
"""Shortest suspension that is detected; less may be the time between reading the two clocks."""

CHECK_INTERVAL_S = 0.02
"""Interval of the checks for suspensions; a check takes five times as long as reading the loop's
time."""


def boottime_lead_s() -> float:
    """Return the seconds by which `CLOCK_BOOTTIME`, which counts suspensions, is ahead.

    It is read before `CLOCK_MONOTONIC`, so that a pause between the two readings makes the result
    too small, never too large.
    """
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)


class LoopClock(Clock):
    """Read the running event loop's time; with a virtual event loop it is a fake clock."""

    def monotonic(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the system time in seconds since 1970."""
        return time.time()


class SuspensionClock(LoopClock):
    """Include the time for which the machine was suspended, which the loop's time leaves out.

    Leases, deadlines and the age of estimates then include suspensions. Its readings must not be
    passed to the event loop as points in time; durations are the same on both clocks.
    """

    def __init__(self, *, lead_s: Callable[[], float] = boottime_lead_s) -> None:
        self.lead_s = lead_s
        self.initial_lead_s = lead_s()
        self.suspended_s = 0.0
        self.next_check_at = -math.inf

    def monotonic(self) -> float:
        """Return the event loop's time plus the time of all suspensions, in seconds."""
        now = asyncio.get_running_loop().time()
        if now >= self.next_check_at:
            self.next_check_at = now + CHECK_INTERVAL_S
            self.update_suspended()
        return now + self.suspended_s

    def update_suspended(self) -> None:
        """Update `suspended_s` if the machine was suspended since the last check."""
        suspended_s = self.lead_s() - self.initial_lead_s
        if suspended_s > self.suspended_s + MIN_SUSPENSION_S:
            self.suspended_s = suspended_s
