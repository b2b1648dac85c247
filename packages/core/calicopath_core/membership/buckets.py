"""Digest a view in buckets, so that two boxes find their differences with little traffic."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from calicopath_core.store.view import entry_hash

if TYPE_CHECKING:
    from calicopath_core.store.view import ConfigView, ViewUpdate

BUCKET_COUNT = 256


def bucket_of(key: str) -> int:
    """Return the bucket that holds a key."""
    return zlib.crc32(key.encode()) % BUCKET_COUNT


class BucketIndex:
    """Maintain the digest and the versions of each bucket of a view."""

    def __init__(self, *, view: ConfigView) -> None:
        self.view = view
        self.digests = [0] * BUCKET_COUNT
        self.versions: list[dict[str, int]] = [{} for _ in range(BUCKET_COUNT)]
        view.listeners.append(self.on_updates)

    def on_updates(self, updates: list[ViewUpdate]) -> None:
        """Apply updates of the view to the buckets."""
        for update in updates:
            bucket = bucket_of(update.key)
            held = self.versions[bucket].get(update.key)
            if held is not None:
                self.digests[bucket] ^= entry_hash(update.key, held)
            # A key may occur twice in a batch, so the version comes from the view, not the update.
            version = self.view.version(update.key)
            self.digests[bucket] ^= entry_hash(update.key, version)
            self.versions[bucket][update.key] = version

    def differing(self, digests: list[int]) -> list[int]:
        """Return the buckets whose digests differ from those of another box."""
        return [
            bucket
            for bucket, (own, other) in enumerate(zip(self.digests, digests, strict=False))
            if own != other
        ]

    def versions_in(self, buckets: list[int]) -> dict[str, int]:
        """Return the versions in some buckets, by key; ignore invalid bucket numbers."""
        found: dict[str, int] = {}
        for bucket in buckets:
            if 0 <= bucket < BUCKET_COUNT:
                found.update(self.versions[bucket])
        return found
