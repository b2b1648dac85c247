"""Build versions that keep increasing when the store is restored from an older backup.

A restored store reuses its own numbers, but increments its era. The era forms the high bits of the
version, so that comparing versions compares eras first. A store that reports no era has era 0, and
its versions are its numbers.
"""

from __future__ import annotations

from typing import NamedTuple

STORE_NUMBER_BITS = 40
"""Bits for the store's number, which suffice for 34 years at 1000 writes per second."""


class StoreVersion(NamedTuple):
    """Hold the era in which an object was written and the store's number for the write."""

    era: int
    number: int


def join(version: StoreVersion) -> int:
    """Return the version that combines era and number."""
    return version.era << STORE_NUMBER_BITS | version.number


def split(version: int) -> StoreVersion:
    """Return the era and the store's number that `version` combines."""
    return StoreVersion(version >> STORE_NUMBER_BITS, version & (1 << STORE_NUMBER_BITS) - 1)
