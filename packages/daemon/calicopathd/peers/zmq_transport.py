"""Send messages between boxes over ZeroMQ: one PULL socket per box, one PUSH socket per peer."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import zmq
import zmq.asyncio

from calicopath_core.membership.transport import PeerTransport
from calicopathd.exceptions import StartError

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopathd.config.options import Address

SEND_QUEUE_MESSAGES = 200
"""Messages queued for one peer; further ones are dropped, and digests repair the loss."""

RECEIVE_QUEUE_MESSAGES = 5000
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_CONNECTIONS = 128
RECONNECT_MS = 100
MAX_RECONNECT_MS = 2000
UNACKED_TIMEOUT_MS = 600
"""Time without an acknowledgement of sent data after which a connection is reopened. A connection
can stall for good without a reset, and a box that is not heard for 0.7 s is skipped, so a live box
must be reached over a new connection before that."""

KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 2
"""An incoming connection is closed after 15 s without an acknowledgement from the peer's kernel.
The peer has opened a new connection by then, and the old one would hold its descriptor for good."""

RECEIVE_SLICE_S = 0.005
"""Time for which received messages are handled before other tasks run. Receiving does not wait
while messages are queued, so nothing else would run in a burst of messages."""

LINGER_MS = 0
"""Closing does not wait for unsent messages, which a dead peer would never receive."""


class ZmqTransport(PeerTransport):
    """Keep the most recently used connections; drop messages instead of blocking."""

    def __init__(
        self,
        *,
        address: Address,
        max_reconnect_ms: int = MAX_RECONNECT_MS,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.max_reconnect_ms = max_reconnect_ms
        self.max_connections = max_connections
        self.context = zmq.asyncio.Context()
        self.send_context = zmq.Context(self.context)
        self.receive_socket = self.context.socket(zmq.PULL)
        self.receive_socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
        self.receive_socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self.receive_socket.setsockopt(zmq.LINGER, LINGER_MS)
        self.receive_socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
        self.receive_socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_INTERVAL_S)
        self.receive_socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
        self.receive_socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
        self.port = self.bind(address)
        self.connections: OrderedDict[str, zmq.Socket[bytes]] = OrderedDict()
        self.handler: Callable[[bytes], None] = lambda data: None
        self.dropped_messages = 0

    def bind(self, address: Address) -> int:
        """Listen on the address, on a free port if its port is 0, and return the port."""
        host = f'[{address.host}]' if ':' in address.host else address.host
        if ':' in address.host:
            self.receive_socket.setsockopt(zmq.IPV6, 1)
        try:
            if address.port == 0:
                return int(self.receive_socket.bind_to_random_port(f'tcp://{host}'))
            self.receive_socket.bind(f'tcp://{host}:{address.port}')
        except zmq.ZMQError as error:
            raise StartError(f'cannot listen on {address}: {error.strerror}') from error
        return address.port

    def listen(self, handler: Callable[[bytes], None]) -> None:
        """Pass every received message to `handler`."""
        self.handler = handler

    async def run(self) -> None:
        """Receive messages and pass them to the handler until cancelled."""
        loop = asyncio.get_running_loop()
        slice_ends_at = loop.time() + RECEIVE_SLICE_S
        while True:
            self.handler(await self.receive_socket.recv())
            if loop.time() >= slice_ends_at:
                await asyncio.sleep(0)
                slice_ends_at = loop.time() + RECEIVE_SLICE_S

    def send(self, address: str, data: bytes) -> None:
        """Send without blocking; if the queue is full, drop the message and count it."""
        try:
            self.connection_to(address).send(data, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.dropped_messages += 1

    def connection_to(self, address: str) -> zmq.Socket[bytes]:
        """Return the connection to a peer; if there are too many, close the least recently used."""
        connection = self.connections.get(address)
        if connection is None:
            connection = self.connect(address)
            self.connections[address] = connection
            if len(self.connections) > self.max_connections:
                self.connections.popitem(last=False)[1].close()
        self.connections.move_to_end(address)
        return connection

    def connect(self, address: str) -> zmq.Socket[bytes]:
        """Return a connection that ZeroMQ opens in the background."""
        connection = self.send_context.socket(zmq.PUSH)
        connection.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        connection.setsockopt(zmq.LINGER, LINGER_MS)
        connection.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        connection.setsockopt(zmq.RECONNECT_IVL_MAX, self.max_reconnect_ms)
        connection.setsockopt(zmq.TCP_MAXRT, UNACKED_TIMEOUT_MS)
        connection.setsockopt(zmq.IPV6, 1)
        connection.connect(f'tcp://{address}')
        return connection

    def drop_connection(self, address: str) -> None:
        """Close the connection to a peer; messages queued on it are dropped."""
        connection = self.connections.pop(address, None)
        if connection is not None:
            connection.close()

    def close(self) -> None:
        """Close every connection."""
        self.receive_socket.close()
        for connection in self.connections.values():
            connection.close()
        self.context.term()
