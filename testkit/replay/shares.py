"""Compare other rules for the shares of workspaces with the allowances of the scheduler.

Both know the capacity of the stages. Their weights are the usual rates of workspaces, so that no
workspace is over its share for being large.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from calicopath_core.scheduling.fairness import (
    LEARNING_PERIOD_S,
    MIN_USUAL_SHARE,
    RECENT_WINDOW_S,
    Allowances,
    AverageRate,
    Usage,
)
from testkit.replay.world import Variant

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.scheduling.messages import PlaceJob
    from calicopath_core.scheduling.scheduler import Scheduler
    from calicopath_core.scheduling.stage_calls import StageCalls

MAX_MIN_FACTOR = 1.25
"""How many times its share a workspace may use, since requests come in clusters."""

FAIR_QUEUE_TOLERANCE_S = 0.5
"""How much longer the queue of a workspace may be than that of all together."""

USABLE_SHARE = 0.6
"""Share of the nominal capacity that the rules reckon with: space for results and partly filled
calls keep stages below it. With the whole capacity, neither rule recognised a flood."""

UPDATE_INTERVAL_S = 0.1
MIN_WEIGHT = 1e-9
UNLIMITED = 1e9
"""Rate per weight while there is enough for all."""


class StageCapacity:
    """Estimate the seconds of work per second that the stages do with the mix of requests."""

    def __init__(self, *, stages: StageCalls, clock: Clock) -> None:
        self.stages = stages
        self.clock = clock
        self.use: dict[str, AverageRate] = {}
        self.value = 1.0
        self.updated_at = -math.inf

    def replica_time_s(self, place: PlaceJob) -> float:
        """Return the replica time of a job's stages, and record it by service."""
        now = self.clock.monotonic()
        total_s = 0.0
        for phase in place.phases:
            queue = self.stages.queues.get(phase.service)
            if queue is not None:
                cost_s = phase.pieces * queue.typical_piece_s()
                use = self.use.setdefault(phase.service, AverageRate(window_s=RECENT_WINDOW_S))
                use.add(cost_s, now)
                total_s += cost_s
        return total_s

    def at(self, now: float) -> float:
        """Return the capacity until the first service is full."""
        if now - self.updated_at >= UPDATE_INTERVAL_S:
            self.updated_at = now
            used = {name: max(MIN_WEIGHT, item.value_at(now)) for name, item in self.use.items()}
            limits = (
                len(list(self.stages.queues[name].available_replicas())) / value
                for name, value in used.items()
            )
            self.value = USABLE_SHARE * sum(used.values()) * min(limits, default=0.0)
        return max(MIN_WEIGHT, self.value)


class WeightedRule(Allowances):
    """Know the capacity and the weights of workspaces."""

    def __init__(self, *, capacity: StageCapacity) -> None:
        super().__init__()
        self.capacity = capacity

    def weight(self, usage: Usage, now: float) -> float:
        """Return the usual rate of a workspace, with the minimum of the allowances."""
        fleet = self.usual.value_at(now)
        own = max(usage.usual.value_at(now), MIN_USUAL_SHARE * fleet)
        return max(MIN_WEIGHT, own / self.observed_share(now))


class MaxMinShares(WeightedRule):
    """Divide the capacity by weighted max-min fairness among the recent rates of workspaces."""

    def __init__(self, *, capacity: StageCapacity) -> None:
        super().__init__(capacity=capacity)
        self.level = UNLIMITED
        self.updated_at = -math.inf

    def allowed_rate(self, usage: Usage, now: float) -> float:
        """Return a workspace's share with some excess; without scarcity it is unlimited."""
        if now - self.updated_at >= UPDATE_INTERVAL_S:
            self.updated_at = now
            self.level = self.water_level(now)
        return MAX_MIN_FACTOR * self.level * self.weight(usage, now)

    def water_level(self, now: float) -> float:
        """Return the rate per weight up to which each workspace is served."""
        asked = sorted(
            (item.recent.value_at(now) / weight, weight)
            for item in self.workspaces.values()
            for weight in [self.weight(item, now)]
        )
        left, weights = self.capacity.at(now), sum(weight for _, weight in asked)
        for rate, weight in asked:
            if rate * weights > left:
                return left / weights
            left -= rate * weight
            weights -= weight
        return UNLIMITED


class FairQueueShares(WeightedRule):
    """Compare each workspace's wait in start-time fair queueing with the wait of all together.

    The queue is a fluid model: pieces of many jobs share calls, so there is no single slot that
    goes to one workspace after another.
    """

    def __init__(self, *, capacity: StageCapacity) -> None:
        super().__init__(capacity=capacity)
        self.virtual_now = 0.0
        self.backlog_s = 0.0
        self.advanced_at: float | None = None
        self.finish_tags: dict[str, float] = {}
        self.busy_weights: dict[str, float] = {}
        self.ends: list[tuple[float, str]] = []

    def charge(self, workspace: str, cost_s: float, now: float) -> bool:
        """Charge a request; only those within the share move the workspace's finish tag."""
        if self.started_at is None:
            self.started_at = now
        capacity = self.capacity.at(now)
        self.advance(capacity, now)
        usage = self.workspaces.setdefault(workspace, Usage())
        weight = self.capacity_share(usage, capacity, now)
        is_learning = now - self.started_at < LEARNING_PERIOD_S
        start = self.virtual_now
        if not is_learning:
            start = max(start, self.finish_tags.get(workspace, 0.0))
        wait_s = start - self.virtual_now
        is_over = wait_s > self.backlog_s / capacity + FAIR_QUEUE_TOLERANCE_S
        usage.recent.add(cost_s, now)
        self.backlog_s += cost_s
        if not is_over:
            self.finish_tags[workspace] = start + cost_s / weight
            self.busy_weights[workspace] = weight
            heapq.heappush(self.ends, (self.finish_tags[workspace], workspace))
            usage.usual.add(cost_s, now)
            self.usual.add(cost_s, now)
        return is_over

    def capacity_share(self, usage: Usage, capacity: float, now: float) -> float:
        """Return the part of the capacity that is due to a workspace, in seconds per second."""
        fleet = max(MIN_WEIGHT, self.usual.value_at(now) / self.observed_share(now))
        return max(MIN_WEIGHT, capacity * self.weight(usage, now) / fleet)

    def advance(self, capacity: float, now: float) -> None:
        """Serve the busy workspaces by their weights until now."""
        left_s = now - (self.advanced_at if self.advanced_at is not None else now)
        self.advanced_at = now
        self.backlog_s = max(0.0, self.backlog_s - capacity * left_s)
        while left_s > 0 and self.ends:
            end, workspace = self.ends[0]
            if end != self.finish_tags[workspace] or workspace not in self.busy_weights:
                heapq.heappop(self.ends)
                continue
            weights = sum(self.busy_weights.values())
            needed_s = max(0.0, end - self.virtual_now) * weights / capacity
            if needed_s > left_s:
                self.virtual_now += left_s * capacity / weights
                return
            self.virtual_now = max(self.virtual_now, end)
            left_s -= needed_s
            heapq.heappop(self.ends)
            del self.busy_weights[workspace]


def with_rule(make: Callable[[StageCapacity], WeightedRule]) -> Callable[[Scheduler], None]:
    """Return a function that replaces the allowances of a scheduler by another rule."""

    def apply(scheduler: Scheduler) -> None:
        capacity = StageCapacity(stages=scheduler.stages, clock=scheduler.clock)
        scheduler.stages.replica_time_s = capacity.replica_time_s  # type: ignore[method-assign]
        scheduler.shares.rule = make(capacity)

    return apply


SHARE_VARIANTS = (
    Variant('max-min shares', with_rule(lambda capacity: MaxMinShares(capacity=capacity))),
    Variant('fair queueing', with_rule(lambda capacity: FairQueueShares(capacity=capacity))),
)
