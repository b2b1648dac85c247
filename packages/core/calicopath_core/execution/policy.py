"""Gather the settings of execution that a deployment may weigh."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Objective(enum.StrEnum):
    """Say what a deployment weighs more."""

    ATTAINMENT = 'attainment'
    COST = 'cost'


class ExecutionPolicy(NamedTuple):
    """Hold the figures by which stages are called; times are in seconds.

    `door_margin` multiplies the estimate of the time a request needs before it is compared
    with the time it has. A try at a repeatable stage is given up after `try_factor` times what
    it should take, a stream after `stall_s` without a token.
    """

    door_margin: float = 1.0
    max_attempts: int = 4
    try_factor: float = 5.0
    min_try_s: float = 0.1
    stall_s: float = 0.4
    claim_timeout_s: float = 1.0
    late_answer_s: float = 10.0


def policy_for(objective: Objective) -> ExecutionPolicy:
    """Return the policy of an objective."""
    if objective is Objective.COST:
        return ExecutionPolicy(door_margin=1.2)
    return ExecutionPolicy()
