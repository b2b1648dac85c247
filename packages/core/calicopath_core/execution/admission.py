"""Refuse a request at the door when it cannot be answered in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.structure.outcomes import RefusalReason, Refused

if TYPE_CHECKING:
    from calicopath_core.limits.lag import LoopLag
    from calicopath_core.routing.registry import PoolRegistry
    from calicopath_core.structure.stages import Plan

MIN_RETRY_AFTER_S = 0.1
LAGGING_BOX_RETRY_S = 0.5
"""When to come back to a box that has more to do than its processor can."""

NO_ENDPOINT_RETRY_S = 5.0
"""When to come back while a service has no active endpoint; operators work in seconds."""


class PipelineAdmission:
    """Estimate what a request needs, stage by stage, and compare it with what it has.

    A refused request has cost no endpoint anything.
    """

    def __init__(self, *, pools: PoolRegistry, margin: float, lag: LoopLag) -> None:
        self.pools = pools
        self.margin = margin
        self.lag = lag

    def check(self, plan: Plan, priority: int, now: float, deadline: float) -> Refused | None:
        """Return the refusal of a hopeless request, or nothing."""
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
        """Refuse what the queues would make late; say when they should have drained."""
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
        """Estimate the seconds until a request that comes now is answered.

        A queue in front of a later stage drains while the earlier stages run.
        """
        elapsed_s = 0.0
        for stage in plan.stages:
            pool = self.pools.pool(stage.service)
            elapsed_s = max(elapsed_s, pool.estimated_wait_s(priority))
            elapsed_s += stage.expected_s * max(1.0, pool.slowness())
        return elapsed_s
