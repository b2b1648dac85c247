"""Decide whether a request may be sent to another replica, and name what forbids it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext, ExchangeState

MAX_SENDS = 4
"""Most replicas that one request is sent to, including those that decline it."""


class RetryRefusal(enum.StrEnum):
    """Name why a request is not sent to another replica."""

    DEADLINE = 'deadline'
    SENDS = 'sends'
    ATTEMPTS = 'attempts'
    NO_REPLICA = 'no-replica'
    BUDGET = 'budget'
    BLOCKED = 'blocked'
    SCHEDULER = 'scheduler'


def try_spend_retry(context: ExchangeContext, state: ExchangeState) -> RetryRefusal | None:
    """Spend one retry of the budget and return `None`, or return what forbids the retry.

    The reason is also kept in the state of the exchange.
    """
    now = context.clock.monotonic()
    refusal = retry_refusal(state, now)
    if refusal is None:
        budget = context.retry_budgets.for_service(state.service)
        has_begun = state.first_byte_at is not None
        if not budget.try_spend(now, context.election.box_count(), has_begun=has_begun):
            refusal = RetryRefusal.BUDGET
    state.retry_refused = refusal
    return refusal


def try_spend_hedge(context: ExchangeContext, state: ExchangeState) -> RetryRefusal | None:
    """Do the same for a request that goes on running beside the retry.

    One that is blocked for crashing replicas is not sent again, and its answer is waited for.
    """
    if context.crashes.blocked_s(state.content, state.services) is not None:
        state.retry_refused = RetryRefusal.BLOCKED
        return RetryRefusal.BLOCKED
    return try_spend_retry(context, state)


def refund_retry(context: ExchangeContext, state: ExchangeState) -> None:
    """Return a retry to the budget that was spent and not sent."""
    context.retry_budgets.for_service(state.service).refund()


def retry_refusal(state: ExchangeState, now: float) -> RetryRefusal | None:
    """Return what forbids a retry apart from the budget, or `None`."""
    if state.expired(now):
        return RetryRefusal.DEADLINE
    if state.sends >= MAX_SENDS:
        return RetryRefusal.SENDS
    return None if state.may_run_again() else RetryRefusal.ATTEMPTS
