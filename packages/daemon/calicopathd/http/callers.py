"""Serve the requests of callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog
from returns.result import Failure
from sanic import Blueprint, Request
from sanic.response import HTTPResponse

from calicopath_core.execution.requests import DiscardSink, TokenSink
from calicopath_core.structure.outcomes import (
    Answered,
    Failed,
    Outcome,
    RefusalReason,
    Refused,
)
from calicopathd import events
from calicopathd.exceptions import BadRequest
from calicopathd.http.parsing import (
    KEY_HEADER,
    MAX_KEY_CHARACTERS,
    STATUS_BAD_REQUEST,
    Arrival,
    RequestBody,
    answer_body,
    parse_body,
    pipeline_request,
)
from calicopathd.http.problems import outcome_problem, problem_body
from calicopathd.http.streams import BROKEN_EVENT, DONE_EVENT, EventStream

if TYPE_CHECKING:
    from calicopath_core.structure.stages import Plan
    from calicopathd.box.box import Box

log = structlog.get_logger(__name__)

STATUS_NOT_FOUND = 404
CONFIGURATION_RETRY_S = 5.0
"""`Retry-After` while a pipeline and its template are inconsistent."""

STOPPING_RETRY_S = 1.0
"""`Retry-After` from a box that is stopping or not ready; another box can serve the retry."""


def caller_routes(box: Box) -> Blueprint:
    """Return the routes for callers."""
    routes = Blueprint('callers', url_prefix='/v1')

    @routes.post('/workspaces/<workspace:str>/pipelines/<pipeline:str>/requests')
    async def run(request: Request, workspace: str, pipeline: str) -> HTTPResponse | None:
        return await serve_request(box, request, workspace, pipeline)

    return routes


async def serve_request(
    box: Box, request: Request, workspace: str, pipeline: str
) -> HTTPResponse | None:
    """Serve one request; return `None` if the answer was streamed."""
    arrival = Arrival(
        request_id=box.new_id(),
        arrived_s=box.clock.monotonic(),
        key=request.headers.get(KEY_HEADER),
    )
    if arrival.key is not None and len(arrival.key) > MAX_KEY_CHARACTERS:
        raise BadRequest(
            STATUS_BAD_REQUEST, 'malformed key', f'at most {MAX_KEY_CHARACTERS} characters'
        )
    body = parse_body(request.body)
    refusal = refuse_new_work(box)
    if refusal is not None:
        return outcome_problem(refusal, arrival.request_id)
    plan = find_plan(box, workspace, pipeline)
    if isinstance(plan, Refused):
        return outcome_problem(plan, arrival.request_id)
    with box.lifecycle.track_request():
        return await run_request(box, request, body, plan, arrival)


def refuse_new_work(box: Box) -> Refused | None:
    """Return a refusal if the box is stopping or not ready, else `None`."""
    if box.lifecycle.refusing:
        return Refused(RefusalReason.STOPPING, 'this box is stopping', STOPPING_RETRY_S)
    if not box.may_serve():
        return Refused(
            RefusalReason.NOT_READY, 'this box has no current configuration', STOPPING_RETRY_S
        )
    return None


def find_plan(box: Box, workspace: str, pipeline: str) -> Plan | Refused:
    """Return the plan in force, which the request keeps while it runs.

    Return a refusal if the plan is invalid; raise `BadRequest` if there is no such pipeline.
    """
    result = box.view.plan(workspace, pipeline)
    if result is None:
        unknown_kind = 'pipeline' if box.view.knows_workspace(workspace) else 'workspace'
        detail = f'{workspace}/{pipeline}'
        raise BadRequest(STATUS_NOT_FOUND, f'unknown {unknown_kind}', detail)
    if isinstance(result, Failure):
        problems = '; '.join(str(problem) for problem in result.failure())
        return Refused(RefusalReason.CONFIGURATION_INVALID, problems, CONFIGURATION_RETRY_S)
    return result.unwrap()


async def run_request(
    box: Box, request: Request, body: RequestBody, plan: Plan, arrival: Arrival
) -> HTTPResponse | None:
    """Run a request and send its outcome; return `None` if the answer was streamed."""
    stream = EventStream(request=request, request_id=arrival.request_id)
    sink: TokenSink = stream if body.stream else DiscardSink()
    try:
        outcome = await box.executor.run(pipeline_request(body, plan, arrival), plan, sink)
    except asyncio.CancelledError:
        log_outcome(plan, arrival, 'caller-gone', None)
        raise
    log_outcome(plan, arrival, type(outcome).__name__.lower(), outcome)
    if body.stream and (stream.started or isinstance(outcome, Answered)):
        await finish_stream(stream, outcome, arrival.request_id)
        return None
    return outcome_response(outcome, arrival.request_id)


def outcome_response(outcome: Outcome, request_id: str) -> HTTPResponse:
    """Return the response to a request that was not streamed."""
    if not isinstance(outcome, Answered):
        return outcome_problem(outcome, request_id)
    return HTTPResponse(
        msgspec.json.encode(answer_body(outcome, request_id)),
        headers={'X-Request-Id': request_id},
        content_type='application/json',
    )


async def finish_stream(stream: EventStream, outcome: Outcome, request_id: str) -> None:
    """End a stream with the whole answer, or with an event that marks it as broken."""
    if isinstance(outcome, Answered):
        await stream.finish(DONE_EVENT, answer_body(outcome, request_id))
        return
    events.emit(log, events.STREAM_BROKEN, request=request_id, reason=outcome.reason.value)
    await stream.finish(BROKEN_EVENT, problem_body(outcome, request_id))


def log_outcome(plan: Plan, arrival: Arrival, outcome_name: str, outcome: Outcome | None) -> None:
    """Log the outcome of a request, with reason and cause if it was not answered."""
    unanswered = outcome if isinstance(outcome, Refused | Failed) else None
    events.emit(
        log,
        events.REQUEST_ENDED,
        request=arrival.request_id,
        workspace=plan.workspace,
        pipeline=plan.pipeline,
        outcome=outcome_name,
        reason=unanswered.reason.value if unanswered is not None else '',
        cause=unanswered.cause if unanswered is not None else '',
        config=plan.digest,
    )
