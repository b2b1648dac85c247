"""Define what a rule for the shares of workspaces answers, and report who is over its share.

A rule decides at arrival whether a request exceeds its workspace's share of the stages. Its state
lives in the scheduler's memory. The next scheduler gets it with `LearnedEstimates`, or learns it
anew and treats nobody as over its share until then.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from calicopath_core.scheduling.interfaces import SchedulerObserver

QUIET_S = 3.0
"""Time without a request over its share after which a workspace counts as within it again. It is
the averaging window of recent rates; a shorter time would log each cluster of requests apart."""


class UsualRate(NamedTuple):
    """Report a workspace's usual rate, in seconds of work per second, to the next scheduler."""

    workspace: str
    rate: float


class WorkspaceShare(NamedTuple):
    """Hold what a workspace uses and may use now, in seconds of stage work per second."""

    used: float
    allowed: float


class ShareRule(ABC):
    """Decide which requests exceed the share of their workspace.

    The cost of a decision must not depend on the number of waiting jobs.
    """

    @abstractmethod
    def charge(self, workspace: str, cost_s: float, now: float) -> bool:
        """Charge a request of `cost_s` seconds of work; tell whether it exceeds the share."""

    @abstractmethod
    def share_of(self, workspace: str, now: float) -> WorkspaceShare:
        """Return the use and the share of a workspace that was charged before."""

    @abstractmethod
    def usual_rates(self, now: float) -> tuple[UsualRate, ...]:
        """Return the usual rates for the next scheduler."""

    @abstractmethod
    def restore(self, usual_rates: tuple[UsualRate, ...], now: float) -> bool:
        """Set usual rates from another scheduler; return whether they were set."""


class OverShare:
    """Hold a period in which a workspace is over its share, and its requests beyond the share."""

    def __init__(self, *, now: float) -> None:
        self.since = now
        self.last_at = now
        self.requests = 0


class ShareMonitor:
    """Report to the observer when a workspace exceeds its share and when it no longer does."""

    def __init__(self, *, rule: ShareRule, observer: SchedulerObserver) -> None:
        self.rule = rule
        self.observer = observer
        self.over: dict[str, OverShare] = {}

    def charge(self, workspace: str, cost_s: float, now: float) -> bool:
        """Charge a request by the rule; report the start of a period over the share."""
        is_over = self.rule.charge(workspace, cost_s, now)
        self.observer.on_charged(is_over)
        if is_over:
            if workspace not in self.over:
                self.over[workspace] = OverShare(now=now)
                self.observer.on_over_share(workspace, self.rule.share_of(workspace, now))
            period = self.over[workspace]
            period.last_at = now
            period.requests += 1
        return is_over

    def check(self, now: float) -> None:
        """Report the periods that have ended."""
        for workspace, period in list(self.over.items()):
            if now - period.last_at >= QUIET_S:
                del self.over[workspace]
                lasted_s = period.last_at - period.since
                self.observer.on_within_share(workspace, lasted_s, period.requests)
