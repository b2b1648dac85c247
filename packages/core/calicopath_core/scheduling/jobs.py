"""Follow a job through its stages: which pieces wait, run and are done."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from calicopath_core.scheduling.messages import PhaseWork, Place


class Piece:
    """Hold one piece of one phase of a job."""

    def __init__(self, *, job: Job, phase: int, index: int) -> None:
        self.job = job
        self.phase = phase
        self.index = index
        self.tries = 0
        self.fetched = False

    @property
    def work(self) -> PhaseWork:
        """Return the phase that the piece belongs to."""
        return self.job.place.phases[self.phase]

    @property
    def result_bytes(self) -> int:
        """Return about how large the result is."""
        return self.work.result_bytes


class Result:
    """Hold where a piece's result lies; `zone` is its maker's."""

    def __init__(self, *, handle: str, maker: str, zone: str, size: int) -> None:
        self.handle = handle
        self.maker = maker
        self.zone = zone
        self.size = size
        self.freed = False


class Job:
    """Hold a job's results by phase; times are monotonic seconds."""

    def __init__(self, *, place: Place, now: float) -> None:
        self.place = place
        self.arrived_at = now
        self.objective_at = now + place.objective_s
        self.deadline_at = now + place.deadline_s
        self.started: set[int] = set()
        self.results: dict[int, list[Result | None]] = {
            number: [None] * phase.pieces for number, phase in enumerate(place.phases)
        }
        self.pieces: dict[int, list[Piece]] = {}
        self.placed_on: str | None = None
        self.ended = False

    @property
    def id(self) -> str:
        """Return the job's identifier."""
        return self.place.job

    def phase_done(self, phase: int) -> bool:
        """Tell whether every piece of a phase has its result."""
        return all(result is not None for result in self.results[phase])

    @property
    def stages_done(self) -> bool:
        """Tell whether every phase is done."""
        return all(self.phase_done(phase) for phase in self.results)

    def ready_phases(self) -> list[int]:
        """Return the phases not begun whose inputs are all there."""
        return [
            number
            for number, phase in enumerate(self.place.phases)
            if number not in self.started and all(self.phase_done(need) for need in phase.needs)
        ]

    def inputs_of(self, phase: int) -> list[Result]:
        """Return the results that a phase reads."""
        return [
            result
            for need in self.place.phases[phase].needs
            for result in self.results[need]
            if result is not None
        ]

    def last_phases(self) -> list[int]:
        """Return the phases after which no other comes."""
        needed = {need for phase in self.place.phases for need in phase.needs}
        return [number for number in self.results if number not in needed]

    def final_results(self) -> list[Result]:
        """Return the results that the engine reads."""
        return [
            result
            for phase in self.last_phases()
            for result in self.results[phase]
            if result is not None
        ]

    def all_results(self) -> list[Result]:
        """Return every result made so far."""
        return [result for made in self.results.values() for result in made if result is not None]

    def readers_fetched(self, phase: int) -> bool:
        """Tell whether every piece that reads from `phase` has fetched its inputs or is done."""
        readers = [number for number, other in enumerate(self.place.phases) if phase in other.needs]
        return bool(readers) and all(self.phase_fetched(reader) for reader in readers)

    def phase_fetched(self, phase: int) -> bool:
        """Tell whether every piece of a phase has fetched its inputs or is done."""
        if phase not in self.started:
            return False
        return all(
            piece.fetched or self.results[phase][piece.index] is not None
            for piece in self.pieces.get(phase, ())
        )
