"""Make the calls to stages that the queues choose, and process their results."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from calicopath_core.backends.base import BackendError, ConnectionBroken, NotStarted
from calicopath_core.crashes.probes import ReplicaCrashProbe
from calicopath_core.fleet.notices import ReplicaExcluded
from calicopath_core.fleet.pace import PaceEstimates
from calicopath_core.permits.issuer import PermitIssuer, UnlimitedIssuer
from calicopath_core.scheduling.freeing import ResultFreeing
from calicopath_core.scheduling.interfaces import PieceCall, PieceResult
from calicopath_core.scheduling.jobs import Job, Piece, Result
from calicopath_core.scheduling.overdue import REPORT_TIMEOUT_S, AnswerLost, CallMonitor
from calicopath_core.scheduling.pacing import Pacing
from calicopath_core.scheduling.release import ResultRelease
from calicopath_core.scheduling.stages import StageQueue, jobs_of

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from calicopath_core.clock import Clock
    from calicopath_core.crashes.guard import CrashGuard
    from calicopath_core.fleet.deployment import StageSpec
    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.scheduling.interfaces import JobController, SchedulerObserver, StageCaller
    from calicopath_core.scheduling.messages import PlaceJob
    from calicopath_core.scheduling.stage_replicas import StageReplica
    from calicopath_core.scheduling.stages import StageBatch

MAX_PIECE_TRIES = 4
"""Attempts of a piece after which its job is rejected."""

INPUT_FETCH_S = 0.08
"""How long after the start of a call its replica is assumed to have fetched the inputs. It fetches
them when it starts the work, which is at once because calls go to idle replicas, over 10 Gbit/s."""

CALL_TIMEOUT_MARGIN_S = 1.0
"""Time added to the timeout of a stage's call. A slow replica takes four times as long as expected:
a call of 0.37 s then ends before 1.5 s."""

CALL_TIMEOUT_FACTOR = 5.0
"""Timeout of a stage's call as a multiple of its expected duration, before the margin."""


class StageCalls:
    """Hold the queues of all stages and the calls in progress."""

    def __init__(
        self,
        *,
        clock: Clock,
        replicas: ReplicaTable,
        caller: StageCaller,
        observer: SchedulerObserver,
        job_controller: JobController,
        select_replicas: Callable[[list[Replica]], list[Replica]],
        crashes: CrashGuard,
        backoff_left_s: Callable[[Replica], float] = lambda replica: 0.0,
        support_backoff_left_s: Callable[[Replica], float] = lambda replica: 0.0,
        permits: PermitIssuer | None = None,
        pace: PaceEstimates | None = None,
    ) -> None:
        self.pace = pace or PaceEstimates()
        self.permits = permits or UnlimitedIssuer()
        self.backoff_left_s = backoff_left_s
        self.clock = clock
        self.replicas = replicas
        self.caller = caller
        self.observer = observer
        self.job_controller = job_controller
        self.select_replicas = select_replicas
        self.crashes = crashes
        self.is_isolated: Callable[[], bool] = lambda: False
        self.pacing = Pacing()
        self.call_monitor = CallMonitor(clock=clock, caller=caller, observer=observer)
        self.queues: dict[str, StageQueue] = {}
        self.freeing = ResultFreeing(
            replicas=replicas,
            caller=caller,
            observer=observer,
            spawn=self.spawn,
            on_freed=self.on_freed,
            backoff_left_s=support_backoff_left_s,
        )
        self.release = ResultRelease(
            clock=clock,
            replicas=replicas,
            job_controller=job_controller,
            queues=self.queues,
            freeing=self.freeing,
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_free_space_unknown = False
        self.is_dispatch_due = False

    def set_spec(self, service: str, spec: StageSpec) -> None:
        """Set the capacity of a stage's replicas."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = StageQueue(
                service=service,
                spec=spec,
                runs_alone=lambda job: self.crashes.is_suspect(job.place.content, service),
                backoff_left_s=self.backoff_left_s,
                permits=self.permits,
                on_inconsistent=lambda count: self.observer.on_counts_rebuilt(service, count),
                pace=self.pace,
            )
        queue.spec = spec

    def replica_time_s(self, place: PlaceJob) -> float:
        """Return the replica time that a job's stages use in shared calls, in seconds."""
        return sum(
            phase.pieces * self.queues[phase.service].typical_piece_s()
            for phase in place.phases
            if phase.service in self.queues
        )

    def on_replicas(self) -> None:
        """Update the queues after the replica table changed."""
        for name, queue in self.queues.items():
            usable = self.select_replicas(self.replicas.usable(name))
            queue.set_replicas(usable, self.replicas.replicas)

    @property
    def is_idle(self) -> bool:
        """Tell whether no piece waits, no call runs and no result is to be freed."""
        return (
            not self.freeing.pending
            and not self.tasks
            and not any(queue.waiting for queue in self.queues.values())
        )

    def tick(self, now: float) -> None:
        """Expire bookings and dispatch waiting pieces."""
        for queue in self.queues.values():
            for target in queue.known_replicas.values():
                target.expire(now)
        self.dispatch()

    def drop_stale(self, job: Job) -> None:
        """Drop the waiting pieces of a job that are stale."""
        for queue in self.queues.values():
            queue.drop_stale(job)

    def on_take_over(self, *, has_work: bool) -> None:
        """Query the replicas for free space, at once if there is work, else when work arrives.

        A box that starts acts as scheduler until it hears from others, and must not connect to
        every replica just for that.
        """
        self.release.on_hand_over()
        self.is_free_space_unknown = True
        if has_work:
            self.query_all_free_space()

    def query_all_free_space(self) -> None:
        """Query the free space of every replica."""
        self.is_free_space_unknown = False
        for queue in self.queues.values():
            for target in queue.replicas.values():
                self.spawn(self.query_free_space(queue, target))

    async def query_free_space(self, queue: StageQueue, target: StageReplica) -> None:
        """Query the free space of a replica; leave the estimate unchanged if the query fails."""
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await self.caller.report(target.replica)
        except ReplicaExcluded:
            return
        except (BackendError, TimeoutError) as error:
            self.observer.on_report_failed(target.replica, error)
            return
        target.update_free_bytes(report.free_bytes, queue.spec, self.clock.monotonic())
        self.dispatch_soon()

    def query_limited(self, is_limited: Callable[[Replica], bool]) -> None:
        """Query idle replicas that advertise a limit, at the rate of control calls.

        Only an answer shows that a limit has ended, and while jobs are rejected for it none is
        called.
        """
        for queue in self.queues.values():
            for target in queue.replicas.values():
                is_idle = not target.open_calls and is_limited(target.replica)
                if is_idle and self.freeing.backoff_left_s(target.replica) <= 0:
                    self.spawn(self.query_free_space(queue, target))

    def dispatch_soon(self) -> None:
        """Schedule one dispatch after all events of this loop iteration are processed.

        A call that returns results of eight jobs, or a burst of requests, is then handled once.
        """
        if not self.is_dispatch_due:
            self.is_dispatch_due = True
            asyncio.get_running_loop().call_soon(self.dispatch)

    def dispatch(self) -> None:
        """Start every call that is due now."""
        self.is_dispatch_due = False
        now = self.clock.monotonic()
        if self.is_free_space_unknown and any(queue.waiting for queue in self.queues.values()):
            self.query_all_free_space()
        held = self.pacing.held_classes(self.job_controller.backlog, self.queues, now)
        for queue in self.queues.values():
            for batch in queue.batches(now, held):
                self.permits.take_for_own_box(batch.target.replica)
                # Built before the task runs: by then a job may have discarded its inputs.
                calls = [self.piece_call(piece, now) for piece in batch.pieces]
                for job in jobs_of(batch):
                    job.add_open_calls(1)
                self.spawn(self.run_call(queue, batch, calls))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task, and keep a reference until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_call(self, queue: StageQueue, batch: StageBatch, calls: list[PieceCall]) -> None:
        """Make one call and process its results or its failure."""
        started_at = self.clock.monotonic()
        replica = batch.target.replica
        fetched = asyncio.get_running_loop().call_later(
            INPUT_FETCH_S, self.release.on_fetched, batch
        )
        expected_s = queue.expected_call_s(len(calls))
        limit_s = expected_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN_S
        try:
            results = await self.call_monitor.run(replica, calls, expected_s, limit_s)
        except (BackendError, TimeoutError) as error:
            if isinstance(error, ConnectionBroken):
                crash_probe = ReplicaCrashProbe(
                    prober=self.caller, replicas=self.replicas, replica=replica
                )
                contents = [job.place.content for job in jobs_of(batch)]
                await self.crashes.on_failed(
                    contents,
                    queue.service,
                    crash_probe,
                    error,
                    run_started_at=started_at,
                    answered=True,
                )
            self.on_call_failed(queue, batch, error, started_at)
            return
        finally:
            fetched.cancel()
        self.close_call(batch)
        now = self.clock.monotonic()
        made: dict[str, int] = {}
        for piece, result in zip(batch.pieces, results, strict=True):
            if result.handle is not None:
                made[result.handle] = piece.result_bytes
        queue.on_finished(batch, made, now)
        batch.target.record_duration(now - started_at, expected_s, now)
        self.observer.on_stage_call(
            queue.service, replica.id, batch.pieces, now - started_at, outcome_of(results)
        )
        for piece, result in zip(batch.pieces, results, strict=True):
            self.on_result(queue, batch, piece, result)
        self.release.report_results(batch)
        for job in jobs_of(batch):
            self.crashes.on_survived(job.place.content, queue.service)
            self.continue_job(job)
        self.dispatch_soon()

    def piece_call(self, piece: Piece, now: float) -> PieceCall:
        """Build the request for one piece."""
        job = piece.job
        inputs = tuple(result.handle for result in job.inputs_of(piece.phase))
        reads_inputs = bool(piece.phase_work.needs)
        return PieceCall(
            call_id=job.place.call_id,
            phase=piece.phase,
            number=piece.index,
            remaining_s=max(0.0, job.deadline_at - now),
            piece_key=job.place.piece_key,
            inputs=inputs if reads_inputs else None,
        )

    def close_call(self, batch: StageBatch) -> None:
        """Decrement the open calls of a call's jobs."""
        for job in jobs_of(batch):
            job.add_open_calls(-1)

    def on_call_failed(
        self, queue: StageQueue, batch: StageBatch, error: Exception, started_at: float
    ) -> None:
        """Process a failed call, and retry its pieces."""
        self.close_call(batch)
        now = self.clock.monotonic()
        full = isinstance(error, NotStarted)
        if isinstance(error, AnswerLost):
            queue.on_answer_lost(batch, now)
        else:
            queue.on_failed(batch, now, full=full)
        self.observer.on_stage_call(
            queue.service, batch.target.replica.id, batch.pieces, now - started_at, repr(error)
        )
        if full and self.is_isolated():
            # No box can make this call now; waiting would only hold the callers.
            for job in jobs_of(batch):
                if not job.ended:
                    self.job_controller.reject(job, 'no-path')
        for piece in batch.pieces:
            self.retry_piece(queue, piece, full=full)
        for job in jobs_of(batch):
            self.job_controller.advance(job)
        self.dispatch_soon()

    def retry_piece(self, queue: StageQueue, piece: Piece, *, full: bool) -> None:
        """Queue a piece again, or reject its job after too many attempts or past its deadline."""
        now = self.clock.monotonic()
        if full:
            piece.tries -= 1
        if piece.is_stale:
            return
        if piece.tries >= MAX_PIECE_TRIES or now >= piece.job.deadline_at:
            self.job_controller.reject(piece.job, 'stage-failed')
            return
        if piece.has_missing_inputs:
            self.job_controller.recompute_inputs(piece.job, piece)
            return
        queue.add(piece, now)

    def on_result(
        self, queue: StageQueue, batch: StageBatch, piece: Piece, result: PieceResult
    ) -> None:
        """Store a piece's result, or handle the reason why there is none."""
        target = batch.target.replica
        job = piece.job
        if result.handle is not None:
            made = Result(
                handle=result.handle,
                producer=target.id,
                failure_domain=target.failure_domain,
                size=piece.result_bytes,
                created_at=self.clock.monotonic(),
            )
            if piece.is_stale:
                self.release.free_soon([made])
                return
            job.results[piece.phase][piece.index] = made
            return
        if result.reason == 'gone':
            self.release.on_input_gone(piece)
        if piece.is_stale:
            return
        if result.reason == 'gone':
            self.job_controller.recompute_inputs(job, piece)
            return
        if result.reason == 'late':
            self.job_controller.reject(job, 'deadline-passed')
            return
        full = result.reason == 'room'
        if full and batch.target.no_space_until <= self.clock.monotonic():
            queue.on_no_space(batch, self.clock.monotonic())
        self.retry_piece(queue, piece, full=full)

    def on_freed(self, producer: str, handles: list[str]) -> None:
        """Release the space of results that their producer has freed."""
        for queue in self.queues.values():
            target = queue.known_replicas.get(producer)
            if target is not None:
                for handle in handles:
                    target.free(handle)
        self.dispatch_soon()

    def continue_job(self, job: Job) -> None:
        """Free the results that a finished call has read, and start the phases that are ready."""
        if job.ended:
            return
        self.release.free_read(job, fetched=False)
        self.job_controller.advance(job)


def outcome_of(results: list[PieceResult]) -> str:
    """Return a call's outcome: `ok`, or the distinct reasons of its pieces joined by `+`."""
    reasons = sorted({result.reason for result in results if result.reason})
    return '+'.join(reasons) or 'ok'
