"""Test connections that one box opens to a replica for another box."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from unittest import mock

import testtools

from calicopath_clients.http1.pool import HttpPool, RequestHead
from calicopath_clients.http1.tunnels import TunnelUnavailable, open_tunnel
from calicopath_core.backends.base import ConnectionBroken
from calicopath_core.fleet.replicas import Replica, ReplicaTable
from calicopathd.gateway.forwarding import ForwardingServer
from testkit.ports import free_ports
from testkit.servers import http_response, read_request, serve_connections

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from calicopath_clients.http1.connections import Connection

GET = RequestHead('GET', '/', (('Host', 'h'),))
LARGE = bytes(range(256)) * 40_000
WAIT_S = 5.0


class TunnelPool(HttpPool):
    """Open every connection through one forwarding box."""

    def __init__(self, *, forwarder: str) -> None:
        super().__init__()
        self.connector = mock.Mock(open=self.open_tunnel)
        self.forwarder = forwarder

    async def open_tunnel(self, address: str) -> Connection:
        return await open_tunnel(self.forwarder, address)

    async def read(self, address: str) -> bytes:
        call = await self.call(address, GET, b'')
        try:
            return await call.read_all()
        finally:
            call.close()


class World:
    def __init__(self, *, server: ForwardingServer, pool: TunnelPool, replica: str) -> None:
        self.server = server
        self.pool = pool
        self.replica = replica


class ForwardingCase(testtools.TestCase):
    def run_scenario(
        self,
        serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
        steps: Callable[[World], Awaitable[None]],
    ) -> None:
        """Run some work beside a replica and a box that forwards connections to it."""

        async def serve_quietly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await serve(reader, writer)
            writer.close()

        async def scenario() -> None:
            async with serve_connections(serve_quietly) as address:
                table = ReplicaTable()
                table.put(Replica('r-1', 'desk', address, 'z', 4, False))
                server = ForwardingServer(
                    replicas=table, reachability=mock.Mock(is_partitioned=False)
                )
                (port,) = free_ports(1)
                await server.start('127.0.0.1', port)
                try:
                    pool = TunnelPool(forwarder=f'127.0.0.1:{port}')
                    async with asyncio.timeout(WAIT_S):
                        await steps(World(server=server, pool=pool, replica=address))
                    pool.close()
                finally:
                    server.close()

        asyncio.run(scenario())


async def serve_large(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer requests with a body of several buffers."""
    while True:
        await read_request(reader)
        writer.write(http_response(LARGE))
        await writer.drain()


async def serve_without_length(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer with a body that ends with the connection."""
    await read_request(reader)
    writer.write(b'HTTP/1.1 200 OK\r\n\r\nthe whole')
    await writer.drain()


async def serve_half(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a part of a body that ends with the connection, and hold the connection open."""
    await read_request(reader)
    writer.write(b'HTTP/1.1 200 OK\r\n\r\nhalf')
    await writer.drain()
    await reader.read()


class ForwardedAnswers(ForwardingCase):
    def test_large_answers_are_whole_and_the_connection_is_reused(self) -> None:
        async def work(world: World) -> None:
            for _ in range(3):
                self.assertEqual(LARGE, await world.pool.read(world.replica))
            self.assertEqual(1, world.server.forwarded_total)

        self.run_scenario(serve_large, work)

    def test_an_answer_without_a_length_is_complete_if_the_replica_closes(self) -> None:
        async def work(world: World) -> None:
            self.assertEqual(b'the whole', await world.pool.read(world.replica))

        self.run_scenario(serve_without_length, work)

    def test_an_answer_without_a_length_is_incomplete_if_the_forwarding_box_ends(self) -> None:
        async def work(world: World) -> None:
            call = await world.pool.call(world.replica, GET, b'')
            self.assertEqual(b'half', await call.read())
            for connection in list(world.server.connections):
                # A killed process closes its connections without a reset.
                assert connection.transport is not None
                connection.transport.close()
            with testtools.ExpectedException(ConnectionBroken):
                await call.read()

        self.run_scenario(serve_half, work)

    def test_a_caller_who_leaves_ends_the_replicas_connection(self) -> None:
        left = asyncio.Event()

        async def serve_until_left(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await serve_half(reader, writer)
            finally:
                left.set()

        async def work(world: World) -> None:
            call = await world.pool.call(world.replica, GET, b'')
            call.close()
            await left.wait()

        self.run_scenario(serve_until_left, work)


class UnforwardedConnections(ForwardingCase):
    def check_unavailable(self, prepare: Callable[[World], str]) -> None:
        """Check that a connection is not forwarded after `prepare`, which returns its address."""

        async def work(world: World) -> None:
            with testtools.ExpectedException(TunnelUnavailable):
                await open_tunnel(world.pool.forwarder, prepare(world))

        self.run_scenario(serve_large, work)

    def test_an_address_of_no_replica(self) -> None:
        self.check_unavailable(lambda world: '127.0.0.1:1')

    def test_a_box_that_reaches_no_replica_itself(self) -> None:
        def prepare(world: World) -> str:
            world.server.reachability = mock.Mock(is_partitioned=True)
            return world.replica

        self.check_unavailable(prepare)

    def test_a_leaving_box(self) -> None:
        def prepare(world: World) -> str:
            world.server.leave()
            return world.replica

        self.check_unavailable(prepare)

    def test_a_refusal_by_the_replica_is_told_from_a_box_that_does_not_forward(self) -> None:
        async def work(world: World) -> None:
            (port,) = free_ports(1)
            dead = f'127.0.0.1:{port}'
            world.server.replicas.put(Replica('r-2', 'desk', dead, 'z', 4, False))
            with testtools.ExpectedException(ConnectionRefusedError):
                await open_tunnel(world.pool.forwarder, dead)

        self.run_scenario(serve_large, work)


class LeavingForwarder(ForwardingCase):
    def test_idle_connections_are_closed_and_running_calls_end_first(self) -> None:
        async def work(world: World) -> None:
            call = await world.pool.call(world.replica, GET, b'')
            world.server.leave()
            self.assertEqual(LARGE, await call.read_all())
            call.close()
            await world.server.wait_idle(WAIT_S)
            self.assertEqual(set(), world.server.connections)

        self.run_scenario(serve_large, work)

    def test_a_connection_that_is_idle_when_the_box_leaves_is_not_used_again(self) -> None:
        async def work(world: World) -> None:
            await world.pool.read(world.replica)
            world.server.leave()
            await world.server.wait_idle(WAIT_S)
            self.assertIsNone(world.pool.take_idle(world.replica, WAIT_S))

        self.run_scenario(serve_large, work)
