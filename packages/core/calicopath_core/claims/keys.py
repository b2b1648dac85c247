"""Parse idempotency keys."""

from __future__ import annotations

import hashlib
import uuid
from typing import NamedTuple

from calicopath_core.store.base import StoreError

MAX_FUTURE_S = 3600.0
"""How far the time in a key may be ahead of this box's clock."""

UUID7_VERSION = 7
UUID7_TIME_SHIFT = 80


class InvalidKey(StoreError):
    """Report an idempotency key that is malformed or too far in the future."""


class ClaimKey(NamedTuple):
    """Identify a request across boxes; `time_ms` is the time in the caller's key."""

    workspace: str
    pipeline: str
    key: str
    time_ms: int

    def __str__(self) -> str:
        """Return the name of the claim in its group."""
        return f'{self.workspace}/{self.pipeline}/{self.key}'


def parse_key(workspace: str, pipeline: str, key: str, now_s: float) -> ClaimKey:
    """Parse an idempotency key, which must be a UUID of version 7 (RFC 9562).

    Raises `InvalidKey`. The UUID holds the time of its creation, which is compared with the
    threshold of the group.
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
    """Return a digest of a body, which shows if a key is reused with a different body."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()
