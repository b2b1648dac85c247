"""Limit the requests that one box sends to cold replicas of a plain service.

Every box chooses replicas of plain services on its own. Without a limit, replicas that return cold
would get more requests than they can serve. Each box therefore keeps to its share of a cold
replica's rate, without coordination; a request is refused if no replica is left for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from calicopath_core.fleet.replicas import Replica


class ColdReplicaLimiter:
    """Track when this box may next send to each cold replica, in monotonic seconds.

    `rate_of` returns the requests per second that this box may send to one cold replica of a
    service, or `None` if they are not limited.
    """

    def __init__(self, *, rng: random.Random, rate_of: Callable[[str], float | None]) -> None:
        self.rng = rng
        self.rate_of = rate_of
        self.next_send_at: dict[str, float] = {}

    def allowed(self, replicas: Iterable[Replica], now: float) -> list[Replica]:
        """Return the replicas to which this box may send now: warm ones and cold ones in rate."""
        return [item for item in replicas if not item.cold or self.may_send(item, now)]

    def may_send(self, replica: Replica, now: float) -> bool:
        """Return whether this box's share of a cold replica's rate allows a request now.

        The time of the first request is drawn at random, since all boxes learn at the same time
        that a replica is cold.
        """
        rate = self.rate_of(replica.service)
        if rate is None:
            return True
        if replica.id not in self.next_send_at:
            self.next_send_at[replica.id] = now + self.rng.random() / rate
        return now >= self.next_send_at[replica.id]

    def on_sent(self, replica: Replica, now: float) -> None:
        """Record a request sent to a replica; only cold replicas with a limit are tracked."""
        rate = self.rate_of(replica.service)
        if replica.cold and rate is not None:
            self.next_send_at[replica.id] = now + 1 / rate

    def drop_removed(self, replicas: dict[str, Replica]) -> None:
        """Drop replicas that have been removed or are no longer cold."""
        for name in list(self.next_send_at):
            if name not in replicas or not replicas[name].cold:
                del self.next_send_at[name]
