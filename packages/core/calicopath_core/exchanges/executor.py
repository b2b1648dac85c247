"""Serve an exchange from its arrival to its final answer."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from calicopath_core.exchanges.context import (
    BOX_STOPS,
    CALLER_LEFT,
    LEAVING,
    SHORT_RETRY_AFTER_S,
    SILENT,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_UNAUTHORIZED,
    STATUS_UNAVAILABLE,
    EndedBy,
    ExchangeState,
    RefusedExchange,
    check_not_blocked,
)
from calicopath_core.exchanges.plain import serve_plain
from calicopath_core.exchanges.streams import Stream
from calicopath_core.scheduling.messages import ROUTE_PRIORITIES

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext
    from calicopath_core.exchanges.messages import Exchange, ReplySink
    from calicopath_core.fleet.deployment import Deployment, Route, Workspace


class ExchangeExecutor:
    """Serve exchanges, each by the deployment that is in force when it arrives."""

    def __init__(self, *, context: ExchangeContext, stream_type: type[Stream] = Stream) -> None:
        self.context = context
        self.stream_type = stream_type

    async def serve(self, exchange: Exchange, sink: ReplySink) -> None:
        """Answer an exchange and report its outcome to the observer."""
        state: ExchangeState | None = None
        try:
            state = self.admit(exchange)
            check_not_blocked(self.context, state)
            self.context.retry_budgets.for_service(state.service).on_request(exchange.received_at)
            if state.route.streaming:
                await self.stream_type(context=self.context, state=state, sink=sink).serve()
            else:
                await serve_plain(self.context, state, sink)
        except RefusedExchange as refusal:
            send_refusal(state, sink, refusal)
            if state is None:
                self.context.observer.on_refused(exchange, refusal)
        except BaseException as error:
            if state is not None and not state.outcome:
                has_left = CALLER_LEFT in error.args
                state.outcome = CALLER_LEFT if has_left else 'stopped'
                state.ended_by = EndedBy.CALLER if has_left else EndedBy.STOP
            if state is not None and BOX_STOPS in error.args:
                send_refusal(state, sink, stop_refusal(state))
            else:
                sink.abort()
            raise
        finally:
            if state is not None:
                if state.ended_by is None:
                    state.ended_by = ended_by(state, self.context.clock.monotonic())
                took_s = self.context.clock.monotonic() - exchange.received_at
                self.context.observer.on_ended(state, took_s)

    def admit(self, exchange: Exchange) -> ExchangeState:
        """Return the state of a new exchange; raise `RefusedExchange` if it is not admitted."""
        if self.context.refuses_new():
            raise RefusedExchange(STATUS_UNAVAILABLE, LEAVING, retry_after_s=SHORT_RETRY_AFTER_S)
        deployment = self.context.view.current
        if deployment is None or not self.context.may_serve():
            raise RefusedExchange(
                STATUS_UNAVAILABLE, 'not-ready', retry_after_s=SHORT_RETRY_AFTER_S
            )
        route = deployment.route_for(exchange.host, exchange.path)
        if route is None:
            raise RefusedExchange(STATUS_NOT_FOUND, 'no-route')
        workspace = workspace_of(deployment, route, exchange)
        timeout_s = route.timeout_s
        if exchange.deadline_s is not None:
            timeout_s = min(timeout_s, exchange.deadline_s)
        return ExchangeState(
            exchange=exchange,
            deployment=deployment,
            route=route,
            service=choose_service(route, exchange),
            workspace=workspace.name if workspace is not None else None,
            priority=priority_of(route, workspace),
            deadline_at=exchange.received_at + timeout_s,
        )


def ended_by(state: ExchangeState, now: float) -> EndedBy:
    """Return what ended an exchange whose caller is still there."""
    if state.outcome in ('answered', 'failed-by-replica'):
        return EndedBy.REPLICA
    if state.expired(now):
        return EndedBy.DEADLINE
    if not state.may_have_run or not state.last_failure:
        return EndedBy.GATEWAY
    return EndedBy.SILENCE if state.last_failure == SILENT else EndedBy.REPLICA


def priority_of(route: Route, workspace: Workspace | None) -> int:
    """Return a request's priority, 0 first: the workspace's comes before the route's."""
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority * ROUTE_PRIORITIES + route.priority


def workspace_of(deployment: Deployment, route: Route, exchange: Exchange) -> Workspace | None:
    """Return the workspace of a request's API key, or `None` for an anonymous request.

    Raise `RefusedExchange` if the route needs a key and the request has no valid one.
    """
    workspace = deployment.workspace_for(exchange.key) if exchange.key is not None else None
    if workspace is None and deployment.has_workspaces and not route.anonymous:
        raise RefusedExchange(STATUS_UNAUTHORIZED, 'unknown-key')
    return workspace


def choose_service(route: Route, exchange: Exchange) -> str:
    """Return the service of a request.

    On a route with a traffic split the draw is seeded by the request's identifier, so that the
    same identifier always gets the same service. A stream goes on at the service that began it.
    """
    if len(route.services) == 1:
        return route.services[0].service
    seed = exchange.resumed_call_id if exchange.continues_stream else None
    remaining = random.Random(seed or exchange.call_id).random() * sum(
        item.weight for item in route.services
    )
    for item in route.services:
        remaining -= item.weight
        if remaining < 0:
            return item.service
    return route.services[-1].service


def stop_refusal(state: ExchangeState) -> RefusedExchange:
    """Return the answer to an exchange that its box can't wait for any longer."""
    if state.sends:
        return RefusedExchange(STATUS_GATEWAY_TIMEOUT, LEAVING)
    return RefusedExchange(STATUS_UNAVAILABLE, LEAVING, retry_after_s=SHORT_RETRY_AFTER_S)


def send_refusal(state: ExchangeState | None, sink: ReplySink, refusal: RefusedExchange) -> None:
    """Send the gateway's own answer, or abort the answer if a stream has already begun."""
    if state is not None:
        state.outcome = 'refused' if refusal.status == STATUS_UNAVAILABLE else 'failed'
        state.detail = refusal.reason
        if state.first_byte_at is not None:
            state.outcome = 'cut'
            sink.abort()
            return
        state.status = refusal.status
    sink.refuse(refusal.status, refusal.reason, refusal.retry_after_s)
