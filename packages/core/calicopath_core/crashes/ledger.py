"""Keep what a box knows of requests under which replicas have ended."""

from __future__ import annotations

import hashlib
import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.crashes.messages import Evidence
from calicopath_core.crashes.suspects import (
    MIN_DISTINCT_REQUESTS,
    Crash,
    Suspect,
    SuspectKey,
    is_common,
    keys_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.clock import Clock

MAX_SUSPECTS = 2000
"""Requests remembered, 0.3 KB each; beyond that the ones go first that ended fewest replicas."""

MIN_SHARED_CRASHES = 2
"""Replicas that have ended under a request before every box is told of it; of the first end only
those are told that judge."""


class Block(NamedTuple):
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
    def on_blocked(self, blocked: Block, now: float) -> None:
        """Note that a request is not sent on any more."""

    @abstractmethod
    def on_unblocked(self, key: SuspectKey, reason: str) -> None:
        """Note that a request is sent on again."""


class CrashLedger:
    """Hold the suspects; `own` is what log lines call this box as a source."""

    def __init__(self, *, clock: Clock, observer: CrashObserver) -> None:
        self.clock = clock
        self.observer = observer
        self.suspects: dict[SuspectKey, Suspect] = {}
        self.blocked: dict[SuspectKey, Block] = {}
        self.cached_digest: str | None = None

    def on_crash(self, key: SuspectKey, crash_id: str, crash: Crash) -> bool:
        """Note that a replica has ended under a request; tell whether that is news."""
        if not self.get_or_add(key).add_crash(crash_id, crash):
            return False
        self.observer.on_evidence(key, (crash_id,), 'own')
        self.update_block(key)
        return True

    def on_survived(self, key: SuspectKey, reason: str = 'survived') -> bool:
        """Note that a request was run to its end; tell whether that clears a suspect."""
        suspect = self.suspects.get(key)
        if suspect is None or not suspect.add_survival(self.clock.monotonic()):
            return False
        self.update_block(key, reason)
        return True

    def is_suspect(self, key: SuspectKey) -> bool:
        """Tell whether replicas have ended under a request since it last survived."""
        suspect = self.suspects.get(key)
        return suspect is not None and bool(suspect.crash_times())

    def blocked_s(self, content: str, services: Iterable[str]) -> float | None:
        """Return how long a request is not sent to some services yet, nothing if it may be."""
        if not self.blocked:
            return None
        now = self.clock.monotonic()
        keys = [key for service in services for key in keys_of(content, service).all]
        found = (self.blocked.get(key) for key in keys)
        expiries = [item.until for item in found if item is not None and item.until > now]
        return max(expiries) - now if expiries else None

    def merge(self, evidence: Iterable[Evidence], source: str) -> list[SuspectKey]:
        """Join what another box knows; return of which requests that was news."""
        now = self.clock.monotonic()
        changed = []
        for item in evidence:
            key = SuspectKey(item.content, item.service)
            if self.merge_one(key, item, now, source):
                changed.append(key)
        return changed

    def merge_one(self, key: SuspectKey, item: Evidence, now: float, source: str) -> bool:
        """Join what another box knows of one request; tell whether that was news."""
        suspect = self.get_or_add(key)
        new_crashes = [
            name
            for name, (age_s, run_s) in item.crash_ages_s.items()
            if suspect.add_crash(name, Crash(now - age_s, now - run_s))
        ]
        survived = item.survival_age_s is not None and suspect.add_survival(
            now - item.survival_age_s
        )
        if new_crashes:
            self.observer.on_evidence(key, new_crashes, source)
        if new_crashes or survived:
            self.update_block(key)
        return bool(new_crashes or survived)

    def get_or_add(self, key: SuspectKey) -> Suspect:
        """Return what is known of a request, remembered from now on."""
        found = self.suspects.get(key)
        if found is None:
            self.evict_if_full()
            found = self.suspects[key] = Suspect()
        return found

    def evict_if_full(self) -> None:
        """Forget the request under which fewest replicas ended if there are too many."""
        if len(self.suspects) >= MAX_SUSPECTS:
            least = min(self.suspects, key=lambda key: len(self.suspects[key].crashes))
            self.forget(least)

    def update_block(self, key: SuspectKey, reason: str = 'survived') -> None:
        """Block a request or let it go, by what is known now."""
        self.cached_digest = None
        suspect, now = self.suspects[key], self.clock.monotonic()
        until = suspect.blocked_until(MIN_DISTINCT_REQUESTS if is_common(key.content) else 1)
        if until is None or until <= now:
            if self.blocked.pop(key, None) is not None:
                self.observer.on_unblocked(key, reason)
            return
        known = self.blocked.get(key)
        since = now if known is None else known.since
        self.blocked[key] = Block(key, since, until, tuple(sorted(suspect.crashes)))
        if known is None:
            self.observer.on_blocked(self.blocked[key], now)

    def expire(self) -> None:
        """Let go and forget what is old enough."""
        now = self.clock.monotonic()
        for key in [key for key, item in self.blocked.items() if item.until <= now]:
            del self.blocked[key]
            self.observer.on_unblocked(key, 'time')
        for key in [key for key, item in self.suspects.items() if item.expires_at() <= now]:
            self.forget(key)

    def forget(self, key: SuspectKey) -> None:
        """Remember nothing of a request."""
        del self.suspects[key]
        self.cached_digest = None
        if self.blocked.pop(key, None) is not None:
            self.observer.on_unblocked(key, 'forgotten')

    def evidence_for(self, key: SuspectKey) -> Evidence:
        """Return what is known of a request."""
        suspect, now = self.suspects[key], self.clock.monotonic()
        survived = suspect.survived_at > -math.inf
        return Evidence(
            content=key.content,
            service=key.service,
            crash_ages_s={
                name: (now - crash.at, now - crash.run_started_at)
                for name, crash in suspect.crashes.items()
            },
            survival_age_s=now - suspect.survived_at if survived else None,
        )

    def shared_keys(self) -> list[SuspectKey]:
        """Return the requests of which every box is told, in order."""
        return sorted(
            key for key, item in self.suspects.items() if len(item.crashes) >= MIN_SHARED_CRASHES
        )

    def shared(self) -> tuple[Evidence, ...]:
        """Return what every box is told."""
        return tuple(self.evidence_for(key) for key in self.shared_keys())

    def digest(self) -> str:
        """Return what is alike at boxes that know the same of what is shared; empty for none."""
        if self.cached_digest is None:
            self.cached_digest = self.compute_digest()
        return self.cached_digest

    def compute_digest(self) -> str:
        """Return the digest anew."""
        keys = self.shared_keys()
        if not keys:
            return ''
        known = [
            (*key, sorted(self.suspects[key].crashes), self.suspects[key].survived_at > -math.inf)
            for key in keys
        ]
        return hashlib.blake2b(repr(known).encode(), digest_size=8).hexdigest()
