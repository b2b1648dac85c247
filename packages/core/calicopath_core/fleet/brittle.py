"""Keep requests away from replicas that fall over if they turn many away.

The replicas of a service are brittle together: what one has said counts for all, also for those
that this box has not called yet. Such a replica may let fewer requests wait than it did, so only
its slots count as room. The slots are divided: each box calls only some of a service's brittle
replicas, so that about as many boxes call one as it has slots. Once turned away, a box pauses for
so long that all boxes that call the replica stay within the rejections that it bears.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Container

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.notices import Notice
    from calicopath_core.fleet.replicas import Replica

REORDER_WINDOW_S = 0.3
"""How long after an answer said that the replica is brittle one without that does not end it."""

TTL_S = 5.0
"""How long what a replica has said counts without another answer: this box may not call it."""

MIN_BRITTLE_PER_S = 0.5
"""Rejections per second assumed for a replica that bears none, so that it is called again."""

MAX_PAUSE_S = 5.0
MAX_JITTER = 1.5
"""Upper bound of the random factor on a pause."""


class BrittleReplica:
    """Hold what one replica has said; times are monotonic seconds."""

    def __init__(self, *, replica: Replica) -> None:
        self.replica = replica
        self.per_s = 0.0
        self.heard_at = 0.0
        self.paused_until = 0.0
        self.callers = 1


class BrittleReplicas:
    """Track the brittle replicas.

    `position` returns this box's place among all boxes and their number, alike on all boxes.
    `on_changed` is called with a replica that has become brittle, or with `None` for its figure
    once it is not.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        position: Callable[[], tuple[int, int]],
        on_changed: Callable[[Replica, float | None], None],
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.position = position
        self.on_changed = on_changed
        self.by_replica: dict[str, BrittleReplica] = {}

    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Record what an answer says, and pause if the request was turned away."""
        now = self.clock.monotonic()
        known = self.by_replica.get(replica.id)
        if notice.brittle_per_s is None:
            self.forget(replica.service, now - REORDER_WINDOW_S)
            return
        if known is None:
            known = self.by_replica[replica.id] = BrittleReplica(replica=replica)
            self.on_changed(replica, notice.brittle_per_s)
        known.per_s = notice.brittle_per_s
        known.heard_at = now
        if not notice.executed:
            known.paused_until = max(known.paused_until, now + self.pause_s(known))

    def forget(self, service: str, heard_until: float) -> None:
        """Drop what replicas of a service have said up to a time."""
        for name, known in list(self.by_replica.items()):
            if known.replica.service == service and known.heard_at < heard_until:
                del self.by_replica[name]
                self.on_changed(known.replica, None)

    def pause_s(self, known: BrittleReplica) -> float:
        """Return how long this box sends nothing to a replica that has turned it away."""
        share_s = known.callers / max(known.per_s, MIN_BRITTLE_PER_S)
        return min(MAX_PAUSE_S, share_s) * self.rng.uniform(1.0, MAX_JITTER)

    def available_in_s(self, replica: Replica) -> float:
        """Return the seconds until the pause for a replica is over, 0 without one."""
        known = self.by_replica.get(replica.id)
        return 0.0 if known is None else max(0.0, known.paused_until - self.clock.monotonic())

    def share(self, replicas: list[Replica]) -> dict[str, int]:
        """Return how many calls this box may have in progress at the replicas of a service.

        The result is empty if the service is not brittle. Otherwise replicas that are not in it are
        not this box's to call. The boxes take the replicas in a ring, each from its own position.
        """
        if not replicas:
            return {}
        self.forget(replicas[0].service, self.clock.monotonic() - TTL_S)
        if not any(item.id in self.by_replica for item in replicas):
            return {}
        brittle = sorted(replicas)
        position, boxes = self.position()
        slots = sum(item.slots for item in brittle)
        count = min(len(brittle), max(1, slots // max(1, boxes)))
        callers = max(1, math.ceil(boxes * count / len(brittle)))
        ring = [brittle[(position + step) % len(brittle)] for step in range(count)]
        for item in brittle:
            if item.id in self.by_replica:
                self.by_replica[item.id].callers = callers
        return {item.id: max(1, item.slots // callers) for item in ring}

    def keep_only(self, replicas: Container[str]) -> None:
        """Drop the replicas that are gone."""
        for name in [name for name in self.by_replica if name not in replicas]:
            del self.by_replica[name]
