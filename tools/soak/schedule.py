"""Draw what goes wrong, when and for how long, from a seed."""

from __future__ import annotations

import enum
import random
from typing import NamedTuple


class FaultKind(enum.Enum):
    """Name what goes wrong; a target is the number of a box or of a replica."""

    KILL_BOX = 'kill-box'
    PAUSE_BOX = 'pause-box'
    STOP_BOX = 'stop-box'
    RELOAD_BOX = 'reload-box'
    STORE_DOWN = 'store-down'
    STORE_SILENT = 'store-silent'
    STORE_LOSES_ANSWERS = 'store-loses-answers'
    STORE_FORGETS = 'store-forgets'
    STORE_LINK = 'store-link'
    REPLICA_LINK = 'replica-link'
    REPLICA_CRASH = 'replica-crash'
    REPLICA_DRAINS = 'replica-drains'
    CHANGE = 'change'
    FAILURE_DOMAIN_OUT = 'zone-out'
    REPLICA_REBORN = 'replica-reborn'
    FOREIGN_ENTRY = 'foreign-entry'
    REPLICA_LEAVES = 'replica-leaves'
    REPLICA_TURNS_AWAY = 'replica-turns-away'
    DEADLY_REQUEST = 'deadly-request'
    REPLICA_LIMITS = 'replica-limits'
    STORE_GOES_BACK = 'store-goes-back'


class LinkMode(enum.Enum):
    """Say what a link does with connections and bytes."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENT = 'silent'
    NO_WAY_OUT = 'no-way-out'
    NO_WAY_BACK = 'no-way-back'


PLANNED = frozenset(
    {
        FaultKind.STOP_BOX,
        FaultKind.RELOAD_BOX,
        FaultKind.CHANGE,
        FaultKind.REPLICA_DRAINS,
        FaultKind.FAILURE_DOMAIN_OUT,
        FaultKind.FOREIGN_ENTRY,
        FaultKind.REPLICA_LEAVES,
        FaultKind.REPLICA_TURNS_AWAY,
        FaultKind.REPLICA_LIMITS,
    }
)
"""What is no fault but an operator's work: nothing may be cut by it."""

OWN_STREAMS = frozenset(
    {
        FaultKind.FAILURE_DOMAIN_OUT,
        FaultKind.REPLICA_REBORN,
        FaultKind.FOREIGN_ENTRY,
        FaultKind.REPLICA_LEAVES,
        FaultKind.REPLICA_TURNS_AWAY,
        FaultKind.DEADLY_REQUEST,
        FaultKind.REPLICA_LIMITS,
        FaultKind.STORE_GOES_BACK,
    }
)
"""What is drawn apart, so that what else a seed means stays as it was before these came."""

BROKEN_LINKS = (
    LinkMode.DELAY,
    LinkMode.RESET,
    LinkMode.SILENT,
    LinkMode.NO_WAY_OUT,
    LinkMode.NO_WAY_BACK,
)
LONGEST_S = 5.0
GAP_S = 0.7
"""The mean time between two steps; they last up to `LONGEST_S` and so overlap."""

FAILURE_DOMAIN_GAP_S = 6.0
LONGEST_OUT_S = 8.0
"""The mean time between two failure domains taken out, and how long one is."""

ENTRY_GAP_S = 2.0
"""The mean time between two replicas that start again under their name, or foreign entries."""

WORD_GAP_S = 1.5
"""The mean time between two replicas that leave by their answers alone, or turn calls away."""

DEADLY_GAP_S = 4.0
SHORTEST_DEADLY_S = 6.0
LONGEST_DEADLY_S = 12.0
"""The mean time between two requests that begin to end replicas, and how long one is repeated."""

LIMIT_GAP_S = 3.0
SHORTEST_LIMIT_S = 6.0
LONGEST_LIMIT_S = 12.0
"""The mean time between two replicas that begin to name a limit, and for how long they do."""

RESTORE_GAP_S = 5.0
SHORTEST_COPY_S = 1.0
LONGEST_COPY_S = 4.0
"""The mean time between two returns of the store from a copy, and how old that is."""

SERIES = 4
"""Changes of one kind that may come right after each other."""


class Step(NamedTuple):
    """Hold one step; times are seconds, from the start of the schedule."""

    at_s: float
    kind: FaultKind
    target: int
    for_s: float
    link: LinkMode

    @property
    def ends_s(self) -> float:
        """Return when it is over."""
        return self.at_s + self.for_s


def draw(
    seed: int, *, seconds: float, boxes: int, replicas: int, failure_domains: int
) -> list[Step]:
    """Return the steps of a seed, in order; the same for the same arguments."""
    rng = random.Random(seed)
    kinds = [kind for kind in FaultKind if kind not in OWN_STREAMS]
    found: list[Step] = []
    at_s = 1.0
    while at_s < seconds:
        kind = rng.choice(kinds)
        of_replicas = kind.value.startswith('replica')
        target = rng.randrange(replicas if of_replicas else boxes)
        series = rng.randint(1, SERIES) if kind in PLANNED and rng.random() < 0.3 else 1
        for number in range(series):
            step = Step(
                at_s=round(at_s + 0.2 * number, 3),
                kind=kind,
                target=(target + number) % (replicas if of_replicas else boxes),
                for_s=round(rng.uniform(0.3, LONGEST_S), 3),
                link=rng.choice(BROKEN_LINKS),
            )
            found.append(step)
        at_s += rng.expovariate(1 / GAP_S)
    found += draw_failure_domains(seed, seconds=seconds, failure_domains=failure_domains)
    found += draw_entries(seed, seconds=seconds, replicas=replicas)
    found += draw_words(seed, seconds=seconds, replicas=replicas)
    found += draw_deadly(seed, seconds=seconds)
    found += draw_limits(seed, seconds=seconds, replicas=replicas)
    found += draw_restores(seed, seconds=seconds)
    return sorted(found, key=lambda step: step.at_s)


def draw_failure_domains(seed: int, *, seconds: float, failure_domains: int) -> list[Step]:
    """Return which failure domains are taken out when."""
    rng = random.Random(f'zones of {seed}')
    found: list[Step] = []
    at_s = rng.expovariate(1 / FAILURE_DOMAIN_GAP_S)
    while at_s < seconds:
        for_s = rng.uniform(0.2, LONGEST_OUT_S)
        failure_domain = rng.randrange(failure_domains)
        found.append(
            Step(round(at_s, 3), FaultKind.FAILURE_DOMAIN_OUT, failure_domain, for_s, LinkMode.PASS)
        )
        at_s += rng.expovariate(1 / FAILURE_DOMAIN_GAP_S)
    return found


def draw_entries(seed: int, *, seconds: float, replicas: int) -> list[Step]:
    """Return which replicas start again under their names, and when foreign entries come."""
    rng = random.Random(f'entries of {seed}')
    found: list[Step] = []
    at_s = rng.expovariate(1 / ENTRY_GAP_S)
    while at_s < seconds:
        kind = rng.choice((FaultKind.REPLICA_REBORN, FaultKind.FOREIGN_ENTRY))
        target = rng.randrange(replicas)
        for_s = rng.uniform(0.3, LONGEST_S) if kind is FaultKind.FOREIGN_ENTRY else 0.0
        found.append(Step(round(at_s, 3), kind, target, for_s, LinkMode.PASS))
        at_s += rng.expovariate(1 / ENTRY_GAP_S)
    return found


def draw_words(seed: int, *, seconds: float, replicas: int) -> list[Step]:
    """Return which replicas leave by their answers alone, and which turn calls away for a while."""
    rng = random.Random(f'words of {seed}')
    found: list[Step] = []
    at_s = rng.expovariate(1 / WORD_GAP_S)
    while at_s < seconds:
        kind = rng.choice((FaultKind.REPLICA_LEAVES, FaultKind.REPLICA_TURNS_AWAY))
        for_s = round(rng.uniform(0.3, LONGEST_S), 3)
        found.append(Step(round(at_s, 3), kind, rng.randrange(replicas), for_s, LinkMode.PASS))
        at_s += rng.expovariate(1 / WORD_GAP_S)
    return found


def draw_deadly(seed: int, *, seconds: float) -> list[Step]:
    """Return when requests come again and again that end the replicas which run them."""
    rng = random.Random(f'deadly of {seed}')
    found: list[Step] = []
    at_s = rng.expovariate(1 / DEADLY_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(SHORTEST_DEADLY_S, LONGEST_DEADLY_S), 3)
        number = rng.randrange(1_000_000)
        found.append(Step(round(at_s, 3), FaultKind.DEADLY_REQUEST, number, for_s, LinkMode.PASS))
        at_s += rng.expovariate(1 / DEADLY_GAP_S)
    return found


def draw_limits(seed: int, *, seconds: float, replicas: int) -> list[Step]:
    """Return which replicas name limits, and when."""
    rng = random.Random(f'limits of {seed}')
    found: list[Step] = []
    at_s = rng.expovariate(1 / LIMIT_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(SHORTEST_LIMIT_S, LONGEST_LIMIT_S), 3)
        target = rng.randrange(replicas)
        found.append(Step(round(at_s, 3), FaultKind.REPLICA_LIMITS, target, for_s, LinkMode.PASS))
        at_s += rng.expovariate(1 / LIMIT_GAP_S)
    return found


def draw_restores(seed: int, *, seconds: float) -> list[Step]:
    """Return when copies of the store are taken from which it comes back, and after how long."""
    rng = random.Random(f'restores of {seed}')
    found: list[Step] = []
    at_s = rng.expovariate(1 / RESTORE_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(SHORTEST_COPY_S, LONGEST_COPY_S), 3)
        found.append(Step(round(at_s, 3), FaultKind.STORE_GOES_BACK, 0, for_s, LinkMode.PASS))
        at_s += for_s + rng.expovariate(1 / RESTORE_GAP_S)
    return found


def calm(steps: list[Step], begin_s: float, end_s: float, *, own: Step | None = None) -> bool:
    """Tell whether no fault but `own` touches a span."""
    return not any(
        step is not own
        and step.kind not in PLANNED
        and step.at_s <= end_s
        and step.ends_s >= begin_s
        for step in steps
    )
