"""Restart background tasks that fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from calicopathd import events

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

log = structlog.get_logger(__name__)

RESTART_DELAY_S = 1.0


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run `work` until cancelled; restart it a second after it fails or returns."""
    while True:
        try:
            await work()
        except Exception as error:
            events.emit(log, events.TASK_FAILED, task=name, exc_info=error)
        await asyncio.sleep(RESTART_DELAY_S)
