"""Bound the bytes that a server may send in answer to one call.

A faulty server may send bytes that are no answer for as long as the connection is open. What it
sends is bounded by what a call can need, so that it costs neither memory nor time of the event
loop.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_FRAMING_BYTES = 64 * 1024
"""Most bytes that are no body: heads, also of interim responses, sizes and extensions of chunks,
and trailers. Four times the largest head that the platform's callers may send."""

FRAMING_BYTES_PER_BODY_BYTE = 16
"""How many more of these each byte of the body allows: a chunk of one byte takes six."""

MAX_SKIPPED_BYTES = 1024 * 1024
"""Most body bytes of responses to other calls that are skipped while a call waits for its own."""

MAX_BODY_BYTES = 256 * 1024 * 1024
"""Longest body of a call that sets no other bound. It is read only as fast as it is passed on."""


class ExceededBound(NamedTuple):
    """Name the part of a response that was too large, and its bound in bytes."""

    part: str
    limit: int


class ResponseBounds:
    """Count the bytes received for one call."""

    def __init__(self, *, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.received_bytes = 0
        self.body_bytes = 0
        self.skipped_bytes = 0
        self.stated_bytes = 0

    def on_received(self, count: int) -> None:
        """Count received bytes of any part."""
        self.received_bytes += count

    def on_body(self, count: int) -> None:
        """Count bytes of the body."""
        self.body_bytes += count

    def on_skipped(self, count: int) -> None:
        """Count body bytes of a response to another call."""
        self.skipped_bytes += count

    def on_stated_length(self, count: int) -> None:
        """Record the length that the head of the response states, in bytes."""
        self.stated_bytes = count

    def exceeded(self) -> ExceededBound | None:
        """Return the bound that is exceeded, `None` if none is."""
        if max(self.body_bytes, self.stated_bytes) > self.max_body_bytes:
            return ExceededBound('body', self.max_body_bytes)
        if self.skipped_bytes > MAX_SKIPPED_BYTES:
            return ExceededBound('skipped response', MAX_SKIPPED_BYTES)
        framing_bytes = self.received_bytes - self.body_bytes - self.skipped_bytes
        if framing_bytes > MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * self.body_bytes:
            return ExceededBound('head or framing', MAX_FRAMING_BYTES)
        return None
