"""Test how the HTTP client handles truncated, mismatched and surplus responses."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, Any

import testtools

from calicopath_clients.http1.pool import HttpPool, RequestHead, parse_keep_alive_s
from calicopath_core.backends.base import (
    ConnectionBroken,
    MayHaveRun,
    NotStarted,
    ProbeResult,
    WrongAnswer,
)
from testkit.servers import read_request

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from calicopath_clients.http1.answers import ResponseHead

HEAD = RequestHead('GET', '/x?a=%20b', (('Host', 'h'), ('X-Odd', 'Value')))
ID = 'X-Id'


def answer(body: bytes, call_id: str = '1', extra: str = '') -> bytes:
    """Return the bytes of a response with a length."""
    head = f'HTTP/1.1 200 OK\r\n{ID}: {call_id}\r\n{extra}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class Server:
    """Serve each connection by a script, and count the connections."""

    def __init__(self, script: Callable[[Any, Any], Awaitable[None]]) -> None:
        self.script = script
        self.connections = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the script on a new connection; ignore connections that the client closes."""
        self.connections += 1
        try:
            await self.script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def is_own_answer(head: ResponseHead) -> bool:
    """Tell whether a response belongs to the call."""
    return head.get(ID) == '1'


class HttpCase(testtools.TestCase):
    def run_against(
        self,
        script: Callable[[Any, Any], Awaitable[None]],
        work: Callable[[HttpPool, str], Awaitable[Any]],
    ) -> tuple[Any, int]:
        """Run `work` against a scripted server; return its result and the connection count."""

        async def scenario() -> tuple[Any, int]:
            server = Server(script)
            listener = await asyncio.start_server(server.handle, '127.0.0.1', 0)
            port = listener.sockets[0].getsockname()[1]
            pool = HttpPool()
            try:
                result = await work(pool, f'127.0.0.1:{port}')
            finally:
                pool.close()
                listener.close()
            return result, server.connections

        return asyncio.run(scenario())


async def get(pool: HttpPool, address: str) -> bytes:
    """Make one call and return the whole body."""
    call = await pool.call(address, HEAD, b'', accepts=is_own_answer)
    try:
        return await call.read_all()
    finally:
        call.close()


async def get_twice(pool: HttpPool, address: str) -> list[bytes]:
    """Make two calls with a pause of 20 ms between them."""
    first = await get(pool, address)
    await asyncio.sleep(0.02)
    return [first, await get(pool, address)]


class Statuses(HttpCase):
    def test_what_is_no_status_of_an_answer_breaks_the_call_at_once(self) -> None:
        for status in ('000', '001', '099', '101', '600', '999'):

            async def script(reader: Any, writer: Any, status: str = status) -> None:
                await read_request(reader)
                data = answer(b'one').replace(b'200 OK', f'{status} Odd'.encode())
                writer.write(data + answer(b'two'))
                await reader.read()

            async def work(pool: HttpPool, address: str) -> None:
                async with asyncio.timeout(5):
                    with testtools.ExpectedException(WrongAnswer):
                        await get(pool, address)

            self.run_against(script, work)

    def test_interim_responses_are_passed_over_and_all_final_statuses_are_answers(self) -> None:
        for status in (200, 299, 304, 404, 500, 599):

            async def script(reader: Any, writer: Any, status: int = status) -> None:
                await read_request(reader)
                interim = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n'
                body = b'' if status == 304 else b'one'
                writer.write(interim + answer(body).replace(b'200 OK', b'%d Odd' % status))

            async def work(pool: HttpPool, address: str) -> int:
                call = await pool.call(address, HEAD, b'', accepts=is_own_answer)
                await call.read_all()
                call.close()
                return call.head.status

            self.assertEqual(status, self.run_against(script, work)[0])


class Answers(HttpCase):
    def test_a_connection_serves_one_call_after_the_other(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            for body in (b'one', b'two'):
                await read_request(reader)
                writer.write(answer(body))

        self.assertEqual(([b'one', b'two'], 1), self.run_against(script, get_twice))

    def test_target_and_headers_go_out_as_they_are(self) -> None:
        seen: list[bytes] = []

        async def script(reader: Any, writer: Any) -> None:
            seen.append(await reader.readuntil(b'\r\n\r\n'))
            writer.write(answer(b''))

        self.run_against(script, get)
        self.assertEqual([b'GET /x?a=%20b HTTP/1.1\r\nHost: h\r\nX-Odd: Value\r\n\r\n'], seen)

    def test_a_connection_with_surplus_bytes_is_not_reused(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'one') + answer(b'surplus'))
            await read_request(reader)

        self.assertEqual(([b'one', b'one'], 2), self.run_against(script, get_twice))

    def test_bytes_that_come_later_close_the_idle_connection(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'one'))
            await asyncio.sleep(0.005)
            writer.write(answer(b'late'))
            await read_request(reader)

        self.assertEqual(([b'one', b'one'], 2), self.run_against(script, get_twice))

    def test_an_answer_to_an_earlier_call_is_skipped(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'of another', '0') + answer(b'own'))
            await read_request(reader)

        self.assertEqual(([b'own', b'own'], 2), self.run_against(script, get_twice))

    def test_a_call_fails_if_only_answers_to_others_come(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'a', '0') * 5)

        self.assertRaises(MayHaveRun, self.run_against, script, get)

    def test_an_answer_cut_short_is_not_whole(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'whole body')[:-3])

        self.assertRaises(MayHaveRun, self.run_against, script, get)

    def test_chunks_without_the_last_one_are_not_whole(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(
                b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
            )

        self.assertRaises(MayHaveRun, self.run_against, script, get)

    def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it')

        self.assertEqual(([b'all of it'] * 2, 2), self.run_against(script, get_twice))

    def test_one_without_a_length_that_is_reset_is_not_whole(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart of it')
            await asyncio.sleep(0.02)
            reset(writer)

        self.assertRaises(MayHaveRun, self.run_against, script, get)

    def test_bytes_that_are_no_http_are_no_answer(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(b'nonsense\r\n\r\n')

        self.assertRaises(MayHaveRun, self.run_against, script, get)

    def test_an_interim_answer_is_skipped(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(b'HTTP/1.1 100 Continue\r\n\r\n' + answer(b'own'))

        self.assertEqual((b'own', 1), self.run_against(script, get))

    def test_an_answer_that_comes_before_the_body_was_read_leaves_no_bytes_to_the_next_call(
        self,
    ) -> None:
        async def script(reader: Any, writer: Any) -> None:
            writer.write(answer(b'early'))
            await asyncio.sleep(0.2)

        async def work(pool: HttpPool, address: str) -> list[bytes]:
            found = []
            for body in (b'x' * 8_000_000, b''):
                length = ('Content-Length', str(len(body)))
                head = RequestHead('POST', '/x', (*HEAD.headers, length))
                call = await pool.call(address, head, body, accepts=is_own_answer)
                found.append(await call.read_all())
                call.close()
            return found

        self.assertEqual(([b'early', b'early'], 2), self.run_against(script, work))

    def test_a_connection_that_the_server_will_close_is_not_reused(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'one', extra='Connection: close\r\n'))
            await asyncio.sleep(0.1)

        self.assertEqual(([b'one', b'one'], 2), self.run_against(script, get_twice))

    def test_a_cancelled_call_closes_its_connection(self) -> None:
        closed: list[bytes] = []

        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            closed.append(await reader.read())

        async def work(pool: HttpPool, address: str) -> None:
            with testtools.ExpectedException(TimeoutError):
                async with asyncio.timeout(0.05):
                    await get(pool, address)
            await asyncio.sleep(0.05)

        self.run_against(script, work)
        self.assertEqual([b''], closed)

    def test_no_listener_means_not_sent(self) -> None:
        async def work(pool: HttpPool, address: str) -> None:
            with socket.socket() as unused:
                unused.bind(('127.0.0.1', 0))
                port = unused.getsockname()[1]
            await get(pool, f'127.0.0.1:{port}')

        async def script(reader: Any, writer: Any) -> None:
            raise AssertionError

        self.assertRaises(NotStarted, self.run_against, script, work)

    def test_a_probe_tells_closed_ports_from_open_ones_and_keeps_its_connection(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'one'))

        async def work(pool: HttpPool, address: str) -> list[Any]:
            with socket.socket() as unused:
                unused.bind(('127.0.0.1', 0))
                port = unused.getsockname()[1]
            found = [await pool.probe(f'127.0.0.1:{port}', 0.0), await pool.probe(address, 0.1)]
            return [*found, await get(pool, address)]

        found, connections = self.run_against(script, work)
        self.assertEqual([ProbeResult.REFUSED, ProbeResult.OPEN, b'one'], found)
        self.assertEqual(1, connections)

    def test_a_port_that_closes_after_its_connections_is_seen_to_be_refused(self) -> None:
        async def scenario() -> ProbeResult:
            accepted = asyncio.Event()

            async def accept_once(reader: Any, writer: Any) -> None:
                accepted.set()
                writer.close()

            listener = await asyncio.start_server(accept_once, '127.0.0.1', 0)
            port = listener.sockets[0].getsockname()[1]
            pool = HttpPool()
            found = asyncio.create_task(pool.probe(f'127.0.0.1:{port}', 1.0))
            await accepted.wait()
            listener.close()
            return await found

        self.assertEqual(ProbeResult.REFUSED, asyncio.run(scenario()))

    def test_a_broken_connection_is_told_from_an_invalid_answer(self) -> None:
        async def lost(reader: Any, writer: Any) -> None:
            await read_request(reader)
            reset(writer)

        async def invalid(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(b'no answer at all\r\n\r\n')
            await asyncio.sleep(0.05)

        self.assertRaises(ConnectionBroken, self.run_against, lost, get)
        error = self.assertRaises(MayHaveRun, self.run_against, invalid, get)
        self.assertNotIsInstance(error, ConnectionBroken)

    def test_the_idle_limit_is_read_in_both_forms(self) -> None:
        self.assertEqual(5.0, parse_keep_alive_s('timeout=5, max=100'))
        self.assertEqual(7.0, parse_keep_alive_s('7'))
        self.assertIsNone(parse_keep_alive_s('max=3'))
        for text in ('timeout=\xb2', '\xb2', 'timeout=', 'timeout=-1', 'timeout=1e3'):
            self.assertIsNone(parse_keep_alive_s(text))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


class ConnectionLimits(HttpCase):
    def test_open_connections_are_limited_and_closed_ones_do_not_count(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            await asyncio.sleep(0.05)
            writer.write(answer(b'one', extra='Connection: close\r\n'))

        async def work(pool: HttpPool, address: str) -> list[Any]:
            pool.connection_limit = lambda _: 2
            calls = [get(pool, address) for _ in range(3)]
            found = await asyncio.gather(*calls, return_exceptions=True)
            await asyncio.sleep(0.05)
            return [*found, dict(pool.open_counts), await get(pool, address)]

        found, connections = self.run_against(script, work)
        refused = [item for item in found if isinstance(item, NotStarted)]
        self.assertEqual(1, len(refused))
        self.assertEqual([b'one'] * 3, [item for item in found if isinstance(item, bytes)])
        self.assertIn({}, found)
        self.assertEqual(3, connections)

    def test_failed_connections_do_not_count(self) -> None:
        async def work() -> dict[str, int]:
            pool = HttpPool(connection_limit=lambda _: 1)
            for _ in range(3):
                with testtools.ExpectedException(NotStarted, '.*reached.*'):
                    await pool.call('127.0.0.1:1', HEAD, b'')
            return dict(pool.open_counts)

        self.assertEqual({}, asyncio.run(work()))
