"""Count the replica crashes during one request, and decide whether the request is blocked.

A crash interrupts every request that the replica was running, so most requests that are counted are
innocent. Only the request that causes crashes is present at each of them and never completes a run.
Therefore a completed run resets the count, and crashes of several replicas at the same time (power
loss in a failure domain, a common fault) count as one.

Some callers put a timestamp or a number into each retry, so that no two bodies, or no two paths,
are equal. Crashes are therefore also counted for what such requests have in common: one caller's
path, one caller's prompt in the form sent to engines, and each part of the prompt that other
requests may share, whoever sends it. Stricter rules apply there: a crash counts only if the replica
had not yet sent any of its response, the crashes must belong to requests with different paths or
bodies, and a completed run of any such request resets the count. For a part of the prompt the first
event of a response does, since the replica has then answered a prompt with that part.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

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

RECENTLY_SOUND_CRASH_LIMIT = 5
"""Crashes after which a part of a prompt is blocked that was answered shortly before them."""

CONTENT_SEPARATOR = '.'
PART_SEPARATOR = '-'
PROMPT_PREFIX = '~'
PART_PREFIX = '+'
REQUEST_SEPARATOR = '#'

MAX_CRASHES = 16
"""Crashes kept for one request: those with the lowest IDs, so that all boxes keep the same ones."""

MAX_PART_CRASHES_PER_REPLICA = 2
"""Crashes of one replica kept for a part of a prompt. Many requests with a popular part wait at a
replica when it crashes; keeping all would displace the crashes of other replicas."""

MIN_DISTINCT_REQUESTS = 2
"""Distinct requests with crashes before all requests with a common path or prompt are blocked."""


class SuspectKey(NamedTuple):
    """Identify a request at one service, since it may crash replicas of one service only.

    `content` is the fingerprint of a request, or of what several requests have in common: a
    caller's path, a caller's prompt or a part of prompts.
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

    def __init__(self, *, max_crashes_per_replica: int = MAX_CRASHES) -> None:
        self.max_crashes_per_replica = max_crashes_per_replica
        self.crashes: dict[str, Crash] = {}
        self.survived_at = -math.inf

    def add_crash(self, crash_id: str, crash: Crash) -> bool:
        """Add a crash; return whether it is new and kept."""
        if crash_id in self.crashes:
            return False
        self.crashes[crash_id] = crash
        replica = replica_of(crash_id)
        same_replica = [name for name in self.crashes if replica_of(name) == replica]
        if len(same_replica) > self.max_crashes_per_replica:
            del self.crashes[max(same_replica)]
        if len(self.crashes) > MAX_CRASHES:
            del self.crashes[max(self.crashes)]
        return crash_id in self.crashes

    def add_survival(self, at: float) -> bool:
        """Record a completed run; return whether it clears crashes that still counted."""
        crashes = self.crashes.values()
        is_new = at > self.survived_at and any(crash.at > self.survived_at for crash in crashes)
        self.survived_at = max(self.survived_at, at)
        return is_new

    def crash_times(self, excluded: Collection[str] = ()) -> list[float]:
        """Return the times of separate crash events since the last completed run, in order.

        Crashes of the `excluded` replicas are left out.
        """
        times: list[float] = []
        last_crash_at: dict[str, float] = {}
        for crash, name in sorted((crash, name) for name, crash in self.crashes.items()):
            replica = replica_of(name)
            is_repeat = crash.at - last_crash_at.get(replica, -math.inf) <= SAME_CRASH_S
            if crash.at <= self.survived_at or is_repeat or replica in excluded:
                continue
            last_crash_at[replica] = crash.at
            if (
                not times
                or crash.at - times[-1] > SIMULTANEOUS_S
                or crash.run_started_at >= times[-1]
            ):
                times.append(crash.at)
        return times

    def counted(self) -> dict[str, Crash]:
        """Return the crashes since the last completed run, by crash ID."""
        crashes = self.crashes.items()
        return {name: crash for name, crash in crashes if crash.at > self.survived_at}

    def crashed_replicas(self) -> set[str]:
        """Return the replicas that crashed since the last completed run."""
        return {replica_of(name) for name in self.counted()}

    def distinct_requests(self, excluded: Collection[str] = ()) -> set[str]:
        """Return the requests with crashes since the last completed run, for a common key."""
        return {request_of(name) for name in self.counted() if replica_of(name) not in excluded}

    @property
    def was_recently_sound(self) -> bool:
        """Return whether a run had completed shortly before the first crash that counts."""
        first_at = min((crash.at for crash in self.counted().values()), default=math.inf)
        return first_at - self.survived_at <= SURVIVAL_RETENTION_S

    def blocked_until(self, min_distinct_requests: int = 1) -> float | None:
        """Return the time until which the request is blocked, or `None` if it is not."""
        times = self.crash_times()
        if len(times) < CRASH_LIMIT or len(self.distinct_requests()) < min_distinct_requests:
            return None
        return block_expiry(times)

    def expires_at(self) -> float:
        """Return the time from which this entry can be dropped."""
        newest = max((crash.at for crash in self.crashes.values()), default=-math.inf)
        if newest <= self.survived_at:
            return self.survived_at + SURVIVAL_RETENTION_S
        return newest + CRASH_RETENTION_S


def block_expiry(crash_times: Sequence[float]) -> float:
    """Return the time until which a block for these crashes lasts."""
    excess = len(crash_times) - CRASH_LIMIT
    return crash_times[-1] + min(MAX_BLOCK_S, BLOCK_S * 2.0**excess)


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


def request_fingerprint(path: str, body: str, prompt: str = '', parts: Iterable[str] = ()) -> str:
    """Join digests into a request's fingerprint.

    They are of the path and caller, the body, the prompt and caller, and each part of the prompt
    that other requests may share.
    """
    joined_parts = PART_SEPARATOR.join(parts)
    if joined_parts:
        return CONTENT_SEPARATOR.join((path, body, prompt, joined_parts))
    return CONTENT_SEPARATOR.join((path, body, prompt) if prompt else (path, body))


class RequestKeys(NamedTuple):
    """Hold the exact key of a request at one service, and the keys that it shares with others."""

    exact: SuspectKey
    common: tuple[SuspectKey, ...]
    parts: tuple[SuspectKey, ...] = ()

    @property
    def completed(self) -> tuple[SuspectKey, ...]:
        """Return the keys for which a completed run counts."""
        return (self.exact, *self.common)

    @property
    def all(self) -> tuple[SuspectKey, ...]:
        """Return all keys under which the request may be blocked."""
        return (self.exact, *self.common, *self.parts)


def keys_of(content: str, service: str) -> RequestKeys:
    """Return the keys of a request at one service; `content` is its fingerprint."""
    path, body, prompt, parts = ([*content.split(CONTENT_SEPARATOR), '', '', ''])[:4]
    common = [SuspectKey(path, service)]
    if prompt:
        common.append(SuspectKey(f'{PROMPT_PREFIX}{prompt}', service))
    part_keys = tuple(
        SuspectKey(f'{PART_PREFIX}{part}', service) for part in parts.split(PART_SEPARATOR) if part
    )
    exact = SuspectKey(request_fingerprint(path, body), service)
    return RequestKeys(exact, tuple(common), part_keys)


def is_common(content: str) -> bool:
    """Return whether this is the fingerprint of what several requests share, not of one request."""
    return CONTENT_SEPARATOR not in content


def is_part(content: str) -> bool:
    """Return whether this is the fingerprint of a part of prompts."""
    return content.startswith(PART_PREFIX)
