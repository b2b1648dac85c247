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
    it should take. A stream is given up when no token comes for `stall_factor` times what is
    usual for the service, between `min_stall_s` and `max_stall_s`. `affinity` sends calls with one
    prompt prefix to one replica.
    """

    admission_margin: float = 1.35
    affinity: bool = False
    max_attempts: int = 4
    attempt_timeout_factor: float = 5.0
    min_attempt_timeout_s: float = 0.1
    stall_factor: float = 4.0
    min_stall_s: float = 0.15
    max_stall_s: float = 0.4
    claim_timeout_s: float = 1.0
    late_answer_timeout_s: float = 10.0


COST_ADMISSION_MARGIN = 2.0
"""Refusing earlier throws away less and answers fewer requests of the highest priority."""


def policy_for(objective: Objective, *, affinity: bool = False) -> ExecutionPolicy:
    """Return the policy of an objective, with or without prefix affinity."""
    if objective is Objective.COST:
        return ExecutionPolicy(admission_margin=COST_ADMISSION_MARGIN, affinity=affinity)
    return ExecutionPolicy(affinity=affinity)
