"""Find free ports."""

from __future__ import annotations

import socket


def free_ports(count: int) -> list[int]:
    """Return ports that were free at the time of the call."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
