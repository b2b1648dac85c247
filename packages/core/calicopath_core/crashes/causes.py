"""Find the parts of prompts that explain crashes of replicas.

A crash interrupts many requests, each with several parts, of which at most a few crash replicas. As
in group testing, each crash is a pool that holds a cause, and each answer that begins shows that
none of its parts is one. The fewest parts that explain the crashes are taken for the causes:

1. The part that was at the most crashes explains all of these; they count for no other part.
2. Parts that were in the same requests at each of these crashes cannot be told apart, nor can a
   path or a prompt that all of these had. Requests are blocked that have all of them, so that sound
   requests with some of them still run, and show which of them are sound.
3. This is repeated with the crashes that are left.

A part that was answered shortly before needs more crashes, and those do not count that a blocked
request explains.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.crashes.suspects import (
    CRASH_LIMIT,
    MIN_DISTINCT_REQUESTS,
    RECENTLY_SOUND_CRASH_LIMIT,
    Suspect,
    SuspectKey,
    block_expiry,
    replica_of,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_SPARED = 8
"""Other parts at the same crashes that are reported with a cause."""


class Cause(NamedTuple):
    """Hold the parts of a prompt that crash replicas together.

    `key` is the part that was at the most crashes, `keys` all that cannot be told from it.
    `replicas` crashed because of them; `until` is when the block ends, in monotonic seconds.
    `spared` lists other parts that were at some of these crashes.
    """

    key: SuspectKey
    keys: frozenset[SuspectKey]
    replicas: frozenset[str]
    until: float
    spared: tuple[SuspectKey, ...]


class PartEvidence(NamedTuple):
    """Hold the evidence at one service.

    `parts` are the suspected parts, `common` the suspected paths and prompts. `explained` are the
    replicas that crashed during blocked requests.
    """

    parts: Mapping[SuspectKey, Suspect]
    common: Mapping[SuspectKey, Suspect]
    explained: frozenset[str]


class CauseFinder(ABC):
    """Decide which parts of prompts crash the replicas of one service."""

    @abstractmethod
    def find(self, evidence: PartEvidence) -> list[Cause]:
        """Return the causes among the suspected parts."""


class FewestParts(CauseFinder):
    """Find the fewest parts that explain the crashes, those with the most crashes first."""

    def find(self, evidence: PartEvidence) -> list[Cause]:
        """Return the causes among the suspected parts."""
        causes: list[Cause] = []
        explained: set[str] = set()
        for _ in range(len(evidence.parts)):
            key = self.best_explanation(evidence, explained)
            if key is None:
                break
            causes.append(self.cause_of(key, evidence))
            explained |= evidence.parts[key].crashed_replicas()
        return causes

    def best_explanation(self, evidence: PartEvidence, explained: set[str]) -> SuspectKey | None:
        """Return the part that explains the most of the other crashes, `None` if too few.

        A part that was answered shortly before the crashes comes after those that were not.
        """
        best: tuple[tuple[bool, int, int], SuspectKey] | None = None
        for key, suspect in evidence.parts.items():
            is_new = not suspect.was_recently_sound
            excluded = explained if is_new else explained | evidence.explained
            crashes = len(suspect.crash_times(excluded))
            requests = len(suspect.distinct_requests(excluded))
            limit = CRASH_LIMIT if is_new else RECENTLY_SOUND_CRASH_LIMIT
            if crashes < limit or requests < MIN_DISTINCT_REQUESTS:
                continue
            rank = ((is_new, crashes, requests), key)
            if best is None or rank > best:
                best = rank
        return best[1] if best is not None else None

    def cause_of(self, key: SuspectKey, evidence: PartEvidence) -> Cause:
        """Return a part as a cause, with what was in the same requests at each crash."""
        suspect = evidence.parts[key]
        suspects = {**evidence.parts, **evidence.common}
        crash_ids = suspect.counted().keys()
        replicas = suspect.crashed_replicas()
        others = {
            other: found.counted().keys() for other, found in suspects.items() if other != key
        }
        alike = {
            other
            for other, other_ids in others.items()
            if {replica_of(name) for name in crash_ids & other_ids} == replicas
        }
        spared = sorted(
            other
            for other, other_ids in others.items()
            if other in evidence.parts
            and other not in alike
            and any(replica_of(name) in replicas for name in other_ids)
        )
        return Cause(
            key,
            frozenset({key, *alike}),
            frozenset(replicas),
            block_expiry(suspect.crash_times()),
            tuple(spared[:MAX_SPARED]),
        )
