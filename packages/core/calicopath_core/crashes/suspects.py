"""Count the replica crashes during one request, and decide whether the request is blocked.

A crash interrupts every request that the replica was running, so most requests that are counted are
innocent. Only the request that causes crashes is present at each of them and never completes a run.
Therefore a completed run resets the count, and crashes of several replicas at the same time (power
loss in a failure domain, a common fault) count as one.

Some callers put a timestamp or a number into each retry, so that no two bodies, or no two paths,
are equal. Crashes are therefore also counted for what such requests have in common: one caller's
path, and one caller's prompt in the form sent to engines. Stricter rules apply there: a crash
counts only if the replica had not yet sent any of its response, the crashes must belong to requests
with different paths or bodies, and a completed run of any such request resets the count.
"""

from __future__ import annotations

import math
from typing import NamedTuple

CRASH_LIMIT = 3
"""Crashes after which a request is blocked. The requirements allow three; a limit of two would
block an innocent request that twice in a row runs on the same replica as the cause."""

SIMULTANEOUS_S = 0.1
"""Crashes within this time count as one event if the later run started before the first crash.
Boxes notice the same crash within 5 ms of each other, a busy box later."""

SAME_CRASH_S = 1.0
"""Crashes of one replica within this time are the same crash, noticed late by some box. Beyond it,
the replica has restarted under its name and crashed again."""

BLOCK_S = 600.0
"""How long a request is blocked after the third crash; doubled with each further crash."""

MAX_BLOCK_S = 3 * 3600.0
CRASH_RETENTION_S = 6 * 3600.0
"""How long a crash is kept."""

SURVIVAL_RETENTION_S = 60.0
"""How long a completed run is kept: longer than any box can still send evidence older than it."""

CONTENT_SEPARATOR = '.'
PROMPT_PREFIX = '~'
REQUEST_SEPARATOR = '#'

MAX_CRASHES = 16
"""Crashes kept for one request: those with the lowest IDs, so that all boxes keep the same ones."""

MIN_DISTINCT_REQUESTS = 2
"""Distinct requests with crashes before all requests with a common path or prompt are blocked."""


class SuspectKey(NamedTuple):
    """Identify a request at one service, since it may crash replicas of one service only.

    `content` is the fingerprint of a request, or of what several requests have in common: a
    caller's path or a caller's prompt.
    """

    content: str
    service: str


class Crash(NamedTuple):
    """Hold the time of a crash and the start of the interrupted run, in monotonic seconds."""

    at: float
    run_started_at: float


class Suspect:
    """Hold the crashes during one request, by crash ID; times are monotonic seconds.

    A crash ID consists of the replica and the second in which a box noticed the crash
    (`new_crash_id`). Evidence of two boxes is merged by taking all crashes and the latest completed
    run, so the order and repetition of messages make no difference.
    """

    def __init__(self) -> None:
        self.crashes: dict[str, Crash] = {}
        self.survived_at = -math.inf

    def add_crash(self, crash_id: str, crash: Crash) -> bool:
        """Add a crash; return whether it is new and kept."""
        if crash_id in self.crashes:
            return False
        self.crashes[crash_id] = crash
        if len(self.crashes) > MAX_CRASHES:
            del self.crashes[max(self.crashes)]
        return crash_id in self.crashes

    def add_survival(self, at: float) -> bool:
        """Record a completed run; return whether it clears crashes that still counted."""
        crashes = self.crashes.values()
        is_new = at > self.survived_at and any(crash.at > self.survived_at for crash in crashes)
        self.survived_at = max(self.survived_at, at)
        return is_new

    def crash_times(self) -> list[float]:
        """Return the times of separate crash events since the last completed run, in order."""
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
        """Return the requests with crashes since the last completed run, for a common key."""
        crashes = self.crashes.items()
        return {request_of(name) for name, crash in crashes if crash.at > self.survived_at}

    def blocked_until(self, min_distinct_requests: int = 1) -> float | None:
        """Return the time until which the request is blocked, or `None` if it is not."""
        times = self.crash_times()
        if len(times) < CRASH_LIMIT or len(self.distinct_requests()) < min_distinct_requests:
            return None
        return times[-1] + min(MAX_BLOCK_S, BLOCK_S * 2.0 ** (len(times) - CRASH_LIMIT))

    def expires_at(self) -> float:
        """Return the time from which this entry can be dropped."""
        newest = max((crash.at for crash in self.crashes.values()), default=-math.inf)
        if newest <= self.survived_at:
            return self.survived_at + SURVIVAL_RETENTION_S
        return newest + CRASH_RETENTION_S


def new_crash_id(replica: str, wall_s: float) -> str:
    """Return the ID of a crash noticed at `wall_s`, in seconds since 1970."""
    return f'{replica}@{int(wall_s)}'


def replica_of(crash_id: str) -> str:
    """Return the replica in a crash ID."""
    return crash_id.partition('@')[0]


def add_request(crash_id: str, content: str) -> str:
    """Append the interrupted request to a crash ID, as crash IDs under common keys have it."""
    return f'{crash_id}{REQUEST_SEPARATOR}{content}'


def request_of(crash_id: str) -> str:
    """Return the request in a crash ID, empty if the ID has none."""
    return crash_id.partition(REQUEST_SEPARATOR)[2]


def request_fingerprint(path: str, body: str, prompt: str = '') -> str:
    """Join digests of path and caller, body, and prompt and caller into a request's fingerprint."""
    return CONTENT_SEPARATOR.join((path, body, prompt) if prompt else (path, body))


class RequestKeys(NamedTuple):
    """Hold the exact key of a request at one service, and the keys that it shares with others."""

    exact: SuspectKey
    common: tuple[SuspectKey, ...]

    @property
    def all(self) -> tuple[SuspectKey, ...]:
        """Return all keys under which the request may be blocked."""
        return (self.exact, *self.common)


def keys_of(content: str, service: str) -> RequestKeys:
    """Return the keys of a request at one service; `content` is its fingerprint."""
    path, body, prompt = ([*content.split(CONTENT_SEPARATOR), '', ''])[:3]
    common = [SuspectKey(path, service)]
    if prompt:
        common.append(SuspectKey(f'{PROMPT_PREFIX}{prompt}', service))
    return RequestKeys(SuspectKey(request_fingerprint(path, body), service), tuple(common))


def is_common(content: str) -> bool:
    """Return whether this is the fingerprint of a common path or prompt, not of one request."""
    return CONTENT_SEPARATOR not in content
