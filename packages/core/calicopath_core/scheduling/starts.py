"""Bound how many runs begin at one engine within a second.

Answers engines that come back cold, a whole failure domain of them at worst, while much is asked:
they are idle, so all new work is drawn to them, and one that gets far more than it bears falls
over. An engine may turn cold at any moment, and its entry tells so up to two seconds late; so a
bound holds for every engine at all times, and a lower one for those that are known to be cold.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from calicopath_core.fleet.deployment import WarmupSpec

START_WINDOW_S = 1.25
"""The span in which runs are counted: the second that the users' bound speaks of, and a quarter
for what the way of one run to its engine may take longer than that of another."""

CONCURRENT_SCHEDULERS = 2
"""Boxes that may schedule within one second of a change, each without the other's knowledge: the
one that falls silent or gives way, and the next. For so long each takes this part of the bound. To
halve it at all times would have a fourth more of shared prompt parts read again (893,000 tokens in
place of 718,000, a replay of a burst on 70 engines)."""


class WarmupTerms(NamedTuple):
    """Hold how far a cold replica's rate may be passed: `overage` times it, and `slack` more."""

    overage: float = 1.0
    slack: float = 0.0


NO_OVERAGE = WarmupTerms()
"""Holds where operators name no other: a cold replica's rate may not be passed."""


class StartLimit(NamedTuple):
    """Hold the most runs that may begin at an engine within `WINDOW_S`, cold or not."""

    cold: int
    warm: int

    def per_scheduler(self) -> StartLimit:
        """Return the bound while another scheduler may place runs too."""
        return StartLimit(
            max(1, self.cold // CONCURRENT_SCHEDULERS), max(1, self.warm // CONCURRENT_SCHEDULERS)
        )


def start_limit_of(warmup: WarmupSpec, terms: WarmupTerms) -> StartLimit:
    """Return the bound for a service's engines: one run at least, or nothing would be served."""
    sustained = warmup.per_s * terms.overage + terms.slack
    warm = max(1, math.floor(sustained))
    cold = max(1, math.floor(warmup.per_s))
    return StartLimit(cold=min(cold, warm), warm=warm)


class RecentStarts:
    """Hold when runs began at one engine, in monotonic seconds."""

    def __init__(self) -> None:
        self.times: deque[float] = deque()

    def note(self, now: float) -> None:
        """Count a run that begins."""
        self.times.append(now)

    def count(self, now: float) -> int:
        """Return how many runs have begun within the last `WINDOW_S`."""
        while self.times and self.times[0] <= now - START_WINDOW_S:
            self.times.popleft()
        return len(self.times)
