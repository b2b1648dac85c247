"""Hold jobs back whose later stages have enough to do: results that wait only take room.

Answers more load than the stages can bear: half-done work would take the room of makers and the
calls of others. But what is held back too much leaves calls half empty: a stage's pieces are on
their way for as long as the phases before it take, so that much has to be begun ahead of it, and
a little more to fill its calls, as far as the jobs have time to wait there.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.stages import StageQueue

SLACK_SHARE = 0.15
"""The part of a job's time to spare for which more work may be begun ahead of a stage than is on
its way there, up to one call. With 0.8 s of work for every stage, whatever comes before it, calls
of a third stage were filled to 0.8 while jobs waited before the first one: in a burst of everybody
(70 engines, replay) the least urgent kind earned 0.75 of its worth in place of 0.85. With a whole
call for all, jobs that have 1 s to spare became late behind it: where half of a stage was gone all
earned 0.825 in place of 0.841 (six boxes, replay)."""

RECHECK_INTERVAL_S = 0.02
"""How long a look at all jobs holds. At 74 boxes calls are decided on every 3 ms, and looking each
time took two thirds of the scheduler's processor time."""


class Pacing:
    """Decide which jobs wait before their first stage."""

    def __init__(self) -> None:
        self.last_held: set[str] = set()
        self.checked_at = -RECHECK_INTERVAL_S

    def held_jobs(
        self, jobs: Iterable[Job], queues: Mapping[str, StageQueue], now: float
    ) -> set[str]:
        """Return the jobs that wait, as found a moment ago at most."""
        if now - self.checked_at >= RECHECK_INTERVAL_S:
            self.last_held = self.find_held(jobs, queues)
            self.checked_at = now
        return self.last_held

    def find_held(self, jobs: Iterable[Job], queues: Mapping[str, StageQueue]) -> set[str]:
        """Return the jobs not begun that would wait at a later stage behind what is begun."""
        open_jobs = [job for job in jobs if job.placed_on is None and not job.ended]
        unstarted = [job for job in open_jobs if not job.has_progress and not job.resumed]
        if not unstarted:
            return set()
        begun = [job for job in open_jobs if job.has_progress]
        precedences = {precedence(job) for job in unstarted}
        waiting = {kind: waiting_pieces(begun, kind) for kind in precedences}
        rates = {name: full_batch_rate(queue) for name, queue in queues.items()}
        return {
            job.id for job in unstarted if must_hold(job, waiting[precedence(job)], rates, queues)
        }


def must_hold(
    job: Job,
    waiting: Mapping[str, int],
    rates: Mapping[str, float],
    queues: Mapping[str, StageQueue],
) -> bool:
    """Tell whether a later stage of a job has enough to do, by pieces begun ahead of it."""
    if not job.allowed_backlog_s:
        job.allowed_backlog_s = max_ahead_s(job, queues)
    return any(
        waiting.get(phase.service, 0)
        > job.allowed_backlog_s[number] * rates.get(phase.service, 0.0)
        for number, phase in enumerate(job.place.phases)
        if phase.needs
    )


class Precedence(NamedTuple):
    """Say by what a job goes before others in the long run, least first."""

    beyond: bool
    priority: int


def precedence(job: Job) -> Precedence:
    """Return a job's precedence."""
    return Precedence(job.is_over_allowance, job.effective_priority)


def max_ahead_s(job: Job, queues: Mapping[str, StageQueue]) -> dict[int, float]:
    """Return for each phase how many seconds of full calls may be begun ahead of its stage."""
    upstream_durations_s = upstream_duration_s(job, queues)
    total_s = max(job.critical_path_s.values(), default=0.0)
    slack_s = max(0.0, job.place.objective_s - total_s)
    found = {}
    for number, phase in enumerate(job.place.phases):
        queue = queues.get(phase.service)
        call_s = queue.expected_call_s(queue.spec.batch) if queue is not None else 0.0
        found[number] = upstream_durations_s[number] + min(call_s, SLACK_SHARE * slack_s)
    return found


def upstream_duration_s(job: Job, queues: Mapping[str, StageQueue]) -> dict[int, float]:
    """Return for each phase how long the phases before it usually take."""
    found: dict[int, float] = {}
    for number, phase in enumerate(job.place.phases):
        ends = (found[need] + usual_call_s(job, need, queues) for need in phase.needs)
        found[number] = max(ends, default=0.0)
    return found


def usual_call_s(job: Job, number: int, queues: Mapping[str, StageQueue]) -> float:
    """Return what a phase's call usually takes; one without pieces takes nothing."""
    phase = job.place.phases[number]
    queue = queues.get(phase.service)
    return queue.typical_call_s() if queue is not None and phase.pieces else 0.0


def full_batch_rate(queue: StageQueue) -> float:
    """Return the pieces a second that a stage's replicas make with full calls."""
    batch = queue.spec.batch
    return batch * queue.calls_per_s(queue.replicas.values(), batch)


def waiting_pieces(begun: Iterable[Job], limit: Precedence) -> dict[str, int]:
    """Return the pieces by service that go before a job of some precedence."""
    pieces: dict[str, int] = defaultdict(int)
    for job in begun:
        if precedence(job) <= limit:
            for number, phase in enumerate(job.place.phases):
                pieces[phase.service] += job.undispatched[number]
    return pieces
