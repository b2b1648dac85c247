"""Tell requests that ask the same from others, whichever box they come to."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.crashes.suspects import request_fingerprint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.exchanges.messages import Exchange

DIGEST_BYTES = 8
"""Of a million contents two are named alike by chance once in 37 million times."""


def content_of(exchange: Exchange, workspace: str | None) -> str:
    """Return what names a request's content: path and caller's workspace, body, and prompt.

    A repeat has another identifier, deadline, headers and perhaps query, and the same content.
    """
    caller = (workspace or '').encode()
    path = digest_of([exchange.path.encode(), caller])
    body = digest_of([exchange.body])
    if exchange.prompt is None:
        return request_fingerprint(path, body)
    # What is expected to come out is a guess, which may differ with each try.
    prompt = msgspec.structs.replace(exchange.prompt, tokens_out=0)
    return request_fingerprint(path, body, digest_of([msgspec.msgpack.encode(prompt), caller]))


def digest_of(parts: Iterable[bytes]) -> str:
    """Return a digest of some bytes, by which nothing of them can be read."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    return digest.hexdigest()
