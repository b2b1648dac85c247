"""Decide which pieces go first, and where one may be made."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from calicopath_core.scheduling.jobs import Piece
    from calicopath_core.scheduling.stage_replicas import StageReplica

WORTH_WAITING_BYTES = 150_000
"""A piece that moves less than this is made in any zone. Every piece of a phase fetches all results
of the phase before, so a phase of ten pieces in another zone moves its inputs ten times."""

SPARE_STEP_S = 0.4
"""Jobs whose time to spare differs by less than about a call are told apart by rank."""

OLD_RESULT_S = 1.2
"""How old a result may grow before what reads it goes first: the users' results live for 4 s, and
the stages that follow take about half of that."""


def groups(pieces: list[Piece]) -> list[list[Piece]]:
    """Return pieces by job and phase, in order."""
    found: dict[tuple[str, int], list[Piece]] = {}
    for piece in pieces:
        found.setdefault((piece.job.id, piece.phase), []).append(piece)
    return list(found.values())


def may_go(piece: Piece, target: StageReplica, homes: Mapping[str, float], now: float) -> bool:
    """Tell whether a piece may be made at a replica: at home, or elsewhere if that can't wait.

    `homes` holds the seconds until a replica of a zone is free. A job that is late already has
    nothing to lose by the wait.
    """
    home = piece.home
    if home is None or home == target.replica.zone or home not in homes:
        return True
    if piece.job.resumed or piece.moved_bytes() < WORTH_WAITING_BYTES:
        return True
    return 0 < piece.slack_s(now) < homes[home]


def order(piece: Piece, now: float) -> tuple[int, int, int, float]:
    """Return by what pieces are served: jobs in time by what time they have to spare, then rank.

    While there is time for all, those with least to spare go first whatever their rank; when there
    is not, all have little to spare and rank decides. Before them go jobs whose stream broke
    midway, since their callers see the pause; pieces whose siblings are made or being made, since
    those take room until the last one is (without this the mean worth of days with faults was
    0.03 lower); and jobs whose results would soon run out and have to be made again. After them
    go jobs that are late or will be: were they to go first, as those with least to spare, a
    backlog of some seconds would make every job late that comes after it.
    """
    job = piece.job
    if job.resumed or piece.has_siblings_ahead or job.oldest_result_s(now) > OLD_RESULT_S:
        return (0, 0, 0, job.arrived_at)
    if piece.slack_s(now) < 0:
        return (2, 0, job.place.priority, job.objective_at)
    spare = max(0, int(piece.slack_s(now) / SPARE_STEP_S))
    return (1, spare, job.place.priority, job.objective_at)
