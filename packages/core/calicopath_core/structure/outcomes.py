"""Define the three ways in which every request ends."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple


class RefusalReason(enum.StrEnum):
    """Say why a request was refused before it ran."""

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
    """Say why a request that may have run has no whole answer."""

    DEADLINE_PASSED = 'deadline-passed'
    OVERLOADED = 'overloaded'
    NO_ENDPOINT = 'no-endpoint'
    ENDPOINT_FAILED = 'endpoint-failed'
    CRASHES_ENDPOINTS = 'crashes-endpoints'
    STREAM_BROKEN = 'stream-broken'
    ALREADY_CLAIMED = 'already-claimed'
    ANSWER_NOT_KEPT = 'answer-not-kept'


class StageTiming(NamedTuple):
    """Record what one stage took; times are in seconds."""

    stage: str
    endpoint: str
    attempts: int
    queued_s: float
    served_s: float


class Answered(NamedTuple):
    """Carry the whole answer; `replayed` marks the stored answer of an earlier run."""

    output: str
    results: dict[str, Any]
    timings: tuple[StageTiming, ...]
    digest: str
    replayed: bool = False


class Refused(NamedTuple):
    """Say that the request did not run, and when to come back.

    `cause` is for the log only: it may name inner addresses.
    """

    reason: RefusalReason
    detail: str
    retry_after_s: float | None
    cause: str = ''


class Failed(NamedTuple):
    """Say that the request may have run, in whole or in part, without a whole answer.

    `cause` is for the log only: it may name inner addresses.
    """

    reason: FailureReason
    detail: str
    retry_after_s: float | None
    timings: tuple[StageTiming, ...] = ()
    cause: str = ''


Outcome = Answered | Refused | Failed
