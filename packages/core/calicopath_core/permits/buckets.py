"""Pace calls to a rate: the generic cell rate algorithm."""

from __future__ import annotations

MAX_BURST_S = 0.1
"""For how many seconds' worth of calls an idle bucket lets more than one go: what waits for calls
is looked at each 50 ms."""


class PermitBucket:
    """Hold when the next call would be due if calls were spaced evenly, in monotonic seconds."""

    def __init__(self, *, next_at: float) -> None:
        self.next_at = next_at

    def available_in_s(self, now: float) -> float:
        """Return when a call may go, 0 for now."""
        return max(0.0, self.next_at - MAX_BURST_S - now)

    def take(self, per_s: float, now: float) -> None:
        """Count a call."""
        self.next_at = max(self.next_at, now) + 1 / per_s

    def empty(self, per_s: float, now: float) -> None:
        """Let no call go before a whole interval has passed."""
        self.next_at = max(self.next_at, now + 1 / per_s)
