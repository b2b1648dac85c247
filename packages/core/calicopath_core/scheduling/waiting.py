"""Decide in what order pieces wait for calls.

Answers load at its worst: a burst of any kind, stages that lost replicas, the seconds after
everything was killed. More waits then than can be made in time, and the order decides who is late.
Pieces of one phase of a job are alike but for their number, so they wait, and are looked at, as one
group: at 195 boxes that takes a scheduler 3.4 ms of processor time a job in place of 9.1 (replay).
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from calicopath_core.scheduling.jobs import Job, Piece

SLACK_STEP_S = 0.4
"""Jobs whose time to spare differs by less than about a call are told apart by rank."""

OLD_RESULT_AGE_S = 1.2
"""How old a result may grow before what reads it goes first: the users' results live for 4 s, and
the stages that follow take about half of that."""


class Rank(NamedTuple):
    """Hold by what a group is served, least first."""

    tier: int
    slack_step: int
    priority: int
    order_at: float


class PieceGroup:
    """Hold the pieces of one phase of a job that wait; `since` is when the first came to wait."""

    def __init__(self, *, job: Job, phase: int, waiting_since: float) -> None:
        self.job = job
        self.phase = phase
        self.waiting_since = waiting_since
        self.pieces: list[Piece] = []

    @property
    def first(self) -> Piece:
        """Return a piece that stands for all."""
        return self.pieces[0]

    @property
    def result_bytes(self) -> int:
        """Return about how large each piece's result is."""
        return self.job.place.phases[self.phase].result_bytes


class WaitingPieces:
    """Hold the pieces that wait for one service."""

    def __init__(self) -> None:
        self.groups: dict[tuple[str, int], PieceGroup] = {}
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def add(self, piece: Piece, now: float) -> None:
        """Let a piece wait."""
        key = (piece.job.id, piece.phase)
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = PieceGroup(
                job=piece.job, phase=piece.phase, waiting_since=now
            )
        group.pieces.append(piece)
        self.count += 1

    def remove(self, pieces: Iterable[Piece]) -> None:
        """Take pieces out that are put into a call."""
        for piece in pieces:
            key = (piece.job.id, piece.phase)
            group = self.groups[key]
            group.pieces.remove(piece)
            self.count -= 1
            if not group.pieces:
                del self.groups[key]

    def drop_stale(self, job: Job) -> None:
        """Forget the pieces of a job that is over, or that it makes anew."""
        for phase in range(len(job.place.phases)):
            group = self.groups.get((job.id, phase))
            if group is not None:
                self.remove([piece for piece in group.pieces if piece.is_stale])

    def ready(self, held: Container[str], now: float) -> list[RankedGroup]:
        """Return the groups that may be called now in order; jobs that are `held` are left out."""
        found = [
            RankedGroup(rank(group.first, now), number, group)
            for number, group in enumerate(self.groups.values())
            if group.job.id not in held and not group.first.is_early()
        ]
        found.sort()
        return found


class RankedGroup(NamedTuple):
    """Hold a waiting group and by what it is served; `number` tells groups apart that are alike."""

    rank: Rank
    number: int
    group: PieceGroup


def update_ranking(
    ranked: list[RankedGroup], dispatched: Iterable[Piece], now: float
) -> list[RankedGroup]:
    """Bring an order up to date after pieces were taken; return what is left of their groups.

    `ranked` is changed in place.
    """
    changed_keys = {(piece.job.id, piece.phase) for piece in dispatched}
    changed = []
    for item in [one for one in ranked if (one.group.job.id, one.group.phase) in changed_keys]:
        ranked.remove(item)
        if item.group.pieces:
            reranked = RankedGroup(rank(item.group.first, now), item.number, item.group)
            bisect.insort(ranked, reranked)
            changed.append(reranked)
    return changed


def rank(piece: Piece, now: float) -> Rank:
    """Return by what pieces are served: jobs in time by what time they have to spare, then rank.

    While there is time for all, those with least to spare go first whatever their rank; when there
    is not, all have little to spare and rank decides. Before them go jobs whose stream broke
    midway, since their callers see the pause; pieces whose siblings are made or being made, since
    those take room until the last one is (without this the mean worth of days with faults was
    0.03 lower); and jobs whose results would soon run out and have to be made again. After them
    go jobs beyond their workspace's allowance, and then jobs that are late or will be: were they to
    go first, as those with least to spare, a backlog of some seconds would make every job late that
    comes after it.
    """
    job = piece.job
    if piece.has_siblings_in_progress or job.oldest_result_s(now) > OLD_RESULT_AGE_S:
        return Rank(0, 0, 0, job.arrived_at)
    return rank_job(job, piece.slack_s(now))


def rank_job(job: Job, slack_s: float) -> Rank:
    """Return by what a job is served that has some time to spare."""
    if job.resumed:
        return Rank(0, 0, 0, job.arrived_at)
    if slack_s < 0:
        return Rank(3, 0, job.effective_priority, job.objective_at)
    tier = 2 if job.is_over_allowance else 1
    return Rank(tier, int(slack_s / SLACK_STEP_S), job.effective_priority, job.objective_at)
