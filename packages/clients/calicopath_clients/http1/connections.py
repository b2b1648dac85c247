"""Keep one HTTP/1.1 connection to a server, with one call on it at a time."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, cast

import httptools

from calicopath_clients.http1.answers import PAUSE_BYTES, Inbound
from calicopath_core.backends.base import ConnectionBroken, MayHaveRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_clients.http1.answers import Head

UNACKED_MS = 1000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
"""A peer that is silent on the network is given up after 1 to 3 s: it may be without power or
behind a cut, and says nothing of it."""

FIRST_FINAL_STATUS = 200
MAX_SURPLUS_ANSWERS = 2
"""Answers to earlier calls that are passed over while the own one is awaited."""


class Connection(asyncio.Protocol):
    """Send calls and receive their answers; bytes that belong to no call close it."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.inbound: Inbound | None = None
        self.current: Inbound | None = None
        self.accepts: Callable[[Head], bool] = lambda head: True
        self.surplus = 0
        self.clean = True
        self.closed = False
        self.keep = True
        self.has_length = False
        self.no_body = False
        self.used_at = 0.0
        self.idle_limit_s: float | None = None
        self.paused = False
        self.on_closed: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound how long a silent peer is waited for."""
        # uvloop's transports are no subclasses of asyncio's.
        self.transport = cast('asyncio.Transport', transport)
        sock = self.transport.get_extra_info('socket')
        if sock is not None:
            watch_silence(sock)

    def begin(
        self, data: list[bytes], accepts: Callable[[Head], bool], *, no_body: bool
    ) -> Inbound:
        """Send a call and return what comes of its answer."""
        assert self.transport is not None
        self.inbound = Inbound()
        self.accepts = accepts
        self.surplus = 0
        self.no_body = no_body
        self.transport.writelines(data)
        return self.inbound

    @property
    def usable(self) -> bool:
        """Tell whether another call may be sent: nothing of this one is still on its way."""
        free = not self.closed and self.clean and self.keep and self.inbound is None
        return free and self.transport is not None and not self.transport.get_write_buffer_size()

    def data_received(self, data: bytes) -> None:
        """Parse what comes; bytes that nobody waits for make the connection useless."""
        if self.inbound is None:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(MayHaveRun(f'the answer is no HTTP: {error}'))
            return
        if self.inbound is not None and self.inbound.size > PAUSE_BYTES and not self.paused:
            self.paused = True
            assert self.transport is not None
            self.transport.pause_reading()

    def resume(self) -> None:
        """Go on reading once what had come was taken."""
        if self.paused and not self.closed:
            self.paused = False
            assert self.transport is not None
            self.transport.resume_reading()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        if self.inbound is None:
            self.clean = False
            self.current = None
            return
        self.current = Inbound()
        self.has_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header in."""
        if self.current is None:
            return
        key = name.decode('latin-1')
        self.current.headers.append((key, value.decode('latin-1')))
        if key.lower() in ('content-length', 'transfer-encoding'):
            self.has_length = True

    def on_headers_complete(self) -> None:
        """Match the answer to the call, or pass it over."""
        current, inbound = self.current, self.inbound
        if current is None or inbound is None:
            return
        current.status = self.parser.get_status_code()
        if current.status < FIRST_FINAL_STATUS:
            self.current = None
            return
        current.on_head()
        if not self.accepts(current.head.result()):
            self.pass_over()
            return
        self.keep = self.parser.should_keep_alive() and self.has_length
        inbound.status, inbound.headers = current.status, current.headers
        inbound.on_head()
        self.current = inbound
        if self.no_body:
            self.keep = False
            self.finish()

    def pass_over(self) -> None:
        """Leave an answer aside that belongs to another call."""
        self.current = None
        self.surplus += 1
        self.clean = False
        if self.surplus > MAX_SURPLUS_ANSWERS or not self.has_length:
            self.fail(MayHaveRun('only answers to other calls came'))

    def on_body(self, data: bytes) -> None:
        """Take some of the body in."""
        if self.current is not None:
            self.current.on_body(data)

    def on_message_complete(self) -> None:
        """End the answer."""
        if self.current is not None and self.current is self.inbound:
            self.finish()

    def finish(self) -> None:
        """Note that the answer is whole; the connection is free again."""
        inbound, self.inbound, self.current = self.inbound, None, None
        if inbound is not None:
            inbound.on_end()

    def fail(self, error: Exception) -> None:
        """End the call with an error and close."""
        inbound, self.inbound, self.current = self.inbound, None, None
        if inbound is not None:
            inbound.on_error(error)
        self.abort()

    def eof_received(self) -> bool:
        """Take the end of an answer without a length for what it is."""
        current = self.current
        bodiless = current is None or current is not self.inbound
        if not bodiless and current is not None and current.head.done() and not self.has_length:
            self.finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End the call that was waiting."""
        self.closed = True
        self.on_closed()
        self.fail(ConnectionBroken(f'the connection was lost: {error!r}'))

    def abort(self) -> None:
        """Close at once; unsent bytes are dropped."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


def watch_silence(sock: socket.socket) -> None:
    """Have the kernel give up a peer that acknowledges nothing."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
