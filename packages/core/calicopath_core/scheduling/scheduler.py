"""Schedule jobs for this box and for others: run their stages and choose their engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.fleet.pace import PaceEstimates
from calicopath_core.permits.issuer import PermitIssuer, UnlimitedIssuer
from calicopath_core.scheduling.admission import MIN_RETRY_AFTER_S, Admission
from calicopath_core.scheduling.backlog import Backlog
from calicopath_core.scheduling.critical_path import critical_paths
from calicopath_core.scheduling.due_times import DueTimes
from calicopath_core.scheduling.engine_pools import EnginePools
from calicopath_core.scheduling.engine_queue import EngineQueue
from calicopath_core.scheduling.estimates import EngineTimes
from calicopath_core.scheduling.evenness import Evenness
from calicopath_core.scheduling.fairness import Allowances
from calicopath_core.scheduling.interfaces import JobController
from calicopath_core.scheduling.jobs import Job, Piece
from calicopath_core.scheduling.messages import (
    VERSION_GONE,
    Placed,
    Progress,
    Rejected,
    RunEnded,
)
from calicopath_core.scheduling.rejections import NO_ENGINE_RETRY_S, Rejections
from calicopath_core.scheduling.returning import ReturningCallers
from calicopath_core.scheduling.shares import ShareMonitor
from calicopath_core.scheduling.stage_calls import MAX_PIECE_TRIES, StageCalls
from calicopath_core.scheduling.starts import NO_OVERAGE, WarmupTerms
from calicopath_core.scheduling.succession import Succession

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

    from calicopath_core.clock import Clock
    from calicopath_core.crashes.guard import CrashGuard
    from calicopath_core.fleet.deployment import Deployment, EngineSpec
    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.scheduling.engines import EnginePool
    from calicopath_core.scheduling.interfaces import SchedulerObserver, StageCaller
    from calicopath_core.scheduling.messages import (
        BackoffNotice,
        PlaceJob,
        RunStarted,
        StageResult,
    )

TICK_INTERVAL_S = 0.05
JOB_RETENTION_S = 30.0
"""How long past its deadline a job is kept if its box never reports the end; longer than the users'
deadlines."""

ENGINE_FETCH_DELAY_S = 0.05
"""How long after placement an engine is assumed to have fetched a job's results. It fetches them
when the request arrives, before queueing; two hops between failure domains and 1.5 MB over
10 Gbit/s take under 10 ms. Keeping results longer takes space from their producers: 0.15 s lowered
the mean score of days with faults by 0.015."""

PLACEMENTS_PER_LOOK = 4
"""Jobs that are first taken from the engine queue; seldom more find an engine at once. Every look
sorts the queue anew, so a look past restricted jobs takes as many jobs as were passed."""

DEFAULT_RETRY_AFTER_S = 0.5
"""Retry delay of a rejected job when no estimate is available."""


class Scheduler(JobController):
    """Schedule the jobs assigned to this box.

    `send` sends a message to an address. `share_of` selects the replicas that this scheduler may
    use. `backoff_left_s` and `support_backoff_left_s` return for how many seconds a replica still
    refuses stage calls and calls that free results. `promises_returns` allows the overload rule,
    which promises callers a time to return.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        replicas: ReplicaTable,
        caller: StageCaller,
        send: Callable[[str, msgspec.Struct], None],
        observer: SchedulerObserver,
        own_address: str,
        select_replicas: Callable[[list[Replica]], list[Replica]],
        crashes: CrashGuard,
        warmup: WarmupTerms = NO_OVERAGE,
        pool_factory: Callable[[EngineSpec], EnginePool] | None = None,
        backoff_left_s: Callable[[Replica], float] = lambda replica: 0.0,
        support_backoff_left_s: Callable[[Replica], float] = lambda replica: 0.0,
        permits: PermitIssuer | None = None,
        pace: PaceEstimates | None = None,
        promises_returns: bool = False,
    ) -> None:
        self.pace = pace or PaceEstimates()
        self.permits = permits or UnlimitedIssuer()
        self.clock = clock
        self.replicas = replicas
        self.send = send
        self.observer = observer
        self.own_address = own_address
        self.select_replicas = select_replicas
        self.crashes = crashes
        self.admission = Admission()
        self.shares = ShareMonitor(rule=Allowances(), observer=observer)
        self.evenness = Evenness()
        self.engine_times = EngineTimes()
        self.jobs: dict[str, Job] = {}
        self.unplaced: dict[str, Job] = {}
        self.backlog = Backlog(observer=observer)
        self.expiry_times = DueTimes()
        self.fetch_times = DueTimes()
        self.engine_queue = EngineQueue(
            first_event_s=self.first_event_s,
            on_inconsistent=lambda count: observer.on_counts_rebuilt('engine queue', count),
        )
        self.work_available = asyncio.Event()
        self.engine_pools = EnginePools(
            salt=own_address,
            warmup=warmup,
            pool_factory=pool_factory,
            permits=self.permits,
            pace=self.pace,
        )
        self.stages = StageCalls(
            clock=clock,
            replicas=replicas,
            caller=caller,
            observer=observer,
            job_controller=self,
            select_replicas=select_replicas,
            crashes=crashes,
            backoff_left_s=backoff_left_s,
            support_backoff_left_s=support_backoff_left_s,
            permits=self.permits,
            pace=self.pace,
        )
        self.rejections = Rejections(
            unplaced=self.unplaced,
            backlog=self.backlog,
            engine_pools=self.engine_pools,
            engine_queue=self.engine_queue,
            queues=self.stages.queues,
            admission=self.admission,
            crashes=crashes,
            permits=self.permits,
            first_event_s=self.first_event_s,
            reject=self.reject,
        )
        self.returning = ReturningCallers(
            queues=self.stages.queues,
            observer=observer,
            reject=self.reject,
            allowed=promises_returns,
        )
        self.succession = Succession(scheduler=self)
        replicas.listeners.append(self.on_replicas)

    def on_deployment(self, deployment: Deployment) -> None:
        """Apply the stage and engine settings of a new deployment."""
        for name, service in deployment.services.items():
            if service.stage is not None:
                self.stages.set_spec(name, service.stage)
            self.engine_pools.set_spec(service)
        self.returning.on_deployment(deployment)
        self.on_replicas()

    def on_replicas(self) -> None:
        """Update stages, engines and waiting jobs after the replica table changed."""
        self.pace.keep_only(self.replicas.replicas)
        self.stages.on_replicas()
        self.engine_pools.set_replicas(self.replicas, self.select_replicas)
        self.recompute_lost()
        self.place_waiting_jobs()

    def recompute_lost(self) -> None:
        """Recompute results that are still needed and were lost with their replicas."""
        for job in self.backlog.jobs_with_lost_results(self.replicas.replicas):
            if not job.ended and (lost := job.lost_phases(self.replicas.replicas)):
                self.recompute(job, lost)

    async def run(self) -> None:
        """Dispatch waiting calls and free results periodically until cancelled.

        Sleeps while there is no work: of 195 boxes, only one schedules.
        """
        while True:
            await self.work_available.wait()
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()
            if self.is_idle:
                self.work_available.clear()

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is due before the next job arrives."""
        return not self.jobs and self.stages.is_idle

    def tick(self) -> None:
        """Run the periodic work: reject, place, expire and dispatch."""
        if self.is_idle:
            return
        now = self.clock.monotonic()
        self.succession.tick()
        self.engine_pools.expire(now)
        self.rejections.reject_blocked()
        self.place_waiting_jobs()
        self.rejections.check_waiting_jobs(now)
        self.returning.expire(now)
        self.shares.check(now)
        for name in self.fetch_times.pop_until(now):
            self.stages.release.free_soon(self.jobs[name].all_results())
        for name in self.expiry_times.pop_before(now):
            self.end(self.jobs[name])
        self.stages.tick(now)

    def on_backoffs(self, message: BackoffNotice) -> None:
        """Record which engines back off a box, and recheck its waiting jobs."""
        now = self.clock.monotonic()
        self.engine_pools.backoffs.note(message.address, message.backoffs, now)
        self.rejections.reject_backing_off(now)

    def on_place(self, place: PlaceJob) -> None:
        """Start a job, or ignore a repeated message for a known one."""
        if place.job in self.jobs:
            return
        successor = self.succession.successor
        if successor is not None and place.silent_scheduler != successor:
            self.succession.redirect(place, successor)
            return
        now = self.clock.monotonic()
        self.engine_pools.backoffs.note(place.reply_to, place.backoffs, now)
        job = Job(place=place, now=now)
        self.add_job(job)
        job.is_adopted = successor is not None
        pool = self.engine_pools.get(place.service)
        if pool is None:
            self.reject(job, 'unknown-service')
            return
        if not pool.has_engine_for(job):
            self.reject_unserved(job)
            return
        self.returning.claim(job, now)
        if not self.rejections.admits(job, now):
            return
        job.effective_priority = self.evenness.effective_rank(place.priority)
        if not place.resumed and not place.asked_before and not job.is_returning:
            job.is_over_allowance = self.shares.charge(
                place.workspace, self.stages.replica_time_s(place), now
            )
        first_event_s = pool.min_first_event_s(job, now)
        verdict = self.admission.decide(job, self.backlog, self.stages.queues, first_event_s, now)
        if not verdict.admitted:
            self.reject(job, 'overloaded', verdict.retry_after_s)
            return
        if self.returning.admits(job, self.backlog, first_event_s, now):
            self.begin(job)

    def begin(self, job: Job) -> None:
        """Start an admitted or adopted job."""
        first_event_s = self.first_event_s(job)
        job.critical_path_s = critical_paths(job.place.phases, self.stages.queues, first_event_s)
        self.backlog.add(job)
        self.advance(job)

    def advance(self, job: Job) -> None:
        """Start the phases that are ready, and place the job once all its stages are done."""
        if job.ended or job.placed_on is not None:
            return
        if self.succession.successor is not None and not job.is_adopted:
            self.succession.hand_over_soon(job)
            return
        while ready := job.ready_phases():
            for number in ready:
                self.begin_phase(job, number)
                if job.ended:
                    return
        if job.are_stages_done:
            self.engine_queue.add(job)
            self.place_waiting_jobs()
            return
        self.stages.dispatch_soon()

    def begin_phase(self, job: Job, number: int) -> None:
        """Queue the pieces of a phase for calls, except those that already have results."""
        now = self.clock.monotonic()
        job.started.add(number)
        phase = job.place.phases[number]
        queue = self.stages.queues.get(phase.service)
        if queue is None:
            self.reject(job, 'unknown-stage')
            return
        for index in range(phase.pieces):
            piece = Piece(job=job, phase=number, index=index, tries=job.tries)
            job.pieces.setdefault(number, []).append(piece)
            if job.results[number][index] is None:
                queue.add(piece, now)
            else:
                piece.set_dispatched(True)

    def first_event_s(self, job: Job) -> float:
        """Return the estimated seconds that an engine takes to a job's first event."""
        return self.engine_times.expected_s(job.place.prompt.tokens_in)

    def place_waiting_jobs(self) -> None:
        """Place waiting jobs, until the engines of their services are full."""
        for service in self.engine_queue.services():
            self.place_jobs_of(service, self.clock.monotonic())

    def place_jobs_of(self, service: str, now: float) -> None:
        """Place the waiting jobs of a service until its engines are full."""
        passed = 0
        while jobs := self.engine_queue.first(
            now, service, passed, max(PLACEMENTS_PER_LOOK, passed)
        ):
            for job in jobs:
                self.place_engine(job)
                if job.id not in self.engine_queue.jobs:
                    continue
                if not self.engine_pools.has_restrictions_for(job):
                    return
                passed += 1

    def reject_unserved(self, job: Job) -> None:
        """Reject a job that no engine can serve."""
        now = self.clock.monotonic()
        reason = 'no-engine' if job.place.version is None else VERSION_GONE
        self.reject(job, reason, self.admission.retry_after_s(job, NO_ENGINE_RETRY_S, now))

    def place_engine(self, job: Job) -> None:
        """Choose an engine and notify the box, or leave the job waiting."""
        now = self.clock.monotonic()
        pool = self.engine_pools[job.place.service]
        if not pool.has_engine_for(job):
            self.reject_unserved(job)
            return
        choice = pool.choose(job, now)
        if choice is None:
            return
        self.engine_queue.drop(job)
        permit = self.permits.take(choice.engine.replica)
        pool.start_run(choice, job, now)
        replica = choice.engine.replica.id
        job.placed_on = replica
        del self.unplaced[job.id]
        self.backlog.remove(job)
        self.fetch_times.set(job.id, now + ENGINE_FETCH_DELAY_S)
        job.placed_at = now
        self.admission.learn(job, now - job.arrived_at)
        in_time = now + self.first_event_s(job) <= job.objective_at
        self.returning.on_placed(job, in_time=in_time)
        self.evenness.learn(job.place.priority, in_time=in_time)
        inputs = tuple(result.handle for result in job.final_results())
        self.observer.on_placed(job, choice.engine.replica, choice.cost_s, now - job.arrived_at)
        placed = Placed(
            job=job.id,
            replica=replica,
            inputs=inputs,
            cost_s=choice.cost_s,
            scheduler=self.own_address,
            permit=permit,
        )
        job.placement = placed
        self.send(job.place.reply_to, placed)

    def reject(self, job: Job, reason: str, retry_after_s: float = DEFAULT_RETRY_AFTER_S) -> None:
        """Notify the box that a job is not placed, and end the job."""
        self.observer.on_rejected(job, reason, retry_after_s)
        self.returning.on_rejected(job)
        self.evenness.learn(job.place.priority, in_time=False)
        rejected = Rejected(job=job.id, reason=reason, retry_after_s=retry_after_s)
        self.send(job.place.reply_to, rejected)
        self.end(job)

    def withdraw_placement(self, job: Job) -> None:
        """End a run that its box has not begun, and tell the caller to retry soon.

        If the box has begun the run, because its repeated request was sent before the placement
        arrived, it ignores the rejection.
        """
        reason, retry_after_s = 'result-gone', MIN_RETRY_AFTER_S
        self.observer.on_rejected(job, reason, retry_after_s)
        rejected = Rejected(job=job.id, reason=reason, retry_after_s=retry_after_s)
        self.send(job.place.reply_to, rejected)
        self.on_ended(RunEnded(job=job.id, sender=self.own_address, failed=False))

    def on_started(self, message: RunStarted) -> None:
        """Record that an engine has read its inputs and prompt, and free the job's results."""
        job = self.jobs.get(message.job)
        if job is None or job.placed_on is None:
            return
        job.is_running = True
        now = self.clock.monotonic()
        self.on_reported_pace(job.placed_on, message.pace, now)
        placed_at = now
        if job.placed_at is not None:
            placed_at = job.placed_at
            self.engine_times.learn(job.place.prompt.tokens_in, now - placed_at)
        self.engine_pools[job.place.service].on_run_started(job.placed_on, job.id, placed_at, now)
        self.stages.release.free_soon(job.all_results())

    def on_reported_pace(self, replica_id: str, pace: float | None, now: float) -> None:
        """Record the pace that an engine has reported to the job's box, if it has."""
        if pace is not None:
            self.pace.on_report(replica_id, pace, now)

    def on_ended(self, message: RunEnded) -> None:
        """Record that a job is over, and place waiting jobs."""
        job = self.jobs.get(message.job)
        if job is None:
            return
        if job.placed_on is not None:
            now = self.clock.monotonic()
            self.on_reported_pace(job.placed_on, message.pace, now)
            pool = self.engine_pools[job.place.service]
            if message.turned_away:
                pool.on_run_turned_away(job.placed_on, job.id, now)
            else:
                pool.on_run_ended(job.placed_on, job.id, failed=message.failed, now=now)
        self.end(job)
        self.place_waiting_jobs()

    def end(self, job: Job) -> None:
        """Remove a job and free its results."""
        job.ended = True
        self.remove_job(job)
        self.stages.release.free_soon(job.all_results())

    def add_job(self, job: Job) -> None:
        """Register a job and wake the periodic work."""
        self.jobs[job.id] = self.unplaced[job.id] = job
        self.expiry_times.set(job.id, job.deadline_at + JOB_RETENTION_S)
        self.work_available.set()

    def remove_job(self, job: Job) -> None:
        """Remove a finished or handed-over job and its waiting pieces."""
        self.jobs.pop(job.id, None)
        self.unplaced.pop(job.id, None)
        self.backlog.remove(job)
        self.expiry_times.drop(job.id)
        self.fetch_times.drop(job.id)
        self.engine_queue.drop(job)
        self.succession.forget(job)
        self.stages.drop_stale(job)

    def report_progress(
        self, job: Job, results: tuple[StageResult, ...], freed: tuple[int, ...]
    ) -> None:
        """Report progress to a job's box, which passes it on if another scheduler takes over."""
        if not job.ended and job.place.reply_to != self.own_address:
            self.send(job.place.reply_to, Progress(job=job.id, results=results, freed=freed))

    def recompute_inputs(self, job: Job, piece: Piece) -> None:
        """Recompute the inputs of a piece because one is missing at its producer."""
        if job.pieces.get(piece.phase) is None or piece not in job.pieces[piece.phase]:
            return
        if piece.tries >= MAX_PIECE_TRIES:
            self.reject(job, 'result-gone')
            return
        self.recompute(job, [*piece.phase_work.needs, piece.phase])

    def recompute(self, job: Job, phases: list[int]) -> None:
        """Discard the results of some phases and continue from the remaining ones."""
        tries = max((item.tries for made in job.pieces.values() for item in made), default=0)
        for phase in phases:
            self.stages.release.free_soon([item for item in job.results[phase] if item is not None])
            job.invalidate(phase)
        self.engine_queue.drop(job)
        self.stages.drop_stale(job)
        if tries >= MAX_PIECE_TRIES:
            self.reject(job, 'result-gone')
            return
        job.tries = tries
        self.advance(job)
