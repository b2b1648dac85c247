"""Accept HTTP/1.1 connections and hand each request over whole.

Sanic serves the callers' own interface. Here answers must go out byte for byte, and one that is cut
must be cut on the connection itself, which a web framework decides on its own; so the parser is a
library's (httptools, the one sanic brings) and the rest is here.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from calicopathd.gateway.connection import ServerConnection, ServerState

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopathd.gateway.requests import RequestHandler


MAX_CONNECTIONS = 1024
"""Connections of callers where the settings name no other number."""


class HttpServer(ServerState):
    """Listen on one address; a stop closes connections as they fall idle.

    Beyond `max_connections` new ones are closed unread, so that descriptors are left for the rest.
    """

    def __init__(
        self, *, handler: RequestHandler, clock: Clock, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        super().__init__(handler=handler, clock=clock, max_connections=max_connections)
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen, and return the port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(server=self), host, port, backlog=1024
        )
        return int(self.listener.sockets[0].getsockname()[1])

    def start_closing(self) -> None:
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

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; say whether that came in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.in_progress or any(item.incoming for item in self.connections):
                    await asyncio.sleep(0.02)
        return self.in_progress == 0
