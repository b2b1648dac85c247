"""Keep the kinds of requests that give way from faring much worse than those before them.

Answers overload of some seconds: what is least urgent would bear nearly all of it. A rank of which
a much smaller part is in time of late than of the next more urgent one goes with that one, until it
fares about as well: requests that come then are served in the order of their objectives. A
workspace's priority is never passed by that.
"""

from __future__ import annotations

from calicopath_core.scheduling.messages import ROUTE_PRIORITIES

SMOOTHING = 0.03
"""The weight of the newest job in the share of its rank: some thirty jobs decide."""

MAX_SHARE_GAP = 0.1
"""By how much less of a rank may be in time than of the one before it. In replays of bursts and of
stages that are lost, on three fleets, the least urgent kind earns 0.027 more of its worth in the
mean, and all earn 0.003 more; at 0.05 all earn 0.001 more."""


class Evenness:
    """Hold what share of the jobs of each rank was in time of late, 1 where none was seen."""

    def __init__(self) -> None:
        self.on_time_shares: dict[int, float] = {}

    def learn(self, rank: int, *, in_time: bool) -> None:
        """Take in how a job fared."""
        share = self.on_time_shares.setdefault(rank, 1.0)
        self.on_time_shares[rank] = share + SMOOTHING * (in_time - share)

    def effective_rank(self, rank: int) -> int:
        """Return the rank with which a new job of some rank goes."""
        own = self.on_time_shares.get(rank, 1.0)
        found = rank
        workspace = rank // ROUTE_PRIORITIES
        alike = [other for other in self.on_time_shares if other // ROUTE_PRIORITIES == workspace]
        for other in sorted((other for other in alike if other < rank), reverse=True):
            if own >= self.on_time_shares[other] - MAX_SHARE_GAP:
                break
            found = other
        return found
