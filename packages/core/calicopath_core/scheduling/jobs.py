"""Track a job through its stages: which pieces wait, run and have results."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from calicopath_core.scheduling.messages import StageResult

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from calicopath_core.scheduling.messages import PhaseWork, Placed, PlaceJob
    from calicopath_core.scheduling.pacing import PacingClass

Item = TypeVar('Item')

LARGE_RESULT_BYTES = 200_000
"""Size from which a result is kept near the others of its request and is not computed early."""

EARLY_MARGIN_S = 0.5
"""How far ahead of its job's critical path a large result may be computed."""


class ChangedJobs:
    """Collect the jobs that have changed since they were last looked at."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}

    def pop_all(self) -> list[Job]:
        """Remove and return the jobs."""
        if not self.jobs:
            return []
        found = list(self.jobs.values())
        self.jobs.clear()
        return found


class ObservedList(list[Item]):
    """Call `on_change` when an item is replaced; the list never changes its length."""

    def __init__(self, items: Iterable[Item], on_change: Callable[[], None]) -> None:
        super().__init__(items)
        self.on_change = on_change

    def __setitem__(self, index: Any, value: Any) -> None:
        super().__setitem__(index, value)
        self.on_change()


class Piece:
    """Represent one piece of one phase of a job."""

    def __init__(self, *, job: Job, phase: int, index: int, tries: int = 0) -> None:
        self.job = job
        self.phase = phase
        self.index = index
        self.tries = tries
        self.is_dispatched = False
        self.has_fetched_inputs = False

    def set_dispatched(self, is_dispatched: bool) -> None:
        """Record whether the piece is in a call or waits for one."""
        if is_dispatched != self.is_dispatched and not self.is_stale:
            self.job.undispatched[self.phase] += -1 if is_dispatched else 1
        self.is_dispatched = is_dispatched

    @property
    def name(self) -> str:
        """Return a name that is unique to this attempt of this piece."""
        return f'{self.job.id}/{self.phase}/{self.index}/{self.tries}'

    @property
    def phase_work(self) -> PhaseWork:
        """Return the phase that the piece belongs to."""
        return self.job.place.phases[self.phase]

    @property
    def is_stale(self) -> bool:
        """Tell whether the piece is obsolete: its job has ended or recomputes it."""
        made = self.job.pieces.get(self.phase)
        return self.job.ended or made is None or made[self.index] is not self

    @property
    def preferred_failure_domain(self) -> str | None:
        """Return the failure domain to compute the piece in: its siblings', else its inputs'."""
        known = self.job.failure_domains.get(self.phase)
        if known is not None:
            return known
        weights: dict[str, int] = {}
        for item in self.job.inputs_of(self.phase):
            weights[item.failure_domain] = weights.get(item.failure_domain, 0) + item.size
        return max(weights, key=weights.__getitem__, default=None)

    @property
    def has_siblings_in_progress(self) -> bool:
        """Tell whether other pieces of the phase have been dispatched and wait for this one."""
        return self.job.undispatched[self.phase] < self.phase_work.pieces

    def transfer_bytes(self) -> int:
        """Return the bytes moved between failure domains if the piece leaves its preferred one.

        Its inputs are fetched for it alone. Its result is then apart from those of its siblings,
        and every piece of the phases that read it has to fetch it.
        """
        phases = self.job.place.phases
        inputs = sum(item.size for item in self.job.inputs_of(self.phase))
        readers = sum(other.pieces for other in phases if self.phase in other.needs)
        siblings = self.phase_work.pieces > 1 and self.phase in self.job.failure_domains
        return inputs + (self.result_bytes * max(1, readers) if siblings else 0)

    def is_early(self) -> bool:
        """Tell whether the result would only take up space until other phases are done."""
        if self.job.resumed or self.result_bytes < LARGE_RESULT_BYTES or self.phase_work.needs:
            return False
        others = [
            path_s
            for phase, path_s in self.job.critical_path_s.items()
            if phase != self.phase and not self.job.is_phase_done(phase)
        ]
        return (
            max(others, default=0.0)
            > self.job.critical_path_s.get(self.phase, 0.0) + EARLY_MARGIN_S
        )

    def slack_s(self, now: float) -> float:
        """Return how long the piece may wait before its job misses its objective, in seconds."""
        return self.job.objective_at - now - self.job.critical_path_s.get(self.phase, 0.0)

    @property
    def has_missing_inputs(self) -> bool:
        """Tell whether a result that the piece reads is missing or freed."""
        return any(
            result is None or result.freed
            for need in self.phase_work.needs
            for result in self.job.results[need]
        )

    @property
    def result_bytes(self) -> int:
        """Return the expected size of the result."""
        return self.phase_work.result_bytes


class Result:
    """Hold the location of a piece's result; `created_at` is in monotonic seconds."""

    def __init__(
        self, *, handle: str, producer: str, failure_domain: str, size: int, created_at: float
    ) -> None:
        self.handle = handle
        self.created_at = created_at
        self.producer = producer
        self.failure_domain = failure_domain
        self.size = size
        self.freed = False


class Job:
    """Hold the state of a job; times are monotonic seconds.

    `critical_path_s` holds for each phase the expected seconds from its call to the engine's first
    event.
    `undispatched` counts for each phase the pieces that have not been put into a call. Jobs with
    `is_over_allowance` yield to the others: they exceed their workspace's allowance, or the stages
    were expected at their arrival to finish them late. `effective_priority` is the job's own
    priority or a more urgent one. `is_returning` says that the caller was refused and came back as
    told. `pacing_class` says what pacing holds the job back by, `None` until pacing has looked at
    the job. `placement` is the answer that was sent to the box. `is_running` says that the engine
    has read the job's inputs and prompt.

    Structures that are derived from jobs register in `changed_in`, and find a job there after each
    change that concerns them: to its results, calls and pieces that have not been dispatched.
    """

    def __init__(self, *, place: PlaceJob, now: float) -> None:
        self.place = place
        self.arrived_at = now
        self.objective_at = now + place.objective_s
        self.deadline_at = now + place.deadline_s
        self.started: set[int] = set()
        self.changed_in: list[ChangedJobs] = []
        self.results: dict[int, list[Result | None]] = {
            number: self.no_results(phase.pieces) for number, phase in enumerate(place.phases)
        }
        self.pieces: dict[int, list[Piece]] = {}
        self.placed_on: str | None = None
        self.placement: Placed | None = None
        self.placed_at: float | None = None
        self.is_running = False
        self.ended = False
        self.expected_stages_s = 0.0
        self.open_calls = 0
        self.is_adopted = False
        self.is_over_allowance = place.is_over_allowance
        self.effective_priority = place.priority
        self.is_returning = False
        self.tries = 0
        self.critical_path_s: dict[int, float] = {}
        self.failure_domains: dict[int, str] = {}
        self.pacing_class: PacingClass | None = None
        self.undispatched = ObservedList(
            (phase.pieces for phase in place.phases), self.mark_changed
        )

    def no_results(self, pieces: int) -> list[Result | None]:
        """Return the results of a phase that has none yet."""
        return ObservedList([None] * pieces, self.mark_changed)

    def mark_changed(self) -> None:
        """Tell the structures derived from jobs that this one has changed."""
        for changed in self.changed_in:
            changed.jobs[self.id] = self

    def add_open_calls(self, change: int) -> None:
        """Change the number of calls in progress."""
        self.open_calls += change
        self.mark_changed()

    @property
    def order_priority(self) -> int:
        """Return what orders waiting jobs of about the same slack; the smallest goes first.

        It is twice the priority, or one less for a job whose caller came back as told: that goes
        before new jobs of its priority, and after those of a more urgent one.
        """
        return 2 * self.effective_priority - self.is_returning

    @property
    def held_by(self) -> PacingClass | None:
        """Return the class that pacing holds the job back by; `None` once it has started."""
        return None if self.resumed or self.has_progress else self.pacing_class

    @property
    def resumed(self) -> bool:
        """Tell whether an engine failed this request midway, with its caller still waiting."""
        return self.place.resumed

    @property
    def has_progress(self) -> bool:
        """Tell whether the job has calls in progress or results, which a rejection would waste."""
        return self.open_calls > 0 or any(
            item is not None for made in self.results.values() for item in made
        )

    def is_late(self, now: float) -> bool:
        """Tell whether the job's unfinished stages already make it miss its objective."""
        return now > self.late_at()

    def late_at(self) -> float:
        """Return the time after which the unfinished stages make the job miss its objective."""
        left_s = max(
            (
                path_s
                for phase, path_s in self.critical_path_s.items()
                if not self.is_phase_done(phase)
            ),
            default=0.0,
        )
        return self.objective_at - left_s

    def min_remaining_s(self) -> float:
        """Return the least seconds to the engine's first event, as if no other work were queued.

        A phase counts only while some of its pieces have not been dispatched.
        """
        return max(
            (path_s for phase, path_s in self.critical_path_s.items() if self.undispatched[phase]),
            default=0.0,
        )

    def oldest_result_at(self) -> float | None:
        """Return when the oldest result that is still needed was made, `None` without one."""
        times = [
            item.created_at
            for made in self.results.values()
            for item in made
            if item is not None and not item.freed
        ]
        return min(times, default=None)

    def oldest_result_s(self, now: float) -> float:
        """Return the age of the oldest result that is still needed."""
        made_at = self.oldest_result_at()
        return 0.0 if made_at is None else now - made_at

    @property
    def id(self) -> str:
        """Return the job's identifier."""
        return self.place.job

    def is_phase_done(self, phase: int) -> bool:
        """Tell whether every piece of a phase has a result."""
        return None not in self.results[phase]

    @property
    def are_stages_done(self) -> bool:
        """Tell whether every phase is done."""
        return all(self.is_phase_done(phase) for phase in self.results)

    def ready_phases(self) -> list[int]:
        """Return the phases that have not started and whose inputs are complete."""
        return [
            number
            for number, phase in enumerate(self.place.phases)
            if number not in self.started and all(self.is_phase_done(need) for need in phase.needs)
        ]

    def inputs_of(self, phase: int) -> list[Result]:
        """Return the results that a phase reads."""
        return [
            result
            for need in self.place.phases[phase].needs
            for result in self.results[need]
            if result is not None
        ]

    def final_phases(self) -> list[int]:
        """Return the phases that no other phase reads."""
        needed = {need for phase in self.place.phases for need in phase.needs}
        return [number for number in self.results if number not in needed]

    def final_results(self) -> list[Result]:
        """Return the results that the engine reads."""
        return [
            result
            for phase in self.final_phases()
            for result in self.results[phase]
            if result is not None
        ]

    def describe_result(self, phase: int, index: int) -> StageResult | None:
        """Describe a result for another scheduler, or return `None` if there is none."""
        item = self.results[phase][index]
        if item is None:
            return None
        return StageResult(
            phase, index, item.handle, item.producer, item.failure_domain, item.size, item.freed
        )

    def describe_results(self) -> tuple[StageResult, ...]:
        """Describe every result for another scheduler."""
        found = [
            self.describe_result(phase, index)
            for phase, results in self.results.items()
            for index in range(len(results))
        ]
        return tuple(item for item in found if item is not None)

    def cross_domain_bytes(self, results: list[Result], failure_domain: str) -> int:
        """Return how many bytes of some results are in other failure domains."""
        return sum(item.size for item in results if item.failure_domain != failure_domain)

    def all_results(self) -> list[Result]:
        """Return every result computed so far."""
        return [result for made in self.results.values() for result in made if result is not None]

    def are_readers_done(self, phase: int) -> bool:
        """Tell whether some phase reads from `phase` and all that do are done."""
        readers = [number for number, other in enumerate(self.place.phases) if phase in other.needs]
        return bool(readers) and all(self.is_phase_done(reader) for reader in readers)

    def have_readers_fetched(self, phase: int) -> bool:
        """Tell whether some phase reads from `phase` and all that do have fetched their inputs."""
        readers = [number for number, other in enumerate(self.place.phases) if phase in other.needs]
        return bool(readers) and all(self.has_phase_fetched(reader) for reader in readers)

    def has_phase_fetched(self, phase: int) -> bool:
        """Tell whether every piece of a phase has fetched its inputs or is done."""
        if phase not in self.started:
            return False
        return all(
            piece.has_fetched_inputs or self.results[phase][piece.index] is not None
            for piece in self.pieces.get(phase, ())
        )

    def invalidate(self, phase: int) -> None:
        """Discard a phase's results, and those of needed phases that must be recomputed too."""
        self.started.discard(phase)
        self.pieces.pop(phase, None)
        self.failure_domains.pop(phase, None)
        self.results[phase] = self.no_results(len(self.results[phase]))
        self.undispatched[phase] = self.place.phases[phase].pieces
        for need in self.place.phases[phase].needs:
            if any(result is None or result.freed for result in self.results[need]):
                self.invalidate(need)
        for reader, other in enumerate(self.place.phases):
            # Started phases that read these results must not run without them.
            if phase in other.needs and reader in self.started and not self.is_phase_done(reader):
                self.invalidate(reader)

    def lost_phases(self, alive_replicas: Container[str]) -> list[int]:
        """Return the phases with results that are still needed but lost with their replicas."""
        return [
            phase
            for phase, results in self.results.items()
            if not self.have_readers_fetched(phase)
            and any(item is not None and item.producer not in alive_replicas for item in results)
        ]
