"""Test the HTTP server: parsing, limits, exact responses and closing."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import testtools
from testtools.matchers import EndsWith, StartsWith

from calicopath_core.clock import LoopClock
from calicopath_core.fleet.deployment import ClientLimits
from calicopathd.gateway.requests import RawRequest, RequestHandler
from calicopathd.gateway.server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from calicopathd.gateway.responder import Responder

LIMITS = ClientLimits(header_bytes=400, body_bytes=100, header_s=0.1, idle_s=0.3)
OK = b'HTTP/1.1 200 OK'
BIG_BODY = b'x' * 16_000_000
"""More than the kernel buffers for a caller that does not read."""


class Echo(RequestHandler):
    """Echo the request body; some paths delay, stream or break off the response."""

    def __init__(self) -> None:
        self.requests: list[RawRequest] = []
        self.bad: list[int] = []
        self.cancelled = 0

    async def handle(self, request: RawRequest, responder: Responder) -> None:
        self.requests.append(request)
        if request.target == '/wait':
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if request.target == '/slow':
            await asyncio.sleep(0.05)
        if request.target == '/big':
            responder.respond(200, (), BIG_BODY)
            return
        if request.target == '/cut':
            responder.start(200, ())
            await responder.send(b'part')
            return
        if request.target == '/stream':
            responder.start(200, (('X-Seal', 's'),))
            await responder.send(b'one')
            await responder.send(b'two')
            responder.finish()
            return
        responder.respond(200, (('X-Seal', 's'), ('Transfer-Encoding', 'x')), request.body)

    def limits(self) -> ClientLimits:
        return LIMITS

    def on_bad_request(self, status: int, reason: str) -> None:
        self.bad.append(status)


class ServerCase(testtools.TestCase):
    def run_scenario(self, steps: Callable[[HttpServer, int], Awaitable[Any]]) -> tuple[Any, Echo]:
        """Run some work against a started server."""

        async def scenario() -> tuple[Any, Echo]:
            handler = Echo()
            server = HttpServer(handler=handler, clock=LoopClock())
            port = await server.start('127.0.0.1', 0)
            try:
                return await steps(server, port), handler
            finally:
                server.close_idle()
                for connection in list(server.connections):
                    connection.abort()

        return asyncio.run(scenario())

    def ask(self, data: bytes) -> tuple[bytes, Echo]:
        """Send bytes and return all that the server sends until it closes the connection."""

        async def work(server: HttpServer, port: int) -> bytes:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(data)
            found = await reader.read()
            writer.close()
            return found

        return self.run_scenario(work)


class Connections(ServerCase):
    def test_connections_above_the_limit_are_closed_unread_until_others_close(self) -> None:
        async def work(server: HttpServer, port: int) -> list[bytes]:
            server.max_connections = 2
            request = b'GET /x HTTP/1.1\r\n\r\n'
            connections = [await asyncio.open_connection('127.0.0.1', port) for _ in range(2)]
            await asyncio.sleep(0.02)
            found = [await first_bytes(port, request)]
            connections[0][1].close()
            await asyncio.sleep(0.02)
            found.append(await first_bytes(port, request))
            connections[1][1].close()
            return [*found, str(server.rejected_connections).encode()]

        (rejected, served, count), handler = self.run_scenario(work)
        self.assertEqual(b'', rejected)
        self.assertThat(served, StartsWith(OK))
        self.assertEqual(b'1', count)
        self.assertEqual(1, len(handler.requests))


async def first_bytes(port: int, data: bytes) -> bytes:
    """Send bytes on a new connection and return the first bytes of the response."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    found = b''
    with contextlib.suppress(ConnectionError):
        writer.write(data)
        found = await reader.read(100)
    writer.close()
    return found


class Requests(ServerCase):
    def test_chunks_and_lengths_come_whole_and_unchanged(self) -> None:
        chunked = (
            b'POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        )
        _, handler = self.ask(chunked + b'GET /c HTTP/1.1\r\nConnection: close\r\n\r\n')
        self.assertEqual(['/a?b=%20', '/c'], [item.target for item in handler.requests])
        self.assertEqual([b'abcde', b''], [item.body for item in handler.requests])

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        first = b'POST /slow HTTP/1.1\r\nContent-Length: 1\r\n\r\n1'
        second = b'POST /x HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\n2'
        found, _ = self.ask(first + second)
        bodies = [part.partition(b'\r\n\r\n')[2] for part in found.split(OK)[1:]]
        self.assertEqual([b'1', b'2'], bodies)

    def test_framing_is_the_servers_own(self) -> None:
        found, _ = self.ask(b'POST /x HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\n2')
        self.assertNotIn(b'Transfer-Encoding', found)
        self.assertIn(b'X-Seal: s\r\nContent-Length: 1\r\n', found)

    def test_two_lengths_or_a_length_with_chunks_are_refused(self) -> None:
        both = (
            b'POST /x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        )
        twice = b'POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab'
        for data in (both, twice, b'nonsense\r\n\r\n'):
            found, handler = self.ask(data)
            self.assertThat(found, StartsWith(b'HTTP/1.1 400 '))
            self.assertEqual([], handler.requests)

    def test_what_is_over_the_limits_is_refused(self) -> None:
        header = b'GET /x HTTP/1.1\r\nX: ' + b'a' * 500 + b'\r\n\r\n'
        endless = b'GET /x HTTP/1.1\r\nX: ' + b'a' * 500
        length = b'POST /x HTTP/1.1\r\nContent-Length: 101\r\n\r\n'
        chunks = (
            b'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n' + b'a' * 101 + b'\r\n'
        )
        wanted = [431, 431, 413, 413]
        for status, data in zip(wanted, (header, endless, length, chunks), strict=True):
            found, handler = self.ask(data)
            self.assertThat(found, StartsWith(f'HTTP/1.1 {status} '.encode()))
            self.assertEqual([status], handler.bad)
            self.assertEqual([], handler.requests)

    def test_a_request_that_stalls_is_closed(self) -> None:
        for data in (b'GET /x HT', b'POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\nab'):
            found, handler = self.ask(data)
            self.assertThat(found, StartsWith(b'HTTP/1.1 408 '))
            self.assertEqual([], handler.requests)

    def test_a_connection_that_rests_is_closed_without_a_word(self) -> None:
        self.assertEqual(b'', self.ask(b'')[0])

    def test_a_caller_that_leaves_cancels_its_request(self) -> None:
        async def work(server: HttpServer, port: int) -> None:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'GET /wait HTTP/1.1\r\n\r\n')
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)

        self.assertEqual(1, self.run_scenario(work)[1].cancelled)


class Answers(ServerCase):
    def test_a_stream_ends_with_its_last_chunk(self) -> None:
        found, _ = self.ask(b'GET /stream HTTP/1.1\r\nConnection: close\r\n\r\n')
        self.assertThat(found, EndsWith(b'3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n'))

    def test_an_answer_that_is_cut_has_no_last_chunk_and_nothing_added(self) -> None:
        async def work(server: HttpServer, port: int) -> bytes:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'GET /cut HTTP/1.1\r\n\r\n')
            found = b''
            try:
                while data := await reader.read(100):
                    found += data
            except ConnectionError:
                pass
            writer.close()
            return found

        found, _ = self.run_scenario(work)
        self.assertNotIn(b'0\r\n\r\n', found)
        self.assertIn(found.partition(b'\r\n\r\n')[2], (b'', b'4\r\npart\r\n'))

    # The process ended as soon as no request was in progress, with answers in its buffers.
    def test_a_stop_does_not_cut_an_answer_that_its_caller_reads_slowly(self) -> None:
        async def work(server: HttpServer, port: int) -> bytes:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'POST /big HTTP/1.1\r\nContent-Length: 0\r\n\r\n')
            found = await reader.readuntil(b'\r\n\r\n')
            server.start_closing()
            server.close_idle()
            self.assertFalse(await server.wait_idle(0.1))
            stopping = asyncio.create_task(server.wait_idle(10))
            found = await reader.readexactly(len(BIG_BODY))
            self.assertTrue(await stopping)
            writer.close()
            return found

        self.assertEqual(BIG_BODY, self.run_scenario(work)[0])

    def test_a_stop_lets_requests_end_and_tells_connections_to_close(self) -> None:
        async def work(server: HttpServer, port: int) -> bytes:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            idle = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'POST /slow HTTP/1.1\r\nContent-Length: 2\r\n\r\nab')
            await asyncio.sleep(0.02)
            server.start_closing()
            server.close_idle()
            self.assertTrue(await server.wait_idle(5))
            self.assertEqual(b'', await idle[0].read())
            found = await reader.read()
            writer.close()
            idle[1].close()
            return found

        found, _ = self.run_scenario(work)
        self.assertThat(found, StartsWith(OK))
        self.assertIn(b'Connection: close', found)
        self.assertThat(found, EndsWith(b'ab'))
