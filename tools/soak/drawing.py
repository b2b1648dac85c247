"""Draw all steps of a seed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.soak.restarts import draw_odd_statuses, draw_restarts
from tools.soak.schedule import draw_steps

if TYPE_CHECKING:
    from tools.soak.schedule import Step


def draw_all_steps(
    seed: int, *, seconds: float, boxes: int, replicas: int, failure_domains: int
) -> list[Step]:
    """Return the steps of a seed, in the order in which they begin."""
    steps = draw_steps(
        seed, seconds=seconds, boxes=boxes, replicas=replicas, failure_domains=failure_domains
    )
    steps += draw_restarts(seed, seconds=seconds)
    steps += draw_odd_statuses(seed, seconds=seconds)
    return sorted(steps, key=lambda step: step.at_s)
