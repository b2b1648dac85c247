"""Give results up when those that read them have done so, and tell boxes what is made and freed.

Answers stages that are short of room: results of finished readers would keep their makers from
making what others wait for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.scheduling.stages import jobs_of

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopath_core.fleet.replicas import ReplicaTable
    from calicopath_core.scheduling.freeing import ResultFreeing
    from calicopath_core.scheduling.interfaces import JobKeeper
    from calicopath_core.scheduling.jobs import Job, Piece, Result
    from calicopath_core.scheduling.stages import StageBatch, StageQueue

AMPLE_ROOM_CALLS = 2
"""A maker with room for so many full calls is not short of it, and inputs that were fetched there
stay until their readers are done. Given up always, a reader that failed had all its inputs made
again: 434 results on one day with faults, 0.02 of worth."""

HAND_OVER_OVERLAP_S = 1.5
"""How long after a hand-over another scheduler's calls may be before ours at a replica, whose turn
then comes later: the one that leaves finishes what it has begun."""

EARLY_FREE_PAUSE_S = 5.0
"""How long inputs are kept until the end of calls after a replica found one gone."""


class ResultRelease:
    """Decide which results are given up.

    Until `alone_from`, in monotonic seconds, another scheduler's calls may be at the replicas too,
    and inputs are kept until a call has ended.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        replicas: ReplicaTable,
        keeper: JobKeeper,
        queues: dict[str, StageQueue],
        freeing: ResultFreeing,
    ) -> None:
        self.clock = clock
        self.replicas = replicas
        self.keeper = keeper
        self.queues = queues
        self.freeing = freeing
        self.sole_scheduler_from = 0.0

    def on_hand_over(self) -> None:
        """Note that another box schedules or has scheduled beside this one until now."""
        self.sole_scheduler_from = max(
            self.sole_scheduler_from, self.clock.monotonic() + HAND_OVER_OVERLAP_S
        )

    def on_input_gone(self, piece: Piece) -> None:
        """Note that a replica found an input of a piece gone; doubt it if that was freed early."""
        if self.was_freed_early(piece):
            self.sole_scheduler_from = max(
                self.sole_scheduler_from, self.clock.monotonic() + EARLY_FREE_PAUSE_S
            )

    def on_fetched(self, batch: StageBatch) -> None:
        """Give the inputs up that every piece reading them has fetched, where room is short."""
        if self.clock.monotonic() < self.sole_scheduler_from:
            return
        for piece in batch.pieces:
            piece.has_fetched_inputs = True
        for job in jobs_of(batch):
            self.free_read(job, fetched=True)

    def free_read(self, job: Job, *, fetched: bool) -> None:
        """Give the results up that all pieces reading them have made use of.

        With `fetched` those are given up too that were only fetched, if their makers are short of
        room: a reader that fails has to have them made again.
        """
        freed = []
        for number, results in job.results.items():
            kept = [item for item in results if item is not None and not item.freed]
            if not kept:
                continue
            if job.are_readers_done(number) or (
                fetched
                and job.have_readers_fetched(number)
                and self.is_room_short(job, number, kept)
            ):
                self.free_soon(kept)
                freed.append(number)
        if freed:
            self.keeper.report_progress(job, (), tuple(freed))

    def free_soon(self, results: list[Result]) -> None:
        """Have results freed at their makers soon."""
        self.freeing.add(results)

    def is_room_short(self, job: Job, phase: int, results: list[Result]) -> bool:
        """Tell whether a maker of a phase's results has no room for its next calls."""
        queue = self.queues.get(job.place.phases[phase].service)
        if queue is None:
            return False
        needed = AMPLE_ROOM_CALLS * queue.spec.batch * job.place.phases[phase].result_bytes
        producers = [queue.replicas.get(item.producer) for item in results]
        now = self.clock.monotonic()
        return any(m is not None and m.room_left(queue.spec, now) < needed for m in producers)

    def was_freed_early(self, piece: Piece) -> bool:
        """Tell whether an input was given up before the piece had it, not lost with its maker."""
        return any(
            item is not None and item.freed and item.producer in self.replicas.replicas
            for need in piece.phase_work.needs
            for item in piece.job.results[need]
        )

    def report_results(self, batch: StageBatch) -> None:
        """Tell the boxes of a call's jobs which results it brought."""
        for job in jobs_of(batch):
            made = [
                job.describe_result(piece.phase, piece.index)
                for piece in batch.pieces
                if piece.job is job and not piece.is_stale
            ]
            results = tuple(item for item in made if item is not None)
            if results:
                self.keeper.report_progress(job, results, ())
