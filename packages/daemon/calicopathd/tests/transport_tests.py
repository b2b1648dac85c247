"""Test that messages are delivered, and that dead peers neither block nor exhaust a transport."""

from __future__ import annotations

import asyncio

import testtools

from calicopathd.config.options import Address
from calicopathd.exceptions import StartError
from calicopathd.peers.zmq_transport import MAX_CONNECTIONS, SEND_QUEUE_MESSAGES, ZmqTransport
from testkit.servers import serve_connections

CHUNK = 65536
ANY_PORT = Address('127.0.0.1', 0)


class SilencingProxy:
    """Proxy connections to a port; `silence` makes the open ones drop data without a reset."""

    def __init__(self, *, port: int) -> None:
        self.port = port
        self.open: set[asyncio.StreamWriter] = set()
        self.silenced: set[asyncio.StreamWriter] = set()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Proxy one connection in both directions."""
        target_reader, target_writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.open |= {writer, target_writer}
        await asyncio.gather(
            self.forward(reader, target_writer), self.forward(target_reader, writer)
        )

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward data in one direction, or drop it once silenced."""
        while data := await reader.read(CHUNK):
            if writer not in self.silenced:
                writer.write(data)

    def silence(self) -> None:
        """Drop all further data of the connections that are open now."""
        self.silenced |= self.open


class Sockets(testtools.TestCase):
    def test_a_message_arrives_and_closing_does_not_wait_for_dead_peers(self) -> None:
        async def scenario() -> None:
            sender, receiver = ZmqTransport(address=ANY_PORT), ZmqTransport(address=ANY_PORT)
            received: asyncio.Queue[bytes] = asyncio.Queue()
            receiver.listen(received.put_nowait)
            task = asyncio.create_task(receiver.run())
            sender.send(f'127.0.0.1:{receiver.port}', b'hello')
            self.assertEqual(b'hello', await received.get())
            sender.send('127.0.0.1:1', b'nobody there')
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            sender.close()
            receiver.close()

        asyncio.run(scenario())

    def test_a_connection_gone_silent_is_reopened_after_it_is_dropped(self) -> None:
        async def scenario() -> list[bytes]:
            sender, receiver = ZmqTransport(address=ANY_PORT), ZmqTransport(address=ANY_PORT)
            received: asyncio.Queue[bytes] = asyncio.Queue()
            receiver.listen(received.put_nowait)
            task = asyncio.create_task(receiver.run())
            proxy = SilencingProxy(port=receiver.port)
            async with serve_connections(proxy.handle) as address:
                sender.send(address, b'before')
                found = [await received.get()]
                proxy.silence()
                sender.send(address, b'swallowed')
                sender.drop_connection(address)
                sender.send(address, b'after')
                found.append(await received.get())
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                sender.close()
                receiver.close()
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
