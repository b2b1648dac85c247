"""Forward a request to a plain service and return its complete answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.backends.base import BackendError, SilentReplica
from calicopath_core.exchanges.context import (
    SHORT_RETRY_AFTER_S,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    RefusedExchange,
    check_not_blocked,
)
from calicopath_core.exchanges.plain_attempts import (
    STATUS_SERVER_ERROR,
    CompleteAnswer,
    PlainAttempt,
)
from calicopath_core.exchanges.retries import (
    RetryRefusal,
    refund_retry,
    try_spend_hedge,
    try_spend_retry,
)
from calicopath_core.fleet.notices import ReplicaExcluded
from calicopath_core.waiting import (
    UNREAD_GRACE_S,
    cancel_and_wait,
    time_limit,
    wait_until_any,
)

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext, ExchangeState
    from calicopath_core.exchanges.messages import ReplySink
    from calicopath_core.fleet.replicas import Replica

ATTEMPT_TIMEOUT_FACTOR = 8.0
MIN_ATTEMPT_TIMEOUT_S = 0.25
"""A replica counts as slow after this multiple of its average latency, but at least the minimum; a
request that may be repeated is then sent to another one too."""

MAX_PERMIT_WAIT_RATIO = 0.5
"""Part of the time left that a request may wait for a permit. Under overload waits grow to this
bound, and a permit is wasted on a run that begins at its deadline."""

ROOM_POLL_S = 0.01
"""Interval at which a request checks whether a replica has a free connection or slot."""

MAX_RETRY_AFTER_JITTER = 1.5
"""Upper bound of the random factor on the time to the next permit in `Retry-After`."""


async def serve_plain(context: ExchangeContext, state: ExchangeState, sink: ReplySink) -> None:
    """Send a request to one replica after another until one gives a complete answer."""
    while True:
        check_not_blocked(context, state)
        replica = await choose_with_permit(context, state)
        if replica is None:
            continue
        try:
            answer = await PlainCall(context=context, state=state).run(replica)
        except ReplicaExcluded as error:
            skip_replica(context, state, error)
            continue
        except BackendError as error:
            check_retry_allowed(context, state, error)
            continue
        context.crashes.on_survived(state.content, state.service)
        if answer.head.status >= STATUS_SERVER_ERROR and may_retry(context, state):
            continue
        state.status = answer.head.status
        state.outcome = 'answered' if answer.head.success else 'failed-by-replica'
        sink.respond(answer.head.status, answer.head.headers, answer.body)
        return


def skip_replica(context: ExchangeContext, state: ExchangeState, error: ReplicaExcluded) -> None:
    """Record that a replica was chosen and nothing was sent to it."""
    state.on_send_cancelled(error.replica.id)
    state.skipped_replicas.append(error.replica.id)
    context.observer.on_replica_skipped(state, error.replica.id, error.exclusion)


class PlainCall:
    """Get one complete answer from a replica, or from another one if the first is slow.

    A slow replica is only suspected: its answer is waited for beside that of the other one.
    """

    def __init__(self, *, context: ExchangeContext, state: ExchangeState) -> None:
        self.context = context
        self.state = state
        self.attempts: list[PlainAttempt] = []
        self.tasks: list[asyncio.Task[CompleteAnswer]] = []
        self.late_s = 0.0

    async def run(self, replica: Replica) -> CompleteAnswer:
        """Return the first complete answer; raise the error of the last attempt that failed."""
        first = self.new_attempt(replica)
        if self.slow_at(replica) >= self.state.deadline_at:
            try:
                async with time_limit(self.context.clock, self.state.deadline_at):
                    return await first.run()
            except TimeoutError as error:
                raise self.give_up([first]) from error
        try:
            self.tasks.append(asyncio.create_task(first.run()))
            while await self.is_slow(self.attempts[-1]):
                if not await self.call_other(self.attempts[-1]):
                    break
            return await self.first_answer()
        finally:
            for task in self.tasks:
                await cancel_and_wait(task)

    def new_attempt(self, replica: Replica) -> PlainAttempt:
        """Return a new attempt, which counts as sent."""
        attempt = PlainAttempt(context=self.context, state=self.state, replica=replica)
        self.attempts.append(attempt)
        return attempt

    def slow_at(self, replica: Replica) -> float:
        """Return when the replica called last counts as slow, in monotonic seconds.

        A request that may not run again is waited for until its deadline.
        """
        state = self.state
        if not state.route.repeatable or state.runs >= state.route.max_attempts:
            return state.deadline_at
        latency_s = self.context.balancer.stats_of(replica).latency_s
        patience_s = max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_FACTOR * latency_s)
        return min(state.deadline_at, self.context.clock.monotonic() + patience_s)

    async def is_slow(self, latest: PlainAttempt) -> bool:
        """Wait for an answer; return whether the latest attempt is slow and another one is due.

        Bytes without a whole answer are no progress: a faulty replica sends them without end.
        """
        slow_at = self.slow_at(latest.replica)
        if slow_at >= self.state.deadline_at:
            return False
        while not (self.has_answer() or latest.is_over):
            pending = {task for task in self.tasks if not task.done()}
            late_s = await wait_until_any(self.context.clock, pending, slow_at)
            if self.context.clock.monotonic() >= slow_at:
                self.late_s = late_s
                break
        is_expired = self.state.expired(self.context.clock.monotonic())
        return not (self.has_answer() or is_expired or latest.is_over)

    def has_answer(self) -> bool:
        """Tell whether an attempt has brought an answer, of whatever status."""
        return any(task.done() and task.exception() is None for task in self.tasks)

    async def call_other(self, slow: PlainAttempt) -> bool:
        """Start an attempt at another replica; return whether one could be called at once."""
        context, state = self.context, self.state
        await slow.suspect(SilentReplica(f'{slow.replica.id} is slow', late_s=self.late_s))
        if try_spend_hedge(context, state) is not None:
            return False
        now = context.clock.monotonic()
        other = context.balancer.choose(state.service, state.excluded_replicas, now)
        if other is None or context.gate.limits.limit_of(other) is not None:
            refund_retry(context, state)
            return False
        self.tasks.append(asyncio.create_task(self.new_attempt(other).run()))
        return True

    async def first_answer(self) -> CompleteAnswer:
        """Return the first answer that is no error of its replica, or what came last.

        Raise `SilentReplica` if none came before the deadline.
        """
        pending = set(self.tasks)
        last: asyncio.Task[CompleteAnswer] | None = None
        while pending:
            left_s = max(0.0, self.state.deadline_at - self.context.clock.monotonic())
            done, pending = await asyncio.wait(
                pending, timeout=left_s + UNREAD_GRACE_S, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                raise self.give_up([item for item in self.attempts if not item.is_over])
            for task in done:
                is_answer = task.exception() is None
                if is_answer and task.result().head.status < STATUS_SERVER_ERROR:
                    return task.result()
                last = task if is_answer or last is None else last
        assert last is not None
        return last.result()

    def give_up(self, attempts: list[PlainAttempt]) -> SilentReplica:
        """Record attempts that were not answered before the deadline and return the error."""
        error = SilentReplica('no answer before the deadline')
        for attempt in attempts:
            attempt.stats.on_failure(self.context.clock.monotonic())
            attempt.log_failure(error)
        return error


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
