"""Test that a connection may end at any moment of a call, and is counted until then only."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from typing import Any

import testtools
import uvloop

from calicopath_clients.http1.connectors import DirectConnector
from calicopath_clients.http1.pool import HttpPool, RequestHead
from calicopath_core.backends.base import BackendError, NotStarted, ProbeResult
from testkit.servers import read_request

HEAD = RequestHead('GET', '/x', (('Host', 'h'),))
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none'
RESETS = 10_000
AT_ONCE = 50
GUARD_S = 120.0
MAX_DELAY_S = 0.004


class SlowConnector(DirectConnector):
    """Return a new connection only after its end may have been read."""

    async def open(self, address: str) -> Any:
        """Return a new connection."""
        connection = await super().open(address)
        await asyncio.sleep(random.uniform(0.0, MAX_DELAY_S))
        return connection


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


class ResettingServer:
    """End each connection at a moment of its own: `moments` are drawn from for each."""

    def __init__(self, *moments: str) -> None:
        self.moments = moments
        self.rng = random.Random(7)
        self.requests = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        moment = self.rng.choice(self.moments)
        try:
            if moment == 'at once':
                return
            if moment == 'soon':
                await asyncio.sleep(self.rng.uniform(0.0, 0.002))
                return
            await read_request(reader)
            self.requests += 1
            if moment == 'after the request':
                return
            cut = len(ANSWER) if moment == 'after the answer' else self.rng.randrange(len(ANSWER))
            writer.write(ANSWER[:cut])
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            reset(writer)


async def call_once(pool: HttpPool, address: str) -> bytes | BackendError:
    """Make a call; return its answer, or the error that says what is known of it."""
    try:
        call = await pool.call(address, HEAD, b'')
        try:
            return await call.read_all()
        finally:
            call.close()
    except BackendError as error:
        return error


class Resets(testtools.TestCase):
    def run_calls(
        self, server: ResettingServer, pool: HttpPool, count: int, *, on_uvloop: bool = False
    ) -> list[bytes | BackendError]:
        """Make calls, and check that no connection is counted in the end."""

        async def scenario() -> list[bytes | BackendError]:
            listener = await asyncio.start_server(server.handle, '127.0.0.1', 0, backlog=1024)
            address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
            found: list[bytes | BackendError] = []
            async with asyncio.timeout(GUARD_S):
                while len(found) < count:
                    calls = (call_once(pool, address) for _ in range(AT_ONCE))
                    found += await asyncio.gather(*calls)
                pool.close()
                while pool.open_counts:
                    await asyncio.sleep(0.001)
            listener.close()
            return found

        if on_uvloop:
            return uvloop.run(scenario())
        return asyncio.run(scenario())

    def test_a_connection_that_is_reset_before_the_request_is_sent_is_not_started(self) -> None:
        for on_uvloop in (True, False):
            server = ResettingServer('at once')
            pool = HttpPool(connector=SlowConnector())
            found = self.run_calls(server, pool, 200, on_uvloop=on_uvloop)
            self.assertTrue(all(isinstance(item, BackendError) for item in found))
            self.assertTrue(any(isinstance(item, NotStarted) for item in found))
            self.assertEqual(0, server.requests)

    def test_whatever_moment_a_connection_ends_each_call_has_a_known_outcome(self) -> None:
        moments = ('at once', 'soon', 'after the request', 'in the answer', 'after the answer')
        for on_uvloop in (True, False):
            server = ResettingServer(*moments)
            pool = HttpPool(connector=SlowConnector())
            found = self.run_calls(server, pool, 1000, on_uvloop=on_uvloop)
            answered = [item for item in found if isinstance(item, bytes)]
            self.assertEqual({b'one'}, set(answered))
            self.assertTrue(any(isinstance(item, BackendError) for item in found))

    def test_a_port_that_accepts_and_resets_is_probed_as_open(self) -> None:
        async def scenario() -> list[ProbeResult]:
            server = ResettingServer('at once')
            listener = await asyncio.start_server(server.handle, '127.0.0.1', 0)
            address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
            pool = HttpPool(connector=SlowConnector())
            found = [await pool.probe(address, watch_s) for watch_s in (0.0, 0.05)]
            listener.close()
            return [*found, await pool.probe(address, 0.0)]

        expected = [ProbeResult.OPEN, ProbeResult.OPEN, ProbeResult.REFUSED]
        self.assertEqual(expected, asyncio.run(scenario()))

    def test_no_connection_is_counted_after_ten_thousand_resets(self) -> None:
        server = ResettingServer('at once', 'soon')
        pool = HttpPool(connector=SlowConnector(), connection_limit=lambda _: AT_ONCE)
        found = self.run_calls(server, pool, RESETS, on_uvloop=True)
        self.assertTrue(all(isinstance(item, BackendError) for item in found))
