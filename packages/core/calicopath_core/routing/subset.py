"""Choose the endpoints of a service with which one box works, when there are many."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.routing.selectors import rendezvous_weight
from calicopath_core.structure.endpoints import EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.structure.endpoints import Endpoint

SUBSET_SIZE = 24
REMOTE_RATIO = 0.25
"""Share taken from other failure domains, which carries on when the own one is gone."""


class SubsetChooser:
    """Rank a service's endpoints for one box by rendezvous hashing.

    Every box ranks in its own order, so that load is spread; an endpoint that comes or goes
    changes one place of the subsets concerned and nothing else. The own failure domain goes
    first, and what it lacks is filled from the others.
    """

    def __init__(self, *, box: str, failure_domain: str, size: int = SUBSET_SIZE) -> None:
        self.box = box
        self.failure_domain = failure_domain
        self.size = size
        self.weights: dict[str, int] = {}

    def choose(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the subset; all endpoints if there are few."""
        active = [item for item in endpoints if item.state is EndpointState.ACTIVE]
        if len(active) <= self.size:
            return active
        local: list[Endpoint] = []
        remote: list[Endpoint] = []
        for item in active:
            (local if item.failure_domain == self.failure_domain else remote).append(item)
        local.sort(key=self.weight, reverse=True)
        remote.sort(key=self.weight, reverse=True)
        remote_count = min(len(remote), max(int(self.size * REMOTE_RATIO), self.size - len(local)))
        return local[: self.size - remote_count] + remote[:remote_count]

    def weight(self, endpoint: Endpoint) -> int:
        """Return an endpoint's weight for this box."""
        found = self.weights.get(endpoint.name)
        if found is None:
            found = self.weights[endpoint.name] = rendezvous_weight(endpoint.name, self.box)
        return found
