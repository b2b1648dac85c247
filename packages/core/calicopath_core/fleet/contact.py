"""Compare how the store answers boxes: one that it fails while it answers others is behind them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_BEHIND_S = 2.0
"""How long the store must have failed a box, and answered another, before the other schedules
instead: a box cut off does not hear of replicas that leave. A store that fails all boxes is noticed
by each within this time (a watch waits 2 s), and so is its return (see `fleet.feed`): no box may
pass for cut off meanwhile, since each hand-over costs the stage work that is under way."""


class StoreContact(NamedTuple):
    """Hold how the store answers a box, in seconds.

    `age_s` is the age of its last answer, `failing_s` how long it has failed the box since, 0 if it
    does not, and `steady_s` how long it has answered without a failure before that.
    """

    age_s: float = 0.0
    failing_s: float = 0.0
    steady_s: float = math.inf

    def aged_by(self, seconds: float) -> StoreContact:
        """Return the same contact some seconds after it was told."""
        failing_s = self.failing_s + seconds if self.failing_s else 0.0
        return StoreContact(self.age_s + seconds, failing_s, self.steady_s + seconds)

    def is_behind(self, other: StoreContact) -> bool:
        """Tell whether the store has answered another box steadily while it has failed this one."""
        answered = other.failing_s == 0.0 and other.age_s < self.failing_s
        return self.failing_s > MIN_BEHIND_S and answered and other.steady_s > MIN_BEHIND_S

    def is_behind_any(self, others: Iterable[StoreContact]) -> bool:
        """Tell whether a box is behind any other."""
        return any(self.is_behind(other) for other in others)


STEADY = StoreContact()
"""A box that the store answers."""

UNKNOWN = StoreContact(age_s=math.inf)
"""A box that was never heard: no evidence that the store answers it, nor that it doesn't."""
