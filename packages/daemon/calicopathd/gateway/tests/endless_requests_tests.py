"""Test that requests whose bytes never end are refused or closed, whatever the bytes are."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from calicopath_core.fleet.deployment import ClientLimits
from calicopathd.gateway.tests.server_tests import Echo, ServerCase

if TYPE_CHECKING:
    from calicopathd.gateway.server import HttpServer

LIMITS = ClientLimits(header_bytes=16_384, body_bytes=100_000, header_s=60.0, idle_s=60.0)
"""Limits whose times are so long that only the number of bytes ends a request."""

GUARD_S = 20.0
PART_BYTES = 16 * 1024
OFFERED_BYTES = 64 * 1024 * 1024
MAX_TAKEN_BYTES = 16 * 1024 * 1024
"""Most bytes that a caller gets rid of, nearly all of them in buffers of the kernel."""

HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS = {
    'empty lines': (b'', b'\r\n'),
    'target': (b'GET /', b'x'),
    'header value': (HEAD + b'X-Long: ', b'x'),
    'headers': (HEAD, b'X-More: value\r\n'),
    'chunks': (CHUNKED, b'1\r\nx\r\n'),
    'chunk extension': (CHUNKED + b'1;', b'x'),
    'trailers': (CHUNKED + b'0\r\n', b'X-More: value\r\n'),
    'body': (HEAD + b'Content-Length: 100000\r\n\r\n' + b'x' * 99_999 + b'y', b'\r\n'),
    'behind a request': (b'GET /wait HTTP/1.1\r\n\r\n' + HEAD + b'X-Long: ', b'x'),
    'requests behind a request': (b'GET /wait HTTP/1.1\r\n\r\n', b'GET /x HTTP/1.1\r\n\r\n'),
}


class PatientEcho(Echo):
    def limits(self) -> ClientLimits:
        return LIMITS


class EndlessRequests(ServerCase):
    def taken_bytes(self, start: bytes, repeated: bytes) -> int:
        """Send bytes until the server takes no more; return how many it took."""
        part = repeated * (PART_BYTES // len(repeated))

        async def work(server: HttpServer, port: int) -> int:
            server.handler = PatientEcho()
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(start)
            taken = 0
            reading = asyncio.create_task(reader.read())
            # A connection that the server neither reads nor closes takes no more bytes either.
            with contextlib.suppress(ConnectionError, TimeoutError):
                while taken < OFFERED_BYTES:
                    writer.write(part)
                    async with asyncio.timeout(1.0):
                        await writer.drain()
                    taken += len(part)
            reading.cancel()
            writer.transport.abort()
            return taken

        async def guarded(server: HttpServer, port: int) -> int:
            async with asyncio.timeout(GUARD_S):
                return await work(server, port)

        taken, _ = self.run_scenario(guarded)
        return int(taken)

    # Empty lines, trailers, chunk extensions and what follows a refused request had no bound.
    def test_requests_without_end_are_not_read_on(self) -> None:
        taken = {name: self.taken_bytes(*parts) for name, parts in ENDLESS.items()}
        self.assertEqual({}, {key: n for key, n in taken.items() if n > MAX_TAKEN_BYTES})

    # Trailers of a request were passed on as headers.
    def test_trailers_are_no_headers(self) -> None:
        data = HEAD + b'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
        _, handler = self.ask(data + b'1\r\nx\r\n0\r\nX-Trailer: 1\r\n\r\n')
        names = [name for name, _ in handler.requests[0].headers]
        self.assertNotIn('X-Trailer', names)
