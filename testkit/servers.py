"""Serve applications inside a test, on ports chosen by the system."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable


@contextlib.asynccontextmanager
async def serve_app(app: web.Application) -> AsyncIterator[str]:
    """Yield the URL of an application while it is served."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    try:
        yield f'http://{host}:{port}'
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def serve_connections(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> AsyncIterator[str]:
    """Yield the address, `host:port`, at which each connection is served."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield f'{host}:{port}'
    finally:
        server.close()


@contextlib.asynccontextmanager
async def serve_script(
    script: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> AsyncIterator[str]:
    """Yield the URL of a server that runs a script on each connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await script(reader, writer)
        writer.close()

    async with serve_connections(serve) as address:
        yield f'http://{address}'


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read one HTTP request with its body."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            length = int(line.split(b':')[1])
    return await reader.readexactly(length)


def http_response(body: bytes, status: str = '200 OK', headers: str = '') -> bytes:
    """Return an HTTP answer as bytes."""
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n'
    return head.encode() + body
