"""Choose an engine for each job by the work that this scheduler has placed on the engines."""

from __future__ import annotations

import statistics
import zlib
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.pace import PaceEstimates
from calicopath_core.permits.issuer import PermitIssuer, UnlimitedIssuer
from calicopath_core.scheduling.backoffs import FleetBackoffs
from calicopath_core.scheduling.prompt_speed import PromptSpeed
from calicopath_core.scheduling.starts import START_WINDOW_S, RecentStarts

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.jobs import Job, Result
    from calicopath_core.scheduling.messages import Prompt
    from calicopath_core.scheduling.starts import StartLimit
    from calicopath_core.versions.declaring import DeclarationWait

DECODE_S_PER_TOKEN = 0.00005
"""Delay that one generated token adds to the other runs on the engine. A decoding step grows by 4
us per run and by 9 us per thousand tokens that the run holds. Charging each token its share of the
whole step, 0.3 ms, makes engines with many streams look saturated: the mean worth of days with
faults is 0.03 lower."""

TRANSFER_COST_S_PER_BYTE = 0.1 / 1_000_000
"""Cost of moving a result between failure domains: 100 ms per megabyte. From 40 to 150 ms the mean
worth stays the same to within 0.01."""

RECOMPUTE_COST_S_PER_TOKEN = 0.15 / 1000
"""Cost of reading again a shared prompt part that another engine has cached; the users price a
thousand tokens like 3.6 MB moved between failure domains. It counts in full only while the latency
budget allows."""

PREFIX_CACHE_TTL_S = 9.0
"""How long after its last use a prompt part is expected to be cached; the users price what is read
again within 9.1 to 9.6 s."""

LATENCY_BUDGET_SHARE = 0.3
"""Share of the time left until the objective within which transfer and recompute costs count in
full; beyond it, the time to the first event decides."""

OVER_BUDGET_COST_WEIGHT = 0.3
"""Weight of transfer and recompute costs for an engine that exceeds the latency budget."""

OVER_BUDGET_PENALTY_S = 10.0
"""Penalty that sorts engines over the latency budget behind those within it."""

BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 10.0
"""How long an engine that failed a run is ejected; the base time doubles with each failure in a
row."""

MIN_TOKENS_TO_OBSERVE = 500
"""Shortest prompt from which an engine's own speed is learned: with less to read, the delays of the
network and of busy boxes are most of the time."""

MEDIAN_PACE_TTL_S = 1.0

LOST_RUN_TIMEOUT_S = 30.0
"""A run without any report for this long is dropped; longer than any deadline of the users."""


MIN_FOREIGN_LOAD_TTL_S = 1.0
"""Minimum time for which work placed by a scheduler that stepped down is counted: by then its
prompts are read, or no further report about them will come."""


class Run(NamedTuple):
    """Hold the load that a run puts on its engine; `prefill_s` counts until the first event.

    The run is dropped at `expires_at`, in monotonic seconds, if its end is never reported.
    `tokens_alone` is how many tokens the engine reads for it, 0 if it has others to read first.
    """

    prefill_s: float
    decode_s: float
    expires_at: float
    tokens_alone: int = 0


class CachedPart(NamedTuple):
    """Hold a prompt part that an engine has cached; `last_used_at` is in monotonic seconds."""

    tokens: int
    last_used_at: float


class PromptKeys(NamedTuple):
    """Hold the cache keys of a prompt's parts with their lengths, and its length, in tokens."""

    keys: tuple[tuple[str, int], ...]
    tokens_in: int

    @property
    def shared_keys(self) -> tuple[tuple[str, int], ...]:
        """Return the keys of the parts that other requests may share: all but the last one."""
        return self.keys[:-1]


def prompt_keys(prompt: Prompt) -> PromptKeys:
    """Return the cache keys of a prompt's parts; a part is cached per model."""
    keys = tuple((f'{prompt.model}/{part.id}', part.tokens) for part in prompt.parts)
    return PromptKeys(keys, prompt.tokens_in)


class Engine:
    """Track one engine's runs and the prompt parts that were sent there.

    `tie_breaker` orders engines of equal cost; `load_s` is the work that waits here, in seconds.
    """

    def __init__(self, *, replica: Replica, tie_breaker: int = 0) -> None:
        self.replica = replica
        self.tie_breaker = tie_breaker
        self.runs: dict[str, Run] = {}
        self.load_s = 0.0
        self.cached_parts: OrderedDict[str, CachedPart] = OrderedDict()
        self.cached_tokens = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.recent_starts = RecentStarts()

    def add_run(self, job_id: str, run: Run) -> None:
        """Add a run and its load, in place of a run with the same identifier."""
        self.remove_run(job_id)
        self.runs[job_id] = run
        self.load_s += run.prefill_s + run.decode_s

    def remove_run(self, job_id: str) -> None:
        """Remove a run and its load, if the run is known."""
        run = self.runs.pop(job_id, None)
        if run is not None:
            self.load_s -= run.prefill_s + run.decode_s
        if not self.runs:
            # Reset rounding errors, which would accumulate over days.
            self.load_s = 0.0

    def can_start_run(self, limit: StartLimit | None, now: float) -> bool:
        """Tell whether one more run may start here now; `limit` is `None` where none applies."""
        if limit is None:
            return True
        return self.recent_starts.count(now) < (limit.cold if self.replica.cold else limit.warm)

    def has_unread_prompts(self) -> bool:
        """Tell whether a run here has not reported its first event."""
        return any(run.prefill_s > 0 for run in self.runs.values())

    def uncached_tokens(self, prompt: PromptKeys) -> int:
        """Return how many prompt tokens the engine would have to read after the cached prefix."""
        cached_tokens = 0
        for key, tokens in prompt.keys:
            if key not in self.cached_parts:
                break
            cached_tokens += tokens
        return max(0, prompt.tokens_in - cached_tokens)

    def record_cached(self, prompt: PromptKeys, capacity: int, now: float) -> None:
        """Record a prompt's parts as cached and evict the least recently used ones.

        `capacity` is the size of the engine's cache, in tokens.
        """
        for key, tokens in prompt.keys:
            if key not in self.cached_parts:
                self.cached_tokens += tokens
            self.cached_parts[key] = CachedPart(tokens, now)
            self.cached_parts.move_to_end(key)
        while self.cached_tokens > capacity and self.cached_parts:
            self.cached_tokens -= self.cached_parts.popitem(last=False)[1].tokens

    def has_cached(self, key: str, now: float) -> bool:
        """Tell whether the engine is expected to have a part cached."""
        part = self.cached_parts.get(key)
        return part is not None and now - part.last_used_at < PREFIX_CACHE_TTL_S


class EngineChoice(NamedTuple):
    """Hold the chosen engine and the expected time to the job's first event, in seconds."""

    engine: Engine
    cost_s: float


class EnginePool:
    """Hold the engines of one service and choose among them.

    `salt` varies the order of engines of equal cost from box to box: boxes that schedule without
    knowing of each other would all choose the first engine listed.
    """

    def __init__(
        self,
        *,
        slots: int,
        kv_tokens: int,
        salt: str = '',
        backoffs: FleetBackoffs | None = None,
        permits: PermitIssuer | None = None,
        pace: PaceEstimates | None = None,
    ) -> None:
        self.permits = permits or UnlimitedIssuer()
        self.backoffs = backoffs or FleetBackoffs()
        self.pace = pace or PaceEstimates()
        self.prompt_speed = PromptSpeed()
        self.last_median_pace = 1.0
        self.median_pace_until = 0.0
        self.slots = slots
        self.salt = salt
        self.start_limit: StartLimit | None = None
        self.exclusive_from = 0.0
        self.kv_tokens = kv_tokens
        self.declared_versions: frozenset[str] | None = None
        self.declaration_wait: DeclarationWait | None = None
        self.engines: dict[str, Engine] = {}
        self.known_engines: dict[str, Engine] = {}

    def set_replicas(self, usable: Iterable[Replica], alive: Container[str] = ()) -> None:
        """Set which engines may be chosen; keep the state of those that are only `alive`.

        An engine in a failure domain that is taken out still runs streams and has prompts cached.
        Both count when the domain is restored; without them its first jobs would go to the busiest
        engines.
        """
        listed = {replica.id: replica for replica in usable}
        self.known_engines = {
            name: item for name, item in self.known_engines.items() if name in alive
        }
        for name, replica in listed.items():
            engine = (
                self.known_engines.get(name)
                or self.engines.get(name)
                or self.create_engine(replica)
            )
            engine.replica = replica
            self.known_engines[name] = engine
        order = sorted(listed, key=lambda name: self.known_engines[name].tie_breaker)
        self.engines = {name: self.known_engines[name] for name in order}

    def create_engine(self, replica: Replica) -> Engine:
        """Return an engine without any runs or cached parts."""
        return Engine(replica=replica, tie_breaker=zlib.crc32(f'{self.salt}/{replica.id}'.encode()))

    def on_activated(self, now: float) -> None:
        """Record that another box may have placed runs until now, and may do so a moment longer."""
        self.exclusive_from = now + START_WINDOW_S

    def current_start_limit(self, now: float) -> StartLimit | None:
        """Return how many runs this scheduler may start per engine, `None` without a limit."""
        if self.start_limit is None or now >= self.exclusive_from:
            return self.start_limit
        return self.start_limit.per_scheduler()

    def engines_for(self, job: Job) -> list[Engine]:
        """Return the engines that may run a job, even if they are busy now.

        A stream that has begun may only go on at the software version that began it. A new one
        begins at a declared version, unless there is no engine of any.
        """
        place = job.place
        allowed = [item for name, item in self.engines.items() if name not in place.exclude]
        if place.version is not None:
            return [item for item in allowed if item.replica.version == place.version]
        if not self.has_declared_engine():
            return allowed
        return [item for item in allowed if self.is_declared(item)]

    def is_declared(self, engine: Engine) -> bool:
        """Tell whether the version of an engine is known to be declared."""
        return self.declared_versions is not None and (
            engine.replica.version in self.declared_versions
        )

    def has_declared_engine(self) -> bool:
        """Tell whether any engine has a declared version."""
        return any(self.is_declared(engine) for engine in self.engines.values())

    def must_wait_for_declaration(self, job: Job, now: float) -> bool:
        """Tell whether a new stream must not begin yet, since no engine's version is declared."""
        wait = self.declaration_wait
        if wait is None or job.place.version is not None or self.has_declared_engine():
            return False
        return wait.must_wait(now)

    def has_engine_for(self, job: Job) -> bool:
        """Tell whether any engine may run a job, even if all are busy now."""
        return bool(self.engines_for(job))

    def choose(self, job: Job, now: float) -> EngineChoice | None:
        """Return the engine of least cost for a job, `None` if no engine accepts it now.

        The cost is the time to the first event plus the cost of transfers and of recomputation.
        Engines that failed or turned runs away recently are used only if there is no other.
        """
        if self.must_wait_for_declaration(job, now):
            return None
        inputs = job.final_results()
        start_limit = self.current_start_limit(now)
        usable = [
            engine
            for engine in self.engines_for(job)
            if len(engine.runs) < self.slots
            and engine.can_start_run(start_limit, now)
            and self.accepts_run(engine, job, now)
        ]
        healthy = [engine for engine in usable if self.is_healthy(engine, now)]
        candidates = healthy or usable
        if not candidates:
            return None
        prompt = prompt_keys(job.place.prompt)
        cached_keys = self.cached_shared_keys(prompt, now)
        latency_budget_s = (job.objective_at - now) * LATENCY_BUDGET_SHARE
        costs = []
        for engine in candidates:
            first_event_s = self.first_event_s(engine, prompt, now)
            locality_cost_s = self.locality_cost_s(engine, prompt, inputs, cached_keys, now)
            if first_event_s > latency_budget_s:
                locality_cost_s = OVER_BUDGET_PENALTY_S + OVER_BUDGET_COST_WEIGHT * locality_cost_s
            costs.append((first_event_s + locality_cost_s, first_event_s, engine))
        _, first_event_s, engine = min(costs, key=lambda item: item[0])
        return EngineChoice(engine, first_event_s)

    def accepts_run(self, engine: Engine, job: Job, now: float) -> bool:
        """Tell whether an engine accepts a run from a job's box now.

        It does not while the box backs off, while a trial run is pending, or without a permit.
        """
        replica = engine.replica.id
        backing_off = self.backoffs.is_backing_off(job.place.reply_to, replica, now)
        if backing_off or self.backoffs.in_trial(replica, now):
            return False
        return self.permits.available_in_s(engine.replica) <= 0

    def is_healthy(self, engine: Engine, now: float) -> bool:
        """Tell whether an engine has neither failed nor turned away runs recently."""
        avoided = self.backoffs.is_avoided(engine.replica.id, now)
        return engine.ejected_until <= now and not avoided

    def min_backoff_s(self, job: Job, now: float) -> float:
        """Return the seconds until the first engine accepts a run from a job's box, 0 for now."""
        replica_ids = (item.replica.id for item in self.engines_for(job))
        return self.backoffs.min_remaining_s(job.place.reply_to, replica_ids, now)

    def permit_wait_s(self, job: Job, ahead: int) -> float:
        """Return the seconds until an engine may be called for a job behind `ahead` others."""
        usable = [item.replica for item in self.engines_for(job)]
        return self.permits.wait_s(usable, ahead)

    def min_first_event_s(self, job: Job, now: float) -> float:
        """Return the least time to a job's first event over all healthy engines, in seconds."""
        prompt = prompt_keys(job.place.prompt)
        healthy = [item for item in self.engines_for(job) if item.ejected_until <= now]
        box = job.place.reply_to
        times = (
            self.first_event_s(engine, prompt, now)
            + self.backoffs.remaining_s(box, engine.replica.id, now)
            for engine in healthy
        )
        return min(times, default=0.0)

    def first_event_s(self, engine: Engine, prompt: PromptKeys, now: float) -> float:
        """Return the seconds of work before a prompt's first event on an engine."""
        prefill_s = engine.uncached_tokens(prompt) * self.prompt_speed.s_per_token
        return self.pace.duration_s(engine.replica.id, engine.load_s + prefill_s, now)

    def locality_cost_s(
        self,
        engine: Engine,
        prompt: PromptKeys,
        inputs: list[Result],
        cached_keys: set[str],
        now: float,
    ) -> float:
        """Return the cost of moving a job's results and of recomputing cached parts, in seconds."""
        failure_domain = engine.replica.failure_domain
        moved_bytes = sum(item.size for item in inputs if item.failure_domain != failure_domain)
        recomputed_tokens = sum(
            tokens
            for key, tokens in prompt.shared_keys
            if key in cached_keys and not engine.has_cached(key, now)
        )
        return (
            moved_bytes * TRANSFER_COST_S_PER_BYTE + recomputed_tokens * RECOMPUTE_COST_S_PER_TOKEN
        )

    def cached_shared_keys(self, prompt: PromptKeys, now: float) -> set[str]:
        """Return the shared parts of a prompt that at least one engine has cached."""
        engines = self.engines.values()
        return {
            key
            for key, _ in prompt.shared_keys
            if any(item.has_cached(key, now) for item in engines)
        }

    def start_run(self, choice: EngineChoice, job: Job, now: float) -> None:
        """Record a job's run on the chosen engine."""
        engine, prompt = choice.engine, prompt_keys(job.place.prompt)
        tokens = engine.uncached_tokens(prompt)
        prefill_s = tokens * self.prompt_speed.s_per_token
        decode_s = job.place.prompt.tokens_out * DECODE_S_PER_TOKEN
        reads_alone = not (engine.replica.cold or engine.has_unread_prompts())
        tokens_alone = tokens if reads_alone else 0
        engine.add_run(job.id, Run(prefill_s, decode_s, now + LOST_RUN_TIMEOUT_S, tokens_alone))
        engine.recent_starts.add(now)
        self.backoffs.on_placed(engine.replica.id, now)
        engine.record_cached(prompt, self.kv_tokens, now)

    def on_run_started(self, replica_id: str, job_id: str, placed_at: float, now: float) -> None:
        """Record that an engine has read a run's prompt, which shows that the engine is healthy."""
        self.backoffs.on_started(replica_id, placed_at, now)
        engine = self.known_engines.get(replica_id)
        run = engine.runs.get(job_id) if engine else None
        if engine is None or run is None:
            return
        engine.failures = 0
        if run.tokens_alone:
            self.learn_speed(replica_id, run.tokens_alone, now - placed_at, now)
        engine.add_run(job_id, run._replace(prefill_s=0.0, tokens_alone=0))

    def learn_speed(self, replica_id: str, tokens: int, took_s: float, now: float) -> None:
        """Learn from the time to a first event whose engine had nothing else to read.

        The speed of the service is that of the median engine. Without this reference, the service
        and all its engines could drift in opposite directions.
        """
        speed = self.prompt_speed
        pace = self.pace.lasting(replica_id, now) * self.pace.momentary(replica_id, now)
        speed.learn(tokens * pace / self.median_pace(now), took_s)
        if tokens >= MIN_TOKENS_TO_OBSERVE and speed.is_settled:
            reading_s = max(0.0, took_s - speed.base_s)
            expected_s = tokens * speed.learned_s_per_token
            self.pace.on_observed(replica_id, reading_s, expected_s, now)

    def median_pace(self, now: float) -> float:
        """Return the median of the engines' lasting factors, computed at most once a second."""
        if now >= self.median_pace_until:
            self.median_pace_until = now + MEDIAN_PACE_TTL_S
            paces = [self.pace.lasting(name, now) for name in self.engines]
            self.last_median_pace = statistics.median(paces) if paces else 1.0
        return self.last_median_pace

    def on_run_turned_away(self, replica_id: str, job_id: str, now: float) -> None:
        """Remove a run that its engine turned away, and avoid the engine for a while."""
        self.backoffs.on_turned_away(replica_id, now)
        self.on_run_ended(replica_id, job_id, failed=False, now=now)

    def on_run_ended(self, replica_id: str, job_id: str, *, failed: bool, now: float) -> None:
        """Remove a run from its engine; a failure ejects the engine and clears its cached parts."""
        engine = self.known_engines.get(replica_id)
        if engine is None:
            return
        engine.remove_run(job_id)
        if failed:
            engine.failures += 1
            ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2 ** (engine.failures - 1))
            engine.ejected_until = now + ejection_s
            engine.cached_parts.clear()
            engine.cached_tokens = 0

    def loads(self) -> dict[str, float]:
        """Return the work that waits at each engine with runs, in seconds by replica."""
        return {name: engine.load_s for name, engine in self.engines.items() if engine.runs}

    def on_foreign_load(self, sender: str, replica_id: str, load_s: float, now: float) -> None:
        """Count work that another scheduler has placed, for about as long as it takes."""
        engine = self.engines.get(replica_id)
        if engine is not None:
            engine.add_run(
                f'of {sender}', Run(load_s, 0.0, now + max(MIN_FOREIGN_LOAD_TTL_S, load_s))
            )

    def expire_lost_runs(self, now: float) -> None:
        """Drop runs whose end was never reported."""
        for engine in self.known_engines.values():
            for job_id, run in list(engine.runs.items()):
                if run.expires_at <= now:
                    engine.remove_run(job_id)
