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

RECENT_S = 3.0
"""Over what time it is averaged how much the fleet asks of late: a few calls of a stage."""

USUAL_S = 30.0
"""Over what time it is averaged what is usual. A workspace that has grown to four times its usual
for good is served like others again within some two minutes."""

LEARNING_S = 8.0
"""How long nothing counts as beyond an allowance after a scheduler began: it knows no past."""

ALLOWED_X = 1.5
"""How many times its usual a workspace may ask: requests come in clumps, and half of the workspaces
are above their mean at any time."""

SAVED_S = 4.0
"""For how long a workspace that asked nothing saves its allowance up."""

LEAST_SHARE = 0.02
"""The share of what the fleet usually asks that counts as anybody's usual at least: a workspace of
which little was seen has no past to go by."""


class Rate:
    """Average an amount a second over some time, exponentially; times are monotonic seconds."""

    def __init__(self, *, over_s: float) -> None:
        self.over_s = over_s
        self.value = 0.0
        self.at: float | None = None

    def add(self, amount: float, now: float) -> None:
        """Note an amount."""
        self.value = self.read(now) + amount / self.over_s
        self.at = now

    def read(self, now: float) -> float:
        """Return the rate of late."""
        if self.at is None:
            return 0.0
        return self.value * math.exp(-(now - self.at) / self.over_s)


class Usage:
    """Hold what one workspace usually asks, and what of its allowance is left, in seconds."""

    def __init__(self) -> None:
        self.usual = Rate(over_s=USUAL_S)
        self.recent = Rate(over_s=RECENT_S)
        self.left_s = math.inf
        self.at = 0.0


class Taken(NamedTuple):
    """Say what a workspace usually asks, in seconds of work a second, for the next scheduler."""

    workspace: str
    rate: float


class Allowances:
    """Hold every workspace's usual use and judge what goes beyond it."""

    def __init__(self) -> None:
        self.began_at: float | None = None
        self.workspaces: dict[str, Usage] = {}
        self.recent = Rate(over_s=RECENT_S)
        self.usual = Rate(over_s=USUAL_S)

    def ask(self, workspace: str, cost_s: float, now: float) -> bool:
        """Count a request that costs so much work; tell whether it is beyond the allowance."""
        if self.began_at is None:
            self.began_at = now
        usage = self.workspaces.setdefault(workspace, Usage())
        allowed = self.allowed(usage, now)
        saved_s = allowed * SAVED_S
        usage.left_s = min(saved_s, usage.left_s + allowed * (now - usage.at))
        usage.at = now
        beyond = usage.left_s < cost_s and now - self.began_at >= LEARNING_S
        usage.recent.add(cost_s, now)
        self.recent.add(cost_s, now)
        if not beyond:
            # What is beyond makes nothing usual: a flood would else allow itself.
            usage.left_s -= cost_s
            usage.usual.add(cost_s, now)
            self.usual.add(cost_s, now)
        return beyond

    def allowed(self, usage: Usage, now: float) -> float:
        """Return how many seconds of work a second a workspace may ask now."""
        fleet = self.usual.read(now) / self.known(now)
        mine = usage.usual.read(now) / self.known(now)
        others = fleet - mine
        recent = self.recent.read(now) - usage.recent.read(now)
        grown = recent / others if others > 0 else 1.0
        return ALLOWED_X * max(1.0, grown) * max(mine, LEAST_SHARE * fleet)

    def known(self, now: float) -> float:
        """Return what part of the usual time this scheduler has seen."""
        seen_s = now - (self.began_at if self.began_at is not None else now)
        return max(1e-3, 1 - math.exp(-seen_s / USUAL_S))

    def taken(self, now: float) -> tuple[Taken, ...]:
        """Return what is usual, for the next scheduler."""
        known = self.known(now)
        return tuple(
            Taken(name, usage.usual.read(now) / known) for name, usage in self.workspaces.items()
        )

    def take_over(self, taken: tuple[Taken, ...], now: float) -> bool:
        """Go by what another scheduler has seen, unless this one has seen enough; tell which."""
        if self.began_at is not None and now - self.began_at >= LEARNING_S:
            return False
        self.began_at = now - USUAL_S
        known = self.known(now)
        for item in taken:
            usage = self.workspaces[item.workspace] = Usage()
            usage.usual.add(item.rate * known * USUAL_S, now)
        total = sum(item.rate for item in taken)
        self.usual = Rate(over_s=USUAL_S)
        self.usual.add(total * known * USUAL_S, now)
        self.recent = Rate(over_s=RECENT_S)
        self.recent.add(total * RECENT_S, now)
        return True
