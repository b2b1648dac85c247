"""Compare the store contact of boxes, to find one that the store fails while it answers others."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_BEHIND_S = 2.0
"""How long the store must have failed a box and answered another before the other becomes
scheduler: a box without the store does not learn of replicas that leave. When the store fails all
boxes, each detects it within this time (a watch waits 2 s), and likewise its return (see
`fleet.feed`). Meanwhile no box may count as cut off, since each handover costs the stage work in
progress."""


class StoreContact(NamedTuple):
    """Describe a box's contact with the store, in seconds.

    `age_s` is the age of the store's last answer, `failing_s` how long calls have failed since
    then, 0 if they do not, and `steady_s` how long ago the last outage of the store ended.
    """

    age_s: float = 0.0
    failing_s: float = 0.0
    steady_s: float = math.inf

    def aged_by(self, seconds: float) -> StoreContact:
        """Return the contact as it is some seconds after it was reported."""
        failing_s = self.failing_s + seconds if self.failing_s else 0.0
        return StoreContact(self.age_s + seconds, failing_s, self.steady_s + seconds)

    def is_behind(self, other: StoreContact) -> bool:
        """Tell whether the store steadily answers another box while it fails this one."""
        answered = other.failing_s == 0.0 and other.age_s < self.failing_s
        return self.failing_s > MIN_BEHIND_S and answered and other.steady_s > MIN_BEHIND_S

    def is_behind_any(self, others: Iterable[StoreContact]) -> bool:
        """Tell whether the box is behind any of the others."""
        return any(self.is_behind(other) for other in others)


STEADY = StoreContact()
"""The contact of a box that the store answers."""

UNKNOWN = StoreContact(age_s=math.inf)
"""The contact of a box that never reported: no evidence that the store answers or fails it."""
