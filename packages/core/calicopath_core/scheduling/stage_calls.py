"""Make the stage calls that the queues decide on, and take their results in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from calicopath_core.backends.base import BackendError, ConnectionBroken, NotStarted
from calicopath_core.crashes.fate import ReplicaCrashProbe
from calicopath_core.fleet.notices import ReplicaExcluded
from calicopath_core.permits.holder import PermitIssuer, UnlimitedIssuer
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
    from calicopath_core.scheduling.interfaces import JobKeeper, SchedulerObserver, StageCaller
    from calicopath_core.scheduling.messages import PlaceJob
    from calicopath_core.scheduling.stage_replicas import StageReplica
    from calicopath_core.scheduling.stages import StageBatch

MAX_PIECE_TRIES = 4
"""A piece that failed this often ends its job."""

INPUT_FETCH_S = 0.08
"""How long after a call began its replica has fetched the inputs: it does so at its turn, which is
at once as calls go to idle replicas, over links of 10 Gbit/s."""

CALL_TIMEOUT_MARGIN_S = 1.0
"""How much longer than expected a stage's call may take before it is given up. A slow replica
works four times as long: a call of 0.37 s then ends before 1.5 s."""

CALL_TIMEOUT_FACTOR = 5.0


class StageCalls:
    """Hold the queues of stages and the calls under way."""

    def __init__(
        self,
        *,
        clock: Clock,
        replicas: ReplicaTable,
        caller: StageCaller,
        observer: SchedulerObserver,
        keeper: JobKeeper,
        share_of: Callable[[list[Replica]], list[Replica]],
        crashes: CrashGuard,
        backoff_left_s: Callable[[Replica], float] = lambda replica: 0.0,
        support_backoff_left_s: Callable[[Replica], float] = lambda replica: 0.0,
        permits: PermitIssuer | None = None,
    ) -> None:
        self.permits = permits or UnlimitedIssuer()
        self.backoff_left_s = backoff_left_s
        self.clock = clock
        self.replicas = replicas
        self.caller = caller
        self.observer = observer
        self.keeper = keeper
        self.share_of = share_of
        self.crashes = crashes
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
            keeper=keeper,
            queues=self.queues,
            freeing=self.freeing,
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_room_unknown = False
        self.is_dispatch_due = False

    def set_spec(self, service: str, spec: StageSpec) -> None:
        """Take in what a stage's replicas can do."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = StageQueue(
                service=service,
                spec=spec,
                runs_alone=lambda job: self.crashes.is_suspect(job.place.content, service),
                backoff_left_s=self.backoff_left_s,
                permits=self.permits,
            )
        queue.spec = spec

    def replica_time_s(self, place: PlaceJob) -> float:
        """Return the seconds of replicas' time that a job's stages take, its calls shared."""
        return sum(
            phase.pieces * self.queues[phase.service].typical_piece_s()
            for phase in place.phases
            if phase.service in self.queues
        )

    def on_replicas(self) -> None:
        """Take in which replicas there are."""
        for name, queue in self.queues.items():
            usable = self.share_of(self.replicas.usable(name))
            queue.set_replicas(usable, self.replicas.replicas)

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits, is at work or is to be freed."""
        return (
            not self.freeing.pending
            and not self.tasks
            and not any(queue.waiting for queue in self.queues.values())
        )

    def tick(self, now: float) -> None:
        """Do what is due by time."""
        for queue in self.queues.values():
            for target in queue.known_replicas.values():
                target.expire(now)
        self.dispatch()

    def drop_stale(self, job: Job) -> None:
        """Forget the pieces of a job that are not wanted any more."""
        for queue in self.queues.values():
            queue.drop_stale(job)

    def on_take_over(self, *, has_work: bool) -> None:
        """Learn what room another scheduler's results take, if there is work or when there is.

        A box that starts takes itself for the scheduler until it hears others: it must not connect
        to every replica for that.
        """
        self.release.on_hand_over()
        self.is_room_unknown = True
        if has_work:
            self.query_all_room()

    def query_all_room(self) -> None:
        """Ask every replica how much room it has."""
        self.is_room_unknown = False
        for queue in self.queues.values():
            for target in queue.replicas.values():
                self.spawn(self.query_room(queue, target))

    async def query_room(self, queue: StageQueue, target: StageReplica) -> None:
        """Ask a replica how much room it has; without an answer its own word is waited for."""
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

    def dispatch_soon(self) -> None:
        """Make the calls that should be made once what happens at this moment is taken in.

        A call that brings the results of eight jobs, or a burst of requests, is decided on once.
        """
        if not self.is_dispatch_due:
            self.is_dispatch_due = True
            asyncio.get_running_loop().call_soon(self.dispatch)

    def dispatch(self) -> None:
        """Make every call that should be made now."""
        self.is_dispatch_due = False
        now = self.clock.monotonic()
        if self.is_room_unknown and any(queue.waiting for queue in self.queues.values()):
            self.query_all_room()
        held = self.pacing.held_jobs(self.keeper.unplaced.values(), self.queues, now)
        for queue in self.queues.values():
            for batch in queue.batches(now, held):
                self.permits.take_for_own_box(batch.target.replica)
                # Described now: before the task runs, a job may have to make its inputs anew.
                calls = [self.piece_call(piece, now) for piece in batch.pieces]
                for job in jobs_of(batch):
                    job.open_calls += 1
                self.spawn(self.run_call(queue, batch, calls))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_call(self, queue: StageQueue, batch: StageBatch, calls: list[PieceCall]) -> None:
        """Make one call and take its results in."""
        begun = self.clock.monotonic()
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
                fate = ReplicaCrashProbe(reach=self.caller, replicas=self.replicas, replica=replica)
                contents = [job.place.content for job in jobs_of(batch)]
                await self.crashes.on_failed(
                    contents, queue.service, fate, error, run_started_at=begun, answered=True
                )
            self.on_call_failed(queue, batch, error, begun)
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
        batch.target.record_duration(now - begun, expected_s, now)
        self.observer.on_stage_call(
            queue.service, replica.id, batch.pieces, now - begun, outcome_of(results)
        )
        for piece, result in zip(batch.pieces, results, strict=True):
            self.on_result(queue, batch, piece, result)
        self.release.report_results(batch)
        for job in jobs_of(batch):
            self.crashes.on_survived(job.place.content, queue.service)
            self.continue_job(job)
        self.dispatch_soon()

    def piece_call(self, piece: Piece, now: float) -> PieceCall:
        """Describe a piece to its replica."""
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
        """Note that a call is over."""
        for job in jobs_of(batch):
            job.open_calls -= 1

    def on_call_failed(
        self, queue: StageQueue, batch: StageBatch, error: Exception, begun: float
    ) -> None:
        """Let the pieces of a failed call wait again."""
        self.close_call(batch)
        now = self.clock.monotonic()
        full = isinstance(error, NotStarted)
        if isinstance(error, AnswerLost):
            queue.on_answer_lost(batch, now)
        else:
            queue.on_failed(batch, now, full=full)
        self.observer.on_stage_call(
            queue.service, batch.target.replica.id, batch.pieces, now - begun, repr(error)
        )
        for piece in batch.pieces:
            self.retry_piece(queue, piece, full=full)
        for job in jobs_of(batch):
            self.keeper.advance(job)
        self.dispatch_soon()

    def retry_piece(self, queue: StageQueue, piece: Piece, *, full: bool) -> None:
        """Let a piece wait again, or end its job when it failed too often or its time is over."""
        now = self.clock.monotonic()
        if full:
            piece.tries -= 1
        if piece.is_stale:
            return
        if piece.tries >= MAX_PIECE_TRIES or now >= piece.job.deadline_at:
            self.keeper.reject(piece.job, 'stage-failed')
            return
        if piece.has_missing_inputs:
            self.keeper.recompute_inputs(piece.job, piece)
            return
        queue.add(piece, now)

    def on_result(
        self, queue: StageQueue, batch: StageBatch, piece: Piece, result: PieceResult
    ) -> None:
        """Note a piece's result, or let it wait again."""
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
            self.keeper.recompute_inputs(job, piece)
            return
        if result.reason == 'late':
            self.keeper.reject(job, 'deadline-passed')
            return
        full = result.reason == 'room'
        if full and batch.target.no_room_until <= self.clock.monotonic():
            queue.on_no_room(batch, self.clock.monotonic())
        self.retry_piece(queue, piece, full=full)

    def on_freed(self, maker: str, handles: list[str]) -> None:
        """Count the room of results as free that their maker has given up."""
        for queue in self.queues.values():
            target = queue.known_replicas.get(maker)
            if target is not None:
                for handle in handles:
                    target.free(handle)
        self.dispatch_soon()

    def continue_job(self, job: Job) -> None:
        """Go on with a job after a call: free what was read, begin what can be begun."""
        if job.ended:
            return
        self.release.free_read(job, fetched=False)
        self.keeper.advance(job)


def outcome_of(results: list[PieceResult]) -> str:
    """Return the reasons of a call's pieces in one word."""
    reasons = sorted({result.reason for result in results if result.reason})
    return '+'.join(reasons) or 'ok'
