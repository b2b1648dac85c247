"""Decide in which failure domain pieces are made.

Answers load that is spread unevenly: results moved between failure domains are the dearest thing
the stages do, and every piece of a phase fetches all results of the phase before, so a phase of ten
pieces in another failure domain moves its inputs ten times. A failure domain is waited for only
while that makes no job late.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.fleet.deployment import StageSpec
    from calicopath_core.permits.holder import PermitIssuer
    from calicopath_core.scheduling.jobs import Piece
    from calicopath_core.scheduling.stage_replicas import StageReplica

MIN_PREFERENCE_BYTES = 150_000
"""A piece that moves less than this is made in any failure domain: it counts for less than 15 ms of
an engine's time, by what a byte between failure domains counts there."""


class DomainPreference(NamedTuple):
    """Say in which failure domain, if any, pieces should be made, and how long they may wait."""

    failure_domain: str | None
    slack_s: float


NO_PREFERENCE = DomainPreference(None, 0.0)


def preference_of(piece: Piece, now: float) -> DomainPreference:
    """Return where a piece, and with it its group, should be made."""
    failure_domain = piece.preferred_failure_domain
    if failure_domain is None or piece.job.resumed or piece.transfer_bytes() < MIN_PREFERENCE_BYTES:
        return NO_PREFERENCE
    return DomainPreference(failure_domain, piece.slack_s(now))


def may_run_in(
    preference: DomainPreference, failure_domain: str, waits: Mapping[str, float]
) -> bool:
    """Tell whether pieces may be made in a failure domain: at home, or elsewhere if that can't
    wait.

    `waits` holds the seconds until a replica of a failure domain is free. A job that is late
    already has nothing to lose by the wait.
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
    """Return the failure domains worth waiting for, and for how many seconds."""
    found: dict[str, float] = {}
    for item in replicas:
        if item.unavailable_until > now or item.is_slow(now) or item.is_overdue(now):
            continue
        if item.room_left(spec, now) <= 0:
            continue
        failure_domain = item.replica.failure_domain
        wait_s = max(item.busy_for_s(now), permits.available_in_s(item.replica))
        found[failure_domain] = min(found.get(failure_domain, math.inf), wait_s)
    return found
