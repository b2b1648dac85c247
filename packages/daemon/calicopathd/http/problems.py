"""Build error responses as `application/problem+json` (RFC 9457)."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from sanic.response import HTTPResponse

from calicopath_core.structure.outcomes import Failed, FailureReason, RefusalReason, Refused

PROBLEM_TYPE = 'application/problem+json'
PROBLEM_PREFIX = 'urn:calicopath:problem:'
OUTCOME_REFUSED = 'refused-not-run'
OUTCOME_FAILED = 'failed-may-have-run'

STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
STATUS_UNPROCESSABLE = 422
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504

REFUSAL_STATUS = {
    RefusalReason.DEADLINE_PASSED: STATUS_GATEWAY_TIMEOUT,
    RefusalReason.DEADLINE_TOO_SHORT: STATUS_UNPROCESSABLE,
    RefusalReason.KEY_MISSING: STATUS_BAD_REQUEST,
    RefusalReason.KEY_INVALID: STATUS_BAD_REQUEST,
    RefusalReason.KEY_REUSED: STATUS_UNPROCESSABLE,
}
"""HTTP statuses of refusals; every other reason is 503."""

FAILURE_STATUS = {
    FailureReason.DEADLINE_PASSED: STATUS_GATEWAY_TIMEOUT,
    FailureReason.ALREADY_CLAIMED: STATUS_CONFLICT,
    FailureReason.ANSWER_NOT_KEPT: STATUS_CONFLICT,
}
"""HTTP statuses of failures; every other reason is 502."""


def problem_body(outcome: Refused | Failed, request_id: str) -> dict[str, Any]:
    """Return the JSON body of a refusal or failure."""
    refused = isinstance(outcome, Refused)
    return {
        'type': PROBLEM_PREFIX + outcome.reason.value,
        'title': outcome.reason.value.replace('-', ' '),
        'status': problem_status(outcome),
        'detail': outcome.detail,
        'outcome': OUTCOME_REFUSED if refused else OUTCOME_FAILED,
        'request_id': request_id,
        'retry_after_s': outcome.retry_after_s,
    }


def problem_status(outcome: Refused | Failed) -> int:
    """Return the HTTP status of a refusal or failure."""
    if isinstance(outcome, Refused):
        return REFUSAL_STATUS.get(outcome.reason, STATUS_UNAVAILABLE)
    return FAILURE_STATUS.get(outcome.reason, STATUS_BAD_GATEWAY)


def outcome_problem(outcome: Refused | Failed, request_id: str) -> HTTPResponse:
    """Return the response for a refusal or failure, with `Retry-After` if it names a delay."""
    headers = {}
    if outcome.retry_after_s is not None:
        headers['Retry-After'] = str(math.ceil(outcome.retry_after_s))
    return problem_response(problem_body(outcome, request_id), headers)


def plain_problem(
    status: int, title: str, detail: str, *, outcome: str = OUTCOME_REFUSED
) -> HTTPResponse:
    """Return the response for a request without an outcome; by default it was not run."""
    body = {
        'type': PROBLEM_PREFIX + title.replace(' ', '-'),
        'title': title,
        'status': status,
        'detail': detail,
        'outcome': outcome,
        'retry_after_s': None,
    }
    return problem_response(body, {})


def problem_response(body: dict[str, Any], headers: dict[str, str]) -> HTTPResponse:
    """Return a problem response with the status of its body."""
    return HTTPResponse(
        msgspec.json.encode(body), body['status'], headers=headers, content_type=PROBLEM_TYPE
    )
