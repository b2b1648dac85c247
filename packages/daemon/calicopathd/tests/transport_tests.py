"""Test that messages travel between two sockets, and that a dead peer does no harm."""

from __future__ import annotations

import asyncio

import testtools

from calicopathd.config.options import Address
from calicopathd.exceptions import StartError
from calicopathd.peers.zmq_transport import MAX_CONNECTIONS, SEND_QUEUE_MESSAGES, ZmqTransport
from testkit.servers import listening

CHUNK = 65536
ANY_PORT = Address('127.0.0.1', 0)


class SilencingProxy:
    """Carry connections to a port; `swallow` has those that are open go silent without a reset."""

    def __init__(self, *, port: int) -> None:
        self.port = port
        self.open: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()

    async def proxy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection both ways."""
        far_reader, far_writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.open |= {writer, far_writer}
        await asyncio.gather(self.forward(reader, far_writer), self.forward(far_reader, writer))

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry what goes one way, or drop it."""
        while data := await reader.read(CHUNK):
            if writer not in self.silent:
                writer.write(data)

    def silence(self) -> None:
        """Drop from now on what the open connections carry."""
        self.silent |= self.open


class Sockets(testtools.TestCase):
    def test_a_message_arrives_and_closing_does_not_wait_for_dead_peers(self) -> None:
        async def scenario() -> None:
            one, other = ZmqTransport(address=ANY_PORT), ZmqTransport(address=ANY_PORT)
            got: asyncio.Queue[bytes] = asyncio.Queue()
            other.listen(got.put_nowait)
            task = asyncio.create_task(other.run())
            one.send(f'127.0.0.1:{other.port}', b'hello')
            self.assertEqual(b'hello', await got.get())
            one.send('127.0.0.1:1', b'nobody there')
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            one.close()
            other.close()

        asyncio.run(scenario())

    def test_a_connection_gone_silent_is_made_anew_where_it_is_renewed(self) -> None:
        async def scenario() -> list[bytes]:
            one, other = ZmqTransport(address=ANY_PORT), ZmqTransport(address=ANY_PORT)
            got: asyncio.Queue[bytes] = asyncio.Queue()
            other.listen(got.put_nowait)
            task = asyncio.create_task(other.run())
            link = SilencingProxy(port=other.port)
            async with listening(link.proxy) as address:
                one.send(address, b'before')
                found = [await got.get()]
                link.silence()
                one.send(address, b'swallowed')
                one.drop_connection(address)
                one.send(address, b'after')
                found.append(await got.get())
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                one.close()
                other.close()
            return found

        self.assertEqual([b'before', b'after'], asyncio.run(scenario()))

    def test_a_full_queue_drops_and_connections_are_bounded(self) -> None:
        async def scenario() -> None:
            transport = ZmqTransport(address=ANY_PORT)
            for _ in range(SEND_QUEUE_MESSAGES + 50):
                transport.send('127.0.0.1:1', b'x')
            self.assertGreater(transport.dropped_messages, 0)
            for port in range(2, MAX_CONNECTIONS + 50):
                transport.send(f'127.0.0.1:{port}', b'x')
            self.assertEqual(MAX_CONNECTIONS, len(transport.connections))
            transport.close()

        asyncio.run(scenario())

    def test_an_address_in_use_is_a_clear_error(self) -> None:
        async def scenario() -> None:
            first = ZmqTransport(address=ANY_PORT)
            try:
                with self.assertRaises(StartError):
                    ZmqTransport(address=Address('127.0.0.1', first.port))
            finally:
                first.close()

        asyncio.run(scenario())
