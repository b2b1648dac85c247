"""Write one response to a caller's connection, or abort the connection."""

from __future__ import annotations

from abc import ABC, abstractmethod
from http.client import responses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
    )
)
"""Hop-by-hop headers, and `Content-Length`, which the responder sets itself."""


class ResponseChannel(ABC):
    """Send response bytes to a caller; `writable` is clear while the write buffer is full."""

    writable: asyncio.Event

    @property
    @abstractmethod
    def closing(self) -> bool:
        """Return whether the connection closes after the response."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Send bytes, or buffer them."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection once the buffered bytes are sent."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection at once and drop unsent bytes."""


class Responder:
    """Write one response to a connection."""

    def __init__(self, *, connection: ResponseChannel, keep_alive: bool) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.started = False
        self.finished = False

    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send a complete response."""
        self.started = True
        length = ('Content-Length', str(len(body)))
        self.write_head(status, headers, length)
        self.connection.write(body)
        self.on_finished()

    def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the status line and headers of a chunked response."""
        self.started = True
        self.write_head(status, headers, ('Transfer-Encoding', 'chunked'))

    async def send(self, data: bytes) -> None:
        """Send one chunk and wait until the channel is writable."""
        self.connection.write(b'%x\r\n%s\r\n' % (len(data), data))
        await self.connection.writable.wait()

    def finish(self) -> None:
        """Send the last chunk."""
        self.connection.write(b'0\r\n\r\n')
        self.on_finished()

    def abort(self) -> None:
        """Abort the connection unless the response is finished, so that it is seen as truncated."""
        if not self.finished:
            self.finished = True
            self.connection.abort()

    def write_head(
        self, status: int, headers: tuple[tuple[str, str], ...], framing: tuple[str, str]
    ) -> None:
        """Send the status line and headers, without those of `HOP_HEADERS`."""
        if self.connection.closing:
            self.keep_alive = False
        phrase = responses.get(status, 'Unknown')
        lines = [f'HTTP/1.1 {status} {phrase}']
        lines.extend(
            f'{name}: {value}' for name, value in headers if name.lower() not in HOP_HEADERS
        )
        lines.append(f'{framing[0]}: {framing[1]}')
        if not self.keep_alive:
            lines.append('Connection: close')
        self.connection.write('\r\n'.join([*lines, '', '']).encode('latin-1'))

    def on_finished(self) -> None:
        """Mark the response as finished, and close the connection unless it is kept alive."""
        self.finished = True
        if not self.keep_alive:
            self.connection.close()
