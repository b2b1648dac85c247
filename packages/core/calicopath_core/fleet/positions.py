"""Order what the store says, also after it came back from an older copy.

The store's revisions are an order within one era only: a store that comes back from a copy gives
revisions out again, and counts its eras up.
"""

from __future__ import annotations

from typing import NamedTuple


class Position(NamedTuple):
    """Say up to where something is known of the store; a later era is later at any revision."""

    era: int
    revision: int

    def __str__(self) -> str:
        """Return the form for log lines."""
        return f'{self.era}/{self.revision}'


NO_POSITION = Position(-1, -1)
"""The position of a box that has read nothing."""
