"""Choose one of the endpoints that may take a call."""

from __future__ import annotations

import hashlib
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from calicopath_core.routing.replicas import Replica


class Choice(NamedTuple):
    """Say what a call asks of the choice; `affinity` names a prompt prefix, if any."""

    now: float
    affinity: str | None = None


class Selector(ABC):
    """Choose an endpoint among those that have room."""

    @abstractmethod
    def choose(self, candidates: Sequence[Replica], choice: Choice) -> Replica:
        """Return one of `candidates`, which are not empty."""


class RandomSelector(Selector):
    """Choose at random."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng

    def choose(self, candidates: Sequence[Replica], choice: Choice) -> Replica:
        """Return any candidate."""
        return self.rng.choice(candidates)


class LeastLoadedSelector(Selector):
    """Choose the least load reported; boxes that trust the same late report herd."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng

    def choose(self, candidates: Sequence[Replica], choice: Choice) -> Replica:
        """Return the candidate with the least reported load."""

        def load(replica: Replica) -> float:
            if replica.report is None:
                return float(replica.in_flight)
            return float(replica.report.running + replica.report.waiting)

        return min(candidates, key=lambda replica: (load(replica), self.rng.random()))


class TwoChoicesSelector(Selector):
    """Draw two candidates and take the one expected to finish first.

    The expected completion is the calls in flight (ours exactly, others' by an ageing report)
    times the slowness measured, so that a slow replica gets fewer calls. With an affinity the
    first draw is the prefix's home by rendezvous hashing, kept unless it is clearly busier.
    """

    REPORT_MAX_AGE_S = 2.0
    AFFINITY_TOLERANCE = 1.25
    """The home may look this many times slower before the other draw is preferred."""

    def __init__(self, *, rng: random.Random, draws: int = 2) -> None:
        self.rng = rng
        self.draws = draws

    def choose(self, candidates: Sequence[Replica], choice: Choice) -> Replica:
        """Return the better of a few candidates."""
        if len(candidates) == 1:
            return candidates[0]
        drawn = self.rng.sample(list(candidates), min(self.draws, len(candidates)))
        best = min(drawn, key=lambda replica: self.expected_completion(replica, choice.now))
        if choice.affinity is None:
            return best
        home = rendezvous(candidates, choice.affinity)
        bound = self.expected_completion(best, choice.now) * self.AFFINITY_TOLERANCE
        return home if self.expected_completion(home, choice.now) <= bound else best

    def expected_completion(self, replica: Replica, now: float) -> float:
        """Estimate how long a call given now would take, in unloaded service times."""
        others = replica.others_in_flight(now, self.REPORT_MAX_AGE_S)
        load = (replica.in_flight + others + 1) / replica.endpoint.concurrency
        return replica.slowness * (1.0 + load)


def rendezvous(candidates: Sequence[Replica], key: str) -> Replica:
    """Return the candidate that owns `key`; few keys move when candidates come and go."""

    def weight(replica: Replica) -> bytes:
        return hashlib.blake2b(f'{key}|{replica.name}'.encode(), digest_size=8).digest()

    return max(candidates, key=weight)
