"""Parse the requests of one caller's connection and serve them in order, within limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import httptools

from calicopath_core.exchanges.context import CALLER_LEFT
from calicopathd.gateway.requests import RawRequest
from calicopathd.gateway.responder import Responder, ResponseChannel

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopathd.gateway.requests import RequestHandler

STATUS_BAD_REQUEST = 400
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_HEADER_TOO_LARGE = 431

MAX_PIPELINED = 16
"""Pipelined requests of one connection that may wait for the one in progress."""

FRAMING_BYTES_PER_BODY_BYTE = 16
"""How many bytes of chunk sizes each byte of a body allows: a chunk of one byte takes six."""

MAX_UNSENT_BYTES = 256 * 1024
"""Unsent response bytes above which the sender waits for the caller to read."""


class IncomingRequest:
    """Hold the parts of a request that is being received."""

    def __init__(self, *, received_at: float) -> None:
        self.received_at = received_at
        self.target = b''
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.body_size = 0
        self.head_complete = False


class ServerState:
    """Hold the state that the connections of one server share.

    `closing` closes each connection after its next response, `closing_idle` also closes idle
    connections.
    """

    def __init__(self, *, handler: RequestHandler, clock: Clock, max_connections: int) -> None:
        self.handler = handler
        self.clock = clock
        self.max_connections = max_connections
        self.rejected_connections = 0
        self.connections: set[ServerConnection] = set()
        self.in_progress = 0
        self.closing = False
        self.closing_idle = False


class ServerConnection(asyncio.Protocol, ResponseChannel):
    """Serve one caller's connection: one request in progress and a bounded queue of others."""

    def __init__(self, *, server: ServerState) -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.incoming: IncomingRequest | None = None
        self.framing_bytes = 0
        self.queued_requests: list[RawRequest] = []
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.refused = False

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being received, or a part of an answer is not sent yet."""
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        return self.incoming is not None or unsent > 0

    @property
    def closing(self) -> bool:
        """Return whether the connection closes after the response."""
        return self.server.closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if the server has too many."""
        # uvloop's transports do not inherit from asyncio's classes.
        self.transport = cast('asyncio.Transport', transport)
        if len(self.server.connections) >= self.server.max_connections:
            self.server.rejected_connections += 1
            self.refused = True
            self.abort()
            return
        self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.server.connections.add(self)
        self.start_idle_timer()

    def start_idle_timer(self) -> None:
        """Close the connection if no request starts within the idle timeout."""
        self.set_timer(self.server.handler.limits().idle_s)

    def set_timer(self, seconds: float) -> None:
        """Call `on_timer` after some seconds instead of at the time set before."""
        self.stop_timer()
        self.timer = self.loop.call_later(seconds, self.on_timer)

    def stop_timer(self) -> None:
        """Cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_timer(self) -> None:
        """Close an idle connection, or refuse a request that has not arrived in time."""
        if self.incoming is not None:
            self.refuse(STATUS_TIMEOUT, 'the request was not received in time')
        else:
            self.close()

    def data_received(self, data: bytes) -> None:
        """Parse received data; refuse malformed requests and too large headers."""
        if self.refused:
            return
        self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.refuse(STATUS_BAD_REQUEST, f'invalid HTTP request: {error}')
            return
        self.check_framing()

    def check_framing(self) -> None:
        """Refuse a request with too many bytes that are no body.

        These are its head, empty lines before it, sizes and extensions of chunks, and trailers.
        """
        limit = self.server.handler.limits().header_bytes
        if self.incoming is not None:
            limit += FRAMING_BYTES_PER_BODY_BYTE * self.incoming.body_size
        if self.framing_bytes > limit and not self.refused:
            self.refuse(STATUS_HEADER_TOO_LARGE, 'the headers exceed the size limit')

    def on_message_begin(self) -> None:
        """Start a request and its header timeout."""
        self.incoming = IncomingRequest(received_at=self.server.clock.monotonic())
        if self.task is None:
            self.set_timer(self.server.handler.limits().header_s)

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        if self.incoming is not None:
            self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped."""
        if self.incoming is not None and not self.incoming.head_complete:
            self.incoming.headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Check sizes, and answer `Expect: 100-continue`."""
        incoming = self.incoming
        if incoming is None:
            return
        incoming.head_complete = True
        self.framing_bytes = 0
        size = len(incoming.target) + sum(
            len(name) + len(value) for name, value in incoming.headers
        )
        if size > self.server.handler.limits().header_bytes:
            self.refuse(STATUS_HEADER_TOO_LARGE, 'the headers exceed the size limit')
            return
        for name, value in incoming.headers:
            if (
                name.lower() == 'content-length'
                and int(value) > self.server.handler.limits().body_bytes
            ):
                self.refuse(STATUS_TOO_LARGE, 'the body exceeds the size limit')
                return
            if name.lower() == 'expect' and value.lower() == '100-continue':
                self.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        if self.task is None:
            self.set_timer(self.server.handler.limits().idle_s)

    def on_body(self, data: bytes) -> None:
        """Append to the body, and refuse it beyond the limit."""
        incoming = self.incoming
        if incoming is None or self.refused:
            return
        incoming.body.append(data)
        incoming.body_size += len(data)
        self.framing_bytes -= len(data)
        if incoming.body_size > self.server.handler.limits().body_bytes:
            self.refuse(STATUS_TOO_LARGE, 'the body exceeds the size limit')

    def on_message_complete(self) -> None:
        """Queue a complete request behind those received before."""
        incoming, self.incoming = self.incoming, None
        self.framing_bytes = 0
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
        self.queued_requests.append(request)
        if len(self.queued_requests) > MAX_PIPELINED:
            self.refuse(STATUS_BAD_REQUEST, 'too many pipelined requests')
            return
        if self.task is None:
            self.serve_next()

    def serve_next(self) -> None:
        """Serve the oldest queued request."""
        self.stop_timer()
        request = self.queued_requests.pop(0)
        self.task = self.loop.create_task(self.serve(request))

    async def serve(self, request: RawRequest) -> None:
        """Serve one request; the task is cancelled if the caller disconnects."""
        responder = Responder(connection=self, keep_alive=request.keep_alive)
        self.server.in_progress += 1
        try:
            await self.server.handler.handle(request, responder)
        finally:
            self.server.in_progress -= 1
            self.task = None
            responder.abort()
            self.after_request()

    def after_request(self) -> None:
        """Serve the next request, or wait for one, or close the connection."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.refused:
            self.close()
        elif self.queued_requests:
            self.serve_next()
        elif self.incoming is not None:
            self.set_timer(self.server.handler.limits().header_s)
        elif self.server.closing and self.server.closing_idle:
            self.close()
        else:
            self.start_idle_timer()

    def refuse(self, status: int, reason: str) -> None:
        """Answer an invalid request with an error status and close; no handler has seen it."""
        self.refused = True
        self.incoming = None
        self.server.handler.on_bad_request(status, reason)
        if self.task is not None:
            self.stop_reading()
            return
        responder = Responder(connection=self, keep_alive=False)
        responder.respond(status, (), b'')

    def stop_reading(self) -> None:
        """Read nothing more: the connection closes after the response in progress."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def write(self, data: bytes) -> None:
        """Write data unless the connection is closed or closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def pause_writing(self) -> None:
        """Make senders wait, as the write buffer is full."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let senders continue, as the write buffer has drained."""
        self.writable.set()

    def close(self) -> None:
        """Close the connection once the written data is sent."""
        self.stop_timer()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once and drop unsent data."""
        self.stop_timer()
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Drop queued requests and cancel the one in progress."""
        self.stop_timer()
        self.writable.set()
        self.server.connections.discard(self)
        self.queued_requests.clear()
        if self.task is not None:
            self.task.cancel(CALLER_LEFT)
