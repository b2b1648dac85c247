"""Connect to replicas for boxes that don't reach them, and pass the bytes of both sides on.

One hop only: a connection for another box is always opened directly.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, cast

from calicopath_clients.http1.connections import set_socket_timeouts
from calicopath_clients.http1.connectors import DirectConnector, connect_result
from calicopath_clients.http1.frames import (
    END_OF_STREAM,
    NO_REUSE,
    BadFrame,
    FrameDecoder,
    encode_frame,
)
from calicopath_clients.http1.tunnels import OPEN, REFUSED, UNAVAILABLE
from calicopath_core.fleet.reachability import ConnectResult

if TYPE_CHECKING:
    from calicopath_core.fleet.reachability import ReplicaReachability
    from calicopath_core.fleet.replicas import ReplicaTable

MAX_FORWARDED = 200
"""Connections forwarded at once; each uses two descriptors and up to four buffers."""

MAX_UNSENT_BYTES = 64 * 1024
"""Unsent bytes to one side above which reading from the other side pauses."""

CONNECT_TIMEOUT_S = 1.0
POLL_S = 0.02


class ForwardingServer:
    """Forward connections of other boxes to the replicas that this box knows."""

    def __init__(self, *, replicas: ReplicaTable, reachability: ReplicaReachability) -> None:
        self.replicas = replicas
        self.reachability = reachability
        self.connector = DirectConnector()
        self.connections: set[ForwardedConnection] = set()
        self.forwarded_total = 0
        self.leaving = False
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ForwardedConnection(server=self), host, port
        )

    def may_forward(self, address: str) -> bool:
        """Return whether this box connects to the replica at an address for another box."""
        return (
            not self.leaving
            and not self.reachability.is_partitioned
            and address in self.replicas.by_address
            and len(self.connections) <= MAX_FORWARDED
        )

    def leave(self) -> None:
        """Forward no further connections, and ask for the end of the open ones."""
        self.leaving = True
        for connection in self.connections:
            connection.forbid_reuse()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no connection is forwarded, at most for a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.connections:
                    await asyncio.sleep(POLL_S)

    def close(self) -> None:
        """Stop listening and abort what is forwarded."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.abort()


class ForwardedConnection(asyncio.Protocol):
    """Serve one connection of another box: read the replica's address, connect, pass bytes on."""

    def __init__(self, *, server: ForwardingServer) -> None:
        self.server = server
        self.decoder = FrameDecoder()
        self.transport: asyncio.Transport | None = None
        self.replica: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        # uvloop's transports are not subclasses of asyncio's.
        self.transport = cast('asyncio.Transport', transport)
        set_socket_timeouts(self.transport.get_extra_info('socket'))
        self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Pass the box's bytes on; the first frame is the replica's address."""
        if self.replica is not None:
            self.replica.write(data)
            return
        try:
            frames = self.decoder.feed(data)
        except BadFrame:
            self.abort()
            return
        if self.task is not None or (self.decoder.buffer and frames) or len(frames) > 1:
            self.abort()
        elif frames:
            address = frames[0].payload.decode('latin-1')
            self.task = asyncio.get_running_loop().create_task(self.connect(address))

    async def connect(self, address: str) -> None:
        """Connect to the replica and answer whether it accepted."""
        assert self.transport is not None
        if not self.server.may_forward(address):
            self.refuse(UNAVAILABLE)
            return
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await self.server.connector.open_protocol(
                    lambda: ReplicaSide(box=self), address
                )
        except OSError as error:
            result = connect_result(error)
            self.server.reachability.on_connect(address, result)
            self.refuse(REFUSED if result is ConnectResult.REFUSED else UNAVAILABLE)
            return
        self.server.reachability.on_connect(address, ConnectResult.OPENED)
        self.replica = transport
        self.server.forwarded_total += 1
        self.transport.write(encode_frame(OPEN))
        if self.server.leaving:
            self.forbid_reuse()

    def refuse(self, answer: bytes) -> None:
        """Answer that there is no connection, and close."""
        assert self.transport is not None
        self.transport.write(encode_frame(answer))
        self.transport.close()

    def forbid_reuse(self) -> None:
        """Ask the box to send no further request on this connection."""
        if self.transport is not None and self.replica is not None:
            self.transport.write(NO_REUSE)

    def pause_writing(self) -> None:
        """Stop reading from the replica while the box does not read."""
        if self.replica is not None:
            self.replica.pause_reading()

    def resume_writing(self) -> None:
        """Go on reading from the replica."""
        if self.replica is not None and not self.replica.is_closing():
            self.replica.resume_reading()

    def abort(self) -> None:
        """Close both sides at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Close the replica's side, so that it stops work for a caller who has left."""
        self.server.connections.discard(self)
        if self.task is not None:
            self.task.cancel()
        if self.replica is not None:
            self.replica.abort()


class ReplicaSide(asyncio.Protocol):
    """Pass a replica's bytes to the box that asked for the connection."""

    def __init__(self, *, box: ForwardedConnection) -> None:
        self.box = box
        self.transport: asyncio.Transport | None = None
        self.has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the limits of the connection; close it if the box has left meanwhile."""
        self.transport = cast('asyncio.Transport', transport)
        set_socket_timeouts(self.transport.get_extra_info('socket'))
        self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        if self.box.transport is None or self.box.transport.is_closing():
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        assert self.box.transport is not None
        self.box.transport.write(encode_frame(data))

    def eof_received(self) -> None:
        """State that the replica closed its connection."""
        assert self.box.transport is not None
        self.has_ended = True
        self.box.transport.write(END_OF_STREAM)
        self.box.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Reset the box's connection if the replica's broke off."""
        if not self.has_ended:
            self.box.abort()

    def pause_writing(self) -> None:
        """Stop reading from the box while the replica does not read."""
        if self.box.transport is not None:
            self.box.transport.pause_reading()

    def resume_writing(self) -> None:
        """Go on reading from the box."""
        if self.box.transport is not None and not self.box.transport.is_closing():
            self.box.transport.resume_reading()
