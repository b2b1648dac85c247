"""Detect workspaces that ask more than their usual share, so that they do not delay the others.

When a workspace sends many times its usual load for some seconds, its urgent requests would make
every less urgent request of all other workspaces late. The part over its allowance is served
after what the others ask and before what is late anyway, so fairness never leaves capacity idle.
The allowance follows the workspace's own past, so that a workspace that is always large does not
count as a flood. It grows with what all others ask, since a burst of every workspace floods none.
"""

from __future__ import annotations

import math

from calicopath_core.scheduling.shares import ShareRule, UsualRate, WorkspaceShare

RECENT_WINDOW_S = 3.0
"""Averaging window of the fleet's recent rate: a few calls of a stage."""

USUAL_WINDOW_S = 30.0
"""Averaging window of the usual rate. A workspace that has permanently grown to four times its
usual rate is served like the others again within about two minutes."""

LEARNING_PERIOD_S = 8.0
"""No request counts as over its allowance for this long after a scheduler started, since past rates
are unknown then."""

ALLOWANCE_FACTOR = 1.5
"""How many times its usual rate a workspace may ask: requests come in clumps, and half of the
workspaces are above their mean at any time."""

MAX_SAVED_S = 4.0
"""A workspace saves up its unused allowance for at most this long."""

MIN_USUAL_SHARE = 0.02
"""Minimum usual rate of any workspace, as a share of the fleet's: a workspace with little traffic
so far has no past to judge by."""


class AverageRate:
    """Average an amount per second exponentially over `window_s`; times are monotonic seconds."""

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self.value = 0.0
        self.updated_at: float | None = None

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self.value = self.value_at(now) + amount / self.window_s
        self.updated_at = now

    def value_at(self, now: float) -> float:
        """Return the average rate, decayed until `now`."""
        if self.updated_at is None:
            return 0.0
        return self.value * math.exp(-(now - self.updated_at) / self.window_s)


class Usage:
    """Hold a workspace's usual and recent rates and its remaining allowance in seconds of work."""

    def __init__(self) -> None:
        self.usual = AverageRate(window_s=USUAL_WINDOW_S)
        self.recent = AverageRate(window_s=RECENT_WINDOW_S)
        self.allowance_left_s = math.inf
        self.updated_at = 0.0


class Allowances(ShareRule):
    """Track the usual rate of every workspace and decide which requests exceed its allowance."""

    def __init__(self) -> None:
        self.started_at: float | None = None
        self.workspaces: dict[str, Usage] = {}
        self.recent = AverageRate(window_s=RECENT_WINDOW_S)
        self.usual = AverageRate(window_s=USUAL_WINDOW_S)

    def charge(self, workspace: str, cost_s: float, now: float) -> bool:
        """Charge a request of `cost_s` seconds of work; tell whether it exceeds the allowance."""
        if self.started_at is None:
            self.started_at = now
        usage = self.workspaces.setdefault(workspace, Usage())
        allowed = self.allowed_rate(usage, now)
        saved_s = allowed * MAX_SAVED_S
        usage.allowance_left_s = min(
            saved_s, usage.allowance_left_s + allowed * (now - usage.updated_at)
        )
        usage.updated_at = now
        over_allowance = (
            usage.allowance_left_s < cost_s and now - self.started_at >= LEARNING_PERIOD_S
        )
        usage.recent.add(cost_s, now)
        self.recent.add(cost_s, now)
        if not over_allowance:
            # Use over the allowance must not raise the usual rate, or a flood would permit itself.
            usage.allowance_left_s -= cost_s
            usage.usual.add(cost_s, now)
            self.usual.add(cost_s, now)
        return over_allowance

    def allowed_rate(self, usage: Usage, now: float) -> float:
        """Return how many seconds of work per second a workspace may ask now."""
        fleet = self.usual.value_at(now) / self.observed_share(now)
        own = usage.usual.value_at(now) / self.observed_share(now)
        others = fleet - own
        recent = self.recent.value_at(now) - usage.recent.value_at(now)
        growth = recent / others if others > 0 else 1.0
        return ALLOWANCE_FACTOR * max(1.0, growth) * max(own, MIN_USUAL_SHARE * fleet)

    def share_of(self, workspace: str, now: float) -> WorkspaceShare:
        """Return the recent rate of a workspace and its allowed rate."""
        usage = self.workspaces[workspace]
        return WorkspaceShare(usage.recent.value_at(now), self.allowed_rate(usage, now))

    def observed_share(self, now: float) -> float:
        """Return the share of the usual window that this scheduler has observed."""
        seen_s = now - (self.started_at if self.started_at is not None else now)
        return max(1e-3, 1 - math.exp(-seen_s / USUAL_WINDOW_S))

    def usual_rates(self, now: float) -> tuple[UsualRate, ...]:
        """Return the usual rates for the next scheduler."""
        observed_share = self.observed_share(now)
        return tuple(
            UsualRate(name, usage.usual.value_at(now) / observed_share)
            for name, usage in self.workspaces.items()
        )

    def restore(self, usual_rates: tuple[UsualRate, ...], now: float) -> bool:
        """Set usual rates from another scheduler unless the learning period is over.

        Return whether they were set.
        """
        if self.started_at is not None and now - self.started_at >= LEARNING_PERIOD_S:
            return False
        self.started_at = now - USUAL_WINDOW_S
        observed_share = self.observed_share(now)
        for item in usual_rates:
            usage = self.workspaces[item.workspace] = Usage()
            usage.usual.add(item.rate * observed_share * USUAL_WINDOW_S, now)
        total = sum(item.rate for item in usual_rates)
        self.usual = AverageRate(window_s=USUAL_WINDOW_S)
        self.usual.add(total * observed_share * USUAL_WINDOW_S, now)
        self.recent = AverageRate(window_s=RECENT_WINDOW_S)
        self.recent.add(total * RECENT_WINDOW_S, now)
        return True
