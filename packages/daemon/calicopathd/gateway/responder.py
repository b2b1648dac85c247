"""Write one answer to a caller's connection, byte for byte, or cut it."""

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
"""Headers that concern one connection only, or that are set anew here."""


class ResponseChannel(ABC):
    """Carry an answer's bytes to a caller; `writable` is set while the caller reads them."""

    writable: asyncio.Event

    @property
    @abstractmethod
    def closing(self) -> bool:
        """Tell whether the connection is to end after the answer."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Send bytes."""

    @abstractmethod
    def close(self) -> None:
        """Close once everything is sent."""

    @abstractmethod
    def abort(self) -> None:
        """Close at once."""


class Responder:
    """Write one answer to a connection."""

    def __init__(self, *, connection: ResponseChannel, keep_alive: bool) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.started = False
        self.finished = False

    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send a whole answer."""
        self.started = True
        length = ('Content-Length', str(len(body)))
        self.write_head(status, headers, length)
        self.connection.write(body)
        self.on_finished()

    def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the head of an answer in chunks."""
        self.started = True
        self.write_head(status, headers, ('Transfer-Encoding', 'chunked'))

    async def send(self, data: bytes) -> None:
        """Send one chunk, waiting while the caller does not read."""
        self.connection.write(b'%x\r\n%s\r\n' % (len(data), data))
        await self.connection.writable.wait()

    def finish(self) -> None:
        """Send the last chunk."""
        self.connection.write(b'0\r\n\r\n')
        self.on_finished()

    def abort(self) -> None:
        """Close the connection so that what was sent can't look whole."""
        if not self.finished:
            self.finished = True
            self.connection.abort()

    def write_head(
        self, status: int, headers: tuple[tuple[str, str], ...], framing: tuple[str, str]
    ) -> None:
        """Send status line and headers."""
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
        """Note that the answer is whole."""
        self.finished = True
        if not self.keep_alive:
            self.connection.close()
