"""Receive one HTTP/1.1 response on a connection."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

PAUSE_BYTES = 256 * 1024
"""Number of unread body bytes above which the connection pauses reading."""


class ResponseHead(NamedTuple):
    """Hold the status and the ordered headers of a response."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or `None`; the case of the name is ignored."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None

    @property
    def content_length(self) -> int:
        """Return the length that the response states, 0 if it states none."""
        text = self.get('content-length') or ''
        return int(text) if text.isascii() and text.isdigit() else 0

    @property
    def has_framing(self) -> bool:
        """Return whether the response has a length or chunks, and does not end by closing."""
        return any(self.get(name) is not None for name in ('content-length', 'transfer-encoding'))

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header in order; the case of the name is ignored."""
        wanted = name.lower()
        return [value for key, value in self.headers if key.lower() == wanted]


class InboundResponse:
    """Buffer one response; `is_complete` is true once all of it was received."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.head: asyncio.Future[ResponseHead] = asyncio.get_running_loop().create_future()
        self.chunks: list[bytes] = []
        self.unread_bytes = 0
        self.is_complete = False
        self.error: Exception | None = None
        self.changed = asyncio.Event()

    @property
    def is_over(self) -> bool:
        """Tell whether nothing more will be received."""
        return self.is_complete or self.error is not None

    def on_head(self) -> None:
        """Complete the head after the last header."""
        if not self.head.done():
            self.head.set_result(ResponseHead(self.status, tuple(self.headers)))

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self.chunks.append(data)
        self.unread_bytes += len(data)
        self.changed.set()

    def on_end(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True
        self.changed.set()

    def on_error(self, error: Exception) -> None:
        """Record that the response failed, unless it is complete or failed before."""
        if self.is_complete or self.error is not None:
            return
        self.error = error
        if not self.head.done():
            self.head.set_exception(error)
            # Marks the exception as retrieved: a caller that was cancelled does not await it.
            self.head.exception()
        self.changed.set()

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, `None` at its end.

        Raise `MayHaveRun` if the response is incomplete, its subclass `ConnectionBroken` if the
        connection was lost.
        """
        while not self.chunks:
            if self.is_complete:
                return None
            if self.error is not None:
                # Not wrapped: `ConnectionBroken` tells that the replica may have crashed.
                raise self.error
            self.changed.clear()
            await self.changed.wait()
        data = b''.join(self.chunks)
        self.chunks.clear()
        self.unread_bytes = 0
        return data
