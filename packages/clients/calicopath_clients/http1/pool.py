"""Reuse HTTP/1.1 connections among calls, by address."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from calicopath_clients.http1.bounds import MAX_BODY_BYTES
from calicopath_clients.http1.connections import BODILESS_STATUSES
from calicopath_clients.http1.connectors import DirectConnector
from calicopath_core.backends.base import (
    ConnectionLimitReached,
    MayHaveRun,
    NotStarted,
    ProbeResult,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_clients.http1.answers import InboundResponse, ResponseHead
    from calicopath_clients.http1.bounds import ExceededBound
    from calicopath_clients.http1.connections import Connection
    from calicopath_clients.http1.connectors import Connector
    from calicopath_clients.http1.identities import CallIdentity

CONNECT_TIMEOUT_S = 1.2
"""A lost SYN packet is sent again after 1 s, so this allows for one loss."""

DEFAULT_MAX_IDLE_S = 4.0
"""Longest time that a connection may be idle before reuse if the server gives no `Keep-Alive`."""

SERVER_IDLE_LIMIT_RATIO = 0.5
"""Share of the server's `Keep-Alive` timeout after which a connection is not reused."""

FRESH_MAX_IDLE_S = 1.0
"""Longest idle time of a connection that carries a request which must not be repeated."""

PROBE_TIMEOUT_S = 0.3
"""Timeout of a probe. A port accepts or refuses within some ms unless the network is cut."""

PROBE_POLL_S = 0.02
"""Interval at which a probe checks whether its connection is still open."""

MAX_OPEN_CONNECTIONS = 256
"""Most connections to one server unless the pool has a limit for it; bounds descriptors."""

MAX_IDLE_CONNECTIONS = 8
"""Most idle connections to one server; bounds descriptors here and connections there."""


def accept_any(head: ResponseHead) -> bool:
    """Return `True`: the server sends one answer for each call."""
    return True


def ignore_too_large(address: str, target: str, exceeded: ExceededBound) -> None:
    """Report nothing about a response that was too large."""


def no_check() -> None:
    """Allow every call."""


class NewConnectionEnded(NotStarted):
    """Report a connection that the server accepted and ended before it was used."""


class RequestHead(NamedTuple):
    """Hold the request line and the ordered headers of a call."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]


class Call:
    """Hold a call whose response head was received; read the body to its end or close the call."""

    def __init__(
        self,
        *,
        pool: HttpPool,
        address: str,
        connection: Connection,
        inbound: InboundResponse,
        head: ResponseHead,
    ) -> None:
        self.pool = pool
        self.address = address
        self.connection = connection
        self.inbound = inbound
        self.head = head

    @property
    def ends_with_connection(self) -> bool:
        """Tell whether only the end of the connection ends the body."""
        has_body = not self.connection.no_body and self.head.status not in BODILESS_STATUSES
        return has_body and not self.head.has_framing

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, `None` at its end."""
        data = await self.inbound.read()
        self.connection.resume()
        return data

    async def read_all(self) -> bytes:
        """Return the rest of the body."""
        parts = []
        while (data := await self.read()) is not None:
            parts.append(data)
        return b''.join(parts)

    def reject(self) -> None:
        """Close the connection: its answer was not that of the call."""
        self.connection.is_clean = False
        self.close()

    def close(self) -> None:
        """Return the connection to the pool, which closes it if the response is incomplete."""
        self.pool.release(self.address, self.connection)


def loop_time() -> float:
    """Return the time of the event loop, in seconds."""
    return asyncio.get_running_loop().time()


class HttpPool:
    """Make calls on pooled connections.

    `connection_limit` returns the most connections, in use and idle, to the server at an address.
    `now` returns the time in seconds by which idle time is measured; with a clock that also counts
    the time while the machine is suspended, connections that died meanwhile are not reused.
    `connector` opens the connections. `on_too_large` is called with the address of a server whose
    response was too large, the target of the request and the bound that was exceeded.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        connection_limit: Callable[[str], int] = lambda address: MAX_OPEN_CONNECTIONS,
        connector: Connector | None = None,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.connection_limit = connection_limit
        self.connector = connector or DirectConnector()
        self.now = loop_time
        self.on_too_large: Callable[[str, str, ExceededBound], None] = ignore_too_large
        self.idle_connections: dict[str, list[Connection]] = {}
        self.open_counts: Counter[str] = Counter()
        self.opened_total = 0

    async def call(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        *,
        accepts: Callable[[ResponseHead], bool] = accept_any,
        identity: CallIdentity | None = None,
        fresh: bool = False,
        check: Callable[[], None] = no_check,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> Call:
        """Send a request and return the call once the head of its response was received.

        `accepts` tells from a response head whether it belongs to this call; an `identity` does so
        for calls whose server may send an answer twice. `fresh` restricts
        reuse to connections that were used shortly before. `check` runs when a connection is
        available, just before the first byte is sent; if it raises `NotStarted`, nothing is sent.
        Raise `NotStarted` if the request was not sent, `MayHaveRun` if no response came. Reading a
        body of more than `max_body_bytes` raises `AnswerTooLarge`.
        """
        connection = await self.take_or_connect(address, fresh=fresh)
        if identity is not None and not identity.choose(connection.used_identifiers):
            # A copy of the answer to an earlier call on it could not be told apart.
            connection.abort()
            connection = await self.connect(address)
            identity.choose(connection.used_identifiers)
        if identity is not None:
            accepts = identity.accepts
            if not identity.is_sent:
                head = head._replace(headers=(*head.headers, identity.sent_header))
        try:
            check()
        except NotStarted:
            self.release(address, connection)
            raise
        connection.on_too_large = partial(self.on_too_large, address, head.target)
        no_body = head.method == 'HEAD'
        inbound = connection.send(
            [encode_head(head), body], accepts, no_body=no_body, max_body_bytes=max_body_bytes
        )
        try:
            response_head = await asyncio.shield(inbound.head)
        except asyncio.CancelledError:
            connection.abort()
            raise
        except MayHaveRun:
            connection.abort()
            raise
        keep_alive = response_head.get('Keep-Alive')
        connection.idle_limit_s = parse_keep_alive_s(keep_alive) if keep_alive else None
        return Call(
            pool=self, address=address, connection=connection, inbound=inbound, head=response_head
        )

    async def take_or_connect(self, address: str, *, fresh: bool = False) -> Connection:
        """Return an idle connection, or a new one; raise `NotStarted` if none can be opened."""
        max_idle_s = FRESH_MAX_IDLE_S if fresh else DEFAULT_MAX_IDLE_S
        return self.take_idle(address, max_idle_s) or await self.connect(address)

    def take_idle(self, address: str, max_idle_s: float = DEFAULT_MAX_IDLE_S) -> Connection | None:
        """Return the reusable idle connection used last, or `None`; close those tried first."""
        now = self.now()
        idle = self.idle_connections.get(address, [])
        while idle:
            connection = idle.pop()
            limit_s = max_idle_s
            if connection.idle_limit_s is not None:
                limit_s = min(limit_s, connection.idle_limit_s * SERVER_IDLE_LIMIT_RATIO)
            if connection.is_reusable and now - connection.last_used_at < limit_s:
                return connection
            connection.abort()
        return None

    async def connect(self, address: str) -> Connection:
        """Open a connection; raise `NotStarted` on failure or if the limit is reached."""
        if self.open_counts[address] >= self.connection_limit(address):
            raise ConnectionLimitReached(
                f'{address} already has {self.open_counts[address]} connections from this box'
            )
        self.opened_total += 1
        self.open_counts[address] += 1
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                connection = await self.connector.open(address)
        except BaseException as error:
            self.on_closed(address)
            if isinstance(error, OSError | TimeoutError):
                raise NotStarted(f'{address} cannot be reached: {error!r}') from error
            raise
        connection.on_closed = partial(self.on_closed, address)
        if connection.is_lost:
            # It ended while this task waited to run, and nobody counted that.
            self.on_closed(address)
        if connection.is_closed:
            raise NewConnectionEnded(f'{address} ended the new connection')
        return connection

    async def probe(self, address: str, watch_s: float) -> ProbeResult:
        """Return the result of a connection attempt; a connection that opens goes to the pool.

        It is observed for `watch_s` seconds; if it closes in that time, another attempt is made.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + watch_s
        while True:
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    connection = await self.connect(address)
            except NewConnectionEnded:
                if loop.time() >= deadline:
                    return ProbeResult.OPEN
                continue
            except NotStarted as error:
                is_refused = isinstance(error.__cause__, ConnectionRefusedError)
                return ProbeResult.REFUSED if is_refused else ProbeResult.SILENT
            except TimeoutError:
                return ProbeResult.SILENT
            self.release(address, connection)
            while not connection.is_closed and loop.time() < deadline:
                await asyncio.sleep(PROBE_POLL_S)
            if not connection.is_closed or loop.time() >= deadline:
                return ProbeResult.OPEN

    def on_closed(self, address: str) -> None:
        """Update the number of open connections after one was closed."""
        self.open_counts[address] -= 1
        if not self.open_counts[address]:
            del self.open_counts[address]

    def release(self, address: str, connection: Connection) -> None:
        """Keep a connection for the next call if it is reusable, otherwise close it."""
        if not connection.is_reusable:
            connection.abort()
            return
        connection.last_used_at = self.now()
        idle = self.idle_connections.setdefault(address, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.pop(0).abort()

    def close_idle_except(self, kept_addresses: set[str]) -> None:
        """Close the idle connections to all servers but those at `kept_addresses`."""
        for address in list(self.idle_connections):
            if address not in kept_addresses:
                for connection in self.idle_connections.pop(address):
                    connection.abort()

    def close_idle(self, *, tunnels: bool) -> None:
        """Close the idle connections through other boxes, or the direct ones."""
        for idle in self.idle_connections.values():
            for connection in [item for item in idle if item.is_tunnel == tunnels]:
                idle.remove(connection)
                connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        self.close_idle_except(set())


def encode_head(head: RequestHead) -> bytes:
    """Encode the request line and headers as they are sent."""
    lines = [f'{head.method} {head.target} HTTP/1.1']
    lines.extend(f'{name}: {value}' for name, value in head.headers)
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def parse_keep_alive_s(text: str) -> float | None:
    """Return the timeout of a `Keep-Alive` header in seconds, `None` if it has none."""
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        digits = value if name.lower() == 'timeout' else name
        if digits.strip().isascii() and digits.strip().isdigit():
            return float(digits)
    return None
