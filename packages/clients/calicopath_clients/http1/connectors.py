"""Open the connections of a pool: directly, or through another box where that fails."""

from __future__ import annotations

import asyncio
import itertools
import math
from abc import ABC, abstractmethod
from functools import partial
from typing import TYPE_CHECKING, TypeVar

from calicopath_clients.http1.connections import Connection
from calicopath_clients.http1.tunnels import open_tunnel
from calicopath_core.fleet.reachability import ConnectResult

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    Path = Callable[[], Awaitable[Connection]]

    from calicopath_core.fleet.forwarders import Forwarders
    from calicopath_core.fleet.reachability import ReplicaReachability

STAGGER_S = 0.1
"""How long an attempt may take before the next path is tried beside it, as in RFC 8305."""

RECHECK_INTERVAL_S = 0.5
"""How often a partitioned box tries to connect directly beside a forwarded attempt."""


P = TypeVar('P', bound=asyncio.Protocol)


class Connector(ABC):
    """Open connections to servers."""

    @abstractmethod
    async def open(self, address: str) -> Connection:
        """Return a new connection to `host:port`; raise `OSError` or `TimeoutError`."""


class DirectConnector(Connector):
    """Open a TCP connection from this box."""

    async def open(self, address: str) -> Connection:
        """Return a new connection to the server at an address."""
        _, connection = await self.open_protocol(Connection, address)
        return connection

    async def open_protocol(
        self, new_protocol: Callable[[], P], address: str
    ) -> tuple[asyncio.Transport, P]:
        """Return the transport and protocol of a new connection."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        return await loop.create_connection(new_protocol, host, int(port))


class ConnectRace:
    """Try several paths to one server, each next one once the last has failed or is slow.

    The first connection that opens is taken, later ones are closed. No path sends a request, so
    that it is safe to try them side by side.
    """

    def __init__(self) -> None:
        self.pending: list[asyncio.Task[Connection]] = []
        self.errors: list[Exception] = []

    async def run(self, paths: Iterator[Path], *, at_once: int = 1) -> Connection:
        """Return the first connection; raise the error of the first path that failed if none opens.

        The first `at_once` paths are tried together. A refusal by a forwarding box is final: the
        replica's host is up and its port is closed.
        """
        has_more = True
        try:
            while True:
                for path in itertools.islice(paths, at_once):
                    self.pending.append(asyncio.ensure_future(path()))
                    at_once -= 1
                has_more = has_more and not at_once
                at_once = 1
                if not self.pending:
                    break
                await asyncio.wait(
                    self.pending,
                    timeout=STAGGER_S if has_more else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                done = [task for task in self.pending if task.done()]
                self.pending = [task for task in self.pending if not task.done()]
                opened = self.collect(done)
                if opened is not None:
                    return opened
                if any(isinstance(error, RefusedElsewhere) for error in self.errors):
                    break
        finally:
            for task in self.pending:
                task.add_done_callback(close_late)
                task.cancel()
        raise self.errors[0]

    def collect(self, done: list[asyncio.Task[Connection]]) -> Connection | None:
        """Return the first connection that has opened; record errors and close other connections.

        Of two that opened together the one on the preferred path is taken.
        """
        found = None
        for task in done:
            error = task.exception()
            if error is None and found is None:
                found = task.result()
            elif error is None:
                close_late(task)
            elif isinstance(error, Exception):
                self.errors.append(error)
        return found


def close_late(task: asyncio.Task[Connection]) -> None:
    """Close the connection of an attempt that was not needed any more."""
    if not task.cancelled() and task.exception() is None:
        task.result().abort()


def connect_result(error: OSError) -> ConnectResult:
    """Return the result of a connection attempt that failed with an error."""
    if isinstance(error, TimeoutError):
        return ConnectResult.TIMED_OUT
    is_refused = isinstance(error, ConnectionRefusedError)
    return ConnectResult.REFUSED if is_refused else ConnectResult.FAILED


class RefusedElsewhere(ConnectionRefusedError):
    """Report that a replica refused the connection of another box, which reaches others."""


class FallbackConnector(Connector):
    """Connect directly, and through another box if that fails or takes long.

    While this box reaches no replica, other boxes are asked first, and the direct path is tried
    beside them from time to time.
    """

    def __init__(
        self,
        *,
        direct: Connector,
        reachability: ReplicaReachability,
        forwarders: Forwarders,
        tunnel: Callable[[str, str], Awaitable[Connection]] = open_tunnel,
    ) -> None:
        self.direct = direct
        self.reachability = reachability
        self.forwarders = forwarders
        self.tunnel = tunnel
        self.rechecked_at = -math.inf

    async def open(self, address: str) -> Connection:
        """Return a new connection to the server at an address."""
        is_partitioned = self.reachability.is_partitioned
        rechecks = is_partitioned and self.is_recheck_due()
        paths = self.paths_to(address, directly=rechecks or not is_partitioned)
        try:
            return await ConnectRace().run(paths, at_once=2 if rechecks else 1)
        except RefusedElsewhere:
            raise
        except OSError:
            self.reachability.on_no_path()
            raise

    def paths_to(self, address: str, *, directly: bool) -> Iterator[Path]:
        """Yield the paths to a server; the other boxes are chosen only if they are needed."""
        if directly:
            yield partial(self.open_directly, address)
        forwarders = self.forwarders.choose()
        for forwarder in forwarders:
            yield partial(self.open_through, forwarder, address)
        if not directly and not forwarders:
            yield partial(self.open_directly, address)

    def is_recheck_due(self) -> bool:
        """Return whether to try the direct path again, and record it if so."""
        now = self.reachability.clock.monotonic()
        if now - self.rechecked_at < RECHECK_INTERVAL_S:
            return False
        self.rechecked_at = now
        return True

    async def open_directly(self, address: str) -> Connection:
        """Connect from this box and record the result."""
        clock = self.reachability.clock
        started_at = clock.monotonic()
        try:
            connection = await self.direct.open(address)
        except asyncio.CancelledError:
            # Either another path was faster or the caller's time is over.
            if clock.monotonic() - started_at >= STAGGER_S:
                self.reachability.on_connect(address, ConnectResult.TIMED_OUT)
            raise
        except OSError as error:
            self.reachability.on_connect(address, connect_result(error))
            raise
        self.reachability.on_connect(address, ConnectResult.OPENED)
        connection.on_lost = partial(self.on_lost, address)
        return connection

    def on_lost(self, address: str, error: Exception | None) -> None:
        """Record a direct connection that the kernel closed because the peer was silent."""
        if isinstance(error, TimeoutError):
            self.reachability.on_silent(address)

    async def open_through(self, forwarder: str, address: str) -> Connection:
        """Connect through another box and record whether that forwards."""
        try:
            connection = await self.tunnel(forwarder, address)
        except ConnectionRefusedError as error:
            self.forwarders.on_forwarded(forwarder)
            raise RefusedElsewhere(str(error)) from error
        except OSError:
            self.forwarders.on_unavailable(forwarder)
            raise
        self.forwarders.on_forwarded(forwarder)
        self.reachability.on_forwarded()
        return connection
