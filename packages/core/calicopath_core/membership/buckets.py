"""Sum up a view in buckets, so that two boxes find where they differ by a few numbers."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from calicopath_core.store.view import entry_hash

if TYPE_CHECKING:
    from calicopath_core.store.view import ConfigView, ViewUpdate

BUCKET_COUNT = 256


def bucket_of(key: str) -> int:
    """Return the bucket of a key."""
    return zlib.crc32(key.encode()) % BUCKET_COUNT


class BucketIndex:
    """Keep a digest and the keys of each bucket of a view."""

    def __init__(self, *, view: ConfigView) -> None:
        self.view = view
        self.digests = [0] * BUCKET_COUNT
        self.versions: list[dict[str, int]] = [{} for _ in range(BUCKET_COUNT)]
        view.listeners.append(self.on_updates)

    def on_updates(self, updates: list[ViewUpdate]) -> None:
        """Follow the view."""
        for update in updates:
            bucket = bucket_of(update.key)
            held = self.versions[bucket].get(update.key)
            if held is not None:
                self.digests[bucket] ^= entry_hash(update.key, held)
            # A key that comes twice in a batch ends at the version that the view holds.
            version = self.view.version(update.key)
            self.digests[bucket] ^= entry_hash(update.key, version)
            self.versions[bucket][update.key] = version

    def differing(self, digests: list[int]) -> list[int]:
        """Return the buckets in which another box's digests differ."""
        return [
            bucket
            for bucket, (own, other) in enumerate(zip(self.digests, digests, strict=False))
            if own != other
        ]

    def versions_in(self, buckets: list[int]) -> dict[str, int]:
        """Return the versions held in some buckets."""
        found: dict[str, int] = {}
        for bucket in buckets:
            if 0 <= bucket < BUCKET_COUNT:
                found.update(self.versions[bucket])
        return found
