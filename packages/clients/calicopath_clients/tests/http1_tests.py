"""Test what the byte-exact HTTP client makes of answers that are cut, crossed or in surplus."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, Any

import testtools

from calicopath_clients.http1.pool import CallHead, HttpPool, keep_alive_s
from calicopath_core.backends.base import ConnectionBroken, MayHaveRun, NotStarted, ProbeResult
from testkit.servers import read_request

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from calicopath_clients.http1.answers import Head

HEAD = CallHead('GET', '/x?a=%20b', (('Host', 'h'), ('X-Odd', 'Value')))
ID = 'X-Id'


def answer(body: bytes, call_id: str = '1', extra: str = '') -> bytes:
    """Return an answer with a length."""
    head = f'HTTP/1.1 200 OK\r\n{ID}: {call_id}\r\n{extra}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class Server:
    """Serve each connection by a script, and count connections."""

    def __init__(self, script: Callable[[Any, Any], Awaitable[None]]) -> None:
        self.script = script
        self.connections = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the script."""
        self.connections += 1
        try:
            await self.script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def mine(head: Head) -> bool:
    """Tell whether an answer is the call's own."""
    return head.get(ID) == '1'


class HttpCase(testtools.TestCase):
    def run_scenario(
        self,
        script: Callable[[Any, Any], Awaitable[None]],
        steps: Callable[[HttpPool, str], Awaitable[Any]],
    ) -> tuple[Any, int]:
        """Run some work against a scripted server; return its result and the connections."""

        async def scenario() -> tuple[Any, int]:
            server = Server(script)
            listener = await asyncio.start_server(server.handle, '127.0.0.1', 0)
            port = listener.sockets[0].getsockname()[1]
            pool = HttpPool()
            try:
                result = await steps(pool, f'127.0.0.1:{port}')
            finally:
                pool.close()
                listener.close()
            return result, server.connections

        return asyncio.run(scenario())


async def get(pool: HttpPool, address: str) -> bytes:
    """Make one call and return the whole body."""
    call = await pool.call(address, HEAD, b'', accepts=mine)
    try:
        return await call.read_all()
    finally:
        call.close()


async def get_twice(pool: HttpPool, address: str) -> list[bytes]:
    """Make two calls one after the other."""
    first = await get(pool, address)
    await asyncio.sleep(0.02)
    return [first, await get(pool, address)]


class Answers(HttpCase):
    def test_a_connection_serves_one_call_after_the_other(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            for body in (b'one', b'two'):
                await read_request(reader)
                writer.write(answer(body))

        self.assertEqual(([b'one', b'two'], 1), self.run_scenario(script, get_twice))

    def test_target_and_headers_go_out_as_they_are(self) -> None:
        seen: list[bytes] = []

        async def script(reader: Any, writer: Any) -> None:
            seen.append(await reader.readuntil(b'\r\n\r\n'))
            writer.write(answer(b''))

        self.run_scenario(script, get)
        self.assertEqual([b'GET /x?a=%20b HTTP/1.1\r\nHost: h\r\nX-Odd: Value\r\n\r\n'], seen)

    def test_bytes_after_an_answer_belong_to_nobody(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'one') + answer(b'surplus'))
            await read_request(reader)

        self.assertEqual(([b'one', b'one'], 2), self.run_scenario(script, get_twice))

    def test_bytes_that_come_later_close_the_idle_connection(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'one'))
            await asyncio.sleep(0.005)
            writer.write(answer(b'late'))
            await read_request(reader)

        self.assertEqual(([b'one', b'one'], 2), self.run_scenario(script, get_twice))

    def test_an_answer_to_an_earlier_call_is_passed_over(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'of another', '0') + answer(b'own'))
            await read_request(reader)

        self.assertEqual(([b'own', b'own'], 2), self.run_scenario(script, get_twice))

    def test_only_answers_to_others_are_no_answer(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'a', '0') * 5)

        self.assertRaises(MayHaveRun, self.run_scenario, script, get)

    def test_an_answer_cut_short_is_not_whole(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'whole body')[:-3])

        self.assertRaises(MayHaveRun, self.run_scenario, script, get)

    def test_chunks_without_the_last_one_are_not_whole(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(
                b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
            )

        self.assertRaises(MayHaveRun, self.run_scenario, script, get)

    def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it')

        self.assertEqual(([b'all of it'] * 2, 2), self.run_scenario(script, get_twice))

    def test_one_without_a_length_that_is_reset_is_not_whole(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart of it')
            await asyncio.sleep(0.02)
            reset(writer)

        self.assertRaises(MayHaveRun, self.run_scenario, script, get)

    def test_bytes_that_are_no_http_are_no_answer(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(b'nonsense\r\n\r\n')

        self.assertRaises(MayHaveRun, self.run_scenario, script, get)

    def test_an_interim_answer_is_passed_over(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(b'HTTP/1.1 100 Continue\r\n\r\n' + answer(b'own'))

        self.assertEqual((b'own', 1), self.run_scenario(script, get))

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
                head = CallHead('POST', '/x', (*HEAD.headers, length))
                call = await pool.call(address, head, body, accepts=mine)
                found.append(await call.read_all())
                call.close()
            return found

        self.assertEqual(([b'early', b'early'], 2), self.run_scenario(script, work))

    def test_the_wish_to_close_is_kept(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'one', extra='Connection: close\r\n'))
            await asyncio.sleep(0.1)

        self.assertEqual(([b'one', b'one'], 2), self.run_scenario(script, get_twice))

    def test_a_call_given_up_takes_its_connection_along(self) -> None:
        closed: list[bytes] = []

        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            closed.append(await reader.read())

        async def work(pool: HttpPool, address: str) -> None:
            with testtools.ExpectedException(TimeoutError):
                async with asyncio.timeout(0.05):
                    await get(pool, address)
            await asyncio.sleep(0.05)

        self.run_scenario(script, work)
        self.assertEqual([b''], closed)

    def test_no_listener_means_not_sent(self) -> None:
        async def work(pool: HttpPool, address: str) -> None:
            with socket.socket() as unused:
                unused.bind(('127.0.0.1', 0))
                port = unused.getsockname()[1]
            await get(pool, f'127.0.0.1:{port}')

        async def script(reader: Any, writer: Any) -> None:
            raise AssertionError

        self.assertRaises(NotStarted, self.run_scenario, script, work)

    def test_a_port_that_refuses_is_told_from_one_that_listens_and_its_connection_is_kept(
        self,
    ) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(answer(b'one'))

        async def work(pool: HttpPool, address: str) -> list[Any]:
            with socket.socket() as unused:
                unused.bind(('127.0.0.1', 0))
                port = unused.getsockname()[1]
            found = [await pool.reach(f'127.0.0.1:{port}', 0.0), await pool.reach(address, 0.1)]
            return [*found, await get(pool, address)]

        found, connections = self.run_scenario(script, work)
        self.assertEqual([ProbeResult.REFUSED, ProbeResult.OPEN, b'one'], found)
        self.assertEqual(1, connections)

    def test_a_port_that_closes_after_its_connections_is_seen_to_be_refused(self) -> None:
        async def scenario() -> ProbeResult:
            accepted = asyncio.Event()

            async def end(reader: Any, writer: Any) -> None:
                accepted.set()
                writer.close()

            listener = await asyncio.start_server(end, '127.0.0.1', 0)
            port = listener.sockets[0].getsockname()[1]
            pool = HttpPool()
            found = asyncio.create_task(pool.reach(f'127.0.0.1:{port}', 1.0))
            await accepted.wait()
            listener.close()
            return await found

        self.assertEqual(ProbeResult.REFUSED, asyncio.run(scenario()))

    def test_a_broken_connection_is_told_from_an_answer_that_makes_no_sense(self) -> None:
        async def lost(reader: Any, writer: Any) -> None:
            await read_request(reader)
            reset(writer)

        async def senseless(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(b'no answer at all\r\n\r\n')
            await asyncio.sleep(0.05)

        self.assertRaises(ConnectionBroken, self.run_scenario, lost, get)
        error = self.assertRaises(MayHaveRun, self.run_scenario, senseless, get)
        self.assertNotIsInstance(error, ConnectionBroken)

    def test_the_idle_limit_is_read_in_both_forms(self) -> None:
        self.assertEqual(5.0, keep_alive_s('timeout=5, max=100'))
        self.assertEqual(7.0, keep_alive_s('7'))
        self.assertIsNone(keep_alive_s('max=3'))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


class Shares(HttpCase):
    def test_no_more_connections_are_opened_than_this_box_may_and_closed_ones_count_no_more(
        self,
    ) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            await asyncio.sleep(0.05)
            writer.write(answer(b'one', extra='Connection: close\r\n'))

        async def work(pool: HttpPool, address: str) -> list[Any]:
            pool.share_of = lambda _: 2
            calls = [get(pool, address) for _ in range(3)]
            found = await asyncio.gather(*calls, return_exceptions=True)
            await asyncio.sleep(0.05)
            return [*found, dict(pool.open), await get(pool, address)]

        found, connections = self.run_scenario(script, work)
        refused = [item for item in found if isinstance(item, NotStarted)]
        self.assertEqual(1, len(refused))
        self.assertEqual([b'one'] * 3, [item for item in found if isinstance(item, bytes)])
        self.assertIn({}, found)
        self.assertEqual(3, connections)

    def test_a_server_that_is_not_there_holds_no_share(self) -> None:
        async def work() -> dict[str, int]:
            pool = HttpPool(share_of=lambda _: 1)
            for _ in range(3):
                with testtools.ExpectedException(NotStarted, '.*reached.*'):
                    await pool.call('127.0.0.1:1', HEAD, b'')
            return dict(pool.open)

        self.assertEqual({}, asyncio.run(work()))
