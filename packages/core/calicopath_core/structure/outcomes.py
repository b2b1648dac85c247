"""Define the three outcomes of a request: answered, refused and failed."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple


class RefusalReason(enum.StrEnum):
    """Name the reason for which a request was refused before it ran."""

    DEADLINE_PASSED = 'deadline-passed'
    DEADLINE_TOO_SHORT = 'deadline-too-short'
    OVERLOADED = 'overloaded'
    NO_ENDPOINT = 'no-endpoint'
    CRASHES_ENDPOINTS = 'crashes-endpoints'
    CONFIGURATION_INVALID = 'configuration-invalid'
    STOPPING = 'stopping'
    NOT_READY = 'not-ready'
    KEY_MISSING = 'idempotency-key-missing'
    KEY_INVALID = 'idempotency-key-invalid'
    KEY_REUSED = 'idempotency-key-reused'
    STORE_UNAVAILABLE = 'claim-store-unavailable'


class FailureReason(enum.StrEnum):
    """Name the reason for which a request that may have run has no complete answer."""

    DEADLINE_PASSED = 'deadline-passed'
    OVERLOADED = 'overloaded'
    NO_ENDPOINT = 'no-endpoint'
    ENDPOINT_FAILED = 'endpoint-failed'
    CRASHES_ENDPOINTS = 'crashes-endpoints'
    STREAM_BROKEN = 'stream-broken'
    ALREADY_CLAIMED = 'already-claimed'
    ANSWER_NOT_KEPT = 'answer-not-kept'


class StageTiming(NamedTuple):
    """Record the time that one stage was queued and served, and its attempts."""

    stage: str
    endpoint: str
    attempts: int
    queued_s: float
    served_s: float


class Answered(NamedTuple):
    """Hold the complete answer; `replayed` marks the stored answer of an earlier run.

    `digest` is that of the plan with which the request ran.
    """

    output: str
    results: dict[str, Any]
    timings: tuple[StageTiming, ...]
    digest: str
    replayed: bool = False


class Refused(NamedTuple):
    """Report that the request did not run; `retry_after_s` is `None` if a retry is no use.

    `cause` is for the log only, since it may name internal addresses.
    """

    reason: RefusalReason
    detail: str
    retry_after_s: float | None
    cause: str = ''


class Failed(NamedTuple):
    """Report that the request may have run, completely or in part, without a complete answer.

    `cause` is for the log only, since it may name internal addresses.
    """

    reason: FailureReason
    detail: str
    retry_after_s: float | None
    timings: tuple[StageTiming, ...] = ()
    cause: str = ''


Outcome = Answered | Refused | Failed
