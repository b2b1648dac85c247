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
    STORE_LOSES_RESPONSES = 'store-loses-answers'
    STORE_DROPS_HISTORY = 'store-forgets'
    STORE_LINK = 'store-link'
    REPLICA_LINK = 'replica-link'
    REPLICA_CRASH = 'replica-crash'
    REPLICA_DRAINS = 'replica-drains'
    CONFIG_CHANGE = 'change'
    EVACUATION = 'zone-out'
    REPLICA_RESTARTS = 'replica-reborn'
    INVALID_ENTRY = 'foreign-entry'
    REPLICA_LEAVES = 'replica-leaves'
    REPLICA_REFUSES = 'replica-turns-away'
    CRASH_REQUEST = 'deadly-request'
    REPLICA_LIMITS = 'replica-limits'
    STORE_RESTORE = 'store-goes-back'
    OVERLOAD = 'overload'
    BOX_PARTITION = 'box-partition'
    KILL_BOXES = 'kill-boxes'
    CRASH_PART = 'crash-part'
    UNDERWAY = 'answers-underway'
    ENDLESS = 'endless-answers'
    WATCH_CUTS = 'cut-watches'
    RESTART_BESIDE_ENTRIES = 'restart-beside-entries'
    LEAVE_AT_RESTART = 'leave-at-restart'
    ODD_STATUS = 'odd-status'


class LinkMode(enum.Enum):
    """Say what a link does with connections and bytes."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENT = 'silent'
    BLOCK_REQUESTS = 'no-way-out'
    BLOCK_RESPONSES = 'no-way-back'


OPERATOR_ACTIONS = frozenset(
    {
        FaultKind.STOP_BOX,
        FaultKind.RELOAD_BOX,
        FaultKind.CONFIG_CHANGE,
        FaultKind.REPLICA_DRAINS,
        FaultKind.EVACUATION,
        FaultKind.INVALID_ENTRY,
        FaultKind.REPLICA_LEAVES,
        FaultKind.REPLICA_REFUSES,
        FaultKind.REPLICA_LIMITS,
        FaultKind.OVERLOAD,
    }
)
"""What is no fault but an operator's work or callers' load: nothing may be cut by it."""

SEPARATELY_DRAWN = frozenset(
    {
        FaultKind.EVACUATION,
        FaultKind.REPLICA_RESTARTS,
        FaultKind.INVALID_ENTRY,
        FaultKind.REPLICA_LEAVES,
        FaultKind.REPLICA_REFUSES,
        FaultKind.CRASH_REQUEST,
        FaultKind.REPLICA_LIMITS,
        FaultKind.STORE_RESTORE,
        FaultKind.OVERLOAD,
        FaultKind.BOX_PARTITION,
        FaultKind.KILL_BOXES,
        FaultKind.CRASH_PART,
        FaultKind.UNDERWAY,
        FaultKind.ENDLESS,
        FaultKind.WATCH_CUTS,
        FaultKind.RESTART_BESIDE_ENTRIES,
        FaultKind.LEAVE_AT_RESTART,
        FaultKind.ODD_STATUS,
    }
)
"""What is drawn apart, so that what else a seed means stays as it was before these came."""

FAULTY_LINK_MODES = (
    LinkMode.DELAY,
    LinkMode.RESET,
    LinkMode.SILENT,
    LinkMode.BLOCK_REQUESTS,
    LinkMode.BLOCK_RESPONSES,
)
MAX_STEP_S = 5.0
MEAN_STEP_GAP_S = 0.7
"""The mean time between two steps; they last up to `LONGEST_S` and so overlap."""

MEAN_EVACUATION_GAP_S = 6.0
MAX_EVACUATION_S = 8.0
"""The mean time between two failure domains taken out, and how long one is."""

MEAN_ENTRY_GAP_S = 2.0
"""The mean time between two replicas that start again under their name, or foreign entries."""

MEAN_NOTICE_GAP_S = 1.5
"""The mean time between two replicas that leave by their answers alone, or turn calls away."""

MEAN_CRASH_REQUEST_GAP_S = 4.0
MIN_CRASH_REQUEST_S = 6.0
MAX_CRASH_REQUEST_S = 12.0
"""The mean time between two requests that begin to end replicas, and how long one is repeated."""

MEAN_CRASH_PART_GAP_S = 4.0
MIN_CRASH_PART_S = 8.0
MAX_CRASH_PART_S = 14.0
"""The mean time between two parts of prompts that begin to crash engines, and for how long requests
with one come."""

MEAN_LIMIT_GAP_S = 3.0
MIN_LIMIT_S = 6.0
MAX_LIMIT_S = 12.0
"""The mean time between two replicas that begin to name a limit, and for how long they do."""

MEAN_RESTORE_GAP_S = 5.0
MIN_SNAPSHOT_AGE_S = 1.0
MAX_SNAPSHOT_AGE_S = 4.0
"""The mean time between two returns of the store from a copy, and how old that is."""

MEAN_OVERLOAD_GAP_S = 5.0
MIN_OVERLOAD_S = 1.5
MAX_OVERLOAD_S = 3.0
"""The mean time between the end of one overload and the start of the next, and how long one is."""

MEAN_PARTITION_GAP_S = 4.0
MIN_PARTITION_S = 0.5
MAX_PARTITION_S = 8.0
"""The mean time between two partitions of boxes from all replicas, and how long one is."""

MEAN_KILL_GAP_S = 2.5
"""The mean time between two moments at which boxes are killed: one, some or all."""

PARTITION_MODES = (LinkMode.RESET, LinkMode.SILENT, LinkMode.PASS)
"""Resets or silences all connections to replicas, or refuses only new ones."""

SERVICE_COUNT = 3
REPLICAS_PER_SERVICE = 3
"""Replicas are numbered so that the services take turns."""

MEAN_SILENCE_GAP_S = 1.2
MIN_SILENCE_S = 0.8
MAX_SILENCE_S = 1.7
"""The mean time between two steps, and for how long replicas are silent: a second or so."""

SILENCE_MODES = (LinkMode.SILENT, LinkMode.BLOCK_RESPONSES, LinkMode.PASS)
"""All replicas of a service fall silent, one of them does, or one leaves without notice."""

MEAN_ENDLESS_GAP_S = 1.0
MIN_ENDLESS_S = 1.0
MAX_ENDLESS_S = 4.0
"""The mean time between two replicas whose answers don't end, and how long one sends such."""

MEAN_CUTS_GAP_S = 1.0
MIN_CUTS_S = 1.5
MAX_CUTS_S = 4.0
"""The mean time between two series of cut watches, and how long one is."""

MAX_SERIES_STEPS = 4
"""Changes of one kind that may come right after each other."""


class Step(NamedTuple):
    """Hold one step; times are seconds, from the start of the schedule."""

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float
    link_mode: LinkMode

    @property
    def end_s(self) -> float:
        """Return when it is over."""
        return self.at_s + self.duration_s


def draw_steps(
    seed: int, *, seconds: float, boxes: int, replicas: int, failure_domains: int
) -> list[Step]:
    """Return the steps of a seed, in order; the same for the same arguments."""
    rng = random.Random(seed)
    kinds = [kind for kind in FaultKind if kind not in SEPARATELY_DRAWN]
    steps: list[Step] = []
    at_s = 1.0
    while at_s < seconds:
        kind = rng.choice(kinds)
        targets_replica = kind.value.startswith('replica')
        target = rng.randrange(replicas if targets_replica else boxes)
        series = (
            rng.randint(1, MAX_SERIES_STEPS)
            if kind in OPERATOR_ACTIONS and rng.random() < 0.3
            else 1
        )
        for number in range(series):
            step = Step(
                at_s=round(at_s + 0.2 * number, 3),
                kind=kind,
                target=(target + number) % (replicas if targets_replica else boxes),
                duration_s=round(rng.uniform(0.3, MAX_STEP_S), 3),
                link_mode=rng.choice(FAULTY_LINK_MODES),
            )
            steps.append(step)
        at_s += rng.expovariate(1 / MEAN_STEP_GAP_S)
    steps += draw_evacuations(seed, seconds=seconds, failure_domains=failure_domains)
    steps += draw_entries(seed, seconds=seconds, replicas=replicas)
    steps += draw_notices(seed, seconds=seconds, replicas=replicas)
    steps += draw_crash_requests(seed, seconds=seconds)
    steps += draw_limits(seed, seconds=seconds, replicas=replicas)
    steps += draw_restores(seed, seconds=seconds)
    steps += draw_overloads(seed, seconds=seconds)
    steps += draw_partitions(seed, seconds=seconds, boxes=boxes)
    steps += draw_kills(seed, seconds=seconds, boxes=boxes)
    steps += draw_crash_parts(seed, seconds=seconds)
    steps += draw_underway(seed, seconds=seconds)
    steps += draw_endless(seed, seconds=seconds)
    steps += draw_watch_cuts(seed, seconds=seconds)
    return sorted(steps, key=lambda step: step.at_s)


def draw_evacuations(seed: int, *, seconds: float, failure_domains: int) -> list[Step]:
    """Return which failure domains are taken out when."""
    rng = random.Random(f'zones of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_EVACUATION_GAP_S)
    while at_s < seconds:
        for_s = rng.uniform(0.2, MAX_EVACUATION_S)
        failure_domain = rng.randrange(failure_domains)
        steps.append(
            Step(round(at_s, 3), FaultKind.EVACUATION, failure_domain, for_s, LinkMode.PASS)
        )
        at_s += rng.expovariate(1 / MEAN_EVACUATION_GAP_S)
    return steps


def draw_entries(seed: int, *, seconds: float, replicas: int) -> list[Step]:
    """Return which replicas start again under their names, and when foreign entries come."""
    rng = random.Random(f'entries of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_ENTRY_GAP_S)
    while at_s < seconds:
        kind = rng.choice((FaultKind.REPLICA_RESTARTS, FaultKind.INVALID_ENTRY))
        target = rng.randrange(replicas)
        for_s = rng.uniform(0.3, MAX_STEP_S) if kind is FaultKind.INVALID_ENTRY else 0.0
        steps.append(Step(round(at_s, 3), kind, target, for_s, LinkMode.PASS))
        at_s += rng.expovariate(1 / MEAN_ENTRY_GAP_S)
    return steps


def draw_notices(seed: int, *, seconds: float, replicas: int) -> list[Step]:
    """Return which replicas leave by their answers alone, and which turn calls away for a while."""
    rng = random.Random(f'words of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_NOTICE_GAP_S)
    while at_s < seconds:
        kind = rng.choice((FaultKind.REPLICA_LEAVES, FaultKind.REPLICA_REFUSES))
        for_s = round(rng.uniform(0.3, MAX_STEP_S), 3)
        steps.append(Step(round(at_s, 3), kind, rng.randrange(replicas), for_s, LinkMode.PASS))
        at_s += rng.expovariate(1 / MEAN_NOTICE_GAP_S)
    return steps


def draw_crash_requests(seed: int, *, seconds: float) -> list[Step]:
    """Return when requests come again and again that end the replicas which run them."""
    rng = random.Random(f'deadly of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_CRASH_REQUEST_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(MIN_CRASH_REQUEST_S, MAX_CRASH_REQUEST_S), 3)
        number = rng.randrange(1_000_000)
        steps.append(Step(round(at_s, 3), FaultKind.CRASH_REQUEST, number, for_s, LinkMode.PASS))
        at_s += rng.expovariate(1 / MEAN_CRASH_REQUEST_GAP_S)
    return steps


def draw_crash_parts(seed: int, *, seconds: float) -> list[Step]:
    """Return when requests come whose prompts share a part that crashes engines."""
    rng = random.Random(f'parts of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_CRASH_PART_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(MIN_CRASH_PART_S, MAX_CRASH_PART_S), 3)
        number = rng.randrange(1_000_000)
        steps.append(Step(round(at_s, 3), FaultKind.CRASH_PART, number, for_s, LinkMode.PASS))
        at_s += rng.expovariate(1 / MEAN_CRASH_PART_GAP_S)
    return steps


def draw_limits(seed: int, *, seconds: float, replicas: int) -> list[Step]:
    """Return which replicas name limits, and when."""
    rng = random.Random(f'limits of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_LIMIT_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(MIN_LIMIT_S, MAX_LIMIT_S), 3)
        target = rng.randrange(replicas)
        steps.append(Step(round(at_s, 3), FaultKind.REPLICA_LIMITS, target, for_s, LinkMode.PASS))
        at_s += rng.expovariate(1 / MEAN_LIMIT_GAP_S)
    return steps


def draw_restores(seed: int, *, seconds: float) -> list[Step]:
    """Return when copies of the store are taken from which it comes back, and after how long."""
    rng = random.Random(f'restores of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_RESTORE_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(MIN_SNAPSHOT_AGE_S, MAX_SNAPSHOT_AGE_S), 3)
        steps.append(Step(round(at_s, 3), FaultKind.STORE_RESTORE, 0, for_s, LinkMode.PASS))
        at_s += for_s + rng.expovariate(1 / MEAN_RESTORE_GAP_S)
    return steps


def draw_overloads(seed: int, *, seconds: float) -> list[Step]:
    """Return when callers send far more requests of one kind than stages can serve."""
    rng = random.Random(f'overloads of {seed}')
    steps: list[Step] = []
    at_s = rng.uniform(0.0, MEAN_OVERLOAD_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(MIN_OVERLOAD_S, MAX_OVERLOAD_S), 3)
        number = rng.randrange(1_000_000)
        steps.append(Step(round(at_s, 3), FaultKind.OVERLOAD, number, for_s, LinkMode.PASS))
        at_s += for_s + rng.expovariate(1 / MEAN_OVERLOAD_GAP_S)
    return steps


def draw_partitions(seed: int, *, seconds: float, boxes: int) -> list[Step]:
    """Return which boxes are partitioned from all replicas, and when; one at least is not."""
    rng = random.Random(f'partitions of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_PARTITION_GAP_S)
    while at_s < seconds and boxes > 1:
        for_s = round(rng.uniform(MIN_PARTITION_S, MAX_PARTITION_S), 3)
        mode = rng.choice(PARTITION_MODES)
        for box in rng.sample(range(boxes), rng.randint(1, boxes - 1)):
            steps.append(Step(round(at_s, 3), FaultKind.BOX_PARTITION, box, for_s, mode))
        at_s += rng.expovariate(1 / MEAN_PARTITION_GAP_S)
    return steps


def draw_kills(seed: int, *, seconds: float, boxes: int) -> list[Step]:
    """Return when boxes are killed at the same moment; the target is how many."""
    rng = random.Random(f'kills of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_KILL_GAP_S)
    while at_s < seconds:
        count = rng.randint(1, boxes)
        steps.append(Step(round(at_s, 3), FaultKind.KILL_BOXES, count, 0.0, LinkMode.PASS))
        at_s += rng.expovariate(1 / MEAN_KILL_GAP_S)
    return steps


def draw_underway(seed: int, *, seconds: float) -> list[Step]:
    """Return when replicas fall silent, or leave without notice, as configurations change."""
    rng = random.Random(f'answers of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_SILENCE_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S), 3)
        target, mode = rng.randrange(1_000_000), rng.choice(SILENCE_MODES)
        steps.append(Step(round(at_s, 3), FaultKind.UNDERWAY, target, for_s, mode))
        at_s += rng.expovariate(1 / MEAN_SILENCE_GAP_S)
    return steps


def draw_endless(seed: int, *, seconds: float) -> list[Step]:
    """Return when a replica sends bytes without end; one at a time does."""
    rng = random.Random(f'endless of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_ENDLESS_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(MIN_ENDLESS_S, MAX_ENDLESS_S), 3)
        target = rng.randrange(1_000_000)
        steps.append(Step(round(at_s, 3), FaultKind.ENDLESS, target, for_s, LinkMode.PASS))
        at_s += for_s + rng.expovariate(1 / MEAN_ENDLESS_GAP_S)
    return steps


def draw_watch_cuts(seed: int, *, seconds: float) -> list[Step]:
    """Return when the store cuts waiting watches in a series, and a replica leaves meanwhile."""
    rng = random.Random(f'cuts of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_CUTS_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(MIN_CUTS_S, MAX_CUTS_S), 3)
        target = rng.randrange(1_000_000)
        steps.append(Step(round(at_s, 3), FaultKind.WATCH_CUTS, target, for_s, LinkMode.PASS))
        at_s += for_s + rng.expovariate(1 / MEAN_CUTS_GAP_S)
    return steps


def chosen_replica(target: int) -> int:
    """Return the number of the one replica that a step chooses by its target."""
    service, place = target % SERVICE_COUNT, target // SERVICE_COUNT % REPLICAS_PER_SERVICE
    return service + place * SERVICE_COUNT


def is_calm(
    steps: list[Step], start_s: float, end_s: float, *, ignored: Step | None = None
) -> bool:
    """Tell whether no fault but `own` touches a span."""
    return not any(
        step is not ignored
        and step.kind not in OPERATOR_ACTIONS
        and step.at_s <= end_s
        and step.end_s >= start_s
        for step in steps
    )
