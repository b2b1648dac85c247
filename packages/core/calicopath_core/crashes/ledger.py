"""Keep the crash evidence of one box and the blocks that follow from it."""

from __future__ import annotations

import hashlib
import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.crashes.causes import CauseFinder, FewestParts, PartEvidence
from calicopath_core.crashes.messages import Evidence
from calicopath_core.crashes.soundness import SoundParts
from calicopath_core.crashes.suspects import (
    CRASH_LIMIT,
    MAX_PART_CRASHES_PER_REPLICA,
    MIN_DISTINCT_REQUESTS,
    Crash,
    Suspect,
    SuspectKey,
    is_common,
    is_part,
    keys_of,
    replica_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.clock import Clock

MAX_SUSPECTS = 2000
"""Suspect requests kept, 0.3 KB each; those with the fewest crashes are evicted first."""

MIN_SHARED_CRASHES = 2
"""Crashes from which evidence on a request goes to every box. The first crash is sent only to the
boxes that make the scheduling decisions."""


class Block(NamedTuple):
    """Describe why and until when a request is blocked; times are monotonic seconds.

    `keys` holds all that a request must have to be blocked: the key alone, or several parts of the
    prompt. `spared` lists other parts that were at these crashes.
    """

    key: SuspectKey
    since: float
    until: float
    replicas: tuple[str, ...]
    keys: frozenset[SuspectKey]
    spared: tuple[SuspectKey, ...] = ()


class CrashObserver(ABC):
    """Receive new evidence and the decisions that follow from it."""

    @abstractmethod
    def on_evidence(self, key: SuspectKey, replicas: Iterable[str], source: str) -> None:
        """Handle new crashes during a request; `source` is `own`, `store` or another box."""

    @abstractmethod
    def on_blocked(self, blocked: Block, now: float) -> None:
        """Handle a request that is blocked from now on."""

    @abstractmethod
    def on_cleared(self, key: SuspectKey, crashes: int, source: str) -> None:
        """Handle crashes that no longer count since a run of the request completed.

        `source` is `own` or the box that reported the run.
        """

    @abstractmethod
    def on_unblocked(self, key: SuspectKey, reason: str) -> None:
        """Handle a request that is no longer blocked."""


class CrashLedger:
    """Hold the suspect requests and decide which of them are blocked."""

    def __init__(
        self, *, clock: Clock, observer: CrashObserver, cause_finder: CauseFinder | None = None
    ) -> None:
        self.clock = clock
        self.observer = observer
        self.cause_finder = cause_finder or FewestParts()
        self.sound_parts = SoundParts()
        self.suspects: dict[SuspectKey, Suspect] = {}
        self.blocked: dict[SuspectKey, Block] = {}
        self.cached_digest: str | None = None

    def on_crash(self, key: SuspectKey, crash_id: str, crash: Crash) -> bool:
        """Record a crash during a request; return whether it is new."""
        return bool(self.on_crashes({key: crash_id}, crash))

    def on_crashes(self, crash_ids: Mapping[SuspectKey, str], crash: Crash) -> list[SuspectKey]:
        """Record a crash under several keys; return those for which it is new."""
        changed = []
        for key, crash_id in crash_ids.items():
            if self.get_or_add(key).add_crash(crash_id, crash):
                self.observer.on_evidence(key, (crash_id,), 'own')
                changed.append(key)
        self.add_known_answers(changed)
        self.update_blocks(changed)
        return changed

    def on_part_answered(self, key: SuspectKey, at: float) -> bool:
        """Record that an answer to a prompt with a part began; return whether it matters.

        It does if it clears crashes, or shows that the part was sound shortly before them.
        """
        suspect = self.suspects.get(key)
        if suspect is None or at <= suspect.survived_at:
            return False
        crashes, was_recently_sound = len(suspect.crash_times()), suspect.was_recently_sound
        suspect.survived_at = at
        cleared = crashes - len(suspect.crash_times())
        if cleared:
            self.observer.on_cleared(key, cleared, 'own')
        return bool(cleared) or suspect.was_recently_sound != was_recently_sound

    def on_answer_began(self, content: str, service: str) -> list[SuspectKey]:
        """Record that an answer to a request began; return the parts for which that matters."""
        keys = keys_of(content, service).parts
        now = self.clock.monotonic()
        self.sound_parts.record(keys, now)
        changed = [key for key in keys if self.on_part_answered(key, now)]
        if changed:
            self.update_blocks(changed)
        return changed

    def add_known_answers(self, keys: Iterable[SuspectKey]) -> list[SuspectKey]:
        """Add what this box has seen answered to new evidence; return the parts that it changes."""
        now = self.clock.monotonic()
        return [
            key
            for key in keys
            if is_part(key.content)
            and self.on_part_answered(key, self.sound_parts.last_answered_at(key, now))
        ]

    def on_survived(self, key: SuspectKey, reason: str = 'survived') -> bool:
        """Record a completed run of a request; return whether it clears crashes.

        `reason` is reported to the observer if the request is unblocked.
        """
        suspect = self.suspects.get(key)
        if suspect is None:
            return False
        crashes = len(suspect.crash_times())
        if not suspect.add_survival(self.clock.monotonic()):
            return False
        self.observer.on_cleared(key, crashes, 'own')
        self.update_blocks([key], reason)
        return True

    def is_suspect(self, key: SuspectKey) -> bool:
        """Return whether replicas have crashed during a request since its last completed run."""
        suspect = self.suspects.get(key)
        return suspect is not None and bool(suspect.crash_times())

    def blocks_of(self, content: str, services: Iterable[str]) -> list[Block]:
        """Return the blocks that apply to a request at some services."""
        if not self.blocked:
            return []
        now = self.clock.monotonic()
        found = []
        for service in services:
            keys = keys_of(content, service).all
            blocks = (self.blocked.get(key) for key in keys)
            found += [
                item
                for item in blocks
                if item is not None and item.until > now and item.keys.issubset(keys)
            ]
        return found

    def blocked_s(self, content: str, services: Iterable[str]) -> float | None:
        """Return the seconds for which a request is blocked at any of some services, or `None`."""
        expiries = [item.until for item in self.blocks_of(content, services)]
        return max(expiries) - self.clock.monotonic() if expiries else None

    def blocked_keys(self) -> frozenset[SuspectKey]:
        """Return all keys whose evidence is needed to know what is blocked."""
        return frozenset(key for item in self.blocked.values() for key in item.keys)

    def merge(self, evidence: Iterable[Evidence], source: str) -> list[SuspectKey]:
        """Merge evidence from `source`; return the keys of requests for which it was new."""
        now = self.clock.monotonic()
        changed = []
        for item in evidence:
            key = SuspectKey(item.content, item.service)
            if self.merge_one(key, item, now, source):
                changed.append(key)
        self.add_known_answers(changed)
        self.update_blocks(changed)
        return changed

    def merge_one(self, key: SuspectKey, item: Evidence, now: float, source: str) -> bool:
        """Merge evidence on one request; return whether any of it was new."""
        suspect = self.get_or_add(key)
        new_crashes = [
            name
            for name, (age_s, run_s) in item.crash_ages_s.items()
            if suspect.add_crash(name, Crash(now - age_s, now - run_s))
        ]
        crashes = len(suspect.crash_times())
        survived = item.survival_age_s is not None and suspect.add_survival(
            now - item.survival_age_s
        )
        if survived:
            self.observer.on_cleared(key, crashes, source)
        if new_crashes:
            self.observer.on_evidence(key, new_crashes, source)
        return bool(new_crashes or survived)

    def get_or_add(self, key: SuspectKey) -> Suspect:
        """Return the entry of a request, adding it if there is none."""
        found = self.suspects.get(key)
        if found is None:
            self.evict_if_full()
            found = self.suspects[key] = (
                Suspect(max_crashes_per_replica=MAX_PART_CRASHES_PER_REPLICA)
                if is_part(key.content)
                else Suspect()
            )
        return found

    def evict_if_full(self) -> None:
        """Drop the request with the fewest crashes if the ledger is full."""
        if len(self.suspects) >= MAX_SUSPECTS:
            least = min(self.suspects, key=lambda key: len(self.suspects[key].crashes))
            self.forget(least)

    def update_blocks(self, changed: Iterable[SuspectKey], reason: str = 'survived') -> None:
        """Block and unblock requests after the evidence under some keys has changed."""
        self.cached_digest = None
        changed = list(changed)
        for service in {key.service for key in changed if is_part(key.content)}:
            changed += self.update_part_blocks(service, reason)
        for key in dict.fromkeys(changed):
            if not is_part(key.content) and key in self.suspects:
                self.update_block(key, reason)

    def update_part_blocks(self, service: str, reason: str) -> list[SuspectKey]:
        """Update the blocked parts at one service; return the keys whose crashes they explain."""
        now = self.clock.monotonic()
        evidence = self.part_evidence(service)
        causes = [cause for cause in self.cause_finder.find(evidence) if cause.until > now]
        found = {cause.key: cause for cause in causes}
        old = {
            key
            for key in self.blocked
            if key.service == service and is_part(key.content) and key not in found
        }
        for key in old:
            del self.blocked[key]
            self.observer.on_unblocked(key, reason)
        for cause in causes:
            replicas = tuple(sorted(cause.replicas))
            self.set_block(
                Block(cause.key, now, cause.until, replicas, cause.keys, cause.spared), now
            )
        if not found and not old:
            return []
        return [
            key
            for key, suspect in self.suspects.items()
            if key.service == service
            and not is_part(key.content)
            and len(suspect.crashes) >= CRASH_LIMIT
        ]

    def part_evidence(self, service: str) -> PartEvidence:
        """Return the evidence at a service that decides which parts are blocked."""
        suspects = {
            key: suspect
            for key, suspect in self.suspects.items()
            if key.service == service
            and is_common(key.content)
            and len(suspect.crashes) >= CRASH_LIMIT
        }
        explained = {
            replica_of(crash_id)
            for item in self.blocked.values()
            if item.key.service == service and not is_part(item.key.content)
            for crash_id in item.replicas
        }
        return PartEvidence(
            parts={key: item for key, item in suspects.items() if is_part(key.content)},
            common={key: item for key, item in suspects.items() if not is_part(key.content)},
            explained=frozenset(explained),
        )

    def update_block(self, key: SuspectKey, reason: str) -> None:
        """Block or unblock a request, path or prompt according to the current evidence."""
        suspect, now = self.suspects[key], self.clock.monotonic()
        until = suspect.blocked_until(MIN_DISTINCT_REQUESTS if is_common(key.content) else 1)
        is_explained = until is not None and self.is_explained(key, suspect)
        if until is None or until <= now or is_explained:
            if self.blocked.pop(key, None) is not None:
                self.observer.on_unblocked(key, 'explained' if is_explained else reason)
            return
        replicas = tuple(sorted(suspect.crashes))
        self.set_block(Block(key, now, until, replicas, frozenset({key})), now)

    def is_explained(self, key: SuspectKey, suspect: Suspect) -> bool:
        """Return whether blocked parts of prompts explain all crashes during a request.

        Parts that were answered shortly before do not: popular ones are at most crashes.
        """
        explained = {
            replica
            for item in self.blocked.values()
            if item.key.service == key.service and is_part(item.key.content)
            if not self.suspects[item.key].was_recently_sound
            for replica in item.replicas
        }
        return suspect.crashed_replicas() <= explained

    def set_block(self, block: Block, now: float) -> None:
        """Block requests, or update their block."""
        known = self.blocked.get(block.key)
        if known is not None:
            block = block._replace(since=known.since)
        self.blocked[block.key] = block
        if known is None or known.keys != block.keys:
            self.observer.on_blocked(block, now)

    def expire(self) -> None:
        """Unblock requests whose block has expired, and drop expired evidence."""
        now = self.clock.monotonic()
        for key in [key for key, item in self.blocked.items() if item.until <= now]:
            del self.blocked[key]
            self.observer.on_unblocked(key, 'time')
        for key in [key for key, item in self.suspects.items() if item.expires_at() <= now]:
            self.forget(key)

    def forget(self, key: SuspectKey) -> None:
        """Drop a request; unblock it if it was blocked."""
        del self.suspects[key]
        self.cached_digest = None
        if self.blocked.pop(key, None) is not None:
            self.observer.on_unblocked(key, 'forgotten')

    def evidence_for(self, key: SuspectKey) -> Evidence:
        """Return the evidence on a request, as it is sent to other boxes."""
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
        """Return the sorted keys of the requests whose evidence goes to every box."""
        return sorted(
            key for key, item in self.suspects.items() if len(item.crashes) >= MIN_SHARED_CRASHES
        )

    def shared(self) -> tuple[Evidence, ...]:
        """Return the evidence that goes to every box."""
        return tuple(self.evidence_for(key) for key in self.shared_keys())

    def digest(self) -> str:
        """Return a digest that is equal on boxes with equal shared evidence; empty for none."""
        if self.cached_digest is None:
            self.cached_digest = self.compute_digest()
        return self.cached_digest

    def compute_digest(self) -> str:
        """Compute the digest of the shared evidence, empty if there is none."""
        keys = self.shared_keys()
        if not keys:
            return ''
        known = [
            (*key, sorted(self.suspects[key].crashes), self.suspects[key].survived_at > -math.inf)
            for key in keys
        ]
        return hashlib.blake2b(repr(known).encode(), digest_size=8).hexdigest()
