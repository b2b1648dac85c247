"""Make versions that only grow, also over a store that comes back from an older copy.

Such a store gives its own numbers out again, and counts its eras up. The era goes into the version
in front of the number, so that whatever compares versions compares eras first. A store that names
no era is of era 0, and its versions are its numbers.
"""

from __future__ import annotations

from typing import NamedTuple

STORE_NUMBER_BITS = 40
"""Bits of a store's number: at a thousand writes a second they last for 34 years."""


class StoreVersion(NamedTuple):
    """Hold the era in which an object was written, and the store's number for it."""

    era: int
    number: int


def join(version: StoreVersion) -> int:
    """Return the version by which the product orders objects."""
    return version.era << STORE_NUMBER_BITS | version.number


def split(version: int) -> StoreVersion:
    """Return the era and the store's number of a version."""
    return StoreVersion(version >> STORE_NUMBER_BITS, version & (1 << STORE_NUMBER_BITS) - 1)
