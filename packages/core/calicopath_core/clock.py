"""Give the time to everything that waits or measures."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Tell the time; tests and the bench bring their own."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since 1970 in UTC; may jump, so nothing safe rests on it."""


class LoopClock(Clock):
    """Read the running event loop's time, so that a virtual loop makes it a fake clock."""

    def monotonic(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the system's time in seconds since 1970."""
        return time.time()
