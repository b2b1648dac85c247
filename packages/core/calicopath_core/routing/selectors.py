"""Choose one of the endpoints that may take a call."""

from __future__ import annotations

import hashlib
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from calicopath_core.routing.replicas import Replica


class Selector(ABC):
    """Choose an endpoint among those that have room."""

    @abstractmethod
    def choose(self, candidates: Sequence[Replica], affinity: str | None) -> Replica:
        """Return one of `candidates`, which are not empty; `affinity` names a prompt prefix."""


class ExpectedCompletionSelector(Selector):
    """Take the endpoint expected to finish first, by what this box knows exactly.

    The estimate is this box's own calls in flight times the slowness measured; ties are broken
    at random. Load that endpoints report is older than a call takes and made boxes herd, so it
    is not used: see `docs/design/routing.md`. With an affinity, the prefix's home by rendezvous
    hashing is taken as long as it looks hardly slower than the best.
    """

    AFFINITY_TOLERANCE = 1.25
    """The home may look this many times slower before the best is preferred."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng

    def choose(self, candidates: Sequence[Replica], affinity: str | None) -> Replica:
        """Return the best candidate, or the home if it is about as good."""
        if len(candidates) == 1:
            return candidates[0]
        shuffled = self.rng.sample(list(candidates), len(candidates))
        best = min(shuffled, key=expected_completion)
        if affinity is None:
            return best
        home = rendezvous(candidates, affinity)
        limit = expected_completion(best) * self.AFFINITY_TOLERANCE
        return home if expected_completion(home) <= limit else best


def expected_completion(replica: Replica) -> float:
    """Estimate how long a call given now would take, in unloaded service times."""
    load = (replica.in_flight + 1) / replica.endpoint.concurrency
    return replica.slowness.value * replica.penalty.value * (1.0 + load)


def rendezvous(candidates: Sequence[Replica], key: str) -> Replica:
    """Return the candidate that owns `key`; few keys move when candidates come and go."""
    return max(candidates, key=lambda replica: rendezvous_weight(replica.name, key))


def rendezvous_weight(name: str, key: str) -> int:
    """Return the weight of a name for a key; the greatest one owns the key."""
    digest = hashlib.blake2b(f'{key}|{name}'.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')
