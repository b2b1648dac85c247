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

SPARE_SHARE = 0.15
"""The part of a job's time to spare for which more work may be begun ahead of a stage than is on
its way there, up to one call. With 0.8 s of work for every stage, whatever comes before it, calls
of a third stage were filled to 0.8 while jobs waited before the first one: in a burst of everybody
(70 engines, replay) the least urgent kind earned 0.75 of its worth in place of 0.85. With a whole
call for all, jobs that have 1 s to spare became late behind it: where half of a stage was gone all
earned 0.825 in place of 0.841 (six boxes, replay)."""

HOLDS_S = 0.02
"""How long a look at all jobs holds. At 74 boxes calls are decided on every 3 ms, and looking each
time took two thirds of the scheduler's processor time."""


class Pacing:
    """Decide which jobs wait before their first stage."""

    def __init__(self) -> None:
        self.found: set[str] = set()
        self.found_at = -HOLDS_S

    def held(self, jobs: Iterable[Job], queues: Mapping[str, StageQueue], now: float) -> set[str]:
        """Return the jobs that wait, as found a moment ago at most."""
        if now - self.found_at >= HOLDS_S:
            self.found = self.find(jobs, queues)
            self.found_at = now
        return self.found

    def find(self, jobs: Iterable[Job], queues: Mapping[str, StageQueue]) -> set[str]:
        """Return the jobs not begun that would wait at a later stage behind what is begun."""
        open_jobs = [job for job in jobs if job.placed_on is None and not job.ended]
        fresh = [job for job in open_jobs if not job.has_progress and not job.resumed]
        if not fresh:
            return set()
        begun = [job for job in open_jobs if job.has_progress]
        kinds = {precedence(job) for job in fresh}
        waits = {kind: waiting_pieces(begun, kind) for kind in kinds}
        rates = {name: full_rate(queue) for name, queue in queues.items()}
        return {job.id for job in fresh if must_wait(job, waits[precedence(job)], rates, queues)}


def must_wait(
    job: Job,
    waits: Mapping[str, int],
    rates: Mapping[str, float],
    queues: Mapping[str, StageQueue],
) -> bool:
    """Tell whether a later stage of a job has enough to do, by pieces begun ahead of it."""
    if not job.allowed_backlog_s:
        job.allowed_backlog_s = ahead_s(job, queues)
    return any(
        waits.get(phase.service, 0) > job.allowed_backlog_s[number] * rates.get(phase.service, 0.0)
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


def ahead_s(job: Job, queues: Mapping[str, StageQueue]) -> dict[int, float]:
    """Return for each phase how many seconds of full calls may be begun ahead of its stage."""
    reached_s = reach_s(job, queues)
    total_s = max(job.critical_path_s.values(), default=0.0)
    spare_s = max(0.0, job.place.objective_s - total_s)
    found = {}
    for number, phase in enumerate(job.place.phases):
        queue = queues.get(phase.service)
        call_s = queue.expected_call_s(queue.spec.batch) if queue is not None else 0.0
        found[number] = reached_s[number] + min(call_s, SPARE_SHARE * spare_s)
    return found


def reach_s(job: Job, queues: Mapping[str, StageQueue]) -> dict[int, float]:
    """Return for each phase how long the phases before it usually take."""
    found: dict[int, float] = {}
    for number, phase in enumerate(job.place.phases):
        ends = (found[need] + usual_s(job, need, queues) for need in phase.needs)
        found[number] = max(ends, default=0.0)
    return found


def usual_s(job: Job, number: int, queues: Mapping[str, StageQueue]) -> float:
    """Return what a phase's call usually takes; one without pieces takes nothing."""
    phase = job.place.phases[number]
    queue = queues.get(phase.service)
    return queue.typical_call_s() if queue is not None and phase.pieces else 0.0


def full_rate(queue: StageQueue) -> float:
    """Return the pieces a second that a stage's replicas make with full calls."""
    batch = queue.spec.batch
    return batch * queue.calls_per_s(queue.replicas.values(), batch)


def waiting_pieces(begun: Iterable[Job], of: Precedence) -> dict[str, int]:
    """Return the pieces by service that go before a job of some precedence."""
    pieces: dict[str, int] = defaultdict(int)
    for job in begun:
        if precedence(job) <= of:
            for number, phase in enumerate(job.place.phases):
                pieces[phase.service] += job.undispatched[number]
    return pieces
