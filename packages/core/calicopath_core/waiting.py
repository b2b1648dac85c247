"""Wait for what replicas send, without blaming them for this box standing still."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from calicopath_core.clock import Clock

UNREAD_GRACE_S = 0.02
"""How much longer to wait once the time is over. Timers run before the tasks that data has woken,
so what came while the process was busy or suspended is handled only after them."""


@contextlib.asynccontextmanager
async def time_limit(clock: Clock, due_at: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` in a block that is not done at the monotonic time `due_at`."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        timer = loop.call_later(
            max(0.0, due_at - clock.monotonic()),
            lambda: limit.reschedule(loop.time() + UNREAD_GRACE_S),
        )
        try:
            yield
        finally:
            timer.cancel()


async def wait_until(clock: Clock, task: asyncio.Task[Any], due_at: float) -> float:
    """Wait until a task is done or the monotonic time `due_at` has passed.

    Return by how many seconds the end of the time was noticed too late, 0 if the task is done.
    """
    return await wait_until_any(clock, {task}, due_at)


async def wait_until_any(clock: Clock, tasks: set[asyncio.Task[Any]], due_at: float) -> float:
    """Wait until one of some tasks is done or the monotonic time `due_at` has passed.

    Return by how many seconds the end of the time was noticed too late, 0 if a task is done.
    """
    first = asyncio.FIRST_COMPLETED
    left_s = max(0.0, due_at - clock.monotonic())
    done, _ = await asyncio.wait(tasks, timeout=left_s, return_when=first)
    if done:
        return 0.0
    late_s = max(0.0, clock.monotonic() - due_at)
    await asyncio.wait(tasks, timeout=UNREAD_GRACE_S, return_when=first)
    return late_s


async def cancel_and_wait(task: asyncio.Task[Any]) -> None:
    """Cancel a task unless it is done, and wait until it has cleaned up; its result is dropped."""
    task.cancel()
    await asyncio.wait({task})
    if not task.cancelled():
        task.exception()
