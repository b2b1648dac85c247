"""Generate patterns of load, each with a name: who asks when, and what happens meanwhile."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.scheduling.messages import Prompt, PromptPart
from testkit.replay.fleet import KINDS, MIDDLE, URGENT, Fleet, JobKind, phases_of

if TYPE_CHECKING:
    from calicopath_core.scheduling.messages import PhaseWork

LENGTH_S = 24.0
BLOW_AT_S, BLOW_S = 8.0, 6.0
FLOOD_S = 10.0
WORKSPACES = 19
FLOODER = 'workspace-1'


class Arrival(NamedTuple):
    """Hold one request as its caller sends it first, `at` seconds from the start."""

    at: float
    name: str
    kind: JobKind
    workspace: str
    failure_domain: str
    phases: tuple[PhaseWork, ...]
    prompt: Prompt


class Blow(NamedTuple):
    """Say what happens to replicas or schedulers at some time.

    `what` is `slow`, `lost`, `killed` (everything), `silent` (the scheduler alone) or `out`: the
    first failure domain is taken out, and its engines are cold when it is given back.
    """

    at: float
    what: str
    service: str = ''
    share: float = 0.0
    for_s: float = 0.0


class Pattern(NamedTuple):
    """Describe a pattern of load.

    `burst_x` multiplies the rate of `burst_kinds` for `BLOW_S`; `flood_x` that of one workspace for
    `FLOOD_S`; `hot_share` of a kind's requests are of one session; `moved_share` of callers come
    from the first failure domain while it lasts.
    """

    name: str
    load: float = 1.0
    burst_x: float = 1.0
    burst_kinds: tuple[str, ...] = ()
    flood_x: float = 1.0
    hot_share: float = 0.0
    moved_share: float = 0.0
    blows: tuple[Blow, ...] = ()


PATTERNS = {
    item.name: item
    for item in (
        Pattern('steady'),
        Pattern('burst-urgent', load=1.2, burst_x=3.0, burst_kinds=(URGENT.name,)),
        Pattern('burst-middle', load=1.2, burst_x=3.0, burst_kinds=(MIDDLE.name,)),
        Pattern('burst-all', burst_x=2.4, burst_kinds=tuple(kind.name for kind in KINDS)),
        Pattern('flood', load=1.2, flood_x=7.5),
        Pattern('stage-lost', blows=(Blow(BLOW_AT_S, 'lost', 'rank', 0.33, BLOW_S),)),
        Pattern('short-of-stages', load=1.3, blows=(Blow(4.0, 'lost', 'rank', 0.5, 14.0),)),
        Pattern('stage-slow', blows=(Blow(BLOW_AT_S, 'slow', 'retrieve', 0.33, BLOW_S),)),
        Pattern('zone-out', blows=(Blow(BLOW_AT_S, 'out', for_s=BLOW_S),)),
        Pattern(
            'zone-back-cold',
            load=1.3,
            burst_x=2.4,
            burst_kinds=tuple(kind.name for kind in KINDS),
            blows=(Blow(4.0, 'out', for_s=5.0),),
        ),
        Pattern('scheduler-silent', blows=(Blow(BLOW_AT_S, 'silent'),)),
        Pattern('all-killed', blows=(Blow(BLOW_AT_S, 'killed'),)),
        Pattern('hot-key', hot_share=0.4),
        Pattern('zone-moved', moved_share=0.4),
    )
}


def share_of(number: int) -> float:
    """Return how much of the load a workspace brings: a few are large."""
    return 1 / (number + 1)


class Generator:
    """Draw the requests of a pattern from a seed."""

    def __init__(self, *, fleet: Fleet, pattern: Pattern, seed: int) -> None:
        self.fleet = fleet
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.names = [f'workspace-{number}' for number in range(WORKSPACES)]
        self.weights = [share_of(number) for number in range(WORKSPACES)]
        self.count = 0

    def arrivals(self) -> list[Arrival]:
        """Return every first try in order of time."""
        found = [item for kind in self.fleet.kinds for item in self.of_kind(kind)]
        if self.pattern.flood_x > 1:
            found.extend(self.flood())
        return sorted(found, key=lambda item: item.at)

    def of_kind(self, kind: JobKind) -> list[Arrival]:
        """Return the requests of one kind."""
        found = []
        at = 0.0
        rate = kind.rate * self.fleet.scale * self.pattern.load
        most = rate * max(1.0, self.pattern.burst_x)
        while (at := at + self.rng.expovariate(most)) < LENGTH_S:
            if self.rng.random() < self.rate_at(kind, at) / self.pattern_most():
                workspace = self.rng.choices(self.names, self.weights)[0]
                found.append(self.arrival(at, kind, workspace))
        return found

    def pattern_most(self) -> float:
        """Return the largest factor of any rate."""
        return max(1.0, self.pattern.burst_x)

    def rate_at(self, kind: JobKind, at: float) -> float:
        """Return the factor of a kind's rate at some time."""
        during = BLOW_AT_S <= at < BLOW_AT_S + BLOW_S
        return self.pattern.burst_x if during and kind.name in self.pattern.burst_kinds else 1.0

    def flood(self) -> list[Arrival]:
        """Return what the flooding workspace sends beyond its usual."""
        share = self.weights[self.names.index(FLOODER)] / sum(self.weights)
        found = []
        for kind in self.fleet.kinds:
            rate = kind.rate * self.fleet.scale * self.pattern.load * share
            extra = rate * (self.pattern.flood_x - 1)
            at = BLOW_AT_S
            while (at := at + self.rng.expovariate(extra)) < BLOW_AT_S + FLOOD_S:
                found.append(self.arrival(at, kind, FLOODER))
        return found

    def arrival(self, at: float, kind: JobKind, workspace: str) -> Arrival:
        """Return one request."""
        self.count += 1
        rng = self.rng
        has_large = rng.random() < kind.large_share
        large = min(kind.large_pieces, 1 + int(rng.expovariate(0.6))) if has_large else 0
        checks = max(1, min(25, round(rng.gauss(10, 4))))
        session = rng.randrange(max(1, round(kind.sessions * self.fleet.scale)))
        during = BLOW_AT_S <= at < BLOW_AT_S + BLOW_S
        if during and rng.random() < self.pattern.hot_share:
            session = 0
        names = self.fleet.failure_domain_names
        failure_domain = (
            names[0] if during and rng.random() < self.pattern.moved_share else rng.choice(names)
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
        """Return a prompt: a part that many share, a session's and its own."""
        own = max(50, round(self.rng.lognormvariate(0, 0.7) * kind.own_tokens * 0.78))
        parts = (
            PromptPart(f'{kind.name}-shared-{session % kind.shared_parts}', kind.shared_tokens),
            PromptPart(f'{kind.name}-session-{session}', kind.session_tokens),
            PromptPart(f'{kind.name}-own-{self.count}', own),
        )
        out = max(3, round(self.rng.lognormvariate(0, 0.6) * kind.tokens_out * 0.84))
        return Prompt('m', parts, sum(part.tokens for part in parts), out)
