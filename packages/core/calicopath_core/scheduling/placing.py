"""Decide in which failure domain pieces run.

Moving results between failure domains is the largest cost of stages when load is uneven: every
piece fetches all results of the previous phase, so a phase of ten pieces in another failure domain
moves its inputs ten times. Pieces wait for their preferred failure domain only while that does not
make their job late.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.fleet.deployment import StageSpec
    from calicopath_core.permits.issuer import PermitIssuer
    from calicopath_core.scheduling.jobs import Piece
    from calicopath_core.scheduling.stage_replicas import StageReplica

MIN_PREFERENCE_BYTES = 150_000
"""Transfer size below which a piece runs in any failure domain: it costs less than 15 ms of an
engine's time, by the engines' cost of a byte between failure domains."""


class DomainPreference(NamedTuple):
    """Hold the preferred failure domain of a group of pieces, if any, and its slack in seconds."""

    failure_domain: str | None
    slack_s: float


def preferred_failure_domain(piece: Piece) -> str | None:
    """Return the failure domain that a piece waits for, `None` if little is moved to others."""
    failure_domain = piece.preferred_failure_domain
    if failure_domain is None or piece.job.resumed or piece.transfer_bytes() < MIN_PREFERENCE_BYTES:
        return None
    return failure_domain


def may_run_in(
    preference: DomainPreference, failure_domain: str, waits: Mapping[str, float]
) -> bool:
    """Tell whether pieces may run in a failure domain other than the one that they prefer.

    They may if waiting for the preferred one would make their job late, or if it has no usable
    replica. Also true for the preferred failure domain itself and without a preference.

    `waits` holds the seconds until a replica of a failure domain is free. A late job keeps waiting
    for its preferred failure domain, because it misses its objective anyway.
    """
    if (
        preference.failure_domain is None
        or preference.failure_domain == failure_domain
        or preference.failure_domain not in waits
    ):
        return True
    return 0 < preference.slack_s < waits[preference.failure_domain]


def failure_domain_waits(
    replicas: Iterable[StageReplica], spec: StageSpec, permits: PermitIssuer, now: float
) -> dict[str, float]:
    """Return the failure domains with usable replicas, and the seconds until one is free."""
    found: dict[str, float] = {}
    for item in replicas:
        if item.unavailable_until > now or item.is_slow(now) or item.is_overdue(now):
            continue
        if item.free_result_bytes(spec, now) <= 0:
            continue
        failure_domain = item.replica.failure_domain
        wait_s = max(item.busy_for_s(now), permits.available_in_s(item.replica))
        found[failure_domain] = min(found.get(failure_domain, math.inf), wait_s)
    return found
