"""Learn whether the process that sent an answer still runs when the answer has ended.

The kernel closes all connections of a process that ends, and a port that accepts connections may
belong to the next process. A second connection, opened while the answer was underway, tells them
apart: it stays open only as long as the process runs.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.backends.base import NotStarted

if TYPE_CHECKING:
    from calicopath_clients.http1.answers import InboundResponse
    from calicopath_clients.http1.connections import Connection
    from calicopath_clients.http1.pool import HttpPool

READ_PASS_S = 0.01
"""Time in which what has arrived on other connections is read."""

POLL_S = 0.01


class LivenessConnection:
    """Hold a second connection to the server of an answer without length or chunks."""

    def __init__(self, *, pool: HttpPool, address: str, inbound: InboundResponse) -> None:
        self.pool = pool
        self.address = address
        self.inbound = inbound
        self.connection: Connection | None = None
        self.opening: asyncio.Task[None] | None = asyncio.create_task(self.open())

    @property
    def is_lost(self) -> bool:
        """Tell whether there is no open connection and none is being opened."""
        is_closed = self.connection is None or self.connection.is_closed
        return is_closed and self.opening is None

    async def open(self) -> None:
        """Take an idle connection, or open one unless the answer has ended by then.

        One that opens after the answer has ended may lead to another process.
        """
        connection = self.pool.take_idle(self.address)
        is_new = connection is None
        try:
            connection = connection or await self.pool.connect(self.address)
        except NotStarted:
            self.opening = None
            return
        try:
            await asyncio.sleep(READ_PASS_S)
        except asyncio.CancelledError:
            self.pool.release(self.address, connection)
            raise
        self.opening = None
        if is_new and self.inbound.is_over:
            self.pool.release(self.address, connection)
            return
        self.connection = connection

    def renew(self) -> None:
        """Open another connection if the server has closed an idle one during the answer."""
        if self.is_lost and not self.inbound.is_over:
            self.connection = None
            self.opening = asyncio.create_task(self.open())

    async def is_alive(self, watch_s: float) -> bool | None:
        """Return whether the connection is still open after `watch_s` seconds.

        Return `None` if there was none while the answer was underway.
        """
        if self.opening is not None:
            await asyncio.wait({self.opening})
        if self.connection is None:
            return None
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + watch_s
        while not self.is_lost and loop.time() < ends_at:
            await asyncio.sleep(POLL_S)
        # The process may have stood still meanwhile, with the end of the connection unread.
        await asyncio.sleep(READ_PASS_S)
        return not self.is_lost

    def release(self) -> None:
        """Give the connection back to the pool."""
        if self.opening is not None:
            self.opening.cancel()
            self.opening = None
        if self.connection is not None:
            self.pool.release(self.address, self.connection)
            self.connection = None
