"""Keep what a box knows of requests under which replicas have ended."""

from __future__ import annotations

import hashlib
import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.crashes.messages import Evidence
from calicopath_core.crashes.suspects import (
    LEAST_KINDS,
    End,
    Suspect,
    SuspectKey,
    is_alike,
    keys_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.clock import Clock

MAX_SUSPECTS = 2000
"""Requests remembered, 0.3 KB each; beyond that the ones go first that ended fewest replicas."""

SHARED_FROM = 2
"""Replicas that have ended under a request before every box is told of it; of the first end only
those are told that judge."""


class Blocked(NamedTuple):
    """Describe a request that is not sent on; times are monotonic seconds."""

    key: SuspectKey
    since: float
    until: float
    replicas: tuple[str, ...]


class CrashObserver(ABC):
    """Learn how evidence grows and what is decided by it."""

    @abstractmethod
    def on_evidence(self, key: SuspectKey, replicas: Iterable[str], source: str) -> None:
        """Note replicas that ended under a request, as this box or another has seen."""

    @abstractmethod
    def on_blocked(self, blocked: Blocked, now: float) -> None:
        """Note that a request is not sent on any more."""

    @abstractmethod
    def on_let_go(self, key: SuspectKey, why: str) -> None:
        """Note that a request is sent on again."""


class CrashLedger:
    """Hold the suspects; `own` is what log lines call this box as a source."""

    def __init__(self, *, clock: Clock, observer: CrashObserver) -> None:
        self.clock = clock
        self.observer = observer
        self.suspects: dict[SuspectKey, Suspect] = {}
        self.blocked: dict[SuspectKey, Blocked] = {}
        self.cached_digest: str | None = None

    def on_ended(self, key: SuspectKey, name: str, end: End) -> bool:
        """Note that a replica has ended under a request; tell whether that is news."""
        if not self.suspect(key).add(name, end):
            return False
        self.observer.on_evidence(key, (name,), 'own')
        self.judge(key)
        return True

    def on_survived(self, key: SuspectKey, why: str = 'survived') -> bool:
        """Note that a request was run to its end; tell whether that clears a suspect."""
        suspect = self.suspects.get(key)
        if suspect is None or not suspect.survive(self.clock.monotonic()):
            return False
        self.judge(key, why)
        return True

    def is_suspect(self, key: SuspectKey) -> bool:
        """Tell whether replicas have ended under a request since it last survived."""
        suspect = self.suspects.get(key)
        return suspect is not None and bool(suspect.moments())

    def blocked_s(self, content: str, services: Iterable[str]) -> float | None:
        """Return how long a request is not sent to some services yet, nothing if it may be."""
        if not self.blocked:
            return None
        now = self.clock.monotonic()
        keys = [key for service in services for key in keys_of(content, service).all]
        found = (self.blocked.get(key) for key in keys)
        ends = [item.until for item in found if item is not None and item.until > now]
        return max(ends) - now if ends else None

    def merge(self, evidence: Iterable[Evidence], source: str) -> list[SuspectKey]:
        """Join what another box knows; return of which requests that was news."""
        now = self.clock.monotonic()
        found = []
        for item in evidence:
            key = SuspectKey(item.content, item.service)
            if self.merge_one(key, item, now, source):
                found.append(key)
        return found

    def merge_one(self, key: SuspectKey, item: Evidence, now: float, source: str) -> bool:
        """Join what another box knows of one request; tell whether that was news."""
        suspect = self.suspect(key)
        ended = [
            name
            for name, (age_s, run_s) in item.ended_s.items()
            if suspect.add(name, End(now - age_s, now - run_s))
        ]
        survived = item.survived_s is not None and suspect.survive(now - item.survived_s)
        if ended:
            self.observer.on_evidence(key, ended, source)
        if ended or survived:
            self.judge(key)
        return bool(ended or survived)

    def suspect(self, key: SuspectKey) -> Suspect:
        """Return what is known of a request, remembered from now on."""
        found = self.suspects.get(key)
        if found is None:
            self.make_room()
            found = self.suspects[key] = Suspect()
        return found

    def make_room(self) -> None:
        """Forget the request under which fewest replicas ended if there are too many."""
        if len(self.suspects) >= MAX_SUSPECTS:
            least = min(self.suspects, key=lambda key: len(self.suspects[key].ended))
            self.forget(least)

    def judge(self, key: SuspectKey, why: str = 'survived') -> None:
        """Block a request or let it go, by what is known now."""
        self.cached_digest = None
        suspect, now = self.suspects[key], self.clock.monotonic()
        until = suspect.blocked_until(LEAST_KINDS if is_alike(key.content) else 1)
        if until is None or until <= now:
            if self.blocked.pop(key, None) is not None:
                self.observer.on_let_go(key, why)
            return
        known = self.blocked.get(key)
        since = now if known is None else known.since
        self.blocked[key] = Blocked(key, since, until, tuple(sorted(suspect.ended)))
        if known is None:
            self.observer.on_blocked(self.blocked[key], now)

    def expire(self) -> None:
        """Let go and forget what is old enough."""
        now = self.clock.monotonic()
        for key in [key for key, item in self.blocked.items() if item.until <= now]:
            del self.blocked[key]
            self.observer.on_let_go(key, 'time')
        for key in [key for key, item in self.suspects.items() if item.forgotten_at() <= now]:
            self.forget(key)

    def forget(self, key: SuspectKey) -> None:
        """Remember nothing of a request."""
        del self.suspects[key]
        self.cached_digest = None
        if self.blocked.pop(key, None) is not None:
            self.observer.on_let_go(key, 'forgotten')

    def evidence_of(self, key: SuspectKey) -> Evidence:
        """Return what is known of a request."""
        suspect, now = self.suspects[key], self.clock.monotonic()
        survived = suspect.survived_at > -math.inf
        return Evidence(
            content=key.content,
            service=key.service,
            ended_s={name: (now - end.at, now - end.began) for name, end in suspect.ended.items()},
            survived_s=now - suspect.survived_at if survived else None,
        )

    def shared_keys(self) -> list[SuspectKey]:
        """Return the requests of which every box is told, in order."""
        return sorted(key for key, item in self.suspects.items() if len(item.ended) >= SHARED_FROM)

    def shared(self) -> tuple[Evidence, ...]:
        """Return what every box is told."""
        return tuple(self.evidence_of(key) for key in self.shared_keys())

    def digest(self) -> str:
        """Return what is alike at boxes that know the same of what is shared; empty for none."""
        if self.cached_digest is None:
            self.cached_digest = self.new_digest()
        return self.cached_digest

    def new_digest(self) -> str:
        """Return the digest anew."""
        keys = self.shared_keys()
        if not keys:
            return ''
        known = [
            (*key, sorted(self.suspects[key].ended), self.suspects[key].survived_at > -math.inf)
            for key in keys
        ]
        return hashlib.blake2b(repr(known).encode(), digest_size=8).hexdigest()
