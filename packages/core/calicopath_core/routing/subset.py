"""Choose the subset of a service's endpoints that one box uses, when there are many."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.routing.selectors import rendezvous_weight
from calicopath_core.structure.endpoints import EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.structure.endpoints import Endpoint

SUBSET_SIZE = 24
REMOTE_RATIO = 0.25
"""Part of the subset in other failure domains, which keeps serving if the local one fails."""


class SubsetChooser:
    """Rank a service's endpoints for one box by rendezvous hashing.

    Every box has its own ranking, so that load is spread over the endpoints. An added or removed
    endpoint changes at most one member of a subset. The box's own failure domain is preferred;
    missing members come from the others.
    """

    def __init__(self, *, box: str, failure_domain: str, size: int = SUBSET_SIZE) -> None:
        self.box = box
        self.failure_domain = failure_domain
        self.size = size
        self.weights: dict[str, int] = {}

    def choose(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the subset of active endpoints; all of them if they are few."""
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
        """Return an endpoint's rendezvous weight for this box, computed once."""
        found = self.weights.get(endpoint.name)
        if found is None:
            found = self.weights[endpoint.name] = rendezvous_weight(endpoint.name, self.box)
        return found
