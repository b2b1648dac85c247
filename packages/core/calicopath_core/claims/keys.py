"""Read idempotency keys."""

from __future__ import annotations

import hashlib
import uuid
from typing import NamedTuple

from calicopath_core.store.base import StoreError

MAX_FUTURE_S = 3600.0
"""How far ahead of this box's clock a key's own time may be."""

UUID7_VERSION = 7
UUID7_TIME_SHIFT = 80


class InvalidKey(StoreError):
    """Report that an idempotency key is not one that calicopath takes."""


class ClaimKey(NamedTuple):
    """Identify a request across boxes; `time_ms` is the time within the caller's key."""

    workspace: str
    pipeline: str
    key: str
    time_ms: int

    def __str__(self) -> str:
        """Return the form under which the claim is kept."""
        return f'{self.workspace}/{self.pipeline}/{self.key}'


def parse_key(workspace: str, pipeline: str, key: str, now_s: float) -> ClaimKey:
    """Read an idempotency key, which must be a UUID of version 7 (RFC 9562).

    Such a key carries the time at which the caller made it; the threshold is compared to it.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        raise InvalidKey('the idempotency key must be a UUID of version 7') from None
    if parsed.version != UUID7_VERSION:
        raise InvalidKey('the idempotency key must be a UUID of version 7')
    time_ms = parsed.int >> UUID7_TIME_SHIFT
    if time_ms > (now_s + MAX_FUTURE_S) * 1000:
        raise InvalidKey('the time in the idempotency key lies in the future')
    return ClaimKey(workspace, pipeline, str(parsed), time_ms)


def body_digest(body: bytes) -> str:
    """Return the digest by which a key used with another body is recognised."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()
