"""Hold jobs back while their later stages have enough work, since waiting results only use memory.

When the stages are overloaded, half-done jobs would take up the memory of the replicas that hold
their results, and the calls of other jobs. Holding back too much leaves calls partly empty: a
stage's pieces arrive only after the phases before it have run, so work for at least that time must
be started ahead of the stage. A little more work fills its calls, as far as the jobs have slack to
wait there.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.stages import StageQueue

SLACK_SHARE = 0.15
"""Share of a job's slack for which more work than is in transit may be started ahead of a stage, up
to one call. With 0.8 s of work ahead of every stage, calls of a third stage were filled to 0.8
while jobs waited before the first one: in a burst of all callers (70 engines, replay) the least
urgent kind earned 0.75 of its worth instead of 0.85. With a whole call ahead for all, jobs with 1 s
of slack became late behind it: with half of a stage lost all earned 0.825 instead of 0.841 (six
boxes, replay)."""

RECHECK_INTERVAL_S = 0.02
"""How long the set of held jobs is reused. At 74 boxes calls are decided every 3 ms, and computing
the set each time took two thirds of the scheduler's processor time."""


class Pacing:
    """Decide which jobs wait before their first stage."""

    def __init__(self) -> None:
        self.last_held: set[str] = set()
        self.checked_at = -RECHECK_INTERVAL_S

    def held_jobs(
        self, jobs: Iterable[Job], queues: Mapping[str, StageQueue], now: float
    ) -> set[str]:
        """Return the IDs of the jobs that must wait, computed at most `RECHECK_INTERVAL_S` ago."""
        if now - self.checked_at >= RECHECK_INTERVAL_S:
            self.last_held = self.find_held(jobs, queues)
            self.checked_at = now
        return self.last_held

    def find_held(self, jobs: Iterable[Job], queues: Mapping[str, StageQueue]) -> set[str]:
        """Return the unstarted jobs that would wait at a later stage behind started ones."""
        open_jobs = [job for job in jobs if job.placed_on is None and not job.ended]
        unstarted = [job for job in open_jobs if not job.has_progress and not job.resumed]
        if not unstarted:
            return set()
        started = [job for job in open_jobs if job.has_progress]
        precedences = {precedence(job) for job in unstarted}
        waiting = {item: waiting_pieces(started, item) for item in precedences}
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
    """Tell whether the pieces started ahead of a job give one of its later stages enough work."""
    if not job.allowed_backlog_s:
        job.allowed_backlog_s = max_ahead_s(job, queues)
    return any(
        waiting.get(phase.service, 0)
        > job.allowed_backlog_s[number] * rates.get(phase.service, 0.0)
        for number, phase in enumerate(job.place.phases)
        if phase.needs
    )


class Precedence(NamedTuple):
    """Hold the sort key that orders jobs whatever their slack, lowest first."""

    is_over_allowance: bool
    priority: int


def precedence(job: Job) -> Precedence:
    """Return a job's precedence."""
    return Precedence(job.is_over_allowance, job.effective_priority)


def max_ahead_s(job: Job, queues: Mapping[str, StageQueue]) -> dict[int, float]:
    """Return for each phase how many seconds of full calls may be started ahead of its stage."""
    upstream_durations_s = upstream_duration_s(job, queues)
    total_s = max(job.critical_path_s.values(), default=0.0)
    slack_s = max(0.0, job.place.objective_s - total_s)
    ahead_s = {}
    for number, phase in enumerate(job.place.phases):
        queue = queues.get(phase.service)
        call_s = queue.expected_call_s(queue.spec.batch) if queue is not None else 0.0
        ahead_s[number] = upstream_durations_s[number] + min(call_s, SLACK_SHARE * slack_s)
    return ahead_s


def upstream_duration_s(job: Job, queues: Mapping[str, StageQueue]) -> dict[int, float]:
    """Return for each phase how long the phases before it usually take, in seconds."""
    start_s: dict[int, float] = {}
    for number, phase in enumerate(job.place.phases):
        ends = (start_s[need] + usual_call_s(job, need, queues) for need in phase.needs)
        start_s[number] = max(ends, default=0.0)
    return start_s


def usual_call_s(job: Job, number: int, queues: Mapping[str, StageQueue]) -> float:
    """Return the usual duration of a phase's call, 0 for a phase without pieces."""
    phase = job.place.phases[number]
    queue = queues.get(phase.service)
    return queue.typical_call_s() if queue is not None and phase.pieces else 0.0


def full_batch_rate(queue: StageQueue) -> float:
    """Return the pieces per second that a stage's replicas complete with full calls."""
    batch = queue.spec.batch
    return batch * queue.calls_per_s(queue.replicas.values(), batch)


def waiting_pieces(started: Iterable[Job], max_precedence: Precedence) -> dict[str, int]:
    """Return the uncalled pieces, by service, of the jobs that go no later than a precedence."""
    pieces: dict[str, int] = defaultdict(int)
    for job in started:
        if precedence(job) <= max_precedence:
            for number, phase in enumerate(job.place.phases):
                pieces[phase.service] += job.undispatched[number]
    return pieces
