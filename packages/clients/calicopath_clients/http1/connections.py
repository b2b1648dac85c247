"""Manage one HTTP/1.1 connection to a server, which carries one call at a time."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, cast

import httptools

from calicopath_clients.http1.answers import PAUSE_BYTES, InboundResponse
from calicopath_clients.http1.bounds import MAX_BODY_BYTES, ResponseBounds
from calicopath_clients.http1.identities import MAX_IDENTIFIERS, RecentNames
from calicopath_clients.http1.statuses import StatusKind, status_kind
from calicopath_core.backends.base import (
    AnswerTooLarge,
    ConnectionBroken,
    MayHaveRun,
    NotStarted,
    WrongAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_clients.http1.answers import ResponseHead
    from calicopath_clients.http1.bounds import ExceededBound

UNACKED_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
"""The kernel closes the connection to a peer that acknowledges nothing for 2 to 3 s. A peer that
lost power or its network sends no reset, but a sound one may be silent for a second. The first
timeout also decides when unanswered keep-alive probes end an idle connection, whatever their
count."""

FIRST_ERROR_STATUS = 400
BODILESS_STATUSES = (204, 304)
"""Statuses of responses that never have a body."""

MAX_SKIPPED_RESPONSES = 2
"""Most responses to earlier calls that are skipped while a call waits for its own."""


class Connection(asyncio.Protocol):
    """Send requests and receive their responses; bytes that belong to no call close the connection.

    So do responses that are larger than their call allows (see `http1.bounds`).

    `inbound` is the response that the current call waits for, `current` the one being parsed. They
    differ until the head of the parsed response shows that it belongs to the call.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.inbound: InboundResponse | None = None
        self.current: InboundResponse | None = None
        self.accepts: Callable[[ResponseHead], bool] = lambda head: True
        self.skipped_responses = 0
        self.bounds = ResponseBounds(max_body_bytes=MAX_BODY_BYTES)
        self.used_identifiers = RecentNames(count=MAX_IDENTIFIERS)
        self.is_clean = True
        self.is_closed = False
        self.is_lost = False
        self.is_kept_alive = True
        self.has_length = False
        self.has_body = False
        self.no_body = False
        self.last_used_at = 0.0
        self.idle_limit_s: float | None = None
        self.is_reading_paused = False
        self.is_tunnel = False
        self.may_be_reused = True
        self.on_closed: Callable[[], None] = lambda: None
        self.on_too_large: Callable[[ExceededBound], None] = lambda exceeded: None
        self.on_lost: Callable[[Exception | None], None] = lambda error: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the timeouts of the socket for a silent peer."""
        # uvloop's transports are not subclasses of asyncio's.
        self.transport = cast('asyncio.Transport', transport)
        sock = self.transport.get_extra_info('socket')
        if sock is not None:
            set_socket_timeouts(sock)

    def send(
        self,
        chunks: list[bytes],
        accepts: Callable[[ResponseHead], bool],
        *,
        no_body: bool,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> InboundResponse:
        """Send a request and return its response, which is filled as bytes arrive.

        A response that `accepts` rejects is skipped; `no_body` tells that none has a body (`HEAD`).
        Raise `NotStarted` if the connection has ended; nothing is sent then.
        """
        assert self.transport is not None
        if self.is_closed:
            raise NotStarted('the connection ended before the request was sent')
        self.inbound = InboundResponse()
        self.accepts = accepts
        self.skipped_responses = 0
        self.no_body = no_body
        self.bounds = ResponseBounds(max_body_bytes=max_body_bytes)
        inbound = self.inbound
        try:
            self.transport.writelines(chunks)
        except RuntimeError as error:
            # The loop has closed the socket, and calls `connection_lost` next.
            self.inbound = None
            self.abort()
            raise NotStarted(
                f'the connection ended before the request was sent: {error}'
            ) from error
        return inbound

    @property
    def is_reusable(self) -> bool:
        """Tell whether another call may be sent: no bytes of an earlier one are pending."""
        is_free = not self.is_closed and self.is_clean and self.inbound is None
        is_free = is_free and self.is_kept_alive and self.may_be_reused
        return is_free and self.transport is not None and not self.transport.get_write_buffer_size()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no call waits for them."""
        if self.inbound is None:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(MayHaveRun(f'the response is not valid HTTP: {error}'))
            return
        self.bounds.on_received(len(data))
        self.check_bounds()
        if (
            self.inbound is not None
            and self.inbound.unread_bytes > PAUSE_BYTES
            and not self.is_reading_paused
        ):
            self.is_reading_paused = True
            assert self.transport is not None
            self.transport.pause_reading()

    def check_bounds(self) -> None:
        """Fail the call if its response has become too large."""
        exceeded = self.bounds.exceeded()
        if exceeded is not None and self.inbound is not None:
            self.on_too_large(exceeded)
            self.fail(AnswerTooLarge(f'{exceeded.part} of over {exceeded.limit} bytes'))

    def resume(self) -> None:
        """Resume reading after the buffered body was read."""
        if self.is_reading_paused and not self.is_closed:
            self.is_reading_paused = False
            assert self.transport is not None
            self.transport.resume_reading()

    def on_message_begin(self) -> None:
        """Start a new response; one that no call waits for makes the connection unusable."""
        if self.inbound is None:
            self.is_clean = False
            self.current = None
            return
        self.current = InboundResponse()
        self.has_length = self.has_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the response being parsed."""
        if self.current is None or self.current.head.done():
            # A trailer: it has no use here.
            return
        key = name.decode('latin-1')
        self.current.headers.append((key, value.decode('latin-1')))
        if key.lower() in ('content-length', 'transfer-encoding'):
            self.has_length = True

    def on_headers_complete(self) -> None:
        """Match the parsed response to the call, or skip it; ignore interim responses.

        A response whose status is none fails the call, whichever call it belongs to.
        """
        current, inbound = self.current, self.inbound
        if current is None or inbound is None:
            return
        current.status = self.parser.get_status_code()
        kind = status_kind(current.status)
        if kind is StatusKind.INTERIM:
            self.current = None
            return
        if kind is StatusKind.INVALID:
            self.fail(WrongAnswer(f'{current.status} is not the status of an answer'))
            return
        current.on_head()
        if not self.accepts(current.head.result()):
            self.skip_response()
            return
        if not self.no_body and current.status not in BODILESS_STATUSES:
            self.bounds.on_stated_length(current.head.result().content_length)
        self.is_kept_alive = self.parser.should_keep_alive() and self.has_length
        inbound.status, inbound.headers = current.status, current.headers
        inbound.on_head()
        self.current = inbound
        if self.no_body:
            self.is_kept_alive = False
            self.finish()

    def skip_response(self) -> None:
        """Skip a response that belongs to another call.

        The call fails after too many of them, or if one has no length and cannot be delimited.
        """
        self.current = None
        self.skipped_responses += 1
        self.is_clean = False
        if self.skipped_responses > MAX_SKIPPED_RESPONSES or not self.has_length:
            self.fail(MayHaveRun('received only responses to other calls'))

    def on_body(self, data: bytes) -> None:
        """Add a part of the body to the response being parsed."""
        if self.current is None:
            self.bounds.on_skipped(len(data))
            return
        self.has_body = True
        self.bounds.on_body(len(data))
        self.current.on_body(data)

    def on_message_complete(self) -> None:
        """Complete the response if it belongs to the call."""
        if self.current is not None and self.current is self.inbound:
            self.finish()

    def finish(self) -> None:
        """Complete the response and free the connection for the next call."""
        inbound, self.inbound, self.current = self.inbound, None, None
        if inbound is not None:
            inbound.on_end()

    def fail(self, error: Exception) -> None:
        """Fail the call with an error and close the connection."""
        inbound, self.inbound, self.current = self.inbound, None, None
        if inbound is not None:
            inbound.on_error(error)
        self.abort()

    def eof_received(self) -> bool:
        """Complete a response that has no length: it ends when the server closes the connection.

        A server that crashes after the head of a successful response closes the connection too, so
        one without any body is not complete.
        """
        current = self.current
        is_unmatched = current is None or current is not self.inbound
        if is_unmatched or current is None or not current.head.done() or self.has_length:
            return False
        if current.status < FIRST_ERROR_STATUS and not self.has_body:
            self.fail(ConnectionBroken('the connection was closed before the body'))
        else:
            self.finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the call that waits for a response."""
        self.is_closed = self.is_lost = True
        self.on_closed()
        self.on_lost(error)
        self.fail(ConnectionBroken(f'the connection was lost: {error!r}'))

    def abort(self) -> None:
        """Close the connection at once; unsent bytes are dropped."""
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()


def set_socket_timeouts(sock: socket.socket) -> None:
    """Set the kernel timeouts that close a connection whose peer acknowledges nothing."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
