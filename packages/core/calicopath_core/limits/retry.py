"""Limit retries to a share of successful calls, so that a fault does not cause a retry storm."""

from __future__ import annotations


class RetryBudget:
    """Earn `share` of a retry per success, up to `reserve`, with which the budget starts."""

    def __init__(self, *, share: float = 0.1, reserve: float = 10.0) -> None:
        self.share = share
        self.reserve = reserve
        self.tokens = reserve

    def on_success(self) -> None:
        """Add `share` of a retry to the budget."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    @property
    def is_empty(self) -> bool:
        """Tell whether no retry is left."""
        return self.tokens < 1

    def try_spend(self) -> bool:
        """Spend one retry and return `True`, or return `False` if the budget is empty."""
        if self.is_empty:
            return False
        self.tokens -= 1
        return True
