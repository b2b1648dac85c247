"""Define the policies that the bench compares: naive, ours, and ours with one change."""

from __future__ import annotations

from typing import NamedTuple

from calicopath_core.execution.policy import ExecutionPolicy, Objective, policy_for


class Variant(NamedTuple):
    """Hold the settings of one policy; `retry_share` is the retries earned per success."""

    name: str
    is_naive: bool = False
    selector: str = 'expected'
    limit: str = 'gradient'
    policy: ExecutionPolicy = policy_for(Objective.ATTAINMENT)
    checks_admission: bool = True
    retry_share: float = 0.1


DEFAULT_POLICY = policy_for(Objective.ATTAINMENT)
NAIVE = Variant('naive', is_naive=True)
CALICOPATH = Variant('calicopath')
COST = Variant('cost', policy=policy_for(Objective.COST))
ABLATIONS = (
    Variant('affinity', policy=DEFAULT_POLICY._replace(affinity=True)),
    Variant('margin-1.0', policy=DEFAULT_POLICY._replace(admission_margin=1.0)),
    Variant('margin-1.2', policy=DEFAULT_POLICY._replace(admission_margin=1.2)),
    Variant('margin-1.5', policy=DEFAULT_POLICY._replace(admission_margin=1.5)),
    Variant('random', selector='random'),
    Variant('two-choices', selector='two-choices'),
    Variant('least-loaded', selector='least-loaded'),
    Variant('no-limit', limit='none'),
    Variant('fixed-limit', limit='fixed'),
    Variant('no-door', checks_admission=False),
    Variant('fixed-stall', policy=DEFAULT_POLICY._replace(stall_factor=1000.0)),
    Variant('retry-freely', retry_share=1000.0),
)
VARIANTS = {item.name: item for item in (NAIVE, CALICOPATH, COST, *ABLATIONS)}
