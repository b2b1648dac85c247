"""Choose an engine for each job, by the work that this scheduler has sent there."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.permits.holder import UnlimitedIssuer, PermitIssuer
from calicopath_core.scheduling.backoffs import FleetBackoffs
from calicopath_core.scheduling.starts import WINDOW_S, Starts

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.jobs import Job, Result
    from calicopath_core.scheduling.messages import Prompt
    from calicopath_core.scheduling.starts import StartBound

PREFILL_S_A_TOKEN = 1 / 32_400
"""What reading a prompt token takes: engines that read 32 to 38 tokens a ms are known."""

DECODE_S_A_TOKEN = 0.00005
"""What one generated token costs those beside it: a step grows by 4 us for each run and by 9 us for
each thousand tokens that the run holds. Counted as a share of the whole step, 0.3 ms, engines with
many streams seemed to have no time: the mean worth of days with faults was 0.03 lower."""

CROSSING_S_A_BYTE = 0.1 / 1_000_000
"""What moving a result between zones counts as: 100 ms a megabyte. Mean worth is the same to within
0.01 from 40 to 150 ms."""

REREAD_S_A_TOKEN = 0.15 / 1000
"""What reading a shared prompt part again counts as that another engine keeps: the users price a
thousand tokens like 3.6 MB between zones. It leads the choice only while there is time for it."""

KEPT_S = 9.0
"""How long after its last use an engine is believed to keep a part; the users price what is read
again within 9.1 to 9.6 s."""

TIME_SHARE = 0.3
"""The part of the time left that an engine may need for prices to decide; beyond it, time does."""

HURRIED_SHARE = 0.3
"""The part of its price that counts for an engine when there is no time to wait for a cheap one."""

TOO_LATE_S = 10.0
"""Sorts engines that need more time than that behind those that don't."""

EJECT_S = 2.0
MAX_EJECT_S = 10.0
"""How long an engine that failed a run is left alone; doubled with each failure in a row."""

LOST_RUN_S = 30.0
"""A run not heard of for this long is forgotten; longer than any deadline of the users."""


FOREIGN_S = 1.0
"""How long the work that a leaving scheduler has placed is counted at least: prompts are read by
then, or told of no more."""


class Run(NamedTuple):
    """Hold what a run weighs on its engine; `prefill_s` counts until the first event.

    It is forgotten at `until`, in monotonic seconds, if its end is never told.
    """

    prefill_s: float
    decode_s: float
    until: float


class Kept(NamedTuple):
    """Hold a prompt part that an engine keeps; `used_at` is in monotonic seconds."""

    tokens: int
    used_at: float


class PartKeys(NamedTuple):
    """Hold by what a prompt's parts are known, with their lengths in tokens, and its length."""

    keys: tuple[tuple[str, int], ...]
    tokens_in: int

    @property
    def shared(self) -> tuple[tuple[str, int], ...]:
        """Return the parts that other requests may have too: all but the request's own."""
        return self.keys[:-1]


def part_keys(prompt: Prompt) -> PartKeys:
    """Return by what a prompt's parts are known: a part is kept for one model."""
    keys = tuple((f'{prompt.model}/{part.id}', part.tokens) for part in prompt.parts)
    return PartKeys(keys, prompt.tokens_in)


class Engine:
    """Hold one engine's runs and the prompt parts that were sent there.

    `draw` orders engines that cost the same.
    """

    def __init__(self, *, replica: Replica, draw: int = 0) -> None:
        self.replica = replica
        self.draw = draw
        self.runs: dict[str, Run] = {}
        self.load_s = 0.0
        self.cached: OrderedDict[str, Kept] = OrderedDict()
        self.cached_tokens = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.starts = Starts()

    def put_run(self, job_id: str, run: Run) -> None:
        """Count a run in place of one of that name; `load_s` is the work that waits here."""
        self.drop_run(job_id)
        self.runs[job_id] = run
        self.load_s += run.prefill_s + run.decode_s

    def drop_run(self, job_id: str) -> None:
        """Count a run no more."""
        run = self.runs.pop(job_id, None)
        if run is not None:
            self.load_s -= run.prefill_s + run.decode_s
        if not self.runs:
            # What sums of fractions leave over must not add up over days.
            self.load_s = 0.0

    def may_begin(self, bound: StartBound | None, now: float) -> bool:
        """Tell whether one more run may begin here now."""
        if bound is None:
            return True
        return self.starts.count(now) < (bound.cold if self.replica.cold else bound.warm)

    def uncached(self, parts: PartKeys) -> int:
        """Return the prompt tokens that would have to be read."""
        kept = 0
        for key, tokens in parts.keys:
            if key not in self.cached:
                break
            kept += tokens
        return max(0, parts.tokens_in - kept)

    def remember(self, parts: PartKeys, capacity: int, now: float) -> None:
        """Note the parts that the engine holds once it has read a prompt."""
        for key, tokens in parts.keys:
            if key not in self.cached:
                self.cached_tokens += tokens
            self.cached[key] = Kept(tokens, now)
            self.cached.move_to_end(key)
        while self.cached_tokens > capacity and self.cached:
            self.cached_tokens -= self.cached.popitem(last=False)[1].tokens

    def keeps(self, key: str, now: float) -> bool:
        """Tell whether the engine is believed to keep a part that was used lately."""
        kept = self.cached.get(key)
        return kept is not None and now - kept.used_at < KEPT_S


class EngineChoice(NamedTuple):
    """Hold the engine chosen and the cost that decided, in seconds."""

    engine: Engine
    cost_s: float


class EngineBoard:
    """Hold the engines of one service.

    `salt` orders engines that cost the same: boxes that schedule without knowing of each other
    would all choose the first one listed.
    """

    def __init__(
        self,
        *,
        slots: int,
        kv_tokens: int,
        salt: str = '',
        backoffs: FleetBackoffs | None = None,
        permits: PermitIssuer | None = None,
    ) -> None:
        self.permits = permits or UnlimitedIssuer()
        self.backoffs = backoffs or FleetBackoffs()
        self.slots = slots
        self.salt = salt
        self.bound: StartBound | None = None
        self.alone_from = 0.0
        self.kv_tokens = kv_tokens
        self.engines: dict[str, Engine] = {}
        self.known: dict[str, Engine] = {}

    def set_replicas(self, usable: Iterable[Replica], alive: Container[str] = ()) -> None:
        """Take in which engines may be chosen; of those that are only `alive` what is known stays.

        An engine of a zone that is taken out still runs streams and keeps prompts: when the zone is
        given back both count, or its first jobs would go where most is at work.
        """
        listed = {replica.id: replica for replica in usable}
        self.known = {name: item for name, item in self.known.items() if name in alive}
        for name, replica in listed.items():
            engine = self.known.get(name) or self.engines.get(name) or self.new_engine(replica)
            engine.replica = replica
            self.known[name] = engine
        order = sorted(listed, key=lambda name: self.known[name].draw)
        self.engines = {name: self.known[name] for name in order}

    def new_engine(self, replica: Replica) -> Engine:
        """Return an engine of which nothing is known."""
        return Engine(replica=replica, draw=zlib.crc32(f'{self.salt}/{replica.id}'.encode()))

    def on_take_up(self, now: float) -> None:
        """Note that another box may have placed runs until now, and may do so a moment longer."""
        self.alone_from = now + WINDOW_S

    def bound_now(self, now: float) -> StartBound | None:
        """Return how many runs this scheduler may let begin at an engine."""
        if self.bound is None or now >= self.alone_from:
            return self.bound
        return self.bound.shared()

    def serves(self, job: Job) -> bool:
        """Tell whether there is an engine at all that a job may run on."""
        return any(name not in job.place.exclude for name in self.engines)

    def choose(self, job: Job, now: float) -> EngineChoice | None:
        """Return the engine that costs least, all its work and all transfers counted."""
        inputs = job.final_results()
        bound = self.bound_now(now)
        usable = [
            engine
            for engine in self.engines.values()
            if len(engine.runs) < self.slots
            and engine.replica.id not in job.place.exclude
            and engine.may_begin(bound, now)
            and self.may_take(engine, job, now)
        ]
        healthy = [engine for engine in usable if self.is_healthy(engine, now)]
        candidates = healthy or usable
        if not candidates:
            return None
        parts = part_keys(job.place.prompt)
        kept = self.kept_elsewhere(parts, now)
        left_s = (job.objective_at - now) * TIME_SHARE
        costs = []
        for engine in candidates:
            time_s = self.time_s(engine, parts)
            price_s = self.price_s(engine, parts, inputs, kept, now)
            if time_s > left_s:
                price_s = TOO_LATE_S + HURRIED_SHARE * price_s
            costs.append((time_s + price_s, time_s, engine))
        _, time_s, engine = min(costs, key=lambda item: item[0])
        return EngineChoice(engine, time_s)

    def may_take(self, engine: Engine, job: Job, now: float) -> bool:
        """Tell whether an engine takes a run from a job's box now."""
        replica = engine.replica.id
        barred = self.backoffs.bars(job.place.reply_to, replica, now)
        if barred or self.backoffs.in_trial(replica, now):
            return False
        return self.permits.available_in_s(engine.replica) <= 0

    def is_healthy(self, engine: Engine, now: float) -> bool:
        """Tell whether an engine has neither failed nor turned away runs of late."""
        shunned = self.backoffs.is_shunned(engine.replica.id, now)
        return engine.ejected_until <= now and not shunned

    def first_back_s(self, job: Job, now: float) -> float:
        """Return when the first engine takes a run from a job's box, 0 for now."""
        names = (name for name in self.engines if name not in job.place.exclude)
        return self.backoffs.first_back_s(job.place.reply_to, names, now)

    def permit_wait_s(self, job: Job, ahead: int) -> float:
        """Return when the first engine may be called for a job, behind so many others."""
        exclude = job.place.exclude
        usable = [item.replica for name, item in self.engines.items() if name not in exclude]
        return self.permits.wait_s(usable, ahead)

    def least_time_s(self, job: Job, now: float) -> float:
        """Return when the first event of a job would come from the best engine of the moment."""
        parts = part_keys(job.place.prompt)
        healthy = [item for item in self.engines.values() if item.ejected_until <= now]
        box = job.place.reply_to
        times = (
            self.time_s(engine, parts) + self.backoffs.left_s(box, engine.replica.id, now)
            for engine in healthy
        )
        return min(times, default=0.0)

    def time_s(self, engine: Engine, parts: PartKeys) -> float:
        """Return the seconds of work before a prompt's first event on an engine."""
        return engine.load_s + engine.uncached(parts) * PREFILL_S_A_TOKEN

    def price_s(
        self, engine: Engine, parts: PartKeys, inputs: list[Result], kept: set[str], now: float
    ) -> float:
        """Return what else a job costs on an engine: results moved and parts read again."""
        zone = engine.replica.zone
        crossing = sum(item.size for item in inputs if item.zone != zone)
        again = sum(
            tokens for key, tokens in parts.shared if key in kept and not engine.keeps(key, now)
        )
        return crossing * CROSSING_S_A_BYTE + again * REREAD_S_A_TOKEN

    def kept_elsewhere(self, parts: PartKeys, now: float) -> set[str]:
        """Return the shared parts of a prompt that any engine keeps."""
        engines = self.engines.values()
        return {key for key, _ in parts.shared if any(item.keeps(key, now) for item in engines)}

    def begin(self, choice: EngineChoice, job: Job, now: float) -> None:
        """Count a run on its engine."""
        engine, parts = choice.engine, part_keys(job.place.prompt)
        prefill_s = engine.uncached(parts) * PREFILL_S_A_TOKEN
        decode_s = job.place.prompt.tokens_out * DECODE_S_A_TOKEN
        engine.put_run(job.id, Run(prefill_s, decode_s, now + LOST_RUN_S))
        engine.starts.note(now)
        self.backoffs.on_placed(engine.replica.id, now)
        engine.remember(parts, self.kv_tokens, now)

    def started(self, replica_id: str, job_id: str, placed_at: float, now: float) -> None:
        """Note that an engine has read a prompt, and so works well."""
        self.backoffs.on_started(replica_id, placed_at, now)
        engine = self.known.get(replica_id)
        run = engine.runs.get(job_id) if engine else None
        if engine is None or run is None:
            return
        engine.failures = 0
        engine.put_run(job_id, run._replace(prefill_s=0.0))

    def turned_away(self, replica_id: str, job_id: str, now: float) -> None:
        """Take a run off the engine that would not take it."""
        self.backoffs.on_turned_away(replica_id, now)
        self.ended(replica_id, job_id, failed=False, now=now)

    def ended(self, replica_id: str, job_id: str, *, failed: bool, now: float) -> None:
        """Take a run off its engine; a failure leaves the engine alone for a while."""
        engine = self.known.get(replica_id)
        if engine is None:
            return
        engine.drop_run(job_id)
        if failed:
            engine.failures += 1
            pause_s = min(MAX_EJECT_S, EJECT_S * 2 ** (engine.failures - 1))
            engine.ejected_until = now + pause_s
            engine.cached.clear()
            engine.cached_tokens = 0

    def loads(self) -> dict[str, float]:
        """Return the work that waits at each engine, in seconds."""
        return {name: engine.load_s for name, engine in self.engines.items() if engine.runs}

    def on_foreign_load(self, sender: str, replica_id: str, load_s: float, now: float) -> None:
        """Count work that another scheduler has placed, for about as long as it takes."""
        engine = self.engines.get(replica_id)
        if engine is not None:
            engine.put_run(f'of {sender}', Run(load_s, 0.0, now + max(FOREIGN_S, load_s)))

    def forget_lost(self, now: float) -> None:
        """Drop runs whose end was never told."""
        for engine in self.known.values():
            for job_id, run in list(engine.runs.items()):
                if run.until <= now:
                    engine.drop_run(job_id)
