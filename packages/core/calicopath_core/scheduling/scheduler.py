"""Run jobs' stages and choose their engines, for this box and for others."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from calicopath_core.backends.base import BackendError, NotStarted
from calicopath_core.scheduling.admission import Admission
from calicopath_core.scheduling.engines import EngineBoard
from calicopath_core.scheduling.jobs import Job, Piece, Result
from calicopath_core.scheduling.messages import Adopt, EngineLoads, Placed, Progress, Rejected
from calicopath_core.scheduling.pacing import Pacing
from calicopath_core.scheduling.stages import StageBatch, StageQueue, StageReplica

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.deployment import Deployment, EngineSpec
    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.scheduling.messages import MadeResult, Place, RunEnded, RunStarted

MAX_PIECE_TRIES = 4
"""A piece that failed this often ends its job."""

FREE_EVERY_S = 0.04
"""How often results that are done with are given up, many in one call."""

FETCHED_S = 0.08
"""How long after a call began its replica has fetched the inputs: it does so at its turn, which is
at once as calls go to idle replicas, over links of 10 Gbit/s. Tried on the bench; giving the inputs
up only when the call has ended left the makers without room for as long as a call takes."""

OVERLAP_S = 1.5
"""How long after a hand-over another scheduler's calls may be before ours at a replica, whose turn
then comes later: the one that leaves finishes what it has begun."""

REPORT_TIMEOUT_S = 0.3
"""How long a replica's word on its room is waited for; the users' replicas answer in a few ms."""

DOUBT_S = 5.0
"""How long inputs are kept until the end of calls after a replica found one gone."""

TICK_S = 0.05
JOB_MEMORY_S = 30.0
"""How long a job may stay without its box telling its end; longer than the users' deadlines."""

USUAL_ENGINE_S = 0.4
"""What an engine usually takes to a first event, its queue included; measured on the bench."""

RETRY_AFTER_S = 0.5
"""When a rejected job may come back, if nothing better is known."""

CALL_GRACE_S = 1.0
"""How much longer than expected a stage's call may take before it is given up. A slow replica
works four times as long: a call of 0.37 s then ends before 1.5 s."""

SLOW_FACTOR = 5.0


class PieceCall(NamedTuple):
    """Describe one piece of a stage's call; `inputs` is nothing for a phase that reads none."""

    call_id: str
    phase: int
    number: int
    remaining_s: float
    piece_key: str
    inputs: tuple[str, ...] | None


class PieceResult(NamedTuple):
    """Hold a piece's handle, or why there is none: `late`, `gone`, `room` or `error`."""

    handle: str | None
    reason: str = ''


class StageCaller(ABC):
    """Call the replicas of stages."""

    @abstractmethod
    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call; raise `NotStarted` if it was declined, else `MayHaveRun`."""

    @abstractmethod
    async def free(self, address: str, handles: list[str]) -> None:
        """Give results up; raise `BackendError`."""

    @abstractmethod
    async def free_bytes(self, replica: Replica) -> float:
        """Return the room for results that a replica has left; raise `BackendError`."""


class SchedulerObserver(ABC):
    """Learn of the scheduler's decisions."""

    @abstractmethod
    def on_stage_call(
        self, service: str, replica: str, pieces: list[Piece], took_s: float, outcome: str
    ) -> None:
        """Note one call to a stage's replica."""

    @abstractmethod
    def on_placed(self, job: Job, replica: Replica, cost_s: float, waited_s: float) -> None:
        """Note the engine chosen for a job."""

    @abstractmethod
    def on_rejected(self, job: Job, reason: str, retry_after_s: float) -> None:
        """Note a job that is not placed."""

    @abstractmethod
    def on_handed_over(self, job: Job, successor: str, results: int) -> None:
        """Note a job that the next scheduler goes on with."""

    @abstractmethod
    def on_report_failed(self, replica: Replica, error: Exception) -> None:
        """Note a replica that did not tell its room."""

    @abstractmethod
    def on_free_failed(self, address: str, count: int, error: BackendError) -> None:
        """Note results that could not be given up; they run out by themselves."""


class Scheduler:
    """Hold the jobs that this box schedules; `send` takes an address and a message."""

    def __init__(
        self,
        *,
        clock: Clock,
        replicas: ReplicaTable,
        caller: StageCaller,
        send: Callable[[str, msgspec.Struct], None],
        observer: SchedulerObserver,
        own_address: str,
        new_board: Callable[[EngineSpec], EngineBoard] | None = None,
    ) -> None:
        self.clock = clock
        self.replicas = replicas
        self.caller = caller
        self.send = send
        self.observer = observer
        self.own_address = own_address
        self.new_board = new_board or board_of
        self.successor: str | None = None
        self.admission = Admission()
        self.pacing = Pacing()
        self.jobs: dict[str, Job] = {}
        self.queues: dict[str, StageQueue] = {}
        self.boards: dict[str, EngineBoard] = {}
        self.to_free: dict[str, list[str]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.alone_from = 0.0
        replicas.listeners.append(self.on_replicas)

    def on_deployment(self, deployment: Deployment) -> None:
        """Take in which services are stages or engines."""
        for name, service in deployment.services.items():
            if service.stage is not None:
                queue = self.queues.setdefault(name, StageQueue(service=name, spec=service.stage))
                queue.spec = service.stage
            if service.engine is not None:
                self.boards.setdefault(name, self.new_board(service.engine))
        self.on_replicas()

    def on_replicas(self) -> None:
        """Take in which replicas there are."""
        for name, queue in self.queues.items():
            queue.set_replicas(self.replicas.usable(name))
        for name, board in self.boards.items():
            board.set_replicas(self.replicas.usable(name))
        self.remake_lost()

    def remake_lost(self) -> None:
        """Make the results anew that lay at replicas that are gone and are still needed."""
        for job in list(self.jobs.values()):
            if job.placed_on is None and not job.ended:
                lost = job.lost_phases(self.replicas.replicas)
                if lost:
                    self.remake(job, lost)

    async def run(self) -> None:
        """Look after waiting calls and results to be freed until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Do what is due."""
        now = self.clock.monotonic()
        for queue in self.queues.values():
            for target in queue.replicas.values():
                target.expire(now)
        for board in self.boards.values():
            board.forget_lost(now)
        self.admission.forget(now)
        self.reject_hopeless(now)
        for job in list(self.jobs.values()):
            if now > job.deadline_at + JOB_MEMORY_S:
                self.end(job)
        self.dispatch()
        self.free_due()

    def reject_hopeless(self, now: float) -> None:
        """Tell callers at once whose jobs were never begun and can't be made any more."""
        for job in list(self.jobs.values()):
            least_s = max(job.tail_s.values(), default=0.0)
            if job.placed_on is None and not job.begun and now + least_s > job.deadline_at:
                self.reject(job, 'overloaded')

    def on_place(self, place: Place) -> None:
        """Begin a job; a repeated message begins nothing twice."""
        if place.job in self.jobs:
            return
        now = self.clock.monotonic()
        job = Job(place=place, now=now)
        self.jobs[place.job] = job
        if self.successor is not None:
            self.hand_over(job)
            return
        board = self.boards.get(place.service)
        if board is None:
            self.reject(job, 'unknown-service')
            return
        engine_s = board.least_time_s(job, now)
        verdict = self.admission.judge(job, self.jobs.values(), self.queues, engine_s, now)
        if not verdict.admitted:
            self.reject(job, 'overloaded', verdict.retry_after_s)
            return
        job.tail_s = self.tails(job)
        self.advance(job)

    def tails(self, job: Job) -> dict[int, float]:
        """Return for each phase what is expected from its call to the engine's first event."""
        found: dict[int, float] = {}
        for number in reversed(range(len(job.place.phases))):
            phase = job.place.phases[number]
            queue = self.queues.get(phase.service)
            own_s = queue.usual_s() if queue is not None and phase.pieces else 0.0
            readers = [
                found.get(reader, 0.0)
                for reader, other in enumerate(job.place.phases)
                if number in other.needs
            ]
            found[number] = own_s + max(readers, default=USUAL_ENGINE_S)
        return found

    def advance(self, job: Job) -> None:
        """Begin the phases that can be begun; place the job when its stages are done."""
        if job.ended or job.placed_on is not None:
            return
        if self.successor is not None and not job.adopted:
            self.hand_over(job)
            return
        while ready := job.ready_phases():
            for number in ready:
                self.begin_phase(job, number)
                if job.ended:
                    return
        if job.stages_done:
            self.place_engine(job)
            return
        self.dispatch()

    def take_up(self) -> None:
        """Schedule what comes."""
        self.successor = None

    def give_way(self, successor: str) -> None:
        """Hand every job to another scheduler as soon as no call for it is under way.

        A job that was handed to this one stays: two boxes that each take the other for the
        scheduler would send it to and fro.
        """
        self.successor = successor
        loads: dict[str, float] = {}
        for board in self.boards.values():
            loads.update(board.loads())
        if loads:
            self.send(successor, EngineLoads(sender=self.own_address, loads=loads))
        for job in list(self.jobs.values()):
            if not job.adopted:
                self.hand_over(job)

    def hand_over(self, job: Job) -> None:
        """Give a job with what is made of it to the next scheduler."""
        if job.open_calls or job.placed_on is not None or self.successor is None:
            return
        now = self.clock.monotonic()
        results = job.all_made()
        place = msgspec.structs.replace(
            job.place,
            objective_s=job.objective_at - now,
            deadline_s=job.deadline_at - now,
            asked_before=True,
        )
        waited_s = now - job.arrived_at
        self.send(self.successor, Adopt(place=place, results=results, waited_s=waited_s))
        self.observer.on_handed_over(job, self.successor, len(results))
        job.ended = True
        del self.jobs[job.id]
        for queue in self.queues.values():
            queue.drop_stale()

    def on_adopt(self, message: Adopt) -> None:
        """Go on with a job that another scheduler has begun."""
        if message.place.job in self.jobs:
            return
        now = self.clock.monotonic()
        job = Job(place=message.place, now=now)
        job.adopted = True
        job.arrived_at = now - message.waited_s
        self.jobs[job.id] = job
        if message.place.service not in self.boards:
            self.reject(job, 'unknown-service')
            return
        for item in message.results:
            made = Result(
                handle=item.handle, maker=item.maker, zone=item.zone, size=item.size, made_at=now
            )
            made.freed = item.freed
            job.results[item.phase][item.index] = made
            queue = self.queues.get(message.place.phases[item.phase].service)
            if queue is not None and not item.freed:
                queue.book(item.maker, item.handle, item.size, now)
        job.tail_s = self.tails(job)
        self.advance(job)

    def on_engine_loads(self, message: EngineLoads) -> None:
        """Take in what a leaving scheduler has placed."""
        now = self.clock.monotonic()
        for board in self.boards.values():
            for replica_id, load_s in message.loads.items():
                board.on_foreign_load(message.sender, replica_id, load_s, now)

    def begin_phase(self, job: Job, number: int) -> None:
        """Let the pieces of a phase wait for calls; one without pieces is done at once."""
        now = self.clock.monotonic()
        job.started.add(number)
        phase = job.place.phases[number]
        queue = self.queues.get(phase.service)
        if queue is None:
            self.reject(job, 'unknown-stage')
            return
        for index in range(phase.pieces):
            piece = Piece(job=job, phase=number, index=index, tries=job.tries)
            job.pieces.setdefault(number, []).append(piece)
            if job.results[number][index] is None:
                queue.add(piece, now)

    def place_engine(self, job: Job) -> None:
        """Choose the engine and tell the box."""
        now = self.clock.monotonic()
        board = self.boards[job.place.service]
        choice = board.choose(job, now)
        if choice is None:
            self.reject(job, 'no-engine')
            return
        board.begin(choice, job, now)
        replica = choice.engine.replica.id
        job.placed_on = replica
        self.admission.learn(job, now - job.arrived_at)
        inputs = tuple(result.handle for result in job.final_results())
        self.observer.on_placed(job, choice.engine.replica, choice.cost_s, now - job.arrived_at)
        placed = Placed(
            job=job.id,
            replica=replica,
            inputs=inputs,
            cost_s=choice.cost_s,
            scheduler=self.own_address,
        )
        self.send(job.place.reply_to, placed)

    def reject(self, job: Job, reason: str, retry_after_s: float = RETRY_AFTER_S) -> None:
        """Tell the box that a job is not placed, and end it."""
        self.observer.on_rejected(job, reason, retry_after_s)
        rejected = Rejected(job=job.id, reason=reason, retry_after_s=retry_after_s)
        self.send(job.place.reply_to, rejected)
        self.end(job)

    def on_started(self, message: RunStarted) -> None:
        """Note that an engine has read its inputs and prompt."""
        job = self.jobs.get(message.job)
        if job is None or job.placed_on is None:
            return
        self.boards[job.place.service].started(job.placed_on, job.id)
        self.give_up(job.all_results())

    def on_ended(self, message: RunEnded) -> None:
        """Note that a job is over."""
        job = self.jobs.get(message.job)
        if job is None:
            return
        if job.placed_on is not None:
            now = self.clock.monotonic()
            board = self.boards[job.place.service]
            board.ended(job.placed_on, job.id, failed=message.failed, now=now)
        self.end(job)

    def end(self, job: Job) -> None:
        """Forget a job and give its results up."""
        job.ended = True
        self.jobs.pop(job.id, None)
        self.give_up(job.all_results())
        for queue in self.queues.values():
            queue.drop_stale()

    def give_up(self, results: list[Result]) -> None:
        """Have results freed at their makers soon."""
        for result in results:
            if result.freed:
                continue
            result.freed = True
            self.to_free.setdefault(result.maker, []).append(result.handle)

    def free_due(self) -> None:
        """Send what is to be freed, one call a maker."""
        for maker, handles in self.to_free.items():
            replica = self.replicas.replicas.get(maker)
            for queue in self.queues.values():
                if maker in queue.replicas:
                    for handle in handles:
                        queue.replicas[maker].free(handle)
            if replica is not None:
                self.spawn(self.free(replica.address, handles))
        self.to_free = {}

    async def free(self, address: str, handles: list[str]) -> None:
        """Give results up; if that fails they run out by themselves."""
        try:
            await self.caller.free(address, handles)
        except BackendError as error:
            self.observer.on_free_failed(address, len(handles), error)

    def dispatch(self) -> None:
        """Make every call that should be made now."""
        now = self.clock.monotonic()
        held = self.pacing.held(self.jobs.values(), self.queues)
        for queue in self.queues.values():
            while (batch := queue.next_batch(now, held)) is not None:
                # Described now: before the task runs, a job may have to make its inputs anew.
                calls = [self.piece_call(piece, now) for piece in batch.pieces]
                for job in jobs_of(batch):
                    job.open_calls += 1
                self.spawn(self.call(queue, batch, calls))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self, queue: StageQueue, batch: StageBatch, calls: list[PieceCall]) -> None:
        """Make one call and take its results in."""
        begun = self.clock.monotonic()
        replica = batch.target.replica
        fetched = asyncio.get_running_loop().call_later(FETCHED_S, self.on_fetched, batch)
        limit_s = queue.expected_s(len(calls)) * SLOW_FACTOR + CALL_GRACE_S
        try:
            async with asyncio.timeout(limit_s):
                results = await self.caller.run(replica, calls)
        except (BackendError, TimeoutError) as error:
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
        queue.finished(batch, made, now)
        batch.target.on_time(now - begun, queue.expected_s(len(calls)), now)
        self.observer.on_stage_call(
            queue.service, replica.id, batch.pieces, now - begun, outcome_of(results)
        )
        for piece, result in zip(batch.pieces, results, strict=True):
            self.take_result(queue, batch, piece, result)
        self.tell_made(batch)
        for job in jobs_of(batch):
            self.after_call(job)
        self.dispatch()

    def on_hand_over(self) -> None:
        """Note that another box schedules or has scheduled beside this one until now."""
        self.alone_from = max(self.alone_from, self.clock.monotonic() + OVERLAP_S)

    def on_take_over(self) -> None:
        """Learn what room another scheduler's results take."""
        self.on_hand_over()
        for queue in self.queues.values():
            for target in queue.replicas.values():
                self.spawn(self.learn_room(queue, target))

    async def learn_room(self, queue: StageQueue, target: StageReplica) -> None:
        """Ask a replica how much room it has; without an answer its own word is waited for."""
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                free_bytes = await self.caller.free_bytes(target.replica)
        except (BackendError, TimeoutError) as error:
            self.observer.on_report_failed(target.replica, error)
            return
        target.on_free_bytes(free_bytes, queue.spec, self.clock.monotonic())
        self.dispatch()

    def close_call(self, batch: StageBatch) -> None:
        """Note that a call is over."""
        for job in jobs_of(batch):
            job.open_calls -= 1

    def on_fetched(self, batch: StageBatch) -> None:
        """Give the inputs up that every piece reading them has fetched."""
        if self.clock.monotonic() < self.alone_from:
            return
        for piece in batch.pieces:
            piece.fetched = True
        for job in jobs_of(batch):
            self.give_up_read(job)

    def give_up_read(self, job: Job) -> None:
        """Give the results up that all their readers have fetched."""
        freed = []
        for number, results in job.results.items():
            kept = [item for item in results if item is not None and not item.freed]
            if kept and job.readers_fetched(number):
                self.give_up(kept)
                freed.append(number)
        if freed:
            self.tell_progress(job, (), tuple(freed))

    def tell_made(self, batch: StageBatch) -> None:
        """Tell the boxes of a call's jobs which results it brought."""
        for job in jobs_of(batch):
            made = [
                job.made(piece.phase, piece.index)
                for piece in batch.pieces
                if piece.job is job and not piece.stale
            ]
            results = tuple(item for item in made if item is not None)
            if results:
                self.tell_progress(job, results, ())

    def tell_progress(
        self, job: Job, results: tuple[MadeResult, ...], freed: tuple[int, ...]
    ) -> None:
        """Tell a job's box what another scheduler would have to know."""
        if not job.ended and job.place.reply_to != self.own_address:
            self.send(job.place.reply_to, Progress(job=job.id, results=results, freed=freed))

    def piece_call(self, piece: Piece, now: float) -> PieceCall:
        """Describe a piece to its replica."""
        job = piece.job
        inputs = tuple(result.handle for result in job.inputs_of(piece.phase))
        reads = bool(piece.work.needs)
        return PieceCall(
            call_id=job.place.call_id,
            phase=piece.phase,
            number=piece.index,
            remaining_s=max(0.0, job.deadline_at - now),
            piece_key=job.place.piece_key,
            inputs=inputs if reads else None,
        )

    def on_call_failed(
        self, queue: StageQueue, batch: StageBatch, error: Exception, begun: float
    ) -> None:
        """Let the pieces of a failed call wait again."""
        self.close_call(batch)
        now = self.clock.monotonic()
        full = isinstance(error, NotStarted)
        queue.failed(batch, now, full=full)
        self.observer.on_stage_call(
            queue.service, batch.target.replica.id, batch.pieces, now - begun, repr(error)
        )
        for piece in batch.pieces:
            self.try_again(queue, piece, full=full)
        for job in jobs_of(batch):
            self.advance(job)
        self.dispatch()

    def try_again(self, queue: StageQueue, piece: Piece, *, full: bool) -> None:
        """Let a piece wait again, or end its job when it failed too often or its time is over."""
        now = self.clock.monotonic()
        if full:
            piece.tries -= 1
        if piece.stale:
            return
        if piece.tries >= MAX_PIECE_TRIES or now >= piece.job.deadline_at:
            self.reject(piece.job, 'stage-failed')
            return
        if piece.inputs_gone:
            self.remake_inputs(piece.job, piece)
            return
        queue.add(piece, now)

    def take_result(
        self, queue: StageQueue, batch: StageBatch, piece: Piece, result: PieceResult
    ) -> None:
        """Note a piece's result, or let it wait again."""
        target = batch.target.replica
        job = piece.job
        if result.handle is not None:
            made = Result(
                handle=result.handle,
                maker=target.id,
                zone=target.zone,
                size=piece.result_bytes,
                made_at=self.clock.monotonic(),
            )
            if piece.stale:
                self.give_up([made])
                return
            job.results[piece.phase][piece.index] = made
            return
        if result.reason == 'gone' and self.freed_early(piece):
            self.alone_from = max(self.alone_from, self.clock.monotonic() + DOUBT_S)
        if piece.stale:
            return
        if result.reason == 'gone':
            self.remake_inputs(job, piece)
            return
        if result.reason == 'late':
            self.reject(job, 'deadline-passed')
            return
        full = result.reason == 'room'
        if full and batch.target.no_room_until <= self.clock.monotonic():
            queue.no_room(batch, self.clock.monotonic())
        self.try_again(queue, piece, full=full)

    def freed_early(self, piece: Piece) -> bool:
        """Tell whether an input was given up before the piece had it, not lost with its maker."""
        return any(
            item is not None and item.freed and item.maker in self.replicas.replicas
            for need in piece.work.needs
            for item in piece.job.results[need]
        )

    def remake_inputs(self, job: Job, piece: Piece) -> None:
        """Make the inputs of a piece anew, since its replica found one gone."""
        if job.pieces.get(piece.phase) is None or piece not in job.pieces[piece.phase]:
            return
        if piece.tries >= MAX_PIECE_TRIES:
            self.reject(job, 'result-gone')
            return
        self.remake(job, [*piece.work.needs, piece.phase])

    def remake(self, job: Job, phases: list[int]) -> None:
        """Forget phases' results and go on from what is left."""
        tries = max((item.tries for made in job.pieces.values() for item in made), default=0)
        for phase in phases:
            self.give_up([item for item in job.results[phase] if item is not None])
            job.invalidate(phase)
        for queue in self.queues.values():
            queue.drop_stale()
        if tries >= MAX_PIECE_TRIES:
            self.reject(job, 'result-gone')
            return
        job.tries = tries
        self.advance(job)

    def after_call(self, job: Job) -> None:
        """Go on with a job after a call: free what was read, begin what can be begun."""
        if job.ended:
            return
        self.give_up_read(job)
        self.advance(job)


def board_of(spec: EngineSpec) -> EngineBoard:
    """Return the board of a service's engines."""
    return EngineBoard(slots=spec.slots, kv_tokens=spec.kv_tokens)


def jobs_of(batch: StageBatch) -> list[Job]:
    """Return the jobs whose pieces a call holds, each once."""
    return list({piece.job.id: piece.job for piece in batch.pieces}.values())


def outcome_of(results: list[PieceResult]) -> str:
    """Return the reasons of a call's pieces in one word."""
    reasons = sorted({result.reason for result in results if result.reason})
    return '+'.join(reasons) or 'ok'
