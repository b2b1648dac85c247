"""Tell what a workspace asks beyond its usual share, so that a flood makes others wait no longer.

Answers one workspace that sends many times its usual for some seconds: its urgent requests would
push every less urgent request of all others late. What it asks beyond its allowance is served after
what others ask and before what is late anyway, so capacity is never idle for fairness' sake. The
allowance follows the workspace's own past, so that a large workspace that is just large is not
taken for a flood, and grows with what all others ask, since a burst of everybody floods nobody.
"""

from __future__ import annotations

import math
from typing import NamedTuple

RECENT_WINDOW_S = 3.0
"""Over what time it is averaged how much the fleet asks of late: a few calls of a stage."""

USUAL_WINDOW_S = 30.0
"""Over what time it is averaged what is usual. A workspace that has grown to four times its usual
for good is served like others again within some two minutes."""

LEARNING_PERIOD_S = 8.0
"""How long nothing counts as beyond an allowance after a scheduler began: it knows no past."""

ALLOWANCE_FACTOR = 1.5
"""How many times its usual a workspace may ask: requests come in clumps, and half of the workspaces
are above their mean at any time."""

MAX_SAVED_S = 4.0
"""For how long a workspace that asked nothing saves its allowance up."""

MIN_USUAL_SHARE = 0.02
"""The share of what the fleet usually asks that counts as anybody's usual at least: a workspace of
which little was seen has no past to go by."""


class AverageRate:
    """Average an amount a second over some time, exponentially; times are monotonic seconds."""

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self.value = 0.0
        self.updated_at: float | None = None

    def add(self, amount: float, now: float) -> None:
        """Note an amount."""
        self.value = self.value_at(now) + amount / self.window_s
        self.updated_at = now

    def value_at(self, now: float) -> float:
        """Return the rate of late."""
        if self.updated_at is None:
            return 0.0
        return self.value * math.exp(-(now - self.updated_at) / self.window_s)


class Usage:
    """Hold what one workspace usually asks, and what of its allowance is left, in seconds."""

    def __init__(self) -> None:
        self.usual = AverageRate(window_s=USUAL_WINDOW_S)
        self.recent = AverageRate(window_s=RECENT_WINDOW_S)
        self.allowance_left_s = math.inf
        self.updated_at = 0.0


class UsualRate(NamedTuple):
    """Say what a workspace usually asks, in seconds of work a second, for the next scheduler."""

    workspace: str
    rate: float


class Allowances:
    """Hold every workspace's usual use and judge what goes beyond it."""

    def __init__(self) -> None:
        self.started_at: float | None = None
        self.workspaces: dict[str, Usage] = {}
        self.recent = AverageRate(window_s=RECENT_WINDOW_S)
        self.usual = AverageRate(window_s=USUAL_WINDOW_S)

    def charge(self, workspace: str, cost_s: float, now: float) -> bool:
        """Count a request that costs so much work; tell whether it is beyond the allowance."""
        if self.started_at is None:
            self.started_at = now
        usage = self.workspaces.setdefault(workspace, Usage())
        allowed = self.allowed_rate(usage, now)
        saved_s = allowed * MAX_SAVED_S
        usage.allowance_left_s = min(
            saved_s, usage.allowance_left_s + allowed * (now - usage.updated_at)
        )
        usage.updated_at = now
        beyond = usage.allowance_left_s < cost_s and now - self.started_at >= LEARNING_PERIOD_S
        usage.recent.add(cost_s, now)
        self.recent.add(cost_s, now)
        if not beyond:
            # What is beyond makes nothing usual: a flood would else allow itself.
            usage.allowance_left_s -= cost_s
            usage.usual.add(cost_s, now)
            self.usual.add(cost_s, now)
        return beyond

    def allowed_rate(self, usage: Usage, now: float) -> float:
        """Return how many seconds of work a second a workspace may ask now."""
        fleet = self.usual.value_at(now) / self.observed_share(now)
        own = usage.usual.value_at(now) / self.observed_share(now)
        others = fleet - own
        recent = self.recent.value_at(now) - usage.recent.value_at(now)
        growth = recent / others if others > 0 else 1.0
        return ALLOWANCE_FACTOR * max(1.0, growth) * max(own, MIN_USUAL_SHARE * fleet)

    def observed_share(self, now: float) -> float:
        """Return what part of the usual time this scheduler has seen."""
        seen_s = now - (self.started_at if self.started_at is not None else now)
        return max(1e-3, 1 - math.exp(-seen_s / USUAL_WINDOW_S))

    def usual_rates(self, now: float) -> tuple[UsualRate, ...]:
        """Return what is usual, for the next scheduler."""
        known = self.observed_share(now)
        return tuple(
            UsualRate(name, usage.usual.value_at(now) / known)
            for name, usage in self.workspaces.items()
        )

    def restore(self, usual_rates: tuple[UsualRate, ...], now: float) -> bool:
        """Go by what another scheduler has seen, unless this one has seen enough; tell which."""
        if self.started_at is not None and now - self.started_at >= LEARNING_PERIOD_S:
            return False
        self.started_at = now - USUAL_WINDOW_S
        known = self.observed_share(now)
        for item in usual_rates:
            usage = self.workspaces[item.workspace] = Usage()
            usage.usual.add(item.rate * known * USUAL_WINDOW_S, now)
        total = sum(item.rate for item in usual_rates)
        self.usual = AverageRate(window_s=USUAL_WINDOW_S)
        self.usual.add(total * known * USUAL_WINDOW_S, now)
        self.recent = AverageRate(window_s=RECENT_WINDOW_S)
        self.recent.add(total * RECENT_WINDOW_S, now)
        return True
