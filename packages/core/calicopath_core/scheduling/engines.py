"""Choose an engine for each job, by the work that this scheduler has sent there."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.jobs import Job, Result
    from calicopath_core.scheduling.messages import Prompt

PREFILL_S_A_TOKEN = 1 / 32_400
"""What reading a prompt token takes, from the users' sheets (32.4 tokens a ms)."""

DECODE_S_A_TOKEN = 0.0003
"""What one generated token costs those beside it: a step of 6.12 ms shared by some twenty runs."""

CROSSING_S_A_BYTE = 0.1 / 1_000_000
"""What moving a result between zones counts as: 100 ms a megabyte, tried on the bench."""

EJECT_S = 2.0
MAX_EJECT_S = 10.0
"""How long an engine that failed a run is left alone; doubled with each failure in a row."""

LOST_RUN_S = 30.0
"""A run not heard of for this long is forgotten; longer than any deadline of the users."""


class Run(NamedTuple):
    """Hold what a run weighs on its engine; `prefill_s` counts until the first event."""

    prefill_s: float
    decode_s: float
    begun_at: float


class Engine:
    """Hold one engine's runs and the prompt parts that were sent there."""

    def __init__(self, *, replica: Replica) -> None:
        self.replica = replica
        self.runs: dict[str, Run] = {}
        self.cached: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0
        self.failures = 0
        self.ejected_until = 0.0

    def load_s(self) -> float:
        """Return the work that waits there, in seconds of the engine's time."""
        return sum(run.prefill_s + run.decode_s for run in self.runs.values())

    def uncached(self, prompt: Prompt) -> int:
        """Return the prompt tokens that would have to be read."""
        kept = 0
        for part in prompt.parts:
            if f'{prompt.model}/{part.id}' not in self.cached:
                break
            kept += part.tokens
        return max(0, prompt.tokens_in - kept)

    def remember(self, prompt: Prompt, capacity: int) -> None:
        """Note the parts that the engine holds once it has read a prompt."""
        for part in prompt.parts:
            key = f'{prompt.model}/{part.id}'
            if key in self.cached:
                self.cached.move_to_end(key)
                continue
            self.cached[key] = part.tokens
            self.cached_tokens += part.tokens
        while self.cached_tokens > capacity and self.cached:
            self.cached_tokens -= self.cached.popitem(last=False)[1]


class EngineChoice(NamedTuple):
    """Hold the engine chosen and the cost that decided, in seconds."""

    engine: Engine
    cost_s: float


class EngineBoard:
    """Hold the engines of one service."""

    def __init__(self, *, slots: int, kv_tokens: int) -> None:
        self.slots = slots
        self.kv_tokens = kv_tokens
        self.engines: dict[str, Engine] = {}

    def set_replicas(self, replicas: Iterable[Replica]) -> None:
        """Take in which engines there are; those gone are forgotten."""
        listed = {replica.id: replica for replica in replicas}
        for name in list(self.engines):
            if name not in listed:
                del self.engines[name]
        for name, replica in listed.items():
            engine = self.engines.setdefault(name, Engine(replica=replica))
            engine.replica = replica

    def choose(self, job: Job, now: float) -> EngineChoice | None:
        """Return the engine that costs least, all its work and all transfers counted."""
        inputs = job.final_results()
        usable = [
            engine
            for engine in self.engines.values()
            if len(engine.runs) < self.slots and engine.replica.id not in job.place.exclude
        ]
        healthy = [engine for engine in usable if engine.ejected_until <= now]
        candidates = healthy or usable
        if not candidates:
            return None
        costs = [(self.cost_s(engine, job, inputs), engine) for engine in candidates]
        cost_s, engine = min(costs, key=lambda item: item[0])
        return EngineChoice(engine, cost_s)

    def least_cost_s(self, job: Job, now: float) -> float:
        """Return what a job costs at the best engine of the moment, its inputs not counted."""
        healthy = [item for item in self.engines.values() if item.ejected_until <= now]
        return min((self.cost_s(engine, job, []) for engine in healthy), default=0.0)

    def cost_s(self, engine: Engine, job: Job, inputs: list[Result]) -> float:
        """Return what a job would cost on an engine, in seconds."""
        crossing = sum(item.size for item in inputs if item.zone != engine.replica.zone)
        own = engine.uncached(job.place.prompt) * PREFILL_S_A_TOKEN
        return engine.load_s() + own + crossing * CROSSING_S_A_BYTE

    def begin(self, choice: EngineChoice, job: Job, now: float) -> None:
        """Count a run on its engine."""
        engine, prompt = choice.engine, job.place.prompt
        prefill_s = engine.uncached(prompt) * PREFILL_S_A_TOKEN
        engine.runs[job.id] = Run(prefill_s, prompt.tokens_out * DECODE_S_A_TOKEN, now)
        engine.remember(prompt, self.kv_tokens)

    def started(self, replica_id: str, job_id: str) -> None:
        """Note that an engine has read a prompt, and so works well."""
        engine = self.engines.get(replica_id)
        run = engine.runs.get(job_id) if engine else None
        if engine is None or run is None:
            return
        engine.failures = 0
        engine.runs[job_id] = run._replace(prefill_s=0.0)

    def ended(self, replica_id: str, job_id: str, *, failed: bool, now: float) -> None:
        """Take a run off its engine; a failure leaves the engine alone for a while."""
        engine = self.engines.get(replica_id)
        if engine is None:
            return
        engine.runs.pop(job_id, None)
        if failed:
            engine.failures += 1
            pause_s = min(MAX_EJECT_S, EJECT_S * 2 ** (engine.failures - 1))
            engine.ejected_until = now + pause_s
            engine.cached.clear()
            engine.cached_tokens = 0

    def forget_lost(self, now: float) -> None:
        """Drop runs whose end was never told."""
        for engine in self.engines.values():
            for job_id, run in list(engine.runs.items()):
                if now - run.begun_at > LOST_RUN_S:
                    del engine.runs[job_id]
