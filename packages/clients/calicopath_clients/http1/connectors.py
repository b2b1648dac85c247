"""Open the connections of a pool."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from calicopath_clients.http1.connections import Connection


class Connector(ABC):
    """Open connections to servers."""

    @abstractmethod
    async def open(self, address: str) -> Connection:
        """Return a new connection to `host:port`; raise `OSError` or `TimeoutError`."""


class DirectConnector(Connector):
    """Open a TCP connection from this box."""

    async def open(self, address: str) -> Connection:
        """Return a new connection to the server at an address."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(Connection, host, int(port))
        return connection
