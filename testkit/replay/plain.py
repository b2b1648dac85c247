"""Swap one mechanism of a scheduler for its plain form, to see what it is worth."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.scheduling.admission import Admission, AdmissionDecision
from calicopath_core.scheduling.evenness import Evenness
from calicopath_core.scheduling.fairness import Allowances
from calicopath_core.scheduling.pacing import Pacing, full_batch_rate
from testkit.replay.world import Variant

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.scheduler import Scheduler
    from calicopath_core.scheduling.stages import StageQueue


class NoAllowances(Allowances):
    """Take no workspace for a flood."""

    def charge(self, workspace: str, cost_s: float, now: float) -> bool:
        """Allow everything."""
        return False


class NoPacing(Pacing):
    """Hold no job back before its first stage."""

    def find_held(self, jobs: Iterable[Job], queues: Mapping[str, StageQueue]) -> set[str]:
        """Hold nobody."""
        return set()


FIXED_BACKLOG_S = 0.8


class FixedBacklog(Pacing):
    """Let as many seconds of work be started ahead of every stage, whatever comes before it."""

    def find_held(self, jobs: Iterable[Job], queues: Mapping[str, StageQueue]) -> set[str]:
        """Hold jobs back by that."""
        listed = list(jobs)
        for job in listed:
            for number, phase in enumerate(job.place.phases):
                queue = queues[phase.service]
                job.allowed_backlog_s[number] = (
                    FIXED_BACKLOG_S * queue.pieces_per_s() / full_batch_rate(queue)
                )
        return super().find_held(listed, queues)


class NoAdmission(Admission):
    """Let everybody in."""

    def decide(
        self,
        job: Job,
        others: Iterable[Job],
        queues: Mapping[str, StageQueue],
        engine_s: float,
        now: float,
    ) -> AdmissionDecision:
        """Let a job in."""
        return AdmissionDecision(True, engine_s)


def without_allowances(scheduler: Scheduler) -> None:
    """Take no workspace for a flood."""
    scheduler.allowances = NoAllowances()


def without_pacing(scheduler: Scheduler) -> None:
    """Hold no job back."""
    scheduler.stages.pacing = NoPacing()


def with_fixed_backlog(scheduler: Scheduler) -> None:
    """Hold jobs back by the same seconds of work for every stage."""
    scheduler.stages.pacing = FixedBacklog()


def without_admission(scheduler: Scheduler) -> None:
    """Turn nobody away at the door."""
    scheduler.admission = NoAdmission()


class StrictRanks(Evenness):
    """Let every rank give way to those before it, however it fares."""

    def effective_rank(self, rank: int) -> int:
        """Return the rank itself."""
        return rank


def with_strict_ranks(scheduler: Scheduler) -> None:
    """Let ranks alone decide which kinds give way."""
    scheduler.evenness = StrictRanks()


def without_start_limit(scheduler: Scheduler) -> None:
    """Let any number of runs begin at an engine within a second."""
    for pool in scheduler.engine_pools.values():
        pool.start_limit = None


OURS = Variant('ours')
VARIANTS = (
    OURS,
    Variant('no allowances', without_allowances),
    Variant('no pacing', without_pacing),
    Variant('same ahead', with_fixed_backlog),
    Variant('no door', without_admission),
    Variant('ranks alone', with_strict_ranks),
    Variant('no start bound', without_start_limit),
)
