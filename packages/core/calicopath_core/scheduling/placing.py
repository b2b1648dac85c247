"""Decide in which zone pieces are made.

Answers load that is spread unevenly: results moved between zones are the dearest thing the stages
do, and every piece of a phase fetches all results of the phase before, so a phase of ten pieces in
another zone moves its inputs ten times. A zone is waited for only while that makes no job late.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.fleet.deployment import StageSpec
    from calicopath_core.permits.holder import PermitLender
    from calicopath_core.scheduling.jobs import Piece
    from calicopath_core.scheduling.stage_replicas import StageReplica

MIN_PREFERENCE_BYTES = 150_000
"""A piece that moves less than this is made in any zone: it counts for less than 15 ms of an
engine's time, by what a byte between zones counts there."""


class DomainPreference(NamedTuple):
    """Say in which zone a group of pieces should be made, if any, and how long it may wait."""

    zone: str | None
    slack_s: float


NO_PREFERENCE = DomainPreference(None, 0.0)


def preference_of(piece: Piece, now: float) -> DomainPreference:
    """Return where a piece, and with it its group, should be made."""
    zone = piece.preferred_failure_domain
    if zone is None or piece.job.resumed or piece.transfer_bytes() < MIN_PREFERENCE_BYTES:
        return NO_PREFERENCE
    return DomainPreference(zone, piece.slack_s(now))


def may_run_in(preference: DomainPreference, zone: str, waits: Mapping[str, float]) -> bool:
    """Tell whether pieces may be made in a zone: at home, or elsewhere if that can't wait.

    `waits` holds the seconds until a replica of a zone is free. A job that is late already has
    nothing to lose by the wait.
    """
    if preference.zone is None or preference.zone == zone or preference.zone not in waits:
        return True
    return 0 < preference.slack_s < waits[preference.zone]


def zone_waits(
    replicas: Iterable[StageReplica], spec: StageSpec, permits: PermitLender, now: float
) -> dict[str, float]:
    """Return the zones in which a replica is worth waiting for, and for how many seconds."""
    found: dict[str, float] = {}
    for item in replicas:
        if item.unavailable_until > now or item.is_slow(now) or item.is_overdue(now):
            continue
        if item.room_left(spec, now) <= 0:
            continue
        zone = item.replica.zone
        wait_s = max(item.busy_for_s(now), permits.opens_in_s(item.replica))
        found[zone] = min(found.get(zone, math.inf), wait_s)
    return found
