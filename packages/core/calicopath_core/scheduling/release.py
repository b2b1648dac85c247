"""Free results once they are read, and report new and freed results to the boxes of jobs.

Results that nobody reads any more would take the space that their producers need for other results.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.scheduling.stages import jobs_of

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopath_core.fleet.replicas import ReplicaTable
    from calicopath_core.scheduling.freeing import ResultFreeing
    from calicopath_core.scheduling.interfaces import JobController
    from calicopath_core.scheduling.jobs import Job, Piece, Result
    from calicopath_core.scheduling.stages import StageBatch, StageQueue

AMPLE_SPACE_CALLS = 2
"""Full calls that a producer must have space for to keep fetched inputs until their readers are
done. If inputs were always freed once fetched, a failed reader would need all of them recomputed:
434 results on one day with faults, a score lower by 0.02."""

HAND_OVER_OVERLAP_S = 1.5
"""How long after a hand-over another scheduler's calls may delay ours at a replica: the one that
leaves finishes the calls that it has started."""

EARLY_FREE_PAUSE_S = 5.0
"""How long inputs are kept until calls end, after a replica missed one that was freed early."""


class ResultRelease:
    """Decide which results are freed.

    Until `sole_scheduler_from`, in monotonic seconds, another scheduler's calls may be at the
    replicas too, and inputs are kept until a call has ended.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        replicas: ReplicaTable,
        job_controller: JobController,
        queues: dict[str, StageQueue],
        freeing: ResultFreeing,
    ) -> None:
        self.clock = clock
        self.replicas = replicas
        self.job_controller = job_controller
        self.queues = queues
        self.freeing = freeing
        self.sole_scheduler_from = 0.0

    def on_hand_over(self) -> None:
        """Record that another box schedules, or did until now."""
        self.sole_scheduler_from = max(
            self.sole_scheduler_from, self.clock.monotonic() + HAND_OVER_OVERLAP_S
        )

    def on_input_gone(self, piece: Piece) -> None:
        """Stop freeing inputs early for a while if a replica missed one that was freed."""
        if self.was_freed_early(piece):
            self.sole_scheduler_from = max(
                self.sole_scheduler_from, self.clock.monotonic() + EARLY_FREE_PAUSE_S
            )

    def on_fetched(self, batch: StageBatch) -> None:
        """Free the inputs that all their readers have fetched, where space is short."""
        if self.clock.monotonic() < self.sole_scheduler_from:
            return
        for piece in batch.pieces:
            piece.has_fetched_inputs = True
        for job in jobs_of(batch):
            self.free_read(job, fetched=True)

    def free_read(self, job: Job, *, fetched: bool) -> None:
        """Free the results whose readers are all done.

        With `fetched`, also free those that all readers have fetched, if their producers are short
        of space; if a reader fails, they have to be recomputed.
        """
        freed = []
        for number, results in job.results.items():
            kept = [item for item in results if item is not None and not item.freed]
            if not kept:
                continue
            if job.are_readers_done(number) or (
                fetched
                and job.have_readers_fetched(number)
                and self.is_space_short(job, number, kept)
            ):
                self.free_soon(kept)
                freed.append(number)
        if freed:
            job.mark_changed()
            self.job_controller.report_progress(job, (), tuple(freed))

    def free_soon(self, results: list[Result]) -> None:
        """Free results at their producers soon."""
        self.freeing.add(results)

    def is_space_short(self, job: Job, phase: int, results: list[Result]) -> bool:
        """Tell whether a producer of a phase's results is short of space for its next calls."""
        queue = self.queues.get(job.place.phases[phase].service)
        if queue is None:
            return False
        needed = AMPLE_SPACE_CALLS * queue.spec.batch * job.place.phases[phase].result_bytes
        producers = [queue.replicas.get(item.producer) for item in results]
        now = self.clock.monotonic()
        return any(
            m is not None and m.free_result_bytes(queue.spec, now) < needed for m in producers
        )

    def was_freed_early(self, piece: Piece) -> bool:
        """Tell whether an input was freed before the piece read it, not lost with its producer."""
        return any(
            item is not None and item.freed and item.producer in self.replicas.replicas
            for need in piece.phase_work.needs
            for item in piece.job.results[need]
        )

    def report_results(self, batch: StageBatch) -> None:
        """Report the results of a call to the boxes of its jobs."""
        for job in jobs_of(batch):
            made = [
                job.describe_result(piece.phase, piece.index)
                for piece in batch.pieces
                if piece.job is job and not piece.is_stale
            ]
            results = tuple(item for item in made if item is not None)
            if results:
                self.job_controller.report_progress(job, results, ())
