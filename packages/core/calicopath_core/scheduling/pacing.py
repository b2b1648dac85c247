"""Hold jobs back while their later stages have enough work, since waiting results only use memory.

When the stages are overloaded, half-done jobs would take up the memory of the replicas that hold
their results, and the calls of other jobs. Holding back too much leaves calls partly empty: a
stage's pieces arrive only after the phases before it have run, so work for at least that time must
be started ahead of the stage. A little more work fills its calls, as far as the jobs have slack to
wait there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from calicopath_core.scheduling.backlog import Backlog, JobClass
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
"""How long the set of held classes is reused. At 74 boxes calls are decided every 3 ms; more work
reaches a stage between two calls than the set depends on."""

THRESHOLD_STEP_S = 0.001
"""Step to which the allowed backlog is rounded, so that jobs with about the same slack share a
class. It is about one piece of the fastest stages in use, and a backlog changes by whole pieces.
With 10 ms, outcomes of replays differ from those without rounding."""


class Precedence(NamedTuple):
    """Hold the sort key that orders jobs whatever their slack, lowest first."""

    is_over_allowance: bool
    priority: int


class PacingClass(NamedTuple):
    """Hold what decides whether a job that has not started is held back.

    `allowed_backlog_s` holds for each later stage's service the seconds of full calls that may be
    started ahead of it.
    """

    precedence: Precedence
    allowed_backlog_s: tuple[tuple[str, float], ...]


class Pacing:
    """Decide which jobs wait before their first stage.

    A job gets its class when the set of held classes is next computed, and is not held back before.
    Stages that are free at the moment a job arrives therefore start it: holding new jobs back at
    once lowers the worth from 0.965 to 0.932 while stages are scarce (195 boxes, replay).
    """

    def __init__(self) -> None:
        self.last_held: set[PacingClass] = set()
        self.checked_at = -RECHECK_INTERVAL_S

    def class_of(self, job: Job, queues: Mapping[str, StageQueue]) -> PacingClass:
        """Return the class of a job; jobs of one class are held back together."""
        allowed_backlog_s = self.allowed_backlog_s(job, queues)
        later = tuple(
            (phase.service, allowed_backlog_s[number])
            for number, phase in enumerate(job.place.phases)
            if phase.needs
        )
        return PacingClass(precedence(job), later)

    def allowed_backlog_s(self, job: Job, queues: Mapping[str, StageQueue]) -> dict[int, float]:
        """Return the backlog allowed ahead of each phase, in seconds of full calls."""
        steps = {
            number: round(ahead_s / THRESHOLD_STEP_S)
            for number, ahead_s in max_ahead_s(job, queues).items()
        }
        return {number: count * THRESHOLD_STEP_S for number, count in steps.items()}

    def held_classes(
        self, backlog: Backlog, queues: Mapping[str, StageQueue], now: float
    ) -> set[PacingClass]:
        """Return the classes that must wait, computed at most `RECHECK_INTERVAL_S` ago."""
        if now - self.checked_at >= RECHECK_INTERVAL_S:
            self.last_held = self.find_held(backlog, queues)
            self.checked_at = now
        return self.last_held

    def find_held(self, backlog: Backlog, queues: Mapping[str, StageQueue]) -> set[PacingClass]:
        """Return the classes whose jobs would wait at a later stage behind started ones."""
        for job in backlog.pop_unclassified():
            job.pacing_class = self.class_of(job, queues)
            job.mark_changed()
        unstarted = backlog.unstarted_classes()
        if not unstarted:
            return set()
        waiting = {
            item: backlog.started_pieces(item)
            for item in {pacing_class.precedence for pacing_class in unstarted}
        }
        rates = {name: full_batch_rate(queue) for name, queue in queues.items()}
        return {item for item in unstarted if must_hold(item, waiting[item.precedence], rates)}


def must_hold(
    pacing_class: PacingClass, waiting: Mapping[str, int], rates: Mapping[str, float]
) -> bool:
    """Tell whether the pieces started ahead of a class give one of its later stages enough work."""
    return any(
        waiting.get(service, 0) > allowed_s * rates.get(service, 0.0)
        for service, allowed_s in pacing_class.allowed_backlog_s
    )


def precedence(job: Job | JobClass) -> Precedence:
    """Return the precedence of a job or a class of jobs."""
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
