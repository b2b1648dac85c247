"""Hold jobs back whose later stages have enough to do: results that wait only take room.

Answers more load than the stages can bear: half-done work would take the room of makers and the
calls of others. But what is held back too much leaves calls half empty: a stage's pieces are on
their way for as long as the phases before it take, so that much has to be begun ahead of it, and
one call more for each replica.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.stages import StageQueue

CALLS_AHEAD = 1.0
"""How many full calls for each replica may be begun ahead of a stage, beyond what is on its way
there. With 0.8 s of work for every stage, whatever comes before it, calls of a third stage were
filled to 0.8 while jobs waited before the first one: in a burst of everybody (70 engines, replay)
the least urgent kind earned 0.75 of its worth in place of 0.85, and all 0.971 in place of 0.987."""

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
        fresh = [job for job in open_jobs if not job.begun and not job.resumed]
        if not fresh:
            return set()
        begun = [job for job in open_jobs if job.begun]
        kinds = {precedence(job) for job in fresh}
        waits = {kind: waiting_pieces(begun, kind) for kind in kinds}
        return {job.id for job in fresh if self.must_wait(job, waits[precedence(job)], queues)}

    def must_wait(
        self, job: Job, waits: Mapping[str, int], queues: Mapping[str, StageQueue]
    ) -> bool:
        """Tell whether a later stage of a job has enough to do."""
        reached_s = reach_s(job, queues)
        return any(
            waits.get(phase.service, 0) > enough(queues[phase.service], reached_s[number])
            for number, phase in enumerate(job.place.phases)
            if phase.needs and phase.service in queues
        )


class Precedence(NamedTuple):
    """Say by what a job goes before others in the long run, least first."""

    beyond: bool
    priority: int


def precedence(job: Job) -> Precedence:
    """Return a job's precedence."""
    return Precedence(job.beyond, job.place.priority)


def reach_s(job: Job, queues: Mapping[str, StageQueue]) -> dict[int, float]:
    """Return for each phase how long the phases before it usually take."""
    found: dict[int, float] = {}
    for number, phase in enumerate(job.place.phases):
        found[number] = max(
            (found[need] + usual_s(job, need, queues) for need in phase.needs), default=0.0
        )
    return found


def usual_s(job: Job, number: int, queues: Mapping[str, StageQueue]) -> float:
    """Return what a phase's call usually takes; one without pieces takes nothing."""
    phase = job.place.phases[number]
    queue = queues.get(phase.service)
    return queue.usual_s() if queue is not None and phase.pieces else 0.0


def enough(queue: StageQueue, reached_s: float) -> float:
    """Return how many pieces may be begun ahead of a stage that is reached after some time."""
    call_s = queue.expected_s(queue.spec.batch)
    return (reached_s / call_s + CALLS_AHEAD) * queue.spec.batch * len(queue.replicas)


def waiting_pieces(begun: Iterable[Job], of: Precedence) -> dict[str, int]:
    """Return the pieces by service that go before a job of some precedence."""
    pieces: dict[str, int] = defaultdict(int)
    for job in begun:
        if precedence(job) <= of:
            for number, phase in enumerate(job.place.phases):
                pieces[phase.service] += job.uncalled[number]
    return pieces
