"""Refuse requests that cannot be answered before their deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.structure.outcomes import RefusalReason, Refused

if TYPE_CHECKING:
    from calicopath_core.limits.lag import LoopLag
    from calicopath_core.routing.registry import PoolRegistry
    from calicopath_core.structure.stages import Plan

MIN_RETRY_AFTER_S = 0.1
LAGGING_BOX_RETRY_S = 0.5
"""Retry delay given out by a box whose event loop lags."""

NO_ENDPOINT_RETRY_S = 5.0
"""Retry delay while a service has no active endpoint; operators change that within seconds."""


class PipelineAdmission:
    """Decide whether to admit a request, by comparing its estimated time with its deadline.

    The decision makes no call, so that a refused request costs the endpoints nothing.
    """

    def __init__(self, *, pools: PoolRegistry, margin: float, lag: LoopLag) -> None:
        self.pools = pools
        self.margin = margin
        self.lag = lag

    def check(self, plan: Plan, priority: int, now: float, deadline: float) -> Refused | None:
        """Return the refusal of a request that cannot meet its deadline, or `None` to admit it.

        `now` and `deadline` are on the monotonic clock, in seconds.
        """
        if now >= deadline:
            return Refused(RefusalReason.DEADLINE_PASSED, 'the deadline has passed', None)
        unloaded_s = sum(stage.expected_s for stage in plan.stages)
        if now + unloaded_s > deadline:
            return Refused(
                RefusalReason.DEADLINE_TOO_SHORT,
                f'the stages need {unloaded_s:.3f} s when idle',
                None,
            )
        for stage in plan.stages:
            if not self.pools.pool(stage.service).active():
                return Refused(
                    RefusalReason.NO_ENDPOINT,
                    f'service {stage.service!r} has no active endpoint',
                    NO_ENDPOINT_RETRY_S,
                )
        return self.check_load(plan, priority, now, deadline)

    def check_load(self, plan: Plan, priority: int, now: float, deadline: float) -> Refused | None:
        """Refuse a request that the current load would make late; suggest when to retry."""
        if self.lag.is_too_high:
            detail = f'this box is {self.lag.value_s:.3f} s behind'
            return Refused(RefusalReason.OVERLOADED, detail, LAGGING_BOX_RETRY_S)
        needed_s = self.estimated_response_s(plan, priority)
        excess_s = now + needed_s * self.margin - deadline
        if excess_s <= 0:
            return None
        return Refused(
            RefusalReason.OVERLOADED,
            f'{needed_s:.3f} s would be needed',
            max(MIN_RETRY_AFTER_S, excess_s),
        )

    def estimated_response_s(self, plan: Plan, priority: int) -> float:
        """Return the estimated response time of a request that arrives now, in seconds.

        The queue of a later stage drains while the earlier stages run, so waits overlap with them.
        """
        elapsed_s = 0.0
        for stage in plan.stages:
            pool = self.pools.pool(stage.service)
            elapsed_s = max(elapsed_s, pool.estimated_wait_s(priority))
            elapsed_s += stage.expected_s * max(1.0, pool.slowness())
        return elapsed_s
