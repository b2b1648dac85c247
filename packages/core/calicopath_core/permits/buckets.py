"""Limit calls to a rate with the generic cell rate algorithm."""

from __future__ import annotations

MAX_BURST_S = 0.1
"""How much an idle bucket may burst, in seconds of calls: waiting calls are checked each 50 ms."""


class PermitBucket:
    """Hold when the next evenly spaced call is due, in monotonic seconds."""

    def __init__(self, *, next_at: float) -> None:
        self.next_at = next_at

    def available_in_s(self, now: float) -> float:
        """Return the seconds until a call is allowed, 0 for now."""
        return max(0.0, self.next_at - MAX_BURST_S - now)

    def take(self, per_s: float, now: float) -> None:
        """Count a call."""
        self.next_at = max(self.next_at, now) + 1 / per_s

    def empty(self, per_s: float, now: float) -> None:
        """Allow no call before a whole interval has passed."""
        self.next_at = max(self.next_at, now + 1 / per_s)
