"""Judge what callers and replicas have seen: each function returns what must not be."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from tools.soak.records import EVENTS, STREAMS, RequestKind, Run, Seen
from tools.soak.schedule import FaultKind, Step, calm

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tools.soak.records import Arrived, FailureDomainOut, StopSeen, TurnedAway

CONTACT_S = 4.0
"""How long after a fault a box is not held to times; the users' pages say 3 to 4 s."""

DRAIN_S = 3.0
"""How soon a replica that leaves gets nothing new: the users' 2 s, and one for a busy machine."""

EVACUATE_S = 3.0
"""How soon a failure domain that is taken out gets nothing new: well within the users' 5 s."""

OVERLAP_S = 1.4
"""How long two runs of one stream may go on together: the users' 0.4 s, and 1 s for a busy machine.
"""

GRACE_S = 8.0
"""How long a box may take to stop, as the users' pages say; a busy machine is given twice that."""

MOST_IN_PAUSE = 2
"""What a replica may get from a box in a pause that it has asked for, as the users' pages say."""

CALLS_A_BOX = 250
"""Calls to the store that each box may make in a second: its part of the 2,000 reading calls that
the users' store takes from eight."""

OWN_WHOLE = frozenset({200})


def answers_are_right(seen: Iterable[Seen]) -> list[str]:
    """Check that every success is sealed and the whole answer to its own request."""
    problems = []
    for item in seen:
        if item.status not in OWN_WHOLE:
            continue
        if not item.sealed:
            problems.append(f'{item.call_id}: a success without its seal')
        if item.kind in STREAMS:
            problems += stream_problems(item)
        elif item.whole and not item.body.startswith(item.call_id.encode()):
            problems.append(f'{item.call_id}: the answer of another request: {item.body[:60]!r}')
    return problems


def stream_problems(item: Seen) -> list[str]:
    """Check that a stream has each event once and in order, and ends as whole only if it is."""
    expected = tuple(range(1, len(item.event_ids) + 1))
    if item.event_ids != expected:
        return [f'{item.call_id}: events {item.event_ids}']
    if item.whole and len(item.event_ids) != EVENTS:
        return [f'{item.call_id}: ended as whole after {len(item.event_ids)} events']
    return []


def nothing_runs_twice(seen: Iterable[Seen], runs: Iterable[Run]) -> list[str]:
    """Check that what can't be repeated ran at most once, and not at all if it was refused."""
    counts: dict[str, int] = defaultdict(int)
    for run in runs:
        counts[run.call_id] += 1
    problems = []
    for item in seen:
        if item.kind not in (RequestKind.PAY, RequestKind.LETTER):
            continue
        if counts[item.call_id] > 1:
            problems.append(f'{item.call_id}: ran {counts[item.call_id]} times')
        if item.refused and counts[item.call_id]:
            problems.append(f'{item.call_id}: refused with {item.status}, and ran')
    return problems


def no_unknown_request_ran(
    seen: Iterable[Seen], runs: Iterable[Run], open_ids: set[str]
) -> list[str]:
    """Check that replicas ran only what callers sent."""
    known = {item.call_id for item in seen} | open_ids
    return [f'{run.call_id}: ran and was never sent' for run in runs if run.call_id not in known]


def runs_do_not_overlap(runs: Iterable[Run], steps: list[Step], end: float) -> list[str]:
    """Check that a stream goes on elsewhere only once its earlier run is over, faults apart."""
    by_call: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_call[run.call_id].append(run)
    problems = []
    for call_id, found in by_call.items():
        for earlier, later in itertools.pairwise(found):
            over = (earlier.ended or end) - later.began
            span = (later.began - CONTACT_S, later.began + OVERLAP_S)
            if over > OVERLAP_S and calm(steps, *span):
                problems.append(f'{call_id}: two runs went on together for {over:.2f} s')
    return problems


def configuration_never_goes_back(seen: Iterable[Seen]) -> list[str]:
    """Check that a box that has served a version's route never denies it within its life."""
    served: dict[tuple[int, int, int], float] = {}
    problems = []
    for item in sorted(seen, key=lambda found: found.began):
        if item.kind is not RequestKind.PROBE:
            continue
        key = (item.box, item.life, item.since)
        if item.status == 200:
            served[key] = min(served.get(key, item.ended), item.ended)
        elif item.status == 404 and key in served and item.began > served[key]:
            problems.append(f'box {item.box}: version {item.since} was in force and is not')
    return problems


def drained_replicas_get_nothing(
    runs: Iterable[Run], drained: dict[str, float], steps: list[Step]
) -> list[str]:
    """Check that replicas which said that they leave got nothing new after a while of calm."""
    problems = []
    for run in runs:
        at = drained.get(run.replica)
        if at is None or run.began - at < DRAIN_S:
            continue
        if calm(steps, run.began - CONTACT_S - DRAIN_S, run.began):
            late_s = run.began - at
            problems.append(f'{run.call_id}: reached {run.replica} {late_s:.2f} s after it left')
    return problems


def told_boxes_send_nothing(
    seen: Iterable[Seen], runs: Iterable[Run], steps: list[Step]
) -> list[str]:
    """Check that no box sends to a replica what it was asked long after that had said it leaves.

    The box had passed the word on before its caller saw it, so that no slow machine excuses it;
    only a new life of the box, or a pause, does.
    """
    listed = {item.call_id: item for item in seen}
    told: dict[tuple[str, int, int], float] = {}
    problems = []
    ordered = sorted(runs, key=lambda run: run.began)
    last = {run.call_id: run.replica for run in ordered}
    sends = Counter(run.call_id for run in ordered)
    for item in listed.values():
        # A stream that went on elsewhere keeps the head of its first replica.
        if item.leaving and sends[item.call_id] == 1:
            key = (last[item.call_id], item.box, item.life)
            told[key] = min(told.get(key, item.ended), item.ended)
    for run in ordered:
        asked = listed.get(run.call_id)
        at = told.get((run.replica, asked.box, asked.life)) if asked is not None else None
        if asked is None or at is None or asked.began < at + DRAIN_S:
            continue
        if not paused(steps, asked.box, at, run.began):
            late_s = asked.began - at
            problems.append(f'{run.call_id}: asked {late_s:.2f} s after {run.replica} told its box')
    return problems


def pauses_are_kept(
    seen: Iterable[Seen],
    turned_away: Iterable[TurnedAway],
    arrivals: Iterable[Arrived],
    steps: list[Step],
) -> list[str]:
    """Check that a replica gets hardly anything from a box in a pause that it has asked it for.

    Counted is what the box was asked after the answer that followed the wish: it knew by then.
    """
    listed = {item.call_id: item for item in seen}
    by_replica: dict[str, list[Arrived]] = defaultdict(list)
    for arrived in arrivals:
        by_replica[arrived.replica].append(arrived)
    problems = []
    for wish in turned_away:
        told = listed.get(wish.call_id)
        if told is None or not told.status or paused(steps, told.box, wish.at, wish.ends):
            continue
        came = 0
        for arrived in by_replica[wish.replica]:
            item = listed.get(arrived.call_id)
            same = item is not None and (item.box, item.life) == (told.box, told.life)
            if same and item is not None and told.ended < item.began and arrived.at < wish.ends:
                came += 1
        if came > MOST_IN_PAUSE:
            text = f'{came} calls of box {told.box} in a pause of {wish.wish_s:.2f} s'
            problems.append(f'{wish.replica}: {text}')
    return problems


def paused(steps: list[Step], box: int, begin_s: float, end_s: float) -> bool:
    """Tell whether a box stood still in a span: it may not know, and need not keep to times."""
    return any(
        step.kind is FaultKind.PAUSE_BOX
        and step.target == box
        and step.at_s <= end_s
        and step.ends_s >= begin_s
        for step in steps
    )


def store_is_not_pressed(called_at: list[float], boxes: int) -> list[str]:
    """Check that boxes never make more calls to the store in a second than it takes."""
    most, begun = 0, 0
    for number, at in enumerate(called_at):
        while called_at[begun] <= at - 1.0:
            begun += 1
        most = max(most, number - begun + 1)
    allowed = CALLS_A_BOX * boxes
    return [f'{most} calls to the store in a second, {allowed} allowed'] if most > allowed else []


def failure_domains_out_get_nothing(
    runs: Iterable[Run],
    failure_domains_out: list[FailureDomainOut],
    failure_domain_of: Callable[[str], str],
    steps: list[Step],
) -> list[str]:
    """Check that failure domains which are taken out got nothing new after a while of calm."""
    problems = []
    for run in runs:
        failure_domain = failure_domain_of(run.replica)
        for out in failure_domains_out:
            late_s = run.began - out.began
            if out.failure_domain != failure_domain or late_s < EVACUATE_S or run.began > out.ended:
                continue
            if calm(steps, run.began - CONTACT_S - EVACUATE_S, run.began):
                text = f'reached {run.replica} {late_s:.2f} s after {failure_domain} was taken out'
                problems.append(f'{run.call_id}: {text}')
    return problems


def stops_cut_nothing(
    stops: Iterable[StopSeen], seen: Iterable[Seen], steps: list[Step]
) -> list[str]:
    """Check that boxes stop cleanly and, faults apart, end what is in progress."""
    problems = []
    listed = list(seen)
    for stop in stops:
        if stop.code != 0:
            problems.append(f'box {stop.box}: stopped with {stop.code}')
        if stop.ended - stop.asked > 2 * GRACE_S:
            problems.append(f'box {stop.box}: took {stop.ended - stop.asked:.1f} s to stop')
        for item in listed:
            during = item.box == stop.box and item.began < stop.asked < item.ended
            if during and not item.whole and calm(steps, item.began - CONTACT_S, item.ended):
                problems.append(f'{item.call_id}: cut by the planned stop of box {stop.box}')
    return problems
