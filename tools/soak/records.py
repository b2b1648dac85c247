"""Hold what callers and replicas have seen; times are the harness's monotonic seconds."""

from __future__ import annotations

import enum
from typing import NamedTuple

EVENTS_PER_STREAM = 8
"""Events of a whole stream."""


class RequestKind(enum.Enum):
    """Name the kinds of requests that callers send."""

    SAFE = 'read'
    UNSAFE = 'pay'
    STAGED_STREAM = 'draft'
    UNREPEATABLE_STREAM = 'letter'
    CONFIG_PROBE = 'probe'


STREAM_KINDS = frozenset({RequestKind.STAGED_STREAM, RequestKind.UNREPEATABLE_STREAM})


class RequestRecord(NamedTuple):
    """Record what a caller observed of one request.

    `status` is 0 without a response; `is_complete` tells whether the response ended properly;
    `incarnation` counts the starts of the box; `probed_version` is the configuration version
    that a probe asks for; `replica_is_leaving` and `replica_is_limited` tell that the response
    carried the notice of a leaving replica or of a limit; `crash_path` is the path of a request
    that crashes the replica that runs it, `crash_part` the part of its prompt that does.
    `event_versions` has the version of the replica that made each event; an attempt that
    continues a stream has the identifier of the first attempt in `resumed_call_id` and the last
    event that came before in `last_event_id`.
    """

    call_id: str
    kind: RequestKind
    box: int
    incarnation: int
    started_at: float
    ended_at: float
    status: int
    is_complete: bool
    has_seal: bool
    body: bytes
    event_ids: tuple[int, ...]
    probed_version: int = 0
    replica_is_leaving: bool = False
    crash_path: str = ''
    crash_part: str = ''
    retry_after_s: float = 0.0
    replica_is_limited: bool = False
    event_versions: tuple[str, ...] = ()
    resumed_call_id: str = ''
    last_event_id: int = 0

    @property
    def is_refusal(self) -> bool:
        """Tell whether the answer promises that the request did not run."""
        return self.status in (408, 421, 429, 503)


class Run:
    """Hold one run of a request at a replica."""

    def __init__(self, *, call_id: str, replica: str, started_at: float, first_event: int) -> None:
        self.call_id = call_id
        self.replica = replica
        self.started_at = started_at
        self.first_event = first_event
        self.ended_at: float | None = None


class RefusedCall(NamedTuple):
    """Hold a call that a replica turned away, and for how many seconds it asked for a pause."""

    call_id: str
    replica: str
    at: float
    backoff_s: float

    @property
    def backoff_ends_at(self) -> float:
        """Return when the pause is over."""
        return self.at + self.backoff_s


class Arrival(NamedTuple):
    """Hold a request that reached a replica, whether it ran or not."""

    call_id: str
    replica: str
    at: float


class LimitPeriod(NamedTuple):
    """Hold which limit a replica named in its answers, from the first one until it no more did."""

    replica: str
    per_s: float
    started_at: float
    ended_at: float


class Evacuation(NamedTuple):
    """Hold when a failure domain was taken out and given back, in the world's seconds."""

    failure_domain: str
    started_at: float
    ended_at: float


class BoxStop(NamedTuple):
    """Hold how a box stopped that was asked to."""

    box: int
    requested_at: float
    ended_at: float
    exit_code: int
