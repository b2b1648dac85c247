"""Read response bodies up to a bound."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from aiohttp.http_exceptions import LineTooLong

from calicopath_core.backends.base import AnswerTooLarge

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

MAX_STAGE_BYTES = 16 * 1024 * 1024
"""Longest answer of a stage pool or a plain service."""

MAX_GENERATION_BYTES = 64 * 1024 * 1024
"""Longest stream of an engine."""

MAX_STORE_BYTES = 64 * 1024 * 1024
"""Longest answer of the object API: the configurations of 6,400 workspaces take some megabytes."""


LINE_ERRORS = (ValueError, LineTooLong)
"""What versions of the library raise for a line that is too long."""


async def read_body(answer: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return a body; raise `AnswerTooLarge` and close its connection if it is too long."""
    parts = []
    left = max_bytes - (answer.content_length or 0)
    if left >= 0:
        left = max_bytes
        async for part in answer.content.iter_any():
            parts.append(part)
            left -= len(part)
            if left < 0:
                break
    if left < 0:
        answer.close()
        raise AnswerTooLarge(f'{answer.url.path}: a body of over {max_bytes} bytes')
    return b''.join(parts)


async def read_lines(
    answer: aiohttp.ClientResponse, max_bytes: float = math.inf
) -> AsyncIterator[bytes]:
    """Yield the lines of a body; raise `AnswerTooLarge` if one or all of them are too long.

    A line may be twice as long as the session's buffer.
    """
    left = max_bytes
    while True:
        try:
            line = await answer.content.readline()
        except LINE_ERRORS as error:
            raise AnswerTooLarge(f'{answer.url.path}: {error}') from error
        if not line:
            return
        left -= len(line)
        if left < 0:
            raise AnswerTooLarge(f'{answer.url.path}: a stream of over {max_bytes} bytes')
        yield line
