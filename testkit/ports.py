"""Find free ports."""

from __future__ import annotations

import contextlib
import random
import socket

MAX_ATTEMPTS = 100
LISTENING_PORTS = (15_000, 32_000)


def free_port_block(count: int) -> list[int]:
    """Return adjacent ports that were free at the time of the call.

    They are below the range of ports for outgoing connections, which may take a port while the
    process that listens there is restarted.
    """
    for _ in range(MAX_ATTEMPTS):
        first = random.randrange(*LISTENING_PORTS)
        ports = list(range(first, first + count))
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError, OverflowError):
            for port in ports:
                stack.enter_context(socket.socket()).bind(('127.0.0.1', port))
            return ports
    raise RuntimeError(f'found no {count} adjacent free ports')


def free_ports(count: int) -> list[int]:
    """Return ports that were free at the time of the call."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
