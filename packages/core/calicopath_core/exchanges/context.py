"""Define the state of an exchange and the services that all exchanges of a box share."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.backends.base import (
    ConnectionBroken,
    Declined,
    NotStarted,
    SilentReplica,
    WrongAnswer,
)
from calicopath_core.exceptions import CalicopathError
from calicopath_core.exchanges.content import content_of
from calicopath_core.fleet.notices import Exclusion

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.crashes.guard import CrashGuard
    from calicopath_core.exchanges.balancer import Balancer
    from calicopath_core.exchanges.budget import RetryBudgets
    from calicopath_core.exchanges.buffers import AnswerBuffers
    from calicopath_core.exchanges.messages import Exchange, ReplicaClient
    from calicopath_core.exchanges.retries import RetryRefusal
    from calicopath_core.fleet.deployment import Deployment, DeploymentView, Route
    from calicopath_core.fleet.gate import CallGate
    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.scheduling.client import SchedulerClient
    from calicopath_core.scheduling.election import Election
    from calicopath_core.versions.directory import VersionDirectory

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504

SHORT_RETRY_AFTER_S = 0.3
"""`Retry-After` of a refusal that is not caused by load."""

TIMER_SLACK_S = 0.005
"""A deadline counts as passed this much early, since timers may fire early by rounding."""


class RefusedExchange(CalicopathError):
    """Report that the gateway itself answers a request; status 503 means that it did not run."""

    def __init__(self, status: int, reason: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class EndedBy(enum.StrEnum):
    """Name what ended an exchange."""

    REPLICA = 'replica'
    CALLER = 'caller'
    STOP = 'stop'
    DEADLINE = 'deadline'
    SILENCE = 'silence'
    GATEWAY = 'gateway'


READY = 'ready'
"""State of a replica that gets new work."""

SILENT = 'silent'
"""Kind of the failure of a replica that sent nothing in time."""

CALLER_LEFT = 'caller-left'
"""Message with which the task of an exchange is cancelled when its caller disconnects."""


BOX_STOPS = 'box-stops'
"""Message with which the task of an exchange is cancelled when its box can wait no longer."""

LEAVING = 'leaving'
"""Reason of a box that stops and takes no new requests."""


def failure_kind(error: Exception) -> str:
    """Return how an attempt failed, as one word for logs and metrics."""
    if isinstance(error, ConnectionBroken):
        return 'broken'
    if isinstance(error, Declined):
        return 'declined'
    if isinstance(error, NotStarted):
        return 'unreached'
    if isinstance(error, WrongAnswer):
        return 'wrong'
    return SILENT if isinstance(error, SilentReplica) else 'failed'


class ExchangeState:
    """Track one exchange: its route and deadline, its attempts and its outcome.

    `deadline_at` and `sent_at` are in monotonic seconds.
    """

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
        self.tried_versions: list[str] = []
        self.runs = 0
        self.sends = 0
        self.sent_at = 0.0
        self.may_have_run = False
        self.first_byte_at: float | None = None
        self.status = 0
        self.outcome = ''
        self.detail = ''
        self.retry_refused: RetryRefusal | None = None
        self.ended_by: EndedBy | None = None
        self.last_failure = ''

    def expired(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return now >= self.deadline_at - TIMER_SLACK_S

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the IDs of the prompt's parts that other requests may have too."""
        prompt = self.exchange.prompt
        return () if prompt is None else tuple(part.id for part in prompt.parts[:-1])

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that the request needs: those of its stages, then its target."""
        return (*(phase.service for phase in self.route.phases), self.service)

    def on_send(self, replica: str, now: float) -> None:
        """Record that the request is being sent to a replica."""
        self.tried_replicas.append(replica)
        self.sends += 1
        self.sent_at = now

    def on_send_cancelled(self, replica: str) -> None:
        """Undo `on_send` for a replica, because the request was not sent."""
        self.tried_replicas.remove(replica)
        self.sends -= 1

    @property
    def excluded_replicas(self) -> set[str]:
        """Return the replicas that must not be chosen again: those tried and those skipped."""
        return {*self.tried_replicas, *self.skipped_replicas}

    def may_run_again(self) -> bool:
        """Return whether the route allows the request to run on another replica."""
        if self.may_have_run and not self.route.repeatable:
            return False
        return self.runs < max(1, self.route.max_attempts)


class ExchangeObserver(ABC):
    """Receive events about exchanges, for logs and metrics."""

    @abstractmethod
    def on_ended(self, state: ExchangeState, took_s: float) -> None:
        """Handle the end of an exchange that had a route."""

    @abstractmethod
    def on_refused(self, exchange: Exchange, refusal: RefusedExchange) -> None:
        """Handle an exchange that was refused before it had a route."""

    @abstractmethod
    def on_attempt_failed(
        self,
        state: ExchangeState,
        replica: str,
        error: Exception,
        left_s: float,
        *,
        replica_state: str,
        answered: bool = False,
    ) -> None:
        """Handle an attempt without a complete answer.

        `left_s` is the time to the deadline; `replica_state` is what this box knows of the replica;
        `answered` tells that it sent events.
        """

    @abstractmethod
    def on_replica_skipped(self, state: ExchangeState, replica: str, exclusion: Exclusion) -> None:
        """Handle a replica that was chosen for a request but must not be called by this box."""

    @abstractmethod
    def on_permit_wait_ended(
        self, state: ExchangeState, replica: str, waited_s: float, available_in_s: float
    ) -> None:
        """Handle the end of a wait for a permit; `replica` is empty if none was granted."""

    @abstractmethod
    def on_stream_resumed(
        self, state: ExchangeState, replica: Replica, begun_by: str | None, source: str
    ) -> None:
        """Handle the first event from a replica that continues a stream.

        `begun_by` is the version that began the stream, `None` if it is unknown; `source` names
        what showed it.
        """

    @abstractmethod
    def on_version_unknown(self, state: ExchangeState, waited_s: float) -> None:
        """Handle a stream that cannot be resumed because nobody knows which version began it."""

    @abstractmethod
    def on_blocked_refused(self, state: ExchangeState) -> None:
        """Handle a request that is not sent because requests like it crash replicas."""


CRASHES_REPLICAS = 'crashes-replicas'
"""Refusal reason for a request whose fingerprint has crashed too many replicas."""


def check_not_blocked(context: ExchangeContext, state: ExchangeState) -> None:
    """Raise `RefusedExchange` if the request's fingerprint is blocked for crashing replicas.

    This runs before each send, since other boxes may have reported crashes in the meantime.
    """
    wait_s = context.crashes.blocked_s(state.content, state.services)
    if wait_s is None:
        return
    context.observer.on_blocked_refused(state)
    if state.may_have_run:
        raise RefusedExchange(STATUS_BAD_GATEWAY, CRASHES_REPLICAS)
    raise RefusedExchange(STATUS_UNAVAILABLE, CRASHES_REPLICAS, retry_after_s=wait_s)


def replica_state(context: ExchangeContext, replica_id: str) -> str:
    """Return what this box knows of a replica: why it gets no new work, or `ready`."""
    known = context.replicas.replicas.get(replica_id)
    exclusion = Exclusion.GONE if known is None else context.replicas.exclusion_of(known)
    return READY if exclusion is None else exclusion.value


class ExchangeContext(NamedTuple):
    """Hold the services that all exchanges of a box share."""

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
    versions: VersionDirectory
    new_job_id: Callable[[], str]
    may_serve: Callable[[], bool]
    refuses_new: Callable[[], bool]
    is_partitioned: Callable[[], bool]
    failure_domain: str
    buffers: AnswerBuffers
