"""Forward a request to a plain service and return its complete answer."""

from __future__ import annotations

import asyncio
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
from calicopath_core.exchanges.context import (
    SHORT_RETRY_AFTER_S,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    RefusedExchange,
    check_not_blocked,
    failure_kind,
    replica_state,
)
from calicopath_core.exchanges.endings import check_whole
from calicopath_core.exchanges.messages import OutboundRequest
from calicopath_core.exchanges.retries import RetryRefusal, try_spend_retry
from calicopath_core.fleet.notices import ReplicaExcluded

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext, ExchangeState
    from calicopath_core.exchanges.messages import AnswerHead, ReplicaAnswer, ReplySink
    from calicopath_core.fleet.replicas import Replica

ATTEMPT_TIMEOUT_FACTOR = 8.0
MIN_ATTEMPT_TIMEOUT_S = 0.25
"""Timeout of an attempt that may be repeated elsewhere: this multiple of the replica's average
latency, but at least the minimum."""

MAX_PERMIT_WAIT_RATIO = 0.5
"""Part of the time left that a request may wait for a permit. Under overload waits grow to this
bound, and a permit is wasted on a run that begins at its deadline."""

ROOM_POLL_S = 0.01
"""Interval at which a request checks whether a replica has a free connection or slot."""

MAX_RETRY_AFTER_JITTER = 1.5
"""Upper bound of the random factor on the time to the next permit in `Retry-After`."""

STATUS_SERVER_ERROR = 500


class CompleteAnswer:
    """Hold an answer whose body was read to its end."""

    def __init__(self, *, head: AnswerHead, body: bytes) -> None:
        self.head = head
        self.body = body


async def serve_plain(context: ExchangeContext, state: ExchangeState, sink: ReplySink) -> None:
    """Send a request to one replica after another until one gives a complete answer."""
    while True:
        check_not_blocked(context, state)
        replica = await choose_with_permit(context, state)
        if replica is None:
            continue
        try:
            answer = await attempt(context, state, replica)
        except ReplicaExcluded as error:
            state.on_send_cancelled()
            state.skipped_replicas.append(replica.id)
            context.observer.on_replica_skipped(state, replica.id, error.exclusion)
            continue
        except BackendError as error:
            state.last_failure = failure_kind(error)
            left_s = state.deadline_at - context.clock.monotonic()
            context.observer.on_attempt_failed(
                state,
                replica.id,
                error,
                left_s,
                replica_state=replica_state(context, replica.id),
            )
            await check_for_crash(context, state, replica, error)
            check_retry_allowed(context, state, error)
            continue
        context.crashes.on_survived(state.content, state.service)
        if answer.head.status >= STATUS_SERVER_ERROR and may_retry(context, state):
            continue
        state.status = answer.head.status
        state.outcome = 'answered' if answer.head.success else 'failed-by-replica'
        sink.respond(answer.head.status, answer.head.headers, answer.body)
        return


async def check_for_crash(
    context: ExchangeContext,
    state: ExchangeState,
    replica: Replica,
    error: BackendError,
    *,
    answered: bool = False,
) -> None:
    """Probe whether a replica has crashed and report it, before the request is sent again."""
    ran = not isinstance(error, NotStarted | WrongAnswer)
    if ran and not state.expired(context.clock.monotonic()):
        probe = ReplicaCrashProbe(
            prober=context.replica_client, replicas=context.replicas, replica=replica
        )
        contents = [state.content]
        await context.crashes.on_failed(
            contents, state.service, probe, error, run_started_at=state.sent_at, answered=answered
        )


async def choose_with_room(context: ExchangeContext, state: ExchangeState) -> Replica | None:
    """Return the replica to try next; wait some time if this box has no connection or slot left."""
    started_at = now = context.clock.monotonic()
    wait_until = started_at + MAX_PERMIT_WAIT_RATIO * (state.deadline_at - started_at)
    while True:
        replica = context.balancer.choose(state.service, state.excluded_replicas, now)
        if replica is not None or now >= wait_until:
            return replica
        if not context.balancer.may_get_room(state.service, state.excluded_replicas):
            return None
        await asyncio.sleep(ROOM_POLL_S)
        now = context.clock.monotonic()


async def choose_with_permit(context: ExchangeContext, state: ExchangeState) -> Replica | None:
    """Return the replica to try next, holding a permit if it needs one.

    Return `None` if the choice must be repeated; raise `RefusedExchange` if no replica is left. The
    request waits for a permit only if no replica can be called without one.
    """
    replica = await choose_with_room(context, state)
    now = context.clock.monotonic()
    if replica is not None and context.gate.limits.limit_of(replica) is None:
        return replica
    if replica is not None:
        permit = await context.gate.permits.request_permit(
            [replica], wait_s=0.0, priority=state.priority
        )
        return replica if permit.replica else None
    candidates = context.balancer.permit_candidates(state.service, state.excluded_replicas, now)
    if not candidates:
        raise no_replica_refusal(context, state)
    left_s = state.deadline_at - now - context.balancer.min_latency_s(candidates)
    wait_s = max(0.0, MAX_PERMIT_WAIT_RATIO * left_s)
    priority = state.priority
    permit = await context.gate.permits.request_permit(candidates, wait_s=wait_s, priority=priority)
    waited_s = context.clock.monotonic() - now
    context.observer.on_permit_wait_ended(state, permit.replica, waited_s, permit.available_in_s)
    found = context.replicas.replicas.get(permit.replica)
    if found is None:
        raise no_replica_refusal(context, state, permit.available_in_s)
    context.balancer.cold_limiter.on_sent(found, context.clock.monotonic())
    return found


def no_replica_refusal(
    context: ExchangeContext, state: ExchangeState, permit_available_in_s: float | None = None
) -> RefusedExchange:
    """Return the refusal of a request for which there is no replica, or no permit in time.

    `permit_available_in_s` is `None` if there was no replica with a permit to wait for.
    """
    if state.may_have_run:
        return RefusedExchange(STATUS_BAD_GATEWAY, 'no-other-endpoint')
    if permit_available_in_s is None:
        wait_s = min_retry_after_s(context, state)
        return RefusedExchange(STATUS_UNAVAILABLE, 'no-endpoint', retry_after_s=wait_s)
    wait_s = max(
        SHORT_RETRY_AFTER_S,
        permit_available_in_s * context.balancer.rng.uniform(1.0, MAX_RETRY_AFTER_JITTER),
    )
    return RefusedExchange(STATUS_UNAVAILABLE, 'limited', retry_after_s=wait_s)


def min_retry_after_s(context: ExchangeContext, state: ExchangeState) -> float:
    """Return the `Retry-After` of a refusal: the seconds until a replica may be called again."""
    return max(SHORT_RETRY_AFTER_S, context.gate.earliest_available_in_s(state.service))


def may_retry(context: ExchangeContext, state: ExchangeState) -> bool:
    """Return whether a request may be sent again, and spend one retry of the budget if so."""
    if all(item.id in state.excluded_replicas for item in context.gate.usable(state.service)):
        state.retry_refused = RetryRefusal.NO_REPLICA
        return False
    return try_spend_retry(context, state) is None


def check_retry_allowed(
    context: ExchangeContext, state: ExchangeState, error: BackendError
) -> None:
    """Return if the request may be sent again; else raise `RefusedExchange`."""
    now = context.clock.monotonic()
    if may_retry(context, state):
        return
    if state.may_have_run:
        if state.expired(now):
            raise RefusedExchange(STATUS_GATEWAY_TIMEOUT, 'deadline-passed') from error
        raise RefusedExchange(STATUS_BAD_GATEWAY, 'endpoint-failed') from error
    raise RefusedExchange(
        STATUS_UNAVAILABLE, 'endpoints-declined', retry_after_s=min_retry_after_s(context, state)
    ) from error


async def attempt(
    context: ExchangeContext, state: ExchangeState, replica: Replica
) -> CompleteAnswer:
    """Send a request to one replica, read the complete answer and update the statistics."""
    started_at = context.clock.monotonic()
    stats = context.balancer.stats_of(replica)
    stats.in_flight += 1
    state.on_send(replica.id, started_at)
    timeout_s = state.deadline_at - started_at
    if state.route.repeatable and state.runs + 1 < state.route.max_attempts:
        timeout_s = min(
            timeout_s, max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_FACTOR * stats.latency_s)
        )
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            answer = await call_replica(context, state, replica)
    except TimeoutError as error:
        state.may_have_run = True
        state.runs += 1
        stats.on_failure(context.clock.monotonic())
        late_s = context.clock.monotonic() - started_at - timeout_s
        text = f'{replica.id} did not answer within {timeout_s:.3f} s'
        raise SilentReplica(text, late_s=late_s) from error
    except (ReplicaExcluded, ConnectionLimitReached):
        raise
    except NotStarted:
        stats.on_failure(context.clock.monotonic())
        raise
    except BackendError:
        state.may_have_run = True
        state.runs += 1
        stats.on_failure(context.clock.monotonic())
        raise
    finally:
        stats.in_flight -= 1
    state.may_have_run = True
    state.runs += 1
    now = context.clock.monotonic()
    if answer.head.status >= STATUS_SERVER_ERROR:
        stats.on_failure(now)
    else:
        context.balancer.on_success(replica, now - started_at, now)
    return answer


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
        body = await read_all(answer)
        await check_whole(context, replica, answer)
    finally:
        answer.close()
    if answer.head.declined:
        text = f'{replica.id} declined with {answer.head.status}'
        raise Declined(text, turned_away=answer.head.turned_away)
    return CompleteAnswer(head=answer.head, body=body)


async def read_all(answer: ReplicaAnswer) -> bytes:
    """Return the complete body of an answer."""
    parts = []
    while (data := await answer.read()) is not None:
        parts.append(data)
    return b''.join(parts)
