"""Define the execution settings that depend on the objective of a deployment."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Objective(enum.StrEnum):
    """Name what a deployment optimizes for."""

    ATTAINMENT = 'attainment'
    COST = 'cost'


class ExecutionPolicy(NamedTuple):
    """Hold the limits that apply to stage calls; times are in seconds.

    Admission multiplies a request's estimated response time by `admission_margin` before it
    compares it with the deadline. An attempt at a repeatable stage times out after
    `attempt_timeout_factor` times its expected time, at least `min_attempt_timeout_s`. A stream
    times out when no token arrives for `stall_factor` times the usual gap of the service, between
    `min_stall_s` and `max_stall_s`. `affinity` sends calls with the same prompt prefix to one
    replica. A call that must not be repeated may answer until `late_answer_timeout_s` after the
    request has ended, so that its answer can be recorded.
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
"""A larger margin wastes less work but answers fewer requests of the highest priority."""


def policy_for(objective: Objective, *, affinity: bool = False) -> ExecutionPolicy:
    """Return the execution policy of an objective."""
    if objective is Objective.COST:
        return ExecutionPolicy(admission_margin=COST_ADMISSION_MARGIN, affinity=affinity)
    return ExecutionPolicy(affinity=affinity)
