"""Parse and validate the requests of callers."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from calicopath_core.claims.keys import body_digest
from calicopath_core.config.parsers import MAX_DEADLINE_MS, MAX_PRIORITY
from calicopath_core.execution.requests import PipelineRequest
from calicopathd.exceptions import BadRequest

if TYPE_CHECKING:
    from typing import Any

    from calicopath_core.structure.outcomes import Answered
    from calicopath_core.structure.stages import Plan

STATUS_BAD_REQUEST = 400
MAX_INPUT_CHARACTERS = 200_000
MAX_KEY_CHARACTERS = 64
KEY_HEADER = 'Idempotency-Key'


class RequestBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Declare the JSON body of a request; see `docs/user-guide/callers.md`."""

    input: str
    deadline_ms: int | None = None
    priority: int | None = None
    repeatable: bool = True
    stream: bool = False


class Arrival(NamedTuple):
    """Hold the identity, arrival in monotonic seconds and idempotency key of a request."""

    request_id: str
    arrived_s: float
    key: str | None


def parse_body(data: bytes) -> RequestBody:
    """Parse and validate a body; raise `BadRequest` if it is malformed."""
    try:
        body = msgspec.json.decode(data, type=RequestBody)
    except msgspec.MsgspecError as error:
        raise BadRequest(STATUS_BAD_REQUEST, 'malformed body', str(error)) from error
    duplicates = duplicate_names(data)
    if duplicates:
        detail = f'given more than once: {", ".join(duplicates)}'
        raise BadRequest(STATUS_BAD_REQUEST, 'repeated field', detail)
    problems = body_problems(body)
    if problems:
        raise BadRequest(STATUS_BAD_REQUEST, 'malformed body', '; '.join(problems))
    return body


def duplicate_names(data: bytes) -> list[str]:
    """Return the names that occur more than once in a body, which must be valid JSON."""
    names: list[str] = []

    def note(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        names.extend(name for name, _ in pairs)
        return dict(pairs)

    json.loads(data, object_pairs_hook=note)
    return sorted(name for name, count in Counter(names).items() if count > 1)


def body_problems(body: RequestBody) -> list[str]:
    """Return one message for each invalid value of a body."""
    problems = []
    if not body.input or len(body.input) > MAX_INPUT_CHARACTERS:
        problems.append(f'input must have 1 to {MAX_INPUT_CHARACTERS} characters')
    if body.deadline_ms is not None and body.deadline_ms > MAX_DEADLINE_MS:
        problems.append(f'deadline_ms must be at most {MAX_DEADLINE_MS}')
    if body.priority is not None and not 0 <= body.priority <= MAX_PRIORITY:
        problems.append(f'priority must be between 0 and {MAX_PRIORITY}')
    return problems


def pipeline_request(body: RequestBody, plan: Plan, arrival: Arrival) -> PipelineRequest:
    """Return a request with the defaults of its pipeline; a caller can only lower the priority."""
    deadline_s = plan.deadline_s
    if body.deadline_ms is not None:
        deadline_s = body.deadline_ms / 1000
    priority = plan.priority
    if body.priority is not None:
        priority = min(priority, body.priority)
    fingerprint_fields = [plan.workspace, plan.pipeline, body.input, body.repeatable]
    return PipelineRequest(
        id=arrival.request_id,
        text=body.input,
        arrived_at=arrival.arrived_s,
        deadline=arrival.arrived_s + deadline_s,
        priority=priority,
        repeatable=body.repeatable,
        key=arrival.key,
        body_digest=body_digest(msgspec.json.encode(fingerprint_fields)),
    )


def answer_body(answer: Answered, request_id: str) -> dict[str, Any]:
    """Return the JSON body of a complete answer."""
    return {
        'request_id': request_id,
        'output': answer.output,
        'results': answer.results,
        'replayed': answer.replayed,
        'config_digest': answer.digest,
        'stages': [
            {
                'stage': timing.stage,
                'endpoint': timing.endpoint,
                'attempts': timing.attempts,
                'queued_ms': round(timing.queued_s * 1000, 1),
                'served_ms': round(timing.served_s * 1000, 1),
            }
            for timing in answer.timings
        ],
    }
