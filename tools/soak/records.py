"""Hold what callers and replicas have seen; times are the harness's monotonic seconds."""

from __future__ import annotations

import enum
from typing import NamedTuple

EVENTS = 8
"""Events of a whole stream."""


class RequestKind(enum.Enum):
    """Name the kinds of requests that callers send."""

    READ = 'read'
    PAY = 'pay'
    DRAFT = 'draft'
    LETTER = 'letter'
    PROBE = 'probe'


STREAMS = frozenset({RequestKind.DRAFT, RequestKind.LETTER})


class Seen(NamedTuple):
    """Hold what a caller saw of one request.

    `status` is 0 without an answer; `whole` says that the answer had its proper end; `life` counts
    the starts of the box; `since` is the configuration that a probe asks for; `leaving` says that
    the answer came from a replica that leaves, `limited` that it came from one that names a limit;
    `deadly` is the path of a request that ends what runs it.
    """

    call_id: str
    kind: RequestKind
    box: int
    life: int
    began: float
    ended: float
    status: int
    whole: bool
    sealed: bool
    body: bytes
    event_ids: tuple[int, ...]
    since: int = 0
    leaving: bool = False
    deadly: str = ''
    retry_after_s: float = 0.0
    limited: bool = False

    @property
    def refused(self) -> bool:
        """Tell whether the answer promises that the request did not run."""
        return self.status in (408, 421, 429, 503)


class Run:
    """Hold one run of a request at a replica."""

    def __init__(self, *, call_id: str, replica: str, began: float, first: int) -> None:
        self.call_id = call_id
        self.replica = replica
        self.began = began
        self.first = first
        self.ended: float | None = None


class TurnedAway(NamedTuple):
    """Hold a call that a replica turned away, and for how many seconds it asked for a pause."""

    call_id: str
    replica: str
    at: float
    wish_s: float

    @property
    def ends(self) -> float:
        """Return when the pause is over."""
        return self.at + self.wish_s


class Arrived(NamedTuple):
    """Hold a request that reached a replica, whether it ran or not."""

    call_id: str
    replica: str
    at: float


class LimitNamed(NamedTuple):
    """Hold which limit a replica named in its answers, from the first one until it no more did."""

    replica: str
    per_s: float
    began: float
    ended: float


class FailureDomainOut(NamedTuple):
    """Hold when a failure domain was taken out and given back, in the world's seconds."""

    failure_domain: str
    began: float
    ended: float


class StopSeen(NamedTuple):
    """Hold how a box stopped that was asked to."""

    box: int
    asked: float
    ended: float
    code: int
