"""Open a connection to a replica through another box."""

from __future__ import annotations

import asyncio
from typing import cast

from calicopath_clients.http1.connections import Connection, set_socket_timeouts
from calicopath_clients.http1.frames import BadFrame, Frame, FrameDecoder, encode_frame

OPEN = b'open'
"""The replica accepted the connection of the forwarding box."""

REFUSED = b'refused'
"""The replica refused the connection, and the forwarding box reaches other replicas."""

UNAVAILABLE = b'unavailable'
"""The forwarding box can't connect: it leaves, is overloaded, reaches no replica, or has none at
this address."""


class TunnelUnavailable(OSError):
    """Report that a box does not forward a connection; this tells nothing about the replica."""


class Tunnel(asyncio.Protocol):
    """Ask a box to connect to a replica, then pass the replica's bytes to a `Connection`."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.connection = Connection()
        self.connection.is_tunnel = True
        self.decoder = FrameDecoder()
        self.transport: asyncio.Transport | None = None
        self.opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the address of the replica."""
        # uvloop's transports are not subclasses of asyncio's.
        self.transport = cast('asyncio.Transport', transport)
        set_socket_timeouts(self.transport.get_extra_info('socket'))
        self.transport.write(encode_frame(self.address.encode()))

    def data_received(self, data: bytes) -> None:
        """Handle complete frames."""
        assert self.transport is not None
        try:
            frames = self.decoder.feed(data)
        except BadFrame:
            self.transport.abort()
            return
        for frame in frames:
            self.on_frame(frame)

    def on_frame(self, frame: Frame) -> None:
        """Handle the answer to the address, or what the replica has sent."""
        assert self.transport is not None
        if frame.forbids_reuse:
            self.on_reuse_forbidden()
        elif not self.opened.done():
            self.on_answer(frame.payload)
        elif frame.is_end:
            self.connection.eof_received()
            self.transport.close()
        elif not self.connection.is_closed:
            self.connection.data_received(frame.payload)

    def on_reuse_forbidden(self) -> None:
        """Close the connection once the call on it has ended."""
        self.connection.may_be_reused = False
        if self.opened.done() and self.connection.inbound is None:
            self.connection.abort()

    def on_answer(self, answer: bytes) -> None:
        """Hand the transport over to the connection, or fail the attempt."""
        assert self.transport is not None
        if answer == OPEN:
            self.connection.connection_made(self.transport)
            self.opened.set_result(None)
            return
        error = ConnectionRefusedError if answer == REFUSED else TunnelUnavailable
        self.opened.set_exception(error(f'{answer.decode("latin-1")} at the forwarding box'))
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the attempt, or the call on the connection."""
        if not self.opened.done():
            self.opened.set_exception(TunnelUnavailable('the forwarding box closed the connection'))
        if self.connection.transport is not None:
            self.connection.connection_lost(error)


async def open_tunnel(forwarder: str, address: str) -> Connection:
    """Return a connection to a replica through the box at `forwarder`.

    Raise `ConnectionRefusedError` if the replica refused it there, `OSError` on other failures.
    """
    host, _, port = forwarder.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        transport, tunnel = await loop.create_connection(
            lambda: Tunnel(address=address), host, int(port)
        )
    except OSError as error:
        raise TunnelUnavailable(f'box at {forwarder}: {error!r}') from error
    try:
        await tunnel.opened
    except BaseException:
        transport.abort()
        raise
    return tunnel.connection
