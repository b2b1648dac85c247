"""Limit retries to this box's share of the fleet's retry budget."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

USABLE_BUDGET_RATIO = 0.5
"""Part of the fleet's budget that is used; a restarted box loses its count of retries."""

BEGUN_BUDGET_RATIO = 0.75
"""The same for streams whose caller has received a part of the answer: if one of them is not
resumed, that part is lost too."""


class BudgetTerms(NamedTuple):
    """Define the fleet's budget: retries in `window_s` <= `ratio` x requests + `slack`."""

    ratio: float
    slack: float
    window_s: float


class WindowRetryBudget:
    """Count one service's requests and retries on this box over a sliding window."""

    def __init__(self, *, terms: BudgetTerms) -> None:
        self.terms = terms
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Count a request."""
        self.requests.append(now)

    def try_spend(self, now: float, boxes: int, *, has_begun: bool = False) -> bool:
        """Spend one retry if this box's share allows it; `boxes` share the slack evenly.

        `has_begun` tells that the caller has received a part of the answer.
        """
        window_start = now - self.terms.window_s
        for times in (self.requests, self.retries):
            while times and times[0] <= window_start:
                times.popleft()
        share = self.terms.ratio * len(self.requests) + self.terms.slack / max(1, boxes)
        ratio = BEGUN_BUDGET_RATIO if has_begun else USABLE_BUDGET_RATIO
        if len(self.retries) + 1 > ratio * share:
            return False
        self.retries.append(now)
        return True

    def refund(self) -> None:
        """Return the retry that was spent last."""
        if self.retries:
            self.retries.pop()


class RetryBudgets:
    """Hold one retry budget per service."""

    def __init__(self, *, terms: BudgetTerms) -> None:
        self.terms = terms
        self.by_service: dict[str, WindowRetryBudget] = {}

    def for_service(self, service: str) -> WindowRetryBudget:
        """Return a service's budget, created on first use."""
        found = self.by_service.get(service)
        if found is None:
            found = self.by_service[service] = WindowRetryBudget(terms=self.terms)
        return found

    def set_terms(self, terms: BudgetTerms) -> None:
        """Apply changed terms to all services; the counts are kept."""
        self.terms = terms
        for budget in self.by_service.values():
            budget.terms = terms
