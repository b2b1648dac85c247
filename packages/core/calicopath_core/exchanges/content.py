"""Compute fingerprints of requests, equal on all boxes for requests with the same content."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.crashes.suspects import request_fingerprint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.exchanges.messages import Exchange

DIGEST_BYTES = 8
"""With 8 bytes, a million fingerprints contain a collision with a chance of 1 in 37 million."""

MAX_PARTS = 32
"""Parts of a prompt in a fingerprint, 17 bytes each; replicas are not blamed on later parts."""


def content_of(exchange: Exchange, workspace: str | None) -> str:
    """Return the fingerprint of a request's path, workspace, body and prompt and its parts.

    A retry by the caller may differ in identifier, deadline, headers and query, but has the same
    fingerprint.
    """
    caller = (workspace or '').encode()
    path = digest_of([exchange.path.encode(), caller])
    body = digest_of([exchange.body])
    if exchange.prompt is None:
        return request_fingerprint(path, body)
    # The number of output tokens is an estimate and may differ between attempts.
    prompt = msgspec.structs.replace(exchange.prompt, tokens_out=0)
    shared_parts = exchange.prompt.parts[:-1][:MAX_PARTS]
    return request_fingerprint(
        path,
        body,
        digest_of([msgspec.msgpack.encode(prompt), caller]),
        dict.fromkeys(digest_of([part.id.encode()]) for part in shared_parts),
    )


def digest_of(parts: Iterable[bytes]) -> str:
    """Return a one-way digest of some byte strings, as hexadecimal digits."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    return digest.hexdigest()
