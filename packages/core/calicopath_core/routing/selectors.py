"""Choose one of the endpoints with a free slot for a call."""

from __future__ import annotations

import hashlib
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from calicopath_core.routing.replicas import Replica


class Selector(ABC):
    """Choose an endpoint among those with a free slot."""

    @abstractmethod
    def choose(self, candidates: Sequence[Replica], affinity: str | None) -> Replica:
        """Return one of `candidates`, which must not be empty; `affinity` names a prompt prefix."""


class ExpectedCompletionSelector(Selector):
    """Choose the endpoint that is expected to finish the call first.

    The estimate combines this box's own calls in flight with the endpoint's measured slowness; ties
    are broken at random. Load reported by endpoints is not used: it is older than a call takes and
    made all boxes choose the same endpoints, see `docs/design/routing.md`. With an affinity, the
    prefix's owner by rendezvous hashing is chosen while it is about as fast as the best.
    """

    AFFINITY_TOLERANCE = 1.25
    """Ratio of expected completion up to which the prefix's owner is preferred to the best."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng

    def choose(self, candidates: Sequence[Replica], affinity: str | None) -> Replica:
        """Return the best candidate, or the prefix's owner if it is about as good."""
        if len(candidates) == 1:
            return candidates[0]
        shuffled = self.rng.sample(list(candidates), len(candidates))
        best = min(shuffled, key=expected_completion)
        if affinity is None:
            return best
        owner = rendezvous(candidates, affinity)
        limit = expected_completion(best) * self.AFFINITY_TOLERANCE
        return owner if expected_completion(owner) <= limit else best


def expected_completion(replica: Replica) -> float:
    """Estimate the duration of a new call, in multiples of the unloaded service time."""
    load = (replica.in_flight + 1) / replica.endpoint.concurrency
    return replica.slowness.value * replica.penalty.value * (1.0 + load)


def rendezvous(candidates: Sequence[Replica], key: str) -> Replica:
    """Return the candidate that owns `key` by rendezvous hashing.

    Few keys change their owner when candidates come and go.
    """
    return max(candidates, key=lambda replica: rendezvous_weight(replica.name, key))


def rendezvous_weight(name: str, key: str) -> int:
    """Return the weight of a name for a key; the name with the greatest weight owns the key."""
    digest = hashlib.blake2b(f'{key}|{name}'.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')
