"""Keep less urgent kinds of requests from faring much worse than the more urgent ones.

During an overload of some seconds the least urgent rank would bear nearly all of it. If a much
smaller share of a rank than of the next more urgent one was in time recently, the rank is served
with that one until it fares about as well: requests that arrive then are served in the order of
their objectives. A rank is never lifted past a workspace priority.
"""

from __future__ import annotations

from calicopath_core.scheduling.messages import ROUTE_PRIORITIES

SMOOTHING = 0.03
"""Weight of the newest job in the share of its rank: about thirty jobs decide."""

MAX_SHARE_GAP = 0.1
"""How much smaller a rank's share of jobs in time may be than that of the next more urgent rank. In
replays of bursts and of lost stages, on three fleets, the least urgent kind earns 0.027 more of its
worth on average, and all together earn 0.003 more; at 0.05 all earn 0.001 more."""


class Evenness:
    """Hold the recent share of jobs in time of each rank, 1 for a rank without jobs so far."""

    def __init__(self) -> None:
        self.on_time_shares: dict[int, float] = {}

    def learn(self, rank: int, *, in_time: bool) -> None:
        """Record whether a job of a rank was in time."""
        share = self.on_time_shares.setdefault(rank, 1.0)
        self.on_time_shares[rank] = share + SMOOTHING * (in_time - share)

    def effective_rank(self, rank: int) -> int:
        """Return the rank with which a new job of a rank is served."""
        own_share = self.on_time_shares.get(rank, 1.0)
        effective = rank
        workspace = rank // ROUTE_PRIORITIES
        peers = [other for other in self.on_time_shares if other // ROUTE_PRIORITIES == workspace]
        for other in sorted((other for other in peers if other < rank), reverse=True):
            if own_share >= self.on_time_shares[other] - MAX_SHARE_GAP:
                break
            effective = other
        return effective
