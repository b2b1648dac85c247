"""Bound what one box sends to cold replicas of a plain service, for which every box chooses itself.

Answers replicas that come back cold while boxes ask them for more than they bear: each box takes
its share of that, whatever the others do, and a request for which none is left is refused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from calicopath_core.fleet.replicas import Replica


class ColdReplicaLimiter:
    """Hold when this box may next send to each cold replica, in monotonic seconds.

    `rate_of` gives a service's requests a second that this box may send to one cold replica, or
    nothing where that is not bounded.
    """

    def __init__(self, *, rng: random.Random, rate_of: Callable[[str], float | None]) -> None:
        self.rng = rng
        self.rate_of = rate_of
        self.next_send_at: dict[str, float] = {}

    def allowed(self, replicas: Iterable[Replica], now: float) -> list[Replica]:
        """Return the replicas that this box may send to now."""
        return [item for item in replicas if not item.cold or self.may_send(item, now)]

    def may_send(self, replica: Replica, now: float) -> bool:
        """Tell whether this box's share of a cold replica allows a request now.

        The first moment is drawn: boxes hear together that a replica is cold.
        """
        rate = self.rate_of(replica.service)
        if rate is None:
            return True
        if replica.id not in self.next_send_at:
            self.next_send_at[replica.id] = now + self.rng.random() / rate
        return now >= self.next_send_at[replica.id]

    def on_sent(self, replica: Replica, now: float) -> None:
        """Count a request that is sent to a replica."""
        rate = self.rate_of(replica.service)
        if replica.cold and rate is not None:
            self.next_send_at[replica.id] = now + 1 / rate

    def drop_removed(self, replicas: dict[str, Replica]) -> None:
        """Forget replicas that are gone, or cold no more."""
        for name in list(self.next_send_at):
            if name not in replicas or not replicas[name].cold:
                del self.next_send_at[name]
