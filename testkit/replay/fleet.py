"""Describe the fleet and the kinds of requests of a replay."""

from __future__ import annotations

from typing import NamedTuple

from calicopath_core.fleet.deployment import EngineSpec, StageSpec, WarmupSpec
from calicopath_core.fleet.replicas import Replica
from calicopath_core.scheduling.messages import PhaseWork
from testkit.replay.engines import USUAL_SPEED, EngineSpeed, SlowMoments

ENGINE = 'engine'
RETRIEVE, RANK, CHECK = 'retrieve', 'rank', 'check'
LARGE_RESULT, MIDDLE_RESULT, SMALL_RESULT = 1_500_000, 60_000, 6_000


class JobKind(NamedTuple):
    """Describe one kind of request: stages, prompt, times in seconds, worth, requests per second.

    A prompt has a `shared` part, a `session` part, which other requests have too, and an `own`
    part. `late_worth` is the worth of an answer after the objective. `large_share` is the share
    of requests that have a first phase with large results; with `chained` three phases follow,
    each on the results of the one before. `large_decay` sets how many large results a request has:
    one, and each further one with the probability `exp(-large_decay)`.
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
    large_decay: float = 0.6


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
    """Describe the numbers of boxes, failure domains and replicas, and the specs of replicas.

    Every `slow_every`th engine takes `engine_slowdown` times as long (0: none). Rates of requests
    vary by `swing`, a share of the rate, with a period of `swing_period_s`. With `has_routes`, the
    deployment lists routes and workspaces, which some mechanisms need to take effect. Engines with
    `slow_moments` report their pace.
    """

    boxes: int
    failure_domains: int
    engines: int
    stages: dict[str, int]
    stage_specs: dict[str, StageSpec]
    engine_spec: EngineSpec
    scale: float
    kinds: tuple[JobKind, ...] = KINDS
    warmup: WarmupSpec | None = None
    engine_speed: EngineSpeed = USUAL_SPEED
    slow_every: int = 0
    engine_slowdown: float = 1.0
    swing: float = 0.0
    swing_period_s: float = 1.0
    has_routes: bool = False
    slow_moments: SlowMoments | None = None

    @property
    def failure_domain_names(self) -> list[str]:
        """Return the names of the failure domains."""
        return [f'zone-{number}' for number in range(self.failure_domains)]

    def engine_replicas(self) -> list[Replica]:
        """Return the engines in order of their numbers."""
        return [item for item in self.replicas() if item.service == ENGINE]

    def engine_speed_of(self, number: int) -> EngineSpeed:
        """Return the speed of the engine with that number."""
        if self.slow_every and number % self.slow_every == 0:
            return self.engine_speed._replace(slowdown=self.engine_slowdown)
        return self.engine_speed

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


TWO_AND_A_HALF, ONE_AND_A_HALF = 0.511, 1.099
"""Values of `large_decay` with which a request has 2.5 and 1.5 large results on average."""

CONTENDED_KINDS = (
    JobKind(
        name='urgent',
        priority=0,
        rate_per_s=61.5,
        objective_s=1.015,
        deadline_s=6.088,
        worth=4.2,
        late_worth=0.63,
        large_share=0.7,
        large_pieces=10,
        chained=False,
        shared_tokens=2520,
        shared_parts=4,
        session_tokens=3780,
        sessions=686,
        own_tokens=2890,
        tokens_out=52,
        large_decay=TWO_AND_A_HALF,
    ),
    JobKind(
        name='middle',
        priority=1,
        rate_per_s=75.3,
        objective_s=2.308,
        deadline_s=6.021,
        worth=1.0,
        late_worth=0.15,
        large_share=0.0,
        large_pieces=0,
        chained=True,
        shared_tokens=341,
        shared_parts=39,
        session_tokens=227,
        sessions=888,
        own_tokens=1800,
        tokens_out=24,
    ),
    JobKind(
        name='patient',
        priority=2,
        rate_per_s=25.5,
        objective_s=2.506,
        deadline_s=15.037,
        worth=0.89,
        late_worth=0.13,
        large_share=0.4,
        large_pieces=6,
        chained=True,
        shared_tokens=103,
        shared_parts=39,
        session_tokens=69,
        sessions=673,
        own_tokens=543,
        tokens_out=280,
        large_decay=ONE_AND_A_HALF,
    ),
)
CONTENDED_SPECS = {
    RETRIEVE: StageSpec(1, 16, 0.2, 0.011, 36_000_000, 4.0),
    RANK: StageSpec(1, 54, 0.2, 0.00322, 7_170_000, 4.0),
    CHECK: StageSpec(1, 75, 0.2, 0.00224, 1_030_000, 4.0),
}


def contended_fleet() -> Fleet:
    """Return a fleet of 28 boxes whose callers at times compete for too little capacity."""
    return Fleet(
        boxes=28,
        failure_domains=3,
        engines=30,
        stages={RETRIEVE: 9, RANK: 8, CHECK: 8},
        stage_specs=CONTENDED_SPECS,
        engine_spec=EngineSpec(64, 530_304),
        scale=1.0,
        kinds=CONTENDED_KINDS,
        engine_speed=EngineSpeed(1 / 92_100, 0.00303),
        slow_every=3,
        engine_slowdown=1.3,
        has_routes=True,
        swing=0.55,
        swing_period_s=17.0,
    )


UNEVEN_KINDS = (
    JobKind(
        name='urgent',
        priority=0,
        rate_per_s=63.0,
        objective_s=1.035,
        deadline_s=6.212,
        worth=4.2,
        late_worth=0.25,
        large_share=0.7,
        large_pieces=10,
        chained=False,
        shared_tokens=2520,
        shared_parts=4,
        session_tokens=3780,
        sessions=686,
        own_tokens=2890,
        tokens_out=52,
        large_decay=TWO_AND_A_HALF,
    ),
    JobKind(
        name='middle',
        priority=1,
        rate_per_s=21.4,
        objective_s=2.015,
        deadline_s=20.149,
        worth=0.74,
        late_worth=0.11,
        large_share=0.4,
        large_pieces=6,
        chained=True,
        shared_tokens=103,
        shared_parts=39,
        session_tokens=69,
        sessions=673,
        own_tokens=543,
        tokens_out=280,
        large_decay=ONE_AND_A_HALF,
    ),
    JobKind(
        name='patient',
        priority=2,
        rate_per_s=72.1,
        objective_s=4.019,
        deadline_s=6.028,
        worth=0.65,
        late_worth=0.15,
        large_share=0.0,
        large_pieces=0,
        chained=True,
        shared_tokens=341,
        shared_parts=39,
        session_tokens=227,
        sessions=888,
        own_tokens=1800,
        tokens_out=24,
    ),
)
"""Named by their priority like the kinds of the other fleets."""

UNEVEN_SPECS = {
    RETRIEVE: StageSpec(1, 17, 0.2, 0.01006, 39_670_000, 4.0),
    RANK: StageSpec(1, 45, 0.2, 0.00384, 6_090_000, 4.0),
    CHECK: StageSpec(1, 68, 0.2, 0.0025, 900_000, 4.0),
}


def uneven_fleet() -> Fleet:
    """Return a fleet of 85 boxes with uneven demand, uneven engines and a warm-up limit."""
    return Fleet(
        boxes=85,
        failure_domains=3,
        engines=70,
        stages={RETRIEVE: 10, RANK: 8, CHECK: 9},
        stage_specs=UNEVEN_SPECS,
        engine_spec=EngineSpec(24, 371_399),
        scale=1.0,
        kinds=UNEVEN_KINDS,
        warmup=WarmupSpec(9.2),
        engine_speed=EngineSpeed(1 / 50_700, 0.00595),
        slow_every=3,
        engine_slowdown=1.3,
        has_routes=True,
        swing=0.27,
        swing_period_s=11.0,
    )


def contended_moments_fleet() -> Fleet:
    """Return the contended fleet with engines that share their machines with other work."""
    return contended_fleet()._replace(slow_moments=SlowMoments())


FLEETS = {
    'usual': fleet_of,
    'shifted': shifted_fleet,
    'hurried': hurried_fleet,
    'contended': contended_fleet,
    'contended-moments': contended_moments_fleet,
    'uneven': uneven_fleet,
}


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
