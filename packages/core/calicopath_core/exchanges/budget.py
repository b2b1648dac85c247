"""Bound repeated sends by what all boxes together may repeat."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

USABLE_BUDGET_RATIO = 0.5
"""The part of the fleet's budget that is used: a restarted box forgets what it has repeated."""


class RetryBudgetTerms(NamedTuple):
    """Hold the fleet's budget: repeats in `window_s` <= `ratio` x requests + `slack`."""

    ratio: float
    slack: float
    window_s: float


class WindowRetryBudget:
    """Count one service's requests and repeats on this box over a sliding window."""

    def __init__(self, *, terms: RetryBudgetTerms) -> None:
        self.terms = terms
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Count a request."""
        self.requests.append(now)

    def try_spend(self, now: float, boxes: int) -> bool:
        """Take one repeat if this box's share allows it."""
        window_start = now - self.terms.window_s
        for times in (self.requests, self.retries):
            while times and times[0] <= window_start:
                times.popleft()
        share = self.terms.ratio * len(self.requests) + self.terms.slack / max(1, boxes)
        if len(self.retries) + 1 > USABLE_BUDGET_RATIO * share:
            return False
        self.retries.append(now)
        return True


class RetryBudgets:
    """Hold one budget a service."""

    def __init__(self, *, terms: RetryBudgetTerms) -> None:
        self.terms = terms
        self.by_service: dict[str, WindowRetryBudget] = {}

    def for_service(self, service: str) -> WindowRetryBudget:
        """Return a service's budget."""
        found = self.by_service.get(service)
        if found is None:
            found = self.by_service[service] = WindowRetryBudget(terms=self.terms)
        return found

    def set_terms(self, terms: RetryBudgetTerms) -> None:
        """Take changed terms in; what was counted stays."""
        self.terms = terms
        for budget in self.by_service.values():
            budget.terms = terms
