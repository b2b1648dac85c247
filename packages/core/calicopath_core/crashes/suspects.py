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

LIMIT = 3
"""Moments at which replicas ended under a request before none is given it any more. The users allow
three; with two, a request that is beside the cause twice in a row would be blocked."""

MOMENT_S = 0.1
"""Ends within this time are one event, of runs that had begun before the first of them: boxes hear
of one end within 5 ms of each other, a busy one some time later."""

SAME_END_S = 1.0
"""Ends of one replica within this time are one: a box may notice it late. One that comes back under
its name and ends again later has ended twice."""

BLOCK_S = 600.0
"""How long a request is blocked for after the third end, doubled with each further one."""

MAX_BLOCK_S = 3 * 3600.0
KEEP_S = 6 * 3600.0
"""How long an end is remembered."""

SURVIVAL_KEEP_S = 60.0
"""How long it is remembered that a request survived: longer than any box has older word of it."""

CONTENT_MARK = '.'
PROMPT_MARK = '~'
REQUEST_MARK = '#'

MAX_ENDED = 16
"""Ends remembered for one request; the same ones at every box, those first by name."""

LEAST_KINDS = 2
"""Different requests under which replicas must have ended before all that are alike are blocked."""


class SuspectKey(NamedTuple):
    """Name a request's content at one service: it may end an engine and spare a stage.

    `content` may be what is alike in several requests: a caller's path, or a caller's prompt.
    """

    content: str
    service: str


class End(NamedTuple):
    """Say when a replica ended and when the run had begun that it took along."""

    at: float
    began: float


class Suspect:
    """Hold the ends of replicas under one request, by when; times are monotonic seconds.

    An end is named by its replica and the second in which a box has seen it (`name_of_end`).
    Two boxes' knowledge is joined by taking every end and the latest survival, so that order and
    repeats of messages make no difference.
    """

    def __init__(self) -> None:
        self.ended: dict[str, End] = {}
        self.survived_at = -math.inf

    def add(self, name: str, end: End) -> bool:
        """Note a replica's end; tell whether that is news."""
        if name in self.ended:
            return False
        self.ended[name] = end
        if len(self.ended) > MAX_ENDED:
            del self.ended[max(self.ended)]
        return name in self.ended

    def survive(self, at: float) -> bool:
        """Note that the request was run to its end; tell whether that is news."""
        ends = self.ended.values()
        news = at > self.survived_at and any(end.at > self.survived_at for end in ends)
        self.survived_at = max(self.survived_at, at)
        return news

    def moments(self) -> list[float]:
        """Return when replicas have ended under the request since it last survived, in order."""
        found: list[float] = []
        last_of: dict[str, float] = {}
        for end, name in sorted((end, name) for name, end in self.ended.items()):
            replica = replica_of(name)
            again = end.at - last_of.get(replica, -math.inf) <= SAME_END_S
            if end.at <= self.survived_at or again:
                continue
            last_of[replica] = end.at
            if not found or end.at - found[-1] > MOMENT_S or end.began >= found[-1]:
                found.append(end.at)
        return found

    def kinds(self) -> set[str]:
        """Return under which requests replicas have ended, where that is told of what is alike."""
        ends = self.ended.items()
        return {request_of(name) for name, end in ends if end.at > self.survived_at}

    def blocked_until(self, least_kinds: int = 1) -> float | None:
        """Return until when the request is not sent on, nothing if it is."""
        moments = self.moments()
        if len(moments) < LIMIT or len(self.kinds()) < least_kinds:
            return None
        return moments[-1] + min(MAX_BLOCK_S, BLOCK_S * 2.0 ** (len(moments) - LIMIT))

    def forgotten_at(self) -> float:
        """Return when nothing of this has to be remembered any more."""
        newest = max((end.at for end in self.ended.values()), default=-math.inf)
        if newest <= self.survived_at:
            return self.survived_at + SURVIVAL_KEEP_S
        return newest + KEEP_S


def name_of_end(replica: str, wall: float) -> str:
    """Return what names an end of a replica; `wall` is in seconds since 1970."""
    return f'{replica}@{int(wall)}'


def replica_of(end: str) -> str:
    """Return the replica that an end is of."""
    return end.partition('@')[0]


def end_with_request(end: str, content: str) -> str:
    """Return what names an end where it is told of what is alike: with the request that ran."""
    return f'{end}{REQUEST_MARK}{content}'


def request_of(end: str) -> str:
    """Return the request with which an end is told; nothing where it is told of a request."""
    return end.partition(REQUEST_MARK)[2]


def content_name(path: str, body: str, prompt: str = '') -> str:
    """Return what names a request, by digests: path with caller, body, prompt with caller."""
    return CONTENT_MARK.join((path, body, prompt) if prompt else (path, body))


class RequestKeys(NamedTuple):
    """Hold the key of a request at one service, and those of what it has in common with others."""

    own: SuspectKey
    alike: tuple[SuspectKey, ...]

    @property
    def all(self) -> tuple[SuspectKey, ...]:
        """Return every key under which the request may be blocked."""
        return (self.own, *self.alike)


def keys_of(content: str, service: str) -> RequestKeys:
    """Return the keys of a request at one service, by its content's name."""
    path, body, prompt = ([*content.split(CONTENT_MARK), '', ''])[:3]
    alike = [SuspectKey(path, service)]
    if prompt:
        alike.append(SuspectKey(f'{PROMPT_MARK}{prompt}', service))
    return RequestKeys(SuspectKey(content_name(path, body), service), tuple(alike))


def is_alike(content: str) -> bool:
    """Tell whether this names what is alike in requests, not one request."""
    return CONTENT_MARK not in content
