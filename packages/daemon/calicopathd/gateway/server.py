"""Accept HTTP/1.1 connections and pass complete requests to a handler.

The API of the service itself uses Sanic. The gateway has to forward responses byte for byte and to
abort the caller's connection if a response breaks off; a web framework does not leave these to its
user. Requests are therefore parsed by httptools, the parser of Sanic, and the rest is done here.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from calicopath_core.exchanges.context import BOX_STOPS
from calicopathd.gateway.connection import ServerConnection, ServerState

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopathd.gateway.requests import RequestHandler


MAX_CONNECTIONS = 1024
"""Default limit of open connections."""


class HttpServer(ServerState):
    """Listen on one address; while stopping, close connections as they become idle.

    Connections beyond `max_connections` are closed unread, to keep descriptors for other uses.
    """

    def __init__(
        self, *, handler: RequestHandler, clock: Clock, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        super().__init__(handler=handler, clock=clock, max_connections=max_connections)
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(server=self), host, port, backlog=1024
        )
        return int(self.listener.sockets[0].getsockname()[1])

    def start_closing(self) -> None:
        """Send `Connection: close` with each response from now on."""
        self.closing = True

    def close_idle(self) -> None:
        """Stop accepting connections and close the idle ones."""
        self.closing = self.closing_idle = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.task is None and connection.incoming is None:
                connection.close()

    def stop_exchanges(self) -> None:
        """End the requests in progress, so that each gets its last answer."""
        for connection in list(self.connections):
            connection.queued_requests.clear()
            if connection.task is not None:
                connection.task.cancel(BOX_STOPS)

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress and callers have read their answers.

        Return whether that happened within the time.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.in_progress or any(item.is_busy for item in self.connections):
                    await asyncio.sleep(0.02)
                return True
        return False
