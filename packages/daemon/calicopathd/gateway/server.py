"""Accept HTTP/1.1 connections and hand each request over whole.

Sanic serves the callers' own interface. Here answers must go out byte for byte, and one that is cut
must be cut on the connection itself, which a web framework decides on its own; so the parser is a
library's (httptools, the one sanic brings) and the rest is here.
"""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod
from http.client import responses
from typing import TYPE_CHECKING, NamedTuple, cast

import httptools

if TYPE_CHECKING:
    from calicopath_core.fleet.deployment import ClientLimits

STATUS_BAD_REQUEST = 400
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_HEADER_TOO_LARGE = 431

MAX_PIPELINED = 16
"""Requests of one connection that may wait for the one in progress."""

MAX_WAITING_BYTES = 256 * 1024
"""Unsent bytes of an answer beyond which the sender waits for the caller to read."""

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


class RawRequest(NamedTuple):
    """Hold a request as it came; `received_at` is the loop's time of its head's first byte."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float
    keep_alive: bool


class RequestHandler(ABC):
    """Serve requests."""

    @abstractmethod
    async def handle(self, request: RawRequest, responder: Responder) -> None:
        """Give one final answer through the responder."""

    @abstractmethod
    def limits(self) -> ClientLimits:
        """Return what callers may send at the moment."""

    @abstractmethod
    def on_bad_request(self, status: int, reason: str) -> None:
        """Note a request that was refused before it was read."""


class Responder:
    """Write one answer to a connection."""

    def __init__(self, *, connection: ServerConnection, keep_alive: bool) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.begun = False
        self.ended = False

    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send a whole answer."""
        self.begun = True
        length = ('Content-Length', str(len(body)))
        self.write_head(status, headers, length)
        self.connection.write(body)
        self.end()

    def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the head of an answer in chunks."""
        self.begun = True
        self.write_head(status, headers, ('Transfer-Encoding', 'chunked'))

    async def send(self, data: bytes) -> None:
        """Send one chunk, waiting while the caller does not read."""
        self.connection.write(b'%x\r\n%s\r\n' % (len(data), data))
        await self.connection.writable.wait()

    def finish(self) -> None:
        """Send the last chunk."""
        self.connection.write(b'0\r\n\r\n')
        self.end()

    def cut(self) -> None:
        """Close the connection so that what was sent can't look whole."""
        if not self.ended:
            self.ended = True
            self.connection.abort()

    def write_head(
        self, status: int, headers: tuple[tuple[str, str], ...], framing: tuple[str, str]
    ) -> None:
        """Send status line and headers."""
        if self.connection.server.closing:
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

    def end(self) -> None:
        """Note that the answer is whole."""
        self.ended = True
        if not self.keep_alive:
            self.connection.close()


class Incoming:
    """Hold a request while it comes in."""

    def __init__(self, *, received_at: float) -> None:
        self.received_at = received_at
        self.target = b''
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.body_size = 0
        self.head_done = False


class ServerConnection(asyncio.Protocol):
    """Hold one caller's connection: one request in progress, a few waiting."""

    def __init__(self, *, server: HttpServer) -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.incoming: Incoming | None = None
        self.head_bytes = 0
        self.waiting: list[RawRequest] = []
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for the first request."""
        # uvloop's transports are no subclasses of asyncio's.
        self.transport = cast('asyncio.Transport', transport)
        self.transport.set_write_buffer_limits(high=MAX_WAITING_BYTES)
        self.server.connections.add(self)
        self.await_request()

    def await_request(self) -> None:
        """Wait for a request as long as the limits allow a connection to rest."""
        self.set_timer(self.server.handler.limits().idle_s)

    def set_timer(self, seconds: float) -> None:
        """Have the connection looked at after a while."""
        self.stop_timer()
        self.timer = self.loop.call_later(seconds, self.on_timer)

    def stop_timer(self) -> None:
        """Wait for nothing."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_timer(self) -> None:
        """Close a connection that rests, or refuse a request that stalls."""
        if self.incoming is not None:
            self.refuse(STATUS_TIMEOUT, 'the request came too slowly')
        else:
            self.close()

    def data_received(self, data: bytes) -> None:
        """Parse what comes, within the limits."""
        if self.refused:
            return
        if self.incoming is None or not self.incoming.head_done:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.refuse(STATUS_BAD_REQUEST, f'no HTTP request: {error}')
            return
        waiting_head = self.incoming is not None and not self.incoming.head_done
        if waiting_head and self.head_bytes > self.server.handler.limits().header_bytes:
            self.refuse(STATUS_HEADER_TOO_LARGE, 'the headers are too large')

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.incoming = Incoming(received_at=self.loop.time())
        if self.task is None:
            self.set_timer(self.server.handler.limits().header_s)

    def on_url(self, url: bytes) -> None:
        """Take the target in."""
        if self.incoming is not None:
            self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header in."""
        if self.incoming is not None:
            self.incoming.headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Check the head."""
        incoming = self.incoming
        if incoming is None:
            return
        incoming.head_done = True
        self.head_bytes = 0
        size = len(incoming.target) + sum(
            len(name) + len(value) for name, value in incoming.headers
        )
        if size > self.server.handler.limits().header_bytes:
            self.refuse(STATUS_HEADER_TOO_LARGE, 'the headers are too large')
            return
        for name, value in incoming.headers:
            if (
                name.lower() == 'content-length'
                and int(value) > self.server.handler.limits().body_bytes
            ):
                self.refuse(STATUS_TOO_LARGE, 'the body is too large')
                return
            if name.lower() == 'expect' and value.lower() == '100-continue':
                self.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        if self.task is None:
            self.set_timer(self.server.handler.limits().idle_s)

    def on_body(self, data: bytes) -> None:
        """Take some of the body in."""
        incoming = self.incoming
        if incoming is None or self.refused:
            return
        incoming.body.append(data)
        incoming.body_size += len(data)
        if incoming.body_size > self.server.handler.limits().body_bytes:
            self.refuse(STATUS_TOO_LARGE, 'the body is too large')

    def on_message_complete(self) -> None:
        """Hand a whole request over, after those before it."""
        incoming, self.incoming = self.incoming, None
        if incoming is None or self.refused:
            return
        request = RawRequest(
            method=self.parser.get_method().decode('latin-1'),
            target=incoming.target.decode('latin-1'),
            headers=tuple(incoming.headers),
            body=b''.join(incoming.body),
            received_at=incoming.received_at,
            keep_alive=self.parser.should_keep_alive(),
        )
        self.waiting.append(request)
        if len(self.waiting) > MAX_PIPELINED:
            self.refuse(STATUS_BAD_REQUEST, 'too many requests wait on the connection')
            return
        if self.task is None:
            self.serve_next()

    def serve_next(self) -> None:
        """Serve the request that waits longest."""
        self.stop_timer()
        request = self.waiting.pop(0)
        self.task = self.loop.create_task(self.serve(request))

    async def serve(self, request: RawRequest) -> None:
        """Have one request answered; a caller that leaves cancels it."""
        responder = Responder(connection=self, keep_alive=request.keep_alive)
        self.server.in_progress += 1
        try:
            await self.server.handler.handle(request, responder)
        finally:
            self.server.in_progress -= 1
            self.task = None
            responder.cut()
            self.after_request()

    def after_request(self) -> None:
        """Go on with what waits."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.refused:
            self.close()
        elif self.waiting:
            self.serve_next()
        elif self.incoming is not None:
            self.set_timer(self.server.handler.limits().header_s)
        elif self.server.closing and self.server.closing_idle:
            self.close()
        else:
            self.await_request()

    def refuse(self, status: int, reason: str) -> None:
        """Answer what can't be read and close; nothing of it was handed over."""
        self.refused = True
        self.incoming = None
        self.server.handler.on_bad_request(status, reason)
        if self.task is not None:
            return
        responder = Responder(connection=self, keep_alive=False)
        responder.respond(status, (), b'')

    def write(self, data: bytes) -> None:
        """Write unless the connection is gone."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def pause_writing(self) -> None:
        """Have senders wait."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let senders go on."""
        self.writable.set()

    def close(self) -> None:
        """Close after what was written."""
        self.stop_timer()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        self.stop_timer()
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Take the work of a caller that left along."""
        self.stop_timer()
        self.writable.set()
        self.server.connections.discard(self)
        self.waiting.clear()
        if self.task is not None:
            self.task.cancel()


class HttpServer:
    """Listen on one address; a stop closes connections as they fall idle."""

    def __init__(self, *, handler: RequestHandler) -> None:
        self.handler = handler
        self.connections: set[ServerConnection] = set()
        self.in_progress = 0
        self.closing = False
        self.closing_idle = False
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen, and return the port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(server=self), host, port, backlog=1024
        )
        return int(self.listener.sockets[0].getsockname()[1])

    def leave(self) -> None:
        """Answer each request from now on with the wish to close."""
        self.closing = True

    def close_idle(self) -> None:
        """Accept no more, and close every connection that rests."""
        self.closing = self.closing_idle = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.task is None and connection.incoming is None:
                connection.close()

    async def wait_idle(self, limit_s: float) -> bool:
        """Wait until no request is in progress; say whether that came in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self.in_progress or any(item.incoming for item in self.connections):
                    await asyncio.sleep(0.02)
        return self.in_progress == 0
