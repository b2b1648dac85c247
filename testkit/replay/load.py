"""Generate named patterns of load: request arrivals, and faults during the replay."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Any, NamedTuple

from calicopath_core.scheduling.messages import Prompt, PromptPart
from testkit.replay.fleet import KINDS, MIDDLE, PATIENT, URGENT, Fleet, JobKind, phases_of

if TYPE_CHECKING:
    from calicopath_core.scheduling.messages import PhaseWork

LENGTH_S = 24.0
FAULT_AT_S, FAULT_S = 8.0, 6.0
FLOOD_S = 10.0
WORKSPACES = 19
FEW_WORKSPACES = 16
CLUSTER_SIZES = (2, 3, 4)
CLUSTER_S = 0.1
"""Time within which the requests of a cluster arrive."""

FLOODING_WORKSPACE = 'workspace-1'


class Arrival(NamedTuple):
    """Describe the first attempt of one request, `at` seconds from the start."""

    at: float
    name: str
    kind: JobKind
    workspace: str
    failure_domain: str
    phases: tuple[PhaseWork, ...]
    prompt: Prompt


class Fault(NamedTuple):
    """Describe a fault of replicas or schedulers, `at` seconds from the start.

    `kind` is `slow`, `lost`, `killed` (all boxes), `silent` (the scheduler alone) or `out`: the
    first failure domain is evacuated, and its engines are cold when it returns.
    """

    at: float
    kind: str
    service: str = ''
    share: float = 0.0
    for_s: float = 0.0


class Pattern(NamedTuple):
    """Describe a pattern of load.

    `burst_factor` multiplies the rate of `burst_kinds` for `FAULT_S`, `flood_factor` that of one
    workspace for `FLOOD_S`. For `FAULT_S`, `hot_session_share` of each kind's requests belong to
    one session and `moved_caller_share` of all requests come from the first failure domain. With
    `clustered`, a workspace sends `CLUSTER_SIZES` requests within `CLUSTER_S`; rates stay the same.
    """

    name: str
    load_factor: float = 1.0
    burst_factor: float = 1.0
    burst_kinds: tuple[str, ...] = ()
    flood_factor: float = 1.0
    hot_session_share: float = 0.0
    moved_caller_share: float = 0.0
    faults: tuple[Fault, ...] = ()
    workspaces: int = WORKSPACES
    clustered: bool = False
    burst_s: float = FAULT_S


def clustered_pattern(name: str, **fields: Any) -> Pattern:
    """Return a pattern with `FEW_WORKSPACES` and with requests in clusters."""
    return Pattern(name, workspaces=FEW_WORKSPACES, clustered=True, **fields)


PATTERNS = {
    item.name: item
    for item in (
        Pattern('steady'),
        Pattern('burst-urgent', load_factor=1.2, burst_factor=3.0, burst_kinds=(URGENT.name,)),
        Pattern('burst-middle', load_factor=1.2, burst_factor=3.0, burst_kinds=(MIDDLE.name,)),
        Pattern('burst-all', burst_factor=2.4, burst_kinds=tuple(kind.name for kind in KINDS)),
        Pattern('flood', load_factor=1.2, flood_factor=7.5),
        Pattern('stage-lost', faults=(Fault(FAULT_AT_S, 'lost', 'rank', 0.33, FAULT_S),)),
        Pattern(
            'short-of-stages', load_factor=1.3, faults=(Fault(4.0, 'lost', 'rank', 0.5, 14.0),)
        ),
        Pattern('stage-slow', faults=(Fault(FAULT_AT_S, 'slow', 'retrieve', 0.33, FAULT_S),)),
        Pattern('zone-out', faults=(Fault(FAULT_AT_S, 'out', for_s=FAULT_S),)),
        Pattern(
            'zone-back-cold',
            load_factor=1.3,
            burst_factor=2.4,
            burst_kinds=tuple(kind.name for kind in KINDS),
            faults=(Fault(4.0, 'out', for_s=5.0),),
        ),
        Pattern('scheduler-silent', faults=(Fault(FAULT_AT_S, 'silent'),)),
        Pattern('all-killed', faults=(Fault(FAULT_AT_S, 'killed'),)),
        Pattern('hot-key', hot_session_share=0.4),
        Pattern('zone-moved', moved_caller_share=0.4),
    )
}
CLUSTERED_PATTERNS = {
    item.name: item
    for item in (
        clustered_pattern('clusters'),
        clustered_pattern('clusters-flood', flood_factor=7.5),
        clustered_pattern('clusters-urgent', burst_factor=2.8, burst_kinds=(URGENT.name,)),
        clustered_pattern('clusters-middle', burst_factor=2.8, burst_kinds=(MIDDLE.name,)),
        clustered_pattern('clusters-patient', burst_factor=2.8, burst_kinds=(PATIENT.name,)),
        clustered_pattern(
            'clusters-all',
            burst_factor=1.9,
            burst_kinds=tuple(kind.name for kind in KINDS),
            burst_s=4.0,
        ),
    )
}
"""Patterns of demand for the fleets whose callers compete for capacity."""


def workspace_weight(number: int) -> float:
    """Return the relative load of a workspace; a few workspaces have most of it."""
    return 1 / (number + 1)


class LoadGenerator:
    """Draw the requests of a pattern with a seeded generator."""

    def __init__(self, *, fleet: Fleet, pattern: Pattern, seed: int) -> None:
        self.fleet = fleet
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.swing_phase = random.Random(seed).random()
        self.names = [f'workspace-{number}' for number in range(pattern.workspaces)]
        self.weights = [workspace_weight(number) for number in range(pattern.workspaces)]
        self.count = 0

    def arrivals(self) -> list[Arrival]:
        """Return every first attempt in order of time."""
        found = [item for kind in self.fleet.kinds for item in self.arrivals_of_kind(kind)]
        if self.pattern.flood_factor > 1:
            found.extend(self.flood_arrivals())
        return sorted(found, key=lambda item: item.at)

    def arrivals_of_kind(self, kind: JobKind) -> list[Arrival]:
        """Return the requests of one kind."""
        found = []
        at = 0.0
        rate = kind.rate_per_s * self.fleet.scale * self.pattern.load_factor
        most = rate * self.max_rate_factor() / self.mean_cluster_size()
        while (at := at + self.rng.expovariate(most)) < LENGTH_S:
            if self.rng.random() < self.rate_factor(kind, at) / self.max_rate_factor():
                workspace = self.rng.choices(self.names, self.weights)[0]
                found.extend(self.cluster(at, kind, workspace))
        return found

    def cluster(self, at: float, kind: JobKind, workspace: str) -> list[Arrival]:
        """Return the requests that a workspace sends together, one without clusters."""
        if not self.pattern.clustered:
            return [self.arrival(at, kind, workspace)]
        return [
            self.arrival(at + CLUSTER_S * self.rng.random(), kind, workspace)
            for _ in range(self.rng.choice(CLUSTER_SIZES))
        ]

    def mean_cluster_size(self) -> float:
        """Return the mean number of requests that a workspace sends together."""
        return sum(CLUSTER_SIZES) / len(CLUSTER_SIZES) if self.pattern.clustered else 1.0

    def max_rate_factor(self) -> float:
        """Return an upper bound of the factor by which a rate is multiplied."""
        return max(1.0, self.pattern.burst_factor) * (1 + self.fleet.swing)

    def rate_factor(self, kind: JobKind, at: float) -> float:
        """Return the factor of a kind's rate at some time."""
        is_in_window = FAULT_AT_S <= at < FAULT_AT_S + self.pattern.burst_s
        burst = (
            self.pattern.burst_factor
            if is_in_window and kind.name in self.pattern.burst_kinds
            else 1.0
        )
        turn = at / self.fleet.swing_period_s + self.swing_phase
        return burst * (1 + self.fleet.swing * math.sin(2 * math.pi * turn))

    def flood_arrivals(self) -> list[Arrival]:
        """Return the requests of the flooding workspace beyond its usual load."""
        share = self.weights[self.names.index(FLOODING_WORKSPACE)] / sum(self.weights)
        found = []
        for kind in self.fleet.kinds:
            rate = kind.rate_per_s * self.fleet.scale * self.pattern.load_factor * share
            extra = rate * (self.pattern.flood_factor - 1)
            at = FAULT_AT_S
            while (
                at := at + self.rng.expovariate(extra / self.mean_cluster_size())
            ) < FAULT_AT_S + FLOOD_S:
                found.extend(self.cluster(at, kind, FLOODING_WORKSPACE))
        return found

    def arrival(self, at: float, kind: JobKind, workspace: str) -> Arrival:
        """Return one request."""
        self.count += 1
        rng = self.rng
        has_large = rng.random() < kind.large_share
        large = (
            min(kind.large_pieces, 1 + int(rng.expovariate(kind.large_decay))) if has_large else 0
        )
        checks = max(1, min(25, round(rng.gauss(10, 4))))
        session = rng.randrange(max(1, round(kind.sessions * self.fleet.scale)))
        is_in_window = FAULT_AT_S <= at < FAULT_AT_S + FAULT_S
        if is_in_window and rng.random() < self.pattern.hot_session_share:
            session = 0
        names = self.fleet.failure_domain_names
        failure_domain = (
            names[0]
            if is_in_window and rng.random() < self.pattern.moved_caller_share
            else rng.choice(names)
        )
        return Arrival(
            at,
            f'job-{self.count}',
            kind,
            workspace,
            failure_domain,
            phases_of(kind, large, checks),
            self.prompt(kind, session),
        )

    def prompt(self, kind: JobKind, session: int) -> Prompt:
        """Return a prompt of a widely shared part, the session's part and the request's own."""
        own = max(50, round(self.rng.lognormvariate(0, 0.7) * kind.own_tokens * 0.78))
        parts = (
            PromptPart(f'{kind.name}-shared-{session % kind.shared_parts}', kind.shared_tokens),
            PromptPart(f'{kind.name}-session-{session}', kind.session_tokens),
            PromptPart(f'{kind.name}-own-{self.count}', own),
        )
        out = max(3, round(self.rng.lognormvariate(0, 0.6) * kind.tokens_out * 0.84))
        return Prompt('m', parts, sum(part.tokens for part in parts), out)
