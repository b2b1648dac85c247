"""Open `aiohttp` client sessions with the limits that calicopath needs."""

from __future__ import annotations

import aiohttp

READ_BUFFER_BYTES = 4 * 1024 * 1024
"""Each line of a watch holds a whole object of up to 1 MB."""


def new_session() -> aiohttp.ClientSession:
    """Return a session without a connection limit: the endpoint pools limit calls."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
    return aiohttp.ClientSession(
        connector=connector,
        read_bufsize=READ_BUFFER_BYTES,
        headers={'Content-Type': 'application/json'},
    )
