"""Order states of the store, also after it was restored from an older copy.

The store's revisions are ordered within one era only: a restored store issues revisions again and
increments its era.
"""

from __future__ import annotations

from typing import NamedTuple


class Position(NamedTuple):
    """Identify a state of the store; a later era is later at any revision."""

    era: int
    revision: int

    def __str__(self) -> str:
        """Return the form used in log lines."""
        return f'{self.era}/{self.revision}'


NO_POSITION = Position(-1, -1)
"""The position of a box that has read nothing."""
