"""Hold jobs back whose later stages have enough to do: results that wait only take room."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.stages import StageQueue

AHEAD_S = 0.8
"""How much work of begun jobs may wait for a stage before more is sent its way: two calls, so that
no replica falls idle while a first stage works."""

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
        waits = {kind: waits_s(begun, kind, queues) for kind in kinds}
        return {job.id for job in fresh if self.must_wait(job, waits[precedence(job)])}

    def must_wait(self, job: Job, waits: Mapping[str, float]) -> bool:
        """Tell whether a later stage of a job has enough to do."""
        return any(
            waits.get(phase.service, 0.0) > AHEAD_S for phase in job.place.phases if phase.needs
        )


class Precedence(NamedTuple):
    """Say by what a job goes before others in the long run, least first."""

    beyond: bool
    priority: int


def precedence(job: Job) -> Precedence:
    """Return a job's precedence."""
    return Precedence(job.beyond, job.place.priority)


def waits_s(
    begun: Iterable[Job], of: Precedence, queues: Mapping[str, StageQueue]
) -> dict[str, float]:
    """Return the seconds of work by service that go before a job of some precedence."""
    pieces: dict[str, int] = defaultdict(int)
    for job in begun:
        if precedence(job) <= of:
            for number, phase in enumerate(job.place.phases):
                pieces[phase.service] += job.uncalled[number]
    return {
        service: count / max(0.1, queues[service].rate())
        for service, count in pieces.items()
        if service in queues
    }
