"""Receive one HTTP/1.1 answer on a connection."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

PAUSE_BYTES = 256 * 1024
"""Body bytes that wait unread before the connection stops reading."""


class ResponseHead(NamedTuple):
    """Hold an answer's status and headers, in order."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Return the value of a header, whatever the case of its name."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None

    def get_all(self, name: str) -> list[str]:
        """Return every value of a header."""
        wanted = name.lower()
        return [value for key, value in self.headers if key.lower() == wanted]


class InboundResponse:
    """Hold what has come of one answer; `ended` tells whether it is whole."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.head: asyncio.Future[ResponseHead] = asyncio.get_running_loop().create_future()
        self.chunks: list[bytes] = []
        self.unread_bytes = 0
        self.is_complete = False
        self.error: Exception | None = None
        self.changed = asyncio.Event()

    def on_head(self) -> None:
        """Take the end of the headers in."""
        if not self.head.done():
            self.head.set_result(ResponseHead(self.status, tuple(self.headers)))

    def on_body(self, data: bytes) -> None:
        """Take some of the body in."""
        self.chunks.append(data)
        self.unread_bytes += len(data)
        self.changed.set()

    def on_end(self) -> None:
        """Note that the answer is whole."""
        self.is_complete = True
        self.changed.set()

    def on_error(self, error: Exception) -> None:
        """Note that no more will come."""
        if self.is_complete or self.error is not None:
            return
        self.error = error
        if not self.head.done():
            self.head.set_exception(error)
            # Whoever gave up waiting will not fetch it.
            self.head.exception()
        self.changed.set()

    async def read(self) -> bytes | None:
        """Return the next bytes, nothing at the end; raise `MayHaveRun` if the answer was cut.

        It is a `ConnectionBroken` where the connection was lost.
        """
        while not self.chunks:
            if self.is_complete:
                return None
            if self.error is not None:
                # As it is: whether the connection broke tells whether the replica may have ended.
                raise self.error
            self.changed.clear()
            await self.changed.wait()
        data = b''.join(self.chunks)
        self.chunks.clear()
        self.unread_bytes = 0
        return data
