"""Define what a mutant is."""

from __future__ import annotations

from typing import NamedTuple

CORE = 'packages/core/calicopath_core'


class Mutant(NamedTuple):
    """Name a promise, a change that breaks its mechanism, and the test that must fail."""

    promise: str
    file: str
    old: str
    new: str
    test: str
