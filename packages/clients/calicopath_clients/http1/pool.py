"""Share connections among calls, by address."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from calicopath_clients.http1.connections import Connection
from calicopath_core.backends.base import MayHaveRun, NotStarted, ProbeResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_clients.http1.answers import ResponseHead, InboundResponse

CONNECT_TIMEOUT_S = 1.2
"""An opening packet that is lost is sent again after 1 s."""

DEFAULT_MAX_IDLE_S = 4.0
"""How long a connection may rest where the server names no limit."""

SERVER_IDLE_LIMIT_RATIO = 0.5
"""The part of a server's own idle limit after which a connection is not used again."""

FRESH_MAX_IDLE_S = 1.0
"""How long a connection may have rested to be good for what can't be repeated."""

PROBE_TIMEOUT_S = 0.3
"""How long a port may take to open or refuse a connection: some ms, unless the way there is cut."""

PROBE_POLL_S = 0.02
"""How often it is looked whether a connection that opened is still there."""

MAX_OPEN_CONNECTIONS = 256
"""Connections to one server where nothing tells this box's share; a bound on descriptors."""

MAX_IDLE_CONNECTIONS = 8
"""Idle connections kept an address; a bound on descriptors and on a server's connections."""


def no_check() -> None:
    """Let a call be sent."""


class RequestHead(NamedTuple):
    """Hold the request line and headers of a call."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]


class Call:
    """Hold a call whose head has come; read to its end or close it."""

    def __init__(
        self, *, pool: HttpPool, address: str, connection: Connection, inbound: InboundResponse, head: ResponseHead
    ) -> None:
        self.pool = pool
        self.address = address
        self.connection = connection
        self.inbound = inbound
        self.head = head

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, nothing at its end."""
        data = await self.inbound.read()
        self.connection.resume()
        return data

    async def read_all(self) -> bytes:
        """Return the whole body."""
        parts = []
        while (data := await self.read()) is not None:
            parts.append(data)
        return b''.join(parts)

    def close(self) -> None:
        """Give the connection back, or cut it if the answer is not whole."""
        self.pool.release(self.address, self.connection)


def loop_time() -> float:
    """Return the event loop's time."""
    return asyncio.get_running_loop().time()


class HttpPool:
    """Make calls; `share_of` bounds the connections to a server, in use and idle ones together.

    `now` tells the time by which idle connections grow old; one that counts suspensions keeps those
    from being used that have died meanwhile.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        connection_limit: Callable[[str], int] = lambda address: MAX_OPEN_CONNECTIONS,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.connection_limit = connection_limit
        self.now = loop_time
        self.idle_connections: dict[str, list[Connection]] = {}
        self.open_counts: Counter[str] = Counter()
        self.opened_total = 0

    async def call(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        *,
        accepts: Callable[[ResponseHead], bool] = lambda head: True,
        fresh: bool = False,
        check: Callable[[], None] = no_check,
    ) -> Call:
        """Send a call and return its answer's head.

        Raise `NotStarted` if it was not sent, `MayHaveRun` if no answer came. `check` is asked as
        the first byte is to go, when a connection is there; what it raises leaves the call unsent.
        """
        connection = self.take_idle(address, DEFAULT_MAX_IDLE_S if not fresh else FRESH_MAX_IDLE_S)
        if connection is None:
            connection = await self.connect(address)
        try:
            check()
        except NotStarted:
            self.release(address, connection)
            raise
        no_body = head.method == 'HEAD'
        inbound = connection.send([encode_head(head), body], accepts, no_body=no_body)
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
        return Call(pool=self, address=address, connection=connection, inbound=inbound, head=response_head)

    def take_idle(self, address: str, max_idle_s: float) -> Connection | None:
        """Return an idle connection that is still good."""
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
        """Open a connection; raise `NotStarted`, also if this box has its share of them."""
        if self.open_counts[address] >= self.connection_limit(address):
            raise NotStarted(f'{address} has {self.open_counts[address]} connections of this box')
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.opened_total += 1
        self.open_counts[address] += 1
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                _, connection = await loop.create_connection(Connection, host, int(port))
        except BaseException as error:
            self.on_closed(address)
            if isinstance(error, OSError | TimeoutError):
                raise NotStarted(f'{address} cannot be reached: {error!r}') from error
            raise
        connection.on_closed = partial(self.on_closed, address)
        return connection

    async def probe(self, address: str, watch_s: float) -> ProbeResult:
        """Return what an attempt to connect shows; a connection that opens is kept for use.

        It is watched for a while, and another one is tried if it closes meanwhile.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + watch_s
        while True:
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    connection = await self.connect(address)
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
        """Note that a connection is gone."""
        self.open_counts[address] -= 1
        if not self.open_counts[address]:
            del self.open_counts[address]

    def release(self, address: str, connection: Connection) -> None:
        """Keep a connection for the next call if it is good."""
        if not connection.is_reusable:
            connection.abort()
            return
        connection.last_used_at = self.now()
        idle = self.idle_connections.setdefault(address, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.pop(0).abort()

    def close_idle_except(self, kept_addresses: set[str]) -> None:
        """Close the idle connections of every server that is not among `addresses`."""
        for address in list(self.idle_connections):
            if address not in kept_addresses:
                for connection in self.idle_connections.pop(address):
                    connection.abort()

    def close(self) -> None:
        """Close every idle connection."""
        self.close_idle_except(set())


def encode_head(head: RequestHead) -> bytes:
    """Return the bytes of a request's head."""
    lines = [f'{head.method} {head.target} HTTP/1.1']
    lines.extend(f'{name}: {value}' for name, value in head.headers)
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def parse_keep_alive_s(text: str) -> float | None:
    """Return the seconds that a `Keep-Alive` header gives."""
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        digits = value if name.lower() == 'timeout' else name
        if digits.strip().isdigit():
            return float(digits)
    return None
