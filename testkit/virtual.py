"""Run asyncio code on virtual time, independent of the speed of the machine."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

from calicopath_core.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar('T')

WALL_START_S = 1_800_000_000.0
"""Wall clock at the start of virtual time, in seconds since 1970."""


class DeadlockError(RuntimeError):
    """Raised when every task waits and no timer can wake one."""


class VirtualSelector(selectors.DefaultSelector):
    """Advance the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Advance the time by the timeout and return the ready events."""
        if timeout is None:
            raise DeadlockError('every task waits and no timer is set')
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Use the selector's virtual time."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return virtual seconds since the loop was created."""
        return self.virtual_selector.now

    def stand_still(self, seconds: float) -> None:
        """Advance the time without running anything, as if the process stood still."""
        self.virtual_selector.now += seconds


class VirtualClock(Clock):
    """Return virtual time; `wall_error_s` is the error of the wall clock."""

    def __init__(self, *, wall_error_s: float = 0.0) -> None:
        self.wall_error_s = wall_error_s

    def monotonic(self) -> float:
        """Return the loop's virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return virtual seconds since 1970."""
        return WALL_START_S + self.monotonic() + self.wall_error_s


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
