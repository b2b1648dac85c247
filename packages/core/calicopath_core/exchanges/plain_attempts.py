"""Send a request to one replica of a plain service and read its complete answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.backends.base import (
    BackendError,
    ConnectionLimitReached,
    Declined,
    NotStarted,
    SilentReplica,
    WrongAnswer,
)
from calicopath_core.crashes.probes import ReplicaCrashProbe
from calicopath_core.exchanges.context import failure_kind, replica_state
from calicopath_core.exchanges.endings import check_whole
from calicopath_core.exchanges.messages import OutboundRequest
from calicopath_core.fleet.notices import ReplicaExcluded

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext, ExchangeState
    from calicopath_core.exchanges.messages import AnswerHead, ReplicaAnswer
    from calicopath_core.fleet.replicas import Replica

STATUS_SERVER_ERROR = 500


class CompleteAnswer:
    """Hold an answer whose body was read to its end."""

    def __init__(self, *, head: AnswerHead, body: bytes) -> None:
        self.head = head
        self.body = body


class PlainAttempt:
    """Run a request at one replica, which counts as sent from the start."""

    def __init__(self, *, context: ExchangeContext, state: ExchangeState, replica: Replica) -> None:
        self.context = context
        self.state = state
        self.replica = replica
        self.started_at = context.clock.monotonic()
        self.stats = context.balancer.stats_of(replica)
        self.stats.in_flight += 1
        state.on_send(replica.id, self.started_at)
        state.runs += 1
        self.is_over = False

    async def run(self) -> CompleteAnswer:
        """Return the complete answer and update the statistics of the replica."""
        has_run = True
        try:
            answer = await call_replica(self.context, self.state, self.replica)
        except (ReplicaExcluded, ConnectionLimitReached) as error:
            has_run = False
            if not isinstance(error, ReplicaExcluded):
                self.log_failure(error)
            raise
        except BackendError as error:
            has_run = not isinstance(error, NotStarted)
            self.stats.on_failure(self.context.clock.monotonic())
            self.log_failure(error)
            await self.check_for_crash(error)
            raise
        finally:
            self.is_over = True
            self.stats.in_flight -= 1
            self.state.runs -= not has_run
            self.state.may_have_run = self.state.may_have_run or has_run
        now = self.context.clock.monotonic()
        if answer.head.status >= STATUS_SERVER_ERROR:
            self.stats.on_failure(now)
        else:
            self.context.balancer.on_success(self.replica, now - self.started_at, now)
        return answer

    async def suspect(self, error: SilentReplica) -> None:
        """Log that the replica is slow and look for a crash; the attempt goes on."""
        self.state.may_have_run = True
        self.log_failure(error)
        await self.check_for_crash(error)

    async def check_for_crash(self, error: BackendError) -> None:
        """Probe whether the replica has crashed and report it."""
        await check_for_crash(
            self.context, self.state, self.replica, error, run_started_at=self.started_at
        )

    def log_failure(self, error: BackendError) -> None:
        """Report an attempt without a complete answer to the observer."""
        log_failure(self.context, self.state, self.replica, error)


def log_failure(
    context: ExchangeContext,
    state: ExchangeState,
    replica: Replica,
    error: BackendError,
    *,
    answered: bool = False,
) -> None:
    """Record an attempt without a complete answer; `answered` tells that a part of it came."""
    state.last_failure = failure_kind(error)
    context.observer.on_attempt_failed(
        state,
        replica.id,
        error,
        max(0.0, state.deadline_at - context.clock.monotonic()),
        replica_state=replica_state(context, replica.id),
        answered=answered,
    )


async def check_for_crash(
    context: ExchangeContext,
    state: ExchangeState,
    replica: Replica,
    error: BackendError,
    *,
    run_started_at: float,
    answered: bool = False,
) -> None:
    """Probe whether a replica has crashed and report it, before the request is sent again.

    `run_started_at` is when the request was sent, in monotonic seconds.
    """
    ran = not isinstance(error, NotStarted | WrongAnswer)
    if ran and not state.expired(context.clock.monotonic()):
        probe = ReplicaCrashProbe(
            prober=context.replica_client, replicas=context.replicas, replica=replica
        )
        contents = [state.content]
        await context.crashes.on_failed(
            contents, state.service, probe, error, run_started_at=run_started_at, answered=answered
        )


async def call_replica(
    context: ExchangeContext, state: ExchangeState, replica: Replica
) -> CompleteAnswer:
    """Make one call and read its answer; raise `Declined` if the replica declined it."""
    now = context.clock.monotonic()
    outbound = OutboundRequest(
        exchange=state.exchange,
        replica=replica,
        deadline_s=state.deadline_at - now,
        workspace=state.workspace,
        priority=state.priority,
        inputs=(),
        last_event_id=state.exchange.last_event_id,
        needs_verified_connection=not state.route.repeatable,
    )
    answer = await context.replica_client.send(outbound)
    try:
        if answer.head.load is not None:
            context.balancer.on_report(replica, answer.head.load, context.clock.monotonic())
        body = await read_all(context, state, answer)
        await check_whole(context, replica, answer, repeatable=state.route.repeatable)
    finally:
        answer.close()
    if answer.head.declined:
        text = f'{replica.id} declined with {answer.head.status}'
        raise Declined(text, turned_away=answer.head.turned_away)
    return CompleteAnswer(head=answer.head, body=body)


async def read_all(context: ExchangeContext, state: ExchangeState, answer: ReplicaAnswer) -> bytes:
    """Return the complete body of an answer; raise `AnswerTooLarge` if there is no room for it."""
    with context.buffers.open(repeatable=state.route.repeatable) as buffer:
        while (data := await answer.read()) is not None:
            buffer.add(data)
        return buffer.take()
