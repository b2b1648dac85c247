"""Remember which parts of prompts a box has recently seen answered."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from calicopath_core.crashes.suspects import SURVIVAL_RETENTION_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.crashes.suspects import SuspectKey

MAX_PARTS = 8192
"""Parts remembered, 0.2 KB each; those that were not answered for the longest are evicted."""


class SoundParts:
    """Hold when an answer to a prompt with each part last began; times are monotonic seconds."""

    def __init__(self) -> None:
        self.answered_at: OrderedDict[SuspectKey, float] = OrderedDict()

    def record(self, keys: Iterable[SuspectKey], now: float) -> None:
        """Record that an answer to a prompt with these parts began."""
        for key in keys:
            self.answered_at[key] = now
            self.answered_at.move_to_end(key)
        while len(self.answered_at) > MAX_PARTS:
            self.answered_at.popitem(last=False)

    def last_answered_at(self, key: SuspectKey, now: float) -> float:
        """Return when an answer last began, minus infinity if not recently."""
        at = self.answered_at.get(key, -math.inf)
        return at if now - at <= SURVIVAL_RETENTION_S else -math.inf
