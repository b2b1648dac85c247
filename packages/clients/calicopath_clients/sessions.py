"""Open HTTP client sessions with the limits that calicopath needs."""

from __future__ import annotations

import aiohttp

READ_BUFFER_BYTES = 4 * 1024 * 1024
"""A line of a watch holds a whole object, up to a megabyte."""


def new_session() -> aiohttp.ClientSession:
    """Return a session whose connections are bounded by the pools, not by the library."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
    return aiohttp.ClientSession(
        connector=connector,
        read_bufsize=READ_BUFFER_BYTES,
        headers={'Content-Type': 'application/json'},
    )
