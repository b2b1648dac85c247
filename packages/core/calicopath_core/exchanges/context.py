"""Hold what every exchange of a box shares, and how an exchange ended."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.backends.base import ConnectionBroken, Declined, NotStarted, WrongAnswer
from calicopath_core.exceptions import CalicopathError
from calicopath_core.exchanges.content import content_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.crashes.guard import CrashGuard
    from calicopath_core.exchanges.balancer import Balancer
    from calicopath_core.exchanges.budget import RetryBudgets
    from calicopath_core.exchanges.messages import Exchange, ReplicaClient
    from calicopath_core.fleet.deployment import Deployment, DeploymentView, Route
    from calicopath_core.fleet.gate import CallGate
    from calicopath_core.fleet.notices import Exclusion
    from calicopath_core.fleet.replicas import ReplicaTable
    from calicopath_core.scheduling.client import SchedulerClient
    from calicopath_core.scheduling.election import Election

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504

SHORT_RETRY_AFTER_S = 0.3
"""When a caller may come back after a refusal that has nothing to do with load."""


TIMER_SLACK_S = 0.005
"""Timers may fire this much before a deadline by rounding; it counts as passed then."""


class RefusedExchange(CalicopathError):
    """Report that a request ends with an answer of our own; with 503 it provably did not run."""

    def __init__(self, status: int, reason: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


def failure_kind(error: Exception) -> str:
    """Return in one word how an attempt failed, for logs and figures."""
    if isinstance(error, ConnectionBroken):
        return 'broken'
    if isinstance(error, Declined):
        return 'declined'
    if isinstance(error, NotStarted):
        return 'unreached'
    if isinstance(error, WrongAnswer):
        return 'wrong'
    return 'silent'


class ExchangeState:
    """Follow one exchange: its route and deadline, what was tried, how it ended."""

    def __init__(
        self,
        *,
        exchange: Exchange,
        deployment: Deployment,
        route: Route,
        service: str,
        workspace: str | None,
        priority: int,
        deadline_at: float,
    ) -> None:
        self.exchange = exchange
        self.deployment = deployment
        self.route = route
        self.service = service
        self.workspace = workspace
        self.content = content_of(exchange, workspace)
        self.priority = priority
        self.deadline_at = deadline_at
        self.tried_replicas: list[str] = []
        self.skipped_replicas: list[str] = []
        self.runs = 0
        self.sends = 0
        self.sent_at = 0.0
        self.may_have_run = False
        self.first_byte_at: float | None = None
        self.status = 0
        self.outcome = ''
        self.detail = ''

    def expired(self, now: float) -> bool:
        """Tell whether the time to answer is over."""
        return now >= self.deadline_at - TIMER_SLACK_S

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that the request needs: those of its stages, then its own."""
        return (*(phase.service for phase in self.route.phases), self.service)

    def on_send(self, replica: str, now: float) -> None:
        """Note that the request goes to a replica."""
        self.tried_replicas.append(replica)
        self.sends += 1
        self.sent_at = now

    def on_send_cancelled(self) -> None:
        """Note that it did not go there after all."""
        self.tried_replicas.pop()
        self.sends -= 1

    @property
    def excluded_replicas(self) -> set[str]:
        """Return the replicas that are not chosen for it any more."""
        return {*self.tried_replicas, *self.skipped_replicas}

    def may_run_again(self) -> bool:
        """Tell whether the request may run on one more replica."""
        if self.may_have_run and not self.route.repeatable:
            return False
        return self.runs < max(1, self.route.max_attempts)


class ExchangeObserver(ABC):
    """Learn of what happens to exchanges."""

    @abstractmethod
    def on_ended(self, state: ExchangeState, took_s: float) -> None:
        """Note how an exchange ended."""

    @abstractmethod
    def on_refused(self, exchange: Exchange, refusal: RefusedExchange) -> None:
        """Note an exchange that was refused before it had a route."""

    @abstractmethod
    def on_attempt_failed(
        self, state: ExchangeState, replica: str, error: Exception, left_s: float
    ) -> None:
        """Note an attempt that gave no whole answer, and the time that was left."""

    @abstractmethod
    def on_replica_skipped(self, state: ExchangeState, replica: str, exclusion: Exclusion) -> None:
        """Note a replica that was chosen for a request and must not get it."""

    @abstractmethod
    def on_permit_wait_ended(
        self, state: ExchangeState, replica: str, waited_s: float, opens_in_s: float
    ) -> None:
        """Note a request that only limited replicas could serve, and the permit it got, if any."""

    @abstractmethod
    def on_blocked_refused(self, state: ExchangeState) -> None:
        """Note a request that is not sent since replicas end under what it asks."""


CRASHES_REPLICAS = 'crashes-replicas'
"""The reason that is given for a request under which too many replicas have ended."""


def check_not_blocked(context: ExchangeContext, state: ExchangeState) -> None:
    """Raise `RefusedExchange` if too many replicas have ended under what the request asks.

    Asked anew before each send: other boxes may have seen what this one has not.
    """
    wait_s = context.crashes.blocked_s(state.content, state.services)
    if wait_s is None:
        return
    context.observer.on_blocked_refused(state)
    if state.may_have_run:
        raise RefusedExchange(STATUS_BAD_GATEWAY, CRASHES_REPLICAS)
    raise RefusedExchange(STATUS_UNAVAILABLE, CRASHES_REPLICAS, retry_after_s=wait_s)


class ExchangeContext(NamedTuple):
    """Hold what exchanges share on one box."""

    clock: Clock
    view: DeploymentView
    replicas: ReplicaTable
    gate: CallGate
    balancer: Balancer
    retry_budgets: RetryBudgets
    election: Election
    scheduler: SchedulerClient
    replica_client: ReplicaClient
    observer: ExchangeObserver
    crashes: CrashGuard
    new_job_id: Callable[[], str]
    may_serve: Callable[[], bool]
    failure_domain: str
