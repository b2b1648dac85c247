"""Open `aiohttp` client sessions with the limits that calicopath needs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from aiohttp.connector import Connection

READ_BUFFER_BYTES = 4 * 1024 * 1024
"""Each line of a watch holds a whole object of up to 1 MB."""

MAX_HEADS = 16
"""Most heads of one response, the interim ones (1xx) included. The library skips those without
limit."""


class BoundedResponse(aiohttp.ClientResponse):
    """Fail if a server sends interim responses without end."""

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head of the response; raise `ClientError` after too many interim ones."""
        protocol: Any = connection.protocol
        read = protocol.read
        heads = 0

        async def read_head() -> Any:
            nonlocal heads
            heads += 1
            if heads > MAX_HEADS:
                raise aiohttp.ClientError('too many interim responses')
            return await read()

        protocol.read = read_head
        try:
            return await super().start(connection)
        finally:
            del protocol.read


def new_session() -> aiohttp.ClientSession:
    """Return a session without a connection limit: the endpoint pools limit calls."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
    return aiohttp.ClientSession(
        connector=connector,
        read_bufsize=READ_BUFFER_BYTES,
        headers={'Content-Type': 'application/json'},
        response_class=BoundedResponse,
    )
