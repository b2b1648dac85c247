"""Limit how many runs start at one engine within a second.

Engines that return cold, in the worst case those of a whole failure domain, are idle and so attract
all new work while demand is high; an engine that gets far more than it can bear fails. An engine
may turn cold at any moment, and its record shows that up to two seconds late. A limit therefore
applies to every engine at all times, and a lower one to engines known to be cold.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from calicopath_core.fleet.deployment import WarmupSpec

START_WINDOW_S = 1.25
"""The window in which runs are counted: the second of the users' limit, and a quarter more for the
difference in travel time between two runs to their engine."""

CONCURRENT_SCHEDULERS = 2
"""Boxes that may schedule within one second of a change without knowing of each other: the one that
falls silent or steps down, and its successor. For that time each takes its part of the limit.
Halving the limit at all times would recompute a fourth more of the shared prompt parts (893,000
instead of 718,000 tokens in a replay of a burst on 70 engines)."""


class WarmupTerms(NamedTuple):
    """Hold how far a cold replica's rate may be exceeded: `overage` times it plus `slack`."""

    overage: float = 1.0
    slack: float = 0.0


NO_OVERAGE = WarmupTerms()
"""Default where operators set no terms: a cold replica's rate may not be exceeded."""


class StartLimit(NamedTuple):
    """Hold how many runs may start at a cold or warm engine within `START_WINDOW_S`."""

    cold: int
    warm: int

    def per_scheduler(self) -> StartLimit:
        """Return the limit while another scheduler may place runs too."""
        return StartLimit(
            max(1, self.cold // CONCURRENT_SCHEDULERS), max(1, self.warm // CONCURRENT_SCHEDULERS)
        )


def start_limit_of(warmup: WarmupSpec, terms: WarmupTerms) -> StartLimit:
    """Return the limit for a service's engines, at least one run, or nothing would be served."""
    sustained = warmup.per_s * terms.overage + terms.slack
    warm = max(1, math.floor(sustained))
    cold = max(1, math.floor(warmup.per_s))
    return StartLimit(cold=min(cold, warm), warm=warm)


class RecentStarts:
    """Hold when runs started at one engine, in monotonic seconds."""

    def __init__(self) -> None:
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Record a run that starts."""
        self.times.append(now)

    def count(self, now: float) -> int:
        """Return how many runs started within the last `START_WINDOW_S`."""
        while self.times and self.times[0] <= now - START_WINDOW_S:
            self.times.popleft()
        return len(self.times)
