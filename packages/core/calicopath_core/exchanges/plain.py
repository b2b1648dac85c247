"""Pass a request through to a plain service and its whole answer back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.backends.base import (
    BackendError,
    Declined,
    MayHaveRun,
    NotStarted,
    WrongAnswer,
)
from calicopath_core.crashes.fate import ReplicaCrashProbe
from calicopath_core.exchanges.context import (
    RETRY_SOON_S,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    RefusedExchange,
    check_sendable,
)
from calicopath_core.exchanges.messages import Outbound
from calicopath_core.fleet.notices import ReplicaExcluded

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext, Ticket
    from calicopath_core.exchanges.messages import AnswerHead, ReplicaAnswer, ReplySink
    from calicopath_core.fleet.replicas import Replica

MAX_SENDS = 4
"""Replicas that one request may be sent to, those counted that declined it."""

ATTEMPT_LATENCIES = 8.0
LEAST_ATTEMPT_S = 0.25
"""How many times its usual time a replica may take over a request that another may run, and the
least such time."""

WAIT_SHARE = 0.5
"""The part of its time left that a request may wait for a permit: where more is asked than limits
allow, waits grow to this, and a run that begins at its deadline is a permit lost."""

RETURN_SPREAD = 1.5
"""By how much more than the time to the next permit refused callers are told to wait, by chance."""

STATUS_SERVER_ERROR = 500


class WholeAnswer:
    """Hold an answer read to its end."""

    def __init__(self, *, head: AnswerHead, body: bytes) -> None:
        self.head = head
        self.body = body


async def serve_plain(context: ExchangeContext, ticket: Ticket, sink: ReplySink) -> None:
    """Send a request to one replica after the other until one answers whole."""
    while True:
        check_sendable(context, ticket)
        replica = await choose_permitted(context, ticket)
        if replica is None:
            continue
        try:
            answer = await attempt(context, ticket, replica)
        except ReplicaExcluded as error:
            ticket.on_unsent()
            ticket.passed_over.append(replica.id)
            context.observer.on_passed_over(ticket, replica.id, error.exclusion)
            continue
        except BackendError as error:
            left_s = ticket.deadline_at - context.clock.monotonic()
            context.observer.on_attempt_failed(ticket, replica.id, error, left_s)
            await note_crash(context, ticket, replica, error)
            check_again(context, ticket, error)
            continue
        context.crashes.on_survived(ticket.content, ticket.service)
        again = answer.head.status >= STATUS_SERVER_ERROR and may_repeat(context, ticket)
        if again:
            continue
        ticket.status = answer.head.status
        ticket.outcome = 'answered' if answer.head.success else 'failed-by-replica'
        sink.respond(answer.head.status, answer.head.headers, answer.body)
        return


async def note_crash(
    context: ExchangeContext,
    ticket: Ticket,
    replica: Replica,
    error: BackendError,
    *,
    answered: bool = False,
) -> None:
    """Find out whether a replica has ended, before the request is sent once more."""
    ran = not isinstance(error, NotStarted | WrongAnswer)
    if ran and not ticket.expired(context.clock.monotonic()):
        fate = ReplicaCrashProbe(reach=context.caller, replicas=context.replicas, replica=replica)
        contents = [ticket.content]
        await context.crashes.on_failed(
            contents, ticket.service, fate, error, run_started_at=ticket.sent_at, answered=answered
        )


async def choose_permitted(context: ExchangeContext, ticket: Ticket) -> Replica | None:
    """Return the replica to try next with a permit if it needs one, nothing to choose again.

    Raise `RefusedExchange` if there is none. A permit is waited for only where nobody can be called
    without.
    """
    now = context.clock.monotonic()
    replica = context.balancer.choose(ticket.service, ticket.left_out, now)
    if replica is not None and context.gate.limits.limit_of(replica) is None:
        return replica
    if replica is not None:
        permit = await context.gate.permits.request_permit(
            [replica], wait_s=0.0, priority=ticket.priority
        )
        return replica if permit.replica else None
    limited = context.balancer.limited(ticket.service, ticket.left_out, now)
    if not limited:
        raise none_left(context, ticket)
    left_s = ticket.deadline_at - now - context.balancer.usual_s(limited)
    wait_s = max(0.0, WAIT_SHARE * left_s)
    priority = ticket.priority
    permit = await context.gate.permits.request_permit(limited, wait_s=wait_s, priority=priority)
    waited_s = context.clock.monotonic() - now
    context.observer.on_permit_awaited(ticket, permit.replica, waited_s, permit.available_in_s)
    found = context.replicas.replicas.get(permit.replica)
    if found is None:
        raise none_left(context, ticket, permit.available_in_s)
    context.balancer.cold.on_sent(found, context.clock.monotonic())
    return found


def none_left(
    context: ExchangeContext, ticket: Ticket, permit_available_in_s: float | None = None
) -> RefusedExchange:
    """Return how a request ends for which there is no replica, or no permit in time."""
    if ticket.may_have_run:
        return RefusedExchange(STATUS_BAD_GATEWAY, 'no-other-endpoint')
    if permit_available_in_s is None:
        wait_s = return_s(context, ticket)
        return RefusedExchange(STATUS_UNAVAILABLE, 'no-endpoint', retry_after_s=wait_s)
    wait_s = max(
        RETRY_SOON_S, permit_available_in_s * context.balancer.rng.uniform(1.0, RETURN_SPREAD)
    )
    return RefusedExchange(STATUS_UNAVAILABLE, 'limited', retry_after_s=wait_s)


def return_s(context: ExchangeContext, ticket: Ticket) -> float:
    """Return when a caller may come back: not before the first replica that may be called."""
    return max(RETRY_SOON_S, context.gate.earliest_available_in_s(ticket.service))


def may_repeat(context: ExchangeContext, ticket: Ticket) -> bool:
    """Tell whether a request that ran may be sent once more, and take it from the budget."""
    if ticket.sends >= MAX_SENDS or not ticket.may_send_again():
        return False
    if all(item.id in ticket.left_out for item in context.gate.usable(ticket.service)):
        return False
    now = context.clock.monotonic()
    return context.budgets.of(ticket.service).take(now, context.election.box_count())


def check_again(context: ExchangeContext, ticket: Ticket, error: BackendError) -> None:
    """Return if the request may be sent once more; else raise how it ends."""
    now = context.clock.monotonic()
    if not ticket.expired(now) and may_repeat(context, ticket):
        return
    if ticket.may_have_run:
        if ticket.expired(now):
            raise RefusedExchange(STATUS_GATEWAY_TIMEOUT, 'deadline-passed') from error
        raise RefusedExchange(STATUS_BAD_GATEWAY, 'endpoint-failed') from error
    raise RefusedExchange(
        STATUS_UNAVAILABLE, 'endpoints-declined', retry_after_s=return_s(context, ticket)
    ) from error


async def attempt(context: ExchangeContext, ticket: Ticket, replica: Replica) -> WholeAnswer:
    """Send a request to one replica and read the whole answer."""
    begun = context.clock.monotonic()
    stats = context.balancer.of(replica)
    stats.in_flight += 1
    ticket.on_send(replica.id, begun)
    limit_s = ticket.deadline_at - begun
    if ticket.route.repeatable and ticket.runs + 1 < ticket.route.max_attempts:
        limit_s = min(limit_s, max(LEAST_ATTEMPT_S, ATTEMPT_LATENCIES * stats.latency_s))
    try:
        async with asyncio.timeout(max(0.0, limit_s)):
            answer = await exchange_once(context, ticket, replica)
    except TimeoutError as error:
        ticket.may_have_run = True
        ticket.runs += 1
        stats.on_failure(context.clock.monotonic())
        raise MayHaveRun(f'{replica.id} did not answer within {limit_s:.3f} s') from error
    except ReplicaExcluded:
        raise
    except NotStarted:
        stats.on_failure(context.clock.monotonic())
        raise
    except BackendError:
        ticket.may_have_run = True
        ticket.runs += 1
        stats.on_failure(context.clock.monotonic())
        raise
    finally:
        stats.in_flight -= 1
    ticket.may_have_run = True
    ticket.runs += 1
    now = context.clock.monotonic()
    if answer.head.status >= STATUS_SERVER_ERROR:
        stats.on_failure(now)
    else:
        stats.on_success(now - begun)
    return answer


async def exchange_once(context: ExchangeContext, ticket: Ticket, replica: Replica) -> WholeAnswer:
    """Make one call; raise `NotStarted` if the replica declined it."""
    now = context.clock.monotonic()
    outbound = Outbound(
        exchange=ticket.exchange,
        replica=replica,
        deadline_s=ticket.deadline_at - now,
        workspace=ticket.workspace,
        priority=ticket.priority,
        inputs=(),
        last_event_id=ticket.exchange.last_event_id,
        fresh=not ticket.route.repeatable,
    )
    answer = await context.caller.send(outbound)
    try:
        if answer.head.load is not None:
            context.balancer.of(replica).on_report(answer.head.load, context.clock.monotonic())
        body = await read_all(answer)
    finally:
        answer.close()
    if answer.head.declined:
        text = f'{replica.id} declined with {answer.head.status}'
        raise Declined(text, turned_away=answer.head.turned_away)
    return WholeAnswer(head=answer.head, body=body)


async def read_all(answer: ReplicaAnswer) -> bytes:
    """Return a whole body."""
    parts = []
    while (data := await answer.read()) is not None:
        parts.append(data)
    return b''.join(parts)
