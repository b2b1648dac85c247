"""Describe the fleet and the kinds of requests of a replay."""

from __future__ import annotations

from typing import NamedTuple

from calicopath_core.fleet.deployment import EngineSpec, StageSpec, WarmupSpec
from calicopath_core.fleet.replicas import Replica
from calicopath_core.scheduling.messages import PhaseWork

ENGINE = 'engine'
RETRIEVE, RANK, CHECK = 'retrieve', 'rank', 'check'
LARGE_RESULT, MIDDLE_RESULT, SMALL_RESULT = 1_500_000, 60_000, 6_000


class JobKind(NamedTuple):
    """Describe one kind of request: stages, prompt, times in seconds, worth, requests per second.

    A prompt has a `shared` part, a `session` part, which other requests have too, and an `own`
    part. `late_worth` is the worth of an answer after the objective. `large_share` is the share
    of requests that have a first phase with large results; with `chained` three phases follow,
    each on the results of the one before.
    """

    name: str
    priority: int
    rate_per_s: float
    objective_s: float
    deadline_s: float
    worth: float
    late_worth: float
    large_share: float
    large_pieces: int
    chained: bool
    shared_tokens: int
    shared_parts: int
    session_tokens: int
    sessions: int
    own_tokens: int
    tokens_out: int


URGENT = JobKind(
    'urgent', 0, 28.0, 1.6, 8.0, 4.7, 0.7, 0.7, 10, False, 2520, 4, 3780, 988, 2890, 50
)
MIDDLE = JobKind('middle', 1, 36.0, 3.1, 6.0, 1.1, 0.17, 0.0, 0, True, 341, 39, 227, 1296, 1800, 24)
PATIENT = JobKind(
    'patient', 2, 27.0, 3.6, 20.0, 0.48, 0.07, 0.4, 6, True, 103, 39, 69, 652, 543, 250
)
KINDS = (URGENT, MIDDLE, PATIENT)
SHIFTED_KINDS = (
    JobKind('urgent', 0, 31.7, 1.635, 6.1, 4.5, 0.67, 0.7, 10, False, 2520, 4, 3780, 686, 2890, 52),
    JobKind('middle', 1, 71.3, 3.619, 6.0, 1.0, 0.15, 0.0, 0, True, 341, 39, 227, 888, 1800, 24),
    JobKind('patient', 2, 20.8, 3.615, 20.0, 0.64, 0.096, 0.4, 6, True, 103, 39, 69, 673, 543, 280),
)
"""The same kinds with the rates, times and worth of one deployment some months later."""


class Fleet(NamedTuple):
    """Describe the numbers of boxes, failure domains and replicas, and the specs of replicas."""

    boxes: int
    failure_domains: int
    engines: int
    stages: dict[str, int]
    stage_specs: dict[str, StageSpec]
    engine_spec: EngineSpec
    scale: float
    kinds: tuple[JobKind, ...] = KINDS
    warmup: WarmupSpec | None = None

    @property
    def failure_domain_names(self) -> list[str]:
        """Return the names of the failure domains."""
        return [f'zone-{number}' for number in range(self.failure_domains)]

    def replicas(self) -> list[Replica]:
        """Return every replica, each service spread evenly over the failure domains."""
        counts = {ENGINE: self.engines, **self.stages}
        names = self.failure_domain_names
        found = []
        for service, count in counts.items():
            for number in range(count):
                name = f'{service}-{number}'
                failure_domain = names[number % len(names)]
                found.append(Replica(name, service, f'{name}:80', failure_domain, 1, False))
        return found


SPECS = {
    RETRIEVE: StageSpec(1, 8, 0.2, 0.021, 18_000_000, 4.0),
    RANK: StageSpec(1, 16, 0.2, 0.011, 2_100_000, 4.0),
    CHECK: StageSpec(1, 22, 0.2, 0.0078, 290_000, 4.0),
}
USUAL_BOXES = 195


def fleet_of(boxes: int = USUAL_BOXES, failure_domains: int = 6) -> Fleet:
    """Return a fleet of `boxes` boxes, with replicas and request rates in proportion."""
    scale = boxes / USUAL_BOXES

    def share(count: int) -> int:
        return max(2, round(count * scale))

    stages = {RETRIEVE: share(11), RANK: share(18), CHECK: share(21)}
    return Fleet(boxes, failure_domains, share(39), stages, SPECS, EngineSpec(48, 266_342), scale)


SHIFTED_SPECS = {
    RETRIEVE: StageSpec(1, 11, 0.2, 0.01527, 24_750_000, 4.0),
    RANK: StageSpec(1, 47, 0.2, 0.00362, 6_110_000, 4.0),
    CHECK: StageSpec(1, 68, 0.2, 0.0025, 910_000, 4.0),
}


def shifted_fleet() -> Fleet:
    """Return a fleet of 86 boxes and many small engines with a warm-up limit."""
    stages = {RETRIEVE: 10, RANK: 8, CHECK: 9}
    return Fleet(
        boxes=86,
        failure_domains=4,
        engines=70,
        stages=stages,
        stage_specs=SHIFTED_SPECS,
        engine_spec=EngineSpec(24, 207_683),
        scale=1.0,
        kinds=SHIFTED_KINDS,
        warmup=WarmupSpec(6.7),
    )


HURRIED_KINDS = (
    JobKind('urgent', 0, 5.78, 1.1, 4.4, 4.7, 0.7, 0.7, 10, False, 2520, 4, 3780, 240, 2890, 51),
    JobKind('middle', 1, 7.05, 2.3, 6.0, 1.1, 0.17, 0.0, 0, True, 341, 39, 227, 300, 1800, 24),
    JobKind('patient', 2, 6.53, 2.5, 10.0, 0.42, 0.063, 0.4, 6, True, 103, 39, 69, 160, 543, 280),
)
HURRIED_SPECS = {
    RETRIEVE: StageSpec(1, 5, 0.2, 0.0336, 11_250_000, 4.0),
    RANK: StageSpec(1, 20, 0.2, 0.00852, 2_583_000, 4.0),
    CHECK: StageSpec(1, 33, 0.2, 0.00521, 429_000, 4.0),
}


def hurried_fleet() -> Fleet:
    """Return a fleet of six boxes, three replicas per stage and short deadlines."""
    return Fleet(
        boxes=6,
        failure_domains=3,
        engines=6,
        stages={RETRIEVE: 3, RANK: 3, CHECK: 3},
        stage_specs=HURRIED_SPECS,
        engine_spec=EngineSpec(64, 343_821),
        scale=1.0,
        kinds=HURRIED_KINDS,
    )


def phases_of(kind: JobKind, large: int, checks: int) -> tuple[PhaseWork, ...]:
    """Return the phases of one request with `large` large results and `checks` final pieces."""
    found = []
    if kind.large_pieces:
        found.append(PhaseWork(RETRIEVE, (), LARGE_RESULT, large))
    if kind.chained:
        begin = len(found)
        found.append(PhaseWork(RETRIEVE, (), 8_000, 1))
        found.append(PhaseWork(RANK, (begin,), MIDDLE_RESULT, 6))
        found.append(PhaseWork(CHECK, (begin + 1,), SMALL_RESULT, checks))
    return tuple(found)
