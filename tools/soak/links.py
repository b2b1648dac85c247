"""Carry connections over loopback, and hold up, cut or lose what they carry."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from tools.soak.schedule import LinkMode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = '127.0.0.1'
DELAY_S = 0.15
POLL_S = 0.02
CHUNK_BYTES = 65536


class Link:
    """Stand between one side and a server; `mode` holds for open and for new connections."""

    def __init__(self, *, target: str) -> None:
        self.target = target
        self.mode = LinkMode.PASS
        self.address = ''
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    def set_mode(self, mode: LinkMode) -> None:
        """Change what the link does; a reset cuts what is open."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self.abort_connections()

    def abort_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    @contextlib.asynccontextmanager
    async def served(self) -> AsyncIterator[str]:
        """Yield the link's own address while it is up."""
        await self.open(0)
        try:
            yield self.address
        finally:
            self.mode = LinkMode.PASS
            self.shut_down()

    async def open(self, port: int) -> None:
        """Take connections at a port, any that is free if it is 0."""
        self.server = await asyncio.start_server(self.handle, HOST, port)
        self.address = f'{HOST}:{self.server.sockets[0].getsockname()[1]}'

    async def reopen(self) -> None:
        """Take connections again where it was shut."""
        await self.open(int(self.address.rpartition(':')[2]))

    def shut_down(self) -> None:
        """Refuse connections and cut those that are open, as a process does that ends."""
        assert self.server is not None
        self.server.close()
        self.abort_connections()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection."""
        if self.mode is LinkMode.RESET:
            writer.transport.abort()
            return
        self.writers.add(writer)
        host, _, port = self.target.rpartition(':')
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(server_writer)
        try:
            await asyncio.gather(
                self.forward(reader, server_writer, LinkMode.BLOCK_REQUESTS),
                self.forward(server_reader, writer, LinkMode.BLOCK_RESPONSES),
            )
        finally:
            for item in (writer, server_writer):
                self.writers.discard(item)
                item.close()

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, blocking_mode: LinkMode
    ) -> None:
        """Carry bytes one way; while the link is `blocked` or silent they wait."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self.mode in (LinkMode.SILENT, blocking_mode):
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()
