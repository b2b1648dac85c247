"""Split boxes and replicas into groups, each with a scheduler of its own.

One box can decide for about a hundred; beyond that its processor, not the replicas, would bound
what is served. A group has boxes and, of every service, replicas of all failure domains in
proportion. Every box works the groups out by itself from the same lists; where two disagree for a
moment two schedulers call the same replica, which costs efficiency only.
"""

from __future__ import annotations

import functools
import hashlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

BOXES_A_GROUP = 110
"""Boxes that one scheduler decides for at most: at 74 boxes the scheduling box uses a third of a
core, its own callers included."""

SLACK = 0.1
"""How far the boxes may fall short of what called for another group before it is given up again:
boxes that come and go at the bound must not hand all work over each time."""

DRAWS_KEPT = 65536


def group_count(boxes: int, current: int) -> int:
    """Return into how many groups so many boxes are split, now that there are `current`."""
    wanted = max(1, math.ceil(boxes / BOXES_A_GROUP))
    if wanted < current and boxes > (current - 1) * BOXES_A_GROUP * (1 - SLACK):
        return current
    return wanted


def assign(names: Iterable[str], groups: int) -> dict[str, int]:
    """Return the group of each name: the one that it draws highest among those that are not full.

    When a name comes or goes few others change their group.
    """
    listed = sorted(names, key=lambda name: draw(name, -1))
    if groups == 1:
        return dict.fromkeys(listed, 0)
    most = math.ceil(len(listed) / groups)
    counts = [0] * groups
    found: dict[str, int] = {}
    for name in listed:
        free = (group for group in range(groups) if counts[group] < most)
        group = max(free, key=functools.partial(draw, name))
        counts[group] += 1
        found[name] = group
    return found


@functools.lru_cache(maxsize=DRAWS_KEPT)
def draw(name: str, group: int) -> bytes:
    """Return by what a name orders groups, and groups order names."""
    return hashlib.blake2b(f'{group}/{name}'.encode(), digest_size=8).digest()
