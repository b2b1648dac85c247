"""Count the replicas that have ended under one request, and judge by that whether it is sent on.

A replica that ends takes all that it ran with it, so that most of what is counted is innocent. What
sets the cause apart is that it is there each time and never survives a run: a request that is
answered begins anew, and replicas that end at one moment (a failure domain without power, a fault
of many) count as one.

Some callers write a time or a number of their own into each repeat, so that no two bodies, or no
two paths, are alike. What is alike in them is therefore counted too, by stricter terms: one
caller's path, and one caller's prompt as engines are told of it. Only ends count there before the
replica had answered anything, of more than one path or body, with no survival of the like since.
"""

from __future__ import annotations

import math
from typing import NamedTuple

CRASH_LIMIT = 3
"""Moments at which replicas ended under a request before none is given it any more. The users allow
three; with two, a request that is beside the cause twice in a row would be blocked."""

SIMULTANEOUS_S = 0.1
"""Ends within this time are one event, of runs that had begun before the first of them: boxes hear
of one end within 5 ms of each other, a busy one some time later."""

SAME_CRASH_S = 1.0
"""Ends of one replica within this time are one: a box may notice it late. One that comes back under
its name and ends again later has ended twice."""

BLOCK_S = 600.0
"""How long a request is blocked for after the third end, doubled with each further one."""

MAX_BLOCK_S = 3 * 3600.0
CRASH_RETENTION_S = 6 * 3600.0
"""How long an end is remembered."""

SURVIVAL_RETENTION_S = 60.0
"""How long it is remembered that a request survived: longer than any box has older word of it."""

CONTENT_SEPARATOR = '.'
PROMPT_PREFIX = '~'
REQUEST_SEPARATOR = '#'

MAX_CRASHES = 16
"""Ends remembered for one request; the same ones at every box, those first by name."""

MIN_DISTINCT_REQUESTS = 2
"""Different requests under which replicas must have ended before all that are alike are blocked."""


class SuspectKey(NamedTuple):
    """Name a request's content at one service: it may end an engine and spare a stage.

    `content` may be what is alike in several requests: a caller's path, or a caller's prompt.
    """

    content: str
    service: str


class Crash(NamedTuple):
    """Say when a replica ended and when the run had begun that it took along."""

    at: float
    run_started_at: float


class Suspect:
    """Hold the ends of replicas under one request, by when; times are monotonic seconds.

    An end is named by its replica and the second in which a box has seen it (`name_of_end`).
    Two boxes' knowledge is joined by taking every end and the latest survival, so that order and
    repeats of messages make no difference.
    """

    def __init__(self) -> None:
        self.crashes: dict[str, Crash] = {}
        self.survived_at = -math.inf

    def add_crash(self, crash_id: str, crash: Crash) -> bool:
        """Note a replica's end; tell whether that is news."""
        if crash_id in self.crashes:
            return False
        self.crashes[crash_id] = crash
        if len(self.crashes) > MAX_CRASHES:
            del self.crashes[max(self.crashes)]
        return crash_id in self.crashes

    def add_survival(self, at: float) -> bool:
        """Note that the request was run to its end; tell whether that is news."""
        crashes = self.crashes.values()
        is_new = at > self.survived_at and any(crash.at > self.survived_at for crash in crashes)
        self.survived_at = max(self.survived_at, at)
        return is_new

    def crash_times(self) -> list[float]:
        """Return when replicas have ended under the request since it last survived, in order."""
        times: list[float] = []
        last_crash_at: dict[str, float] = {}
        for crash, name in sorted((crash, name) for name, crash in self.crashes.items()):
            replica = replica_of(name)
            is_repeat = crash.at - last_crash_at.get(replica, -math.inf) <= SAME_CRASH_S
            if crash.at <= self.survived_at or is_repeat:
                continue
            last_crash_at[replica] = crash.at
            if (
                not times
                or crash.at - times[-1] > SIMULTANEOUS_S
                or crash.run_started_at >= times[-1]
            ):
                times.append(crash.at)
        return times

    def distinct_requests(self) -> set[str]:
        """Return under which requests replicas have ended, where that is told of what is alike."""
        crashes = self.crashes.items()
        return {request_of(name) for name, crash in crashes if crash.at > self.survived_at}

    def blocked_until(self, min_distinct_requests: int = 1) -> float | None:
        """Return until when the request is not sent on, nothing if it is."""
        times = self.crash_times()
        if len(times) < CRASH_LIMIT or len(self.distinct_requests()) < min_distinct_requests:
            return None
        return times[-1] + min(MAX_BLOCK_S, BLOCK_S * 2.0 ** (len(times) - CRASH_LIMIT))

    def expires_at(self) -> float:
        """Return when nothing of this has to be remembered any more."""
        newest = max((crash.at for crash in self.crashes.values()), default=-math.inf)
        if newest <= self.survived_at:
            return self.survived_at + SURVIVAL_RETENTION_S
        return newest + CRASH_RETENTION_S


def new_crash_id(replica: str, wall_s: float) -> str:
    """Return what names an end of a replica; `wall` is in seconds since 1970."""
    return f'{replica}@{int(wall_s)}'


def replica_of(crash_id: str) -> str:
    """Return the replica that an end is of."""
    return crash_id.partition('@')[0]


def add_request(crash_id: str, content: str) -> str:
    """Return what names an end where it is told of what is alike: with the request that ran."""
    return f'{crash_id}{REQUEST_SEPARATOR}{content}'


def request_of(crash_id: str) -> str:
    """Return the request with which an end is told; nothing where it is told of a request."""
    return crash_id.partition(REQUEST_SEPARATOR)[2]


def request_fingerprint(path: str, body: str, prompt: str = '') -> str:
    """Return what names a request, by digests: path with caller, body, prompt with caller."""
    return CONTENT_SEPARATOR.join((path, body, prompt) if prompt else (path, body))


class RequestKeys(NamedTuple):
    """Hold the key of a request at one service, and those of what it has in common with others."""

    exact: SuspectKey
    common: tuple[SuspectKey, ...]

    @property
    def all(self) -> tuple[SuspectKey, ...]:
        """Return every key under which the request may be blocked."""
        return (self.exact, *self.common)


def keys_of(content: str, service: str) -> RequestKeys:
    """Return the keys of a request at one service, by its content's name."""
    path, body, prompt = ([*content.split(CONTENT_SEPARATOR), '', ''])[:3]
    common = [SuspectKey(path, service)]
    if prompt:
        common.append(SuspectKey(f'{PROMPT_PREFIX}{prompt}', service))
    return RequestKeys(SuspectKey(request_fingerprint(path, body), service), tuple(common))


def is_common(content: str) -> bool:
    """Tell whether this names what is alike in requests, not one request."""
    return CONTENT_SEPARATOR not in content
