"""Bound retries by a share of the successes, so that a fault is not answered by a storm."""

from __future__ import annotations


class RetryBudget:
    """Allow a retry for every few successes, with a small reserve for quiet times."""

    def __init__(self, *, share: float = 0.1, reserve: float = 10.0) -> None:
        self.share = share
        self.reserve = reserve
        self.tokens = reserve

    def on_success(self) -> None:
        """Earn a part of a retry."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def try_spend(self) -> bool:
        """Spend one retry if there is one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
