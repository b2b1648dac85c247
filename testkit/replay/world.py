"""Replay a pattern of load with callers, one active scheduler, and simulated replicas."""

from __future__ import annotations

import asyncio
import bisect
import random
from typing import TYPE_CHECKING, Any, NamedTuple

from calicopath_core.fleet.deployment import Deployment, ServiceSpec
from calicopath_core.fleet.replicas import ReplicaTable
from calicopath_core.scheduling.client import PendingJob, PlacementRejected, check_time_left
from calicopath_core.scheduling.inbox import Inbox, call_on_loop
from calicopath_core.scheduling.messages import (
    AdoptJob,
    Placed,
    PlaceJob,
    Progress,
    Rejected,
    RunEnded,
)
from calicopath_core.scheduling.messages import RunStarted as Started
from calicopath_core.scheduling.scheduler import TICK_INTERVAL_S, Scheduler
from calicopath_core.scheduling.shedding import BUSY_REASON, busy_retry_after_s
from calicopath_core.scheduling.starts import WarmupTerms
from testkit.ledgers import new_guard
from testkit.replay import outcomes as counting
from testkit.replay.engines import REREAD_WINDOW_S, ReplayEngine
from testkit.replay.faults import disturb_replicas, evacuate_failure_domain
from testkit.replay.fleet import ENGINE, Fleet, fleet_of
from testkit.replay.load import (
    CLUSTERED_PATTERNS,
    FLOODING_WORKSPACE,
    PATTERNS,
    Arrival,
    Fault,
    LoadGenerator,
    Pattern,
)
from testkit.replay.outcomes import EARLY_REFUSAL_SHARE, Figures, Outcome
from testkit.replay.processor import (
    CostMeter,
    CountedCost,
    Processor,
    ProcessorClock,
    QueuedResults,
)
from testkit.replay.routes import routes_of, workspaces_of
from testkit.replay.stages import ReplayStages
from testkit.replay.watching import CountingObserver, Stopwatch
from testkit.virtual import VirtualClock, run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

    from calicopath_core.scheduling.interfaces import PieceCall, StageCaller
    from testkit.replay.engines import SlowMoments


NETWORK_S = 0.002
"""Latency of a message between boxes."""

WARMUP_TERMS = WarmupTerms(overage=1.5, slack=5.0)
"""Terms of the allowed excess over a cold engine's rate of starts."""


DETECTION_DELAY_S = 0.75
"""Time until boxes replace a silent scheduler."""

DOWN_S = 1.4
"""Downtime of all boxes after they were killed."""

RETURN_SPREAD_S = 0.5
"""Period over which callers return after their boxes were killed."""

MAX_ATTEMPTS = 2
RETRY_SHARE = 1 / 3
"""Callers wait for the requested delay, but at most this share of their remaining time."""

SLOW_MOMENTS_UNTIL_S = 60.0
"""Until when slow moments are drawn; longer than a replay."""

TIMED_METHODS = ('on_place', 'on_started', 'on_ended', 'tick', 'advance')
TIMED_STAGE_METHODS = ('dispatch', 'on_freed', 'on_result')
TIMED_RELEASE_METHODS = ('report_results', 'free_read', 'on_fetched')
TIMED_SUCCESSION_METHODS = ('on_adopt',)
TIMED_INBOX_METHODS = ('on_request', 'end_slice')


class Variant(NamedTuple):
    """Name a variant of the scheduler; `apply` replaces mechanisms of a new scheduler."""

    name: str
    apply: Callable[[Scheduler], None] = lambda scheduler: None


class World:
    """Run one replay.

    With a `share`, decisions take time on a box with that share of a core, as `meter` tells it, and
    boxes refuse requests without an answer; without one they take no time.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        pattern: Pattern,
        seed: int,
        variant: Variant,
        share: float | None = None,
        meter: CostMeter | None = None,
    ) -> None:
        self.share = share
        self.meter = meter or CountedCost()
        self.processor: Processor | None = None
        self.inbox: Inbox | None = None
        self.undecided = 0
        self.unanswered = 0
        self.fleet = fleet
        self.pattern = pattern
        self.rng = random.Random(seed + 1)
        self.variant = variant
        self.arrivals = LoadGenerator(fleet=fleet, pattern=pattern, seed=seed).arrivals()
        self.clock = VirtualClock()
        self.table = ReplicaTable()
        self.sizes: dict[tuple[str, int], int] = {}
        self.stages = ReplayStages(specs=fleet.stage_specs, size_of=self.size_of)
        self.engines = {
            item.id: ReplayEngine(spec=fleet.engine_spec, speed=fleet.engine_speed_of(number))
            for number, item in enumerate(fleet.engine_replicas())
        }
        if fleet.slow_moments is not None:
            self.draw_slow_moments(fleet.slow_moments, seed)
        self.failure_domains = {item.id: item.failure_domain for item in fleet.replicas()}
        self.observer = CountingObserver()
        self.stopwatch = Stopwatch()
        self.pending_jobs: dict[str, PendingJob] = {}
        self.scheduler: Scheduler | None = None
        self.scheduler_task: asyncio.Task[None] | None = None
        self.down_until = 0.0
        self.scheduler_restarts = 0
        self.cold_engines: set[str] = set()
        self.cold_starts: dict[str, list[float]] = {}
        self.last_read_at: dict[str, float] = {}
        self.reread_tokens = 0
        self.used_work_s = 0.0
        self.outcomes: list[Outcome] = []

    def draw_slow_moments(self, moments: SlowMoments, seed: int) -> None:
        """Draw when each engine is slow; the moments are the same for all variants."""
        rng = random.Random(seed + 2)
        for engine in self.engines.values():
            engine.moments = moments
            engine.moment_starts = moments.draw(rng, SLOW_MOMENTS_UNTIL_S)

    def size_of(self, call: PieceCall) -> int:
        """Return the size of a piece's result in bytes."""
        return self.sizes[call.call_id, call.phase]

    def new_scheduler(self) -> Scheduler:
        """Start a scheduler without any jobs."""
        for replica in self.fleet.replicas():
            if (
                replica.id not in self.table.replicas
                and not self.stages.state_of(replica.id).is_dead
            ):
                self.table.put(replica)
        clock = self.clock
        caller: StageCaller = self.stages
        processor = self.processor = self.new_processor()
        if processor is not None:
            clock = ProcessorClock(processor=processor)
            caller = QueuedResults(stages=self.stages, processor=processor)
        found = Scheduler(
            clock=clock,
            replicas=self.table,
            caller=caller,
            send=self.send,
            observer=self.observer,
            own_address=f'scheduler-{self.scheduler_restarts}',
            select_replicas=lambda replicas: replicas,
            crashes=new_guard(),
            warmup=WARMUP_TERMS,
            promises_returns=True,
        )
        found.on_deployment(self.deployment())
        self.variant.apply(found)
        call_soon = call_on_loop if processor is None else processor.submit
        self.inbox = Inbox(scheduler=found, clock=clock, call_soon=call_soon)
        watch = self.stopwatch if processor is None else processor
        watch.wrap(found, TIMED_METHODS)
        watch.wrap(found.stages, TIMED_STAGE_METHODS)
        watch.wrap(found.stages.release, TIMED_RELEASE_METHODS)
        watch.wrap(found.succession, TIMED_SUCCESSION_METHODS)
        watch.wrap(self.inbox, TIMED_INBOX_METHODS)
        work = found.run() if processor is None else self.run_ticks(found, processor)
        self.scheduler_task = asyncio.create_task(work)
        return found

    def new_processor(self) -> Processor | None:
        """Return the processor of the scheduler's box, `None` if decisions take no time."""
        return None if self.share is None else Processor(share=self.share, meter=self.meter)

    async def run_ticks(self, scheduler: Scheduler, processor: Processor) -> None:
        """Run the scheduler's periodic work when its box has time for it."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            await processor.turn()
            scheduler.tick()

    def deployment(self) -> Deployment:
        """Return a deployment with the services of the fleet."""
        stages = [
            ServiceSpec(name, '', 100, spec, None) for name, spec in self.fleet.stage_specs.items()
        ]
        engine = ServiceSpec(ENGINE, '', 100, None, self.fleet.engine_spec, self.fleet.warmup)
        return Deployment(
            version=1,
            routes=routes_of(self.fleet) if self.fleet.has_routes else (),
            services=(*stages, engine),
            workspaces=workspaces_of(self.pattern.workspaces),
            limits=None,  # type: ignore[arg-type]
        )

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Deliver a scheduler's message to the box after the network latency."""
        if self.share is None and is_acknowledgement(message):
            # Without refusals by boxes it changes nothing, but the order of events at equal times.
            return
        delay_s = NETWORK_S + (self.processor.delay_s() if self.processor is not None else 0.0)
        asyncio.get_running_loop().call_later(delay_s, self.on_message, message)

    def on_message(self, message: msgspec.Struct) -> None:
        """Process a scheduler's message."""
        pending = self.pending_jobs.get(getattr(message, 'job', ''))
        if pending is None:
            return
        if isinstance(message, Progress):
            pending.on_heard(self.clock.monotonic())
            pending.on_progress(message)
        elif isinstance(message, Placed | Rejected) and not pending.answer.done():
            pending.answer.set_result(message)  # type: ignore[arg-type]

    def send_to_scheduler(self, message: msgspec.Struct) -> None:
        """Deliver a box's message to the current scheduler after the network latency."""

        def arrive() -> None:
            if self.processor is None:
                self.handle(message)
            else:
                self.processor.submit(lambda: self.handle(message))

        asyncio.get_running_loop().call_later(NETWORK_S, arrive)

    def handle(self, message: msgspec.Struct) -> None:
        """Handle a message at the scheduler's box."""
        scheduler, inbox = self.scheduler, self.inbox
        if scheduler is None or inbox is None:
            return
        if isinstance(message, PlaceJob | AdoptJob):
            inbox.on_request(message)
        elif isinstance(message, Started):
            scheduler.on_started(message)
        elif isinstance(message, RunEnded):
            inbox.on_withdrawn(message.job)
            scheduler.on_ended(message)

    async def run(self) -> Figures:
        """Replay the pattern and return its figures."""
        self.scheduler = self.new_scheduler()
        faults = [asyncio.create_task(self.apply_fault(fault)) for fault in self.pattern.faults]
        callers = [asyncio.create_task(self.run_caller(item)) for item in self.arrivals]
        await asyncio.gather(*callers)
        await asyncio.gather(*faults)
        await self.stop_scheduler()
        return self.figures()

    async def apply_fault(self, fault: Fault) -> None:
        """Apply a fault to replicas or the scheduler at its time."""
        await asyncio.sleep(fault.at)
        if fault.kind == 'killed':
            self.down_until = self.clock.monotonic() + DOWN_S
            self.scheduler_restarts += 1
            await self.stop_scheduler()
            await asyncio.sleep(DOWN_S)
            await self.start_successor(with_jobs=False)
        elif fault.kind == 'silent':
            self.scheduler_restarts += 1
            await self.stop_scheduler()
            await asyncio.sleep(DETECTION_DELAY_S)
            await self.start_successor(with_jobs=True)
        elif fault.kind == 'out':
            await evacuate_failure_domain(self, fault)
        else:
            await disturb_replicas(self, fault)

    async def stop_scheduler(self) -> None:
        """Stop the scheduler and cancel its calls; replicas finish the work they have started."""
        scheduler, self.scheduler = self.scheduler, None
        if scheduler is None or self.scheduler_task is None:
            return
        self.table.listeners.remove(scheduler.on_replicas)
        tasks = [self.scheduler_task, *scheduler.stages.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def start_successor(self, *, with_jobs: bool) -> None:
        """Start the next scheduler; with `with_jobs`, boxes send it their pending jobs again."""
        self.scheduler = self.new_scheduler()
        waiting = [item for item in self.pending_jobs.values() if not item.answer.done()]
        self.scheduler.stages.on_take_over(has_work=with_jobs and bool(waiting))
        if with_jobs:
            now = self.clock.monotonic()
            for pending in waiting:
                pending.schedulers.append(self.scheduler.own_address)
                pending.on_new_scheduler(now, acknowledges=True)
                pending.silent_scheduler = 'gone'
                self.send_to_scheduler(pending.request(now))

    async def run_caller(self, arrival: Arrival) -> None:
        """Send one request, with up to `MAX_ATTEMPTS` attempts within its deadline."""
        await asyncio.sleep(arrival.at)
        refusals = 0
        answered: float | None = None
        retry_answered: float | None = None
        refused_early = False
        for number in range(MAX_ATTEMPTS):
            if self.clock.monotonic() < self.down_until:
                await self.wait_for_boxes()
            left_s = arrival.at + arrival.kind.deadline_s - self.clock.monotonic()
            if left_s <= 0:
                break
            began_at = self.clock.monotonic()
            result = await self.attempt(arrival, number, left_s)
            took_s = self.clock.monotonic() - began_at
            if result == 0.0:
                answered = self.clock.monotonic() - arrival.at
                retry_answered = took_s if refused_early else None
                break
            refusals += 1
            refused_early = took_s <= EARLY_REFUSAL_SHARE * arrival.kind.objective_s
            await asyncio.sleep(min(result, RETRY_SHARE * left_s))
        self.outcomes.append(Outcome(arrival, answered, refusals, retry_answered))

    async def wait_for_boxes(self) -> None:
        """Wait until boxes are back, plus a random delay per caller."""
        back_s = self.down_until - self.clock.monotonic()
        await asyncio.sleep(back_s + RETURN_SPREAD_S * self.rng.random())

    async def attempt(self, arrival: Arrival, number: int, left_s: float) -> float:
        """Make one attempt; return 0 if its response began, else the retry delay in seconds."""
        name = f'{arrival.name}-{number}'
        for index, phase in enumerate(arrival.phases):
            self.sizes[name, index] = phase.result_bytes
        place = self.place_request(arrival, name, left_s)
        try:
            check_time_left(place)
        except PlacementRejected as error:
            return error.retry_after_s
        pending = self.pending_jobs[name] = PendingJob(place=place, now=self.clock.monotonic())
        scheduler_restarts = self.scheduler_restarts
        self.send_to_scheduler(place)
        try:
            async with asyncio.timeout(left_s):
                answer: Any = await self.wait_answer(pending, scheduler_restarts)
        except TimeoutError:
            self.undecided += pending.unanswered_since is not None
            self.end_job(name)
            return left_s
        if answer is None or isinstance(answer, Rejected):
            self.end_job(name)
            return 1.0 if answer is None else max(0.001, answer.retry_after_s)
        return await self.run_engine(arrival, name, answer)

    async def wait_answer(self, pending: PendingJob, scheduler_restarts: int) -> Any:
        """Return the scheduler's answer, or `None` if the boxes were killed first."""
        while not pending.answer.done():
            await asyncio.wait({pending.answer}, timeout=0.05)
            if self.clock.monotonic() < self.down_until:
                return None
            if self.share is not None and pending.is_overdue(self.clock.monotonic()):
                self.unanswered += not pending.answer.done()
                return self.answer_or_refusal(pending)
        return pending.answer.result()

    def answer_or_refusal(self, pending: PendingJob) -> Any:
        """Return the answer to a job, or the refusal by its own box if there is none."""
        if pending.answer.done():
            return pending.answer.result()
        place = pending.place_with_time_left(self.clock.monotonic())
        return Rejected(place.job, BUSY_REASON, busy_retry_after_s(place))

    def place_request(self, arrival: Arrival, name: str, left_s: float) -> PlaceJob:
        """Return the request that asks the scheduler to place the job."""
        kind = arrival.kind
        return PlaceJob(
            job=name,
            reply_to='box',
            failure_domain=arrival.failure_domain,
            call_id=name,
            piece_key=name,
            priority=kind.priority,
            objective_s=kind.objective_s,
            deadline_s=left_s,
            service=ENGINE,
            phases=arrival.phases,
            prompt=arrival.prompt,
            workspace=arrival.workspace,
            content=arrival.name,
        )

    async def run_engine(self, arrival: Arrival, name: str, placed: Placed) -> float:
        """Run a placed request; return 0 after its first event, else the retry delay in seconds."""
        engine, failure_domain = self.engines[placed.replica], self.failure_domains[placed.replica]
        await asyncio.sleep(NETWORK_S)
        for handle in placed.inputs:
            item = self.stages.results.get(handle)
            if item is None:
                self.stages.missing_inputs += 1
                self.end_job(name)
                return 0.01
            self.used_work_s += item.work_s
            if item.failure_domain != failure_domain:
                self.stages.cross_domain_bytes += item.size
        now = self.clock.monotonic()
        if placed.replica in self.cold_engines:
            self.cold_starts.setdefault(placed.replica, []).append(now)
        self.count_reread(arrival, engine, now)
        first_at, _ = engine.prefill(arrival.prompt, now)
        engine.running += 1
        await asyncio.sleep(first_at - now)
        pace = engine.pace(first_at) if engine.moment_starts else None
        self.send_to_scheduler(Started(job=name, sender='box', pace=pace))
        decode_s = engine.decode_s(arrival.prompt.tokens_out)
        asyncio.get_running_loop().call_later(decode_s, self.end_run, engine, name)
        return 0.0

    def count_reread(self, arrival: Arrival, engine: ReplayEngine, now: float) -> None:
        """Count the tokens of shared parts that an engine read within `REREAD_WINDOW_S`."""
        kept = True
        for part in arrival.prompt.parts[:-1]:
            kept = kept and part.id in engine.cached_parts
            read_at = self.last_read_at.get(part.id)
            if not kept and read_at is not None and now - read_at < REREAD_WINDOW_S:
                self.reread_tokens += part.tokens
            self.last_read_at[part.id] = now

    def end_run(self, engine: ReplayEngine, name: str) -> None:
        """Finish a run at its engine."""
        engine.running -= 1
        self.end_job(name)

    def end_job(self, name: str) -> None:
        """Remove a job and report its end to the scheduler."""
        self.pending_jobs.pop(name, None)
        self.send_to_scheduler(RunEnded(job=name, sender='box', failed=False))

    def cost_s(self) -> float:
        """Return the processor time of the scheduler in seconds, as measured or as charged."""
        return self.stopwatch.cpu_s if self.processor is None else self.processor.charged_s

    def figures(self) -> Figures:
        """Return the figures of the replay."""
        jobs = max(1, len(self.pending_jobs) + len(self.outcomes))
        others = [item for item in self.outcomes if item.arrival.workspace != FLOODING_WORKSPACE]
        return Figures(
            worth=counting.worth_share(self.outcomes),
            worst_window=counting.min_window_share(self.outcomes),
            by_kind=counting.worth_by_kind(self.outcomes),
            by_workspace=counting.worth_by_workspace(self.outcomes),
            others=counting.worth_by_kind(others),
            refused=sum(item.refusals for item in self.outcomes),
            reread_tokens=self.reread_tokens,
            cross_domain_bytes=self.stages.cross_domain_bytes,
            stage_work_s=self.stages.work_s,
            calls=self.stages.calls,
            rejected_for_space=self.stages.rejected_for_space,
            max_cold_starts=max(map(max_within_a_second, self.cold_starts.values()), default=0),
            cost_ms=1000 * self.cost_s() / jobs,
            undecided=self.undecided,
            unanswered=self.unanswered,
            rejected=dict(self.observer.rejected),
            calls_by_second=counting.count_by_second(self.stages.called_at),
            in_time=counting.in_time_share(self.outcomes),
            all_others=counting.worth_share(others),
        )


def is_acknowledgement(message: msgspec.Struct) -> bool:
    """Tell whether a message only acknowledges that a job was admitted."""
    return isinstance(message, Progress) and not message.results and not message.freed


def max_within_a_second(times: list[float]) -> int:
    """Return the largest number of sorted times that lie within one second."""
    return max(bisect.bisect_left(times, at + 1.0) - n for n, at in enumerate(times))


def replay(
    pattern: str,
    seed: int,
    variant: Variant | None = None,
    fleet: Fleet | None = None,
    share: float | None = None,
    meter: CostMeter | None = None,
) -> Figures:
    """Replay a pattern of load and return its figures; `share` and `meter` are those of `World`."""
    world = World(
        fleet=fleet or fleet_of(),
        pattern={**PATTERNS, **CLUSTERED_PATTERNS}[pattern],
        seed=seed,
        variant=variant or Variant('ours'),
        share=share,
        meter=meter,
    )
    return run_virtual(world.run())
