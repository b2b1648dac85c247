"""Judge what callers and replicas have seen: each function returns what must not be."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from tools.soak.records import EVENTS_PER_STREAM, STREAM_KINDS, RequestKind, RequestRecord, Run
from tools.soak.schedule import FaultKind, Step, is_calm

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tools.soak.records import Arrival, BoxStop, Evacuation, RefusedCall

CONTACT_TIME_S = 4.0
"""How long after a fault a box is not held to times; the users' pages say 3 to 4 s."""

DRAIN_LIMIT_S = 3.0
"""How soon a replica that leaves gets nothing new: the users' 2 s, and one for a busy machine."""

EVACUATION_LIMIT_S = 3.0
"""How soon a failure domain that is taken out gets nothing new: well within the users' 5 s."""

MAX_OVERLAP_S = 1.4
"""How long two runs of one stream may go on together: the users' 0.4 s, and 1 s for a busy machine.
"""

STOP_GRACE_S = 8.0
"""How long a box may take to stop, as the users' pages say; a busy machine is given twice that."""

MAX_CALLS_IN_BACKOFF = 2
"""What a replica may get from a box in a pause that it has asked for, as the users' pages say."""

MAX_STORE_CALLS_PER_BOX = 250
"""Calls to the store that each box may make in a second: its part of the 2,000 reading calls that
the users' store takes from eight."""

SUCCESS_STATUSES = frozenset({200})


def find_wrong_responses(records: Iterable[RequestRecord]) -> list[str]:
    """Check that every success is sealed and the whole answer to its own request."""
    problems = []
    for record in records:
        if record.status not in SUCCESS_STATUSES:
            continue
        if not record.has_seal:
            problems.append(f'{record.call_id}: a success without its seal')
        if record.kind in STREAM_KINDS:
            problems += find_stream_errors(record)
        elif record.is_complete and not record.body.startswith(record.call_id.encode()):
            problems.append(
                f'{record.call_id}: the answer of another request: {record.body[:60]!r}'
            )
    return problems


def find_stream_errors(record: RequestRecord) -> list[str]:
    """Check that a stream has each event once and in order, and ends as whole only if it is."""
    first = record.last_event_id + 1
    expected = tuple(range(first, first + len(record.event_ids)))
    if record.event_ids != expected:
        return [f'{record.call_id}: events {record.event_ids}']
    last_event_id = record.event_ids[-1] if record.event_ids else record.last_event_id
    if record.is_complete and last_event_id != EVENTS_PER_STREAM:
        return [f'{record.call_id}: ended as whole after event {last_event_id}']
    return []


def find_repeated_runs(records: Iterable[RequestRecord], runs: Iterable[Run]) -> list[str]:
    """Check that what can't be repeated ran at most once, and not at all if it was refused."""
    run_counts: dict[str, int] = defaultdict(int)
    for run in runs:
        run_counts[run.call_id] += 1
    problems = []
    for record in records:
        if record.kind not in (RequestKind.UNSAFE, RequestKind.UNREPEATABLE_STREAM):
            continue
        if run_counts[record.call_id] > 1:
            problems.append(f'{record.call_id}: ran {run_counts[record.call_id]} times')
        if record.is_refusal and run_counts[record.call_id]:
            problems.append(f'{record.call_id}: refused with {record.status}, and ran')
    return problems


def find_unknown_runs(
    records: Iterable[RequestRecord], runs: Iterable[Run], sent_ids: set[str]
) -> list[str]:
    """Check that replicas ran only what callers sent."""
    known = {item.call_id for item in records} | sent_ids
    return [f'{run.call_id}: ran and was never sent' for run in runs if run.call_id not in known]


def find_overlapping_runs(runs: Iterable[Run], steps: list[Step], end_s: float) -> list[str]:
    """Check that a stream goes on elsewhere only once its earlier run is over, faults apart."""
    by_call: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_call[run.call_id].append(run)
    problems = []
    for call_id, call_runs in by_call.items():
        for earlier, later in itertools.pairwise(call_runs):
            overlap_s = (earlier.ended_at or end_s) - later.started_at
            span = (later.started_at - CONTACT_TIME_S, later.started_at + MAX_OVERLAP_S)
            if overlap_s > MAX_OVERLAP_S and is_calm(steps, *span):
                problems.append(f'{call_id}: two runs went on together for {overlap_s:.2f} s')
    return problems


def find_configuration_reverts(records: Iterable[RequestRecord]) -> list[str]:
    """Check that a box that has served a version's route never denies it within its life."""
    served_at: dict[tuple[int, int, int], float] = {}
    problems = []
    for record in sorted(records, key=lambda found: found.started_at):
        if record.kind is not RequestKind.CONFIG_PROBE:
            continue
        key = (record.box, record.incarnation, record.probed_version)
        if record.status == 200:
            served_at[key] = min(served_at.get(key, record.ended_at), record.ended_at)
        elif record.status == 404 and key in served_at and record.started_at > served_at[key]:
            problems.append(
                f'box {record.box}: version {record.probed_version} was in force and is not'
            )
    return problems


def find_runs_after_drain(
    runs: Iterable[Run], drained_at: dict[str, float], steps: list[Step]
) -> list[str]:
    """Check that replicas which said that they leave got nothing new after a while of calm."""
    problems = []
    for run in runs:
        at = drained_at.get(run.replica)
        if at is None or run.started_at - at < DRAIN_LIMIT_S:
            continue
        if is_calm(steps, run.started_at - CONTACT_TIME_S - DRAIN_LIMIT_S, run.started_at):
            late_s = run.started_at - at
            problems.append(f'{run.call_id}: reached {run.replica} {late_s:.2f} s after it left')
    return problems


def find_runs_after_leaving_notice(
    records: Iterable[RequestRecord], runs: Iterable[Run], steps: list[Step]
) -> list[str]:
    """Check that no box sends to a replica what it was asked long after that had said it leaves.

    The box had passed the word on before its caller saw it, so that no slow machine excuses it;
    only a new life of the box, or a pause, does.
    """
    by_call_id = {record.call_id: record for record in records}
    notified_at: dict[tuple[str, int, int], float] = {}
    problems = []
    ordered = sorted(runs, key=lambda run: run.started_at)
    last_replica = {run.call_id: run.replica for run in ordered}
    run_counts = Counter(run.call_id for run in ordered)
    for record in by_call_id.values():
        # A stream that went on elsewhere keeps the head of its first replica.
        if record.replica_is_leaving and run_counts[record.call_id] == 1:
            key = (last_replica[record.call_id], record.box, record.incarnation)
            notified_at[key] = min(notified_at.get(key, record.ended_at), record.ended_at)
    for run in ordered:
        request = by_call_id.get(run.call_id)
        at = (
            notified_at.get((run.replica, request.box, request.incarnation))
            if request is not None
            else None
        )
        if request is None or at is None or request.started_at < at + DRAIN_LIMIT_S:
            continue
        if not was_paused(steps, request.box, at, run.started_at):
            late_s = request.started_at - at
            problems.append(f'{run.call_id}: asked {late_s:.2f} s after {run.replica} told its box')
    return problems


def find_backoff_violations(
    records: Iterable[RequestRecord],
    refusals: Iterable[RefusedCall],
    arrivals: Iterable[Arrival],
    steps: list[Step],
) -> list[str]:
    """Check that a replica gets hardly anything from a box in a pause that it has asked it for.

    Counted is what the box was asked after the answer that followed the wish: it knew by then.
    """
    by_call_id = {record.call_id: record for record in records}
    by_replica: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in arrivals:
        by_replica[arrival.replica].append(arrival)
    problems = []
    for refusal in refusals:
        refused = by_call_id.get(refusal.call_id)
        if (
            refused is None
            or not refused.status
            or was_paused(steps, refused.box, refusal.at, refusal.backoff_ends_at)
        ):
            continue
        calls = 0
        for arrival in by_replica[refusal.replica]:
            record = by_call_id.get(arrival.call_id)
            is_same_box = record is not None and (record.box, record.incarnation) == (
                refused.box,
                refused.incarnation,
            )
            if (
                is_same_box
                and record is not None
                and refused.ended_at < record.started_at
                and arrival.at < refusal.backoff_ends_at
            ):
                calls += 1
        if calls > MAX_CALLS_IN_BACKOFF:
            text = f'{calls} calls of box {refused.box} in a pause of {refusal.backoff_s:.2f} s'
            problems.append(f'{refusal.replica}: {text}')
    return problems


def was_paused(steps: list[Step], box: int, start_s: float, end_s: float) -> bool:
    """Tell whether a box stood still in a span: it may not know, and need not keep to times."""
    return any(
        step.kind is FaultKind.PAUSE_BOX
        and step.target == box
        and step.at_s <= end_s
        and step.end_s >= start_s
        for step in steps
    )


def find_excess_store_calls(call_times: list[float], boxes: int) -> list[str]:
    """Check that boxes never make more calls to the store in a second than it takes."""
    max_calls, window_start = 0, 0
    for number, at in enumerate(call_times):
        while call_times[window_start] <= at - 1.0:
            window_start += 1
        max_calls = max(max_calls, number - window_start + 1)
    allowed = MAX_STORE_CALLS_PER_BOX * boxes
    return (
        [f'{max_calls} calls to the store in a second, {allowed} allowed']
        if max_calls > allowed
        else []
    )


def find_runs_after_evacuation(
    runs: Iterable[Run],
    evacuations: list[Evacuation],
    failure_domain_of: Callable[[str], str],
    steps: list[Step],
) -> list[str]:
    """Check that failure domains which are taken out got nothing new after a while of calm."""
    problems = []
    for run in runs:
        failure_domain = failure_domain_of(run.replica)
        for evacuation in evacuations:
            late_s = run.started_at - evacuation.started_at
            if (
                evacuation.failure_domain != failure_domain
                or late_s < EVACUATION_LIMIT_S
                or run.started_at > evacuation.ended_at
            ):
                continue
            if is_calm(steps, run.started_at - CONTACT_TIME_S - EVACUATION_LIMIT_S, run.started_at):
                text = f'reached {run.replica} {late_s:.2f} s after {failure_domain} was taken out'
                problems.append(f'{run.call_id}: {text}')
    return problems


def find_stop_problems(
    stops: Iterable[BoxStop], records: Iterable[RequestRecord], steps: list[Step]
) -> list[str]:
    """Check that boxes stop cleanly and, faults apart, end what is in progress."""
    problems = []
    all_records = list(records)
    for stop in stops:
        if stop.exit_code != 0:
            problems.append(f'box {stop.box}: stopped with {stop.exit_code}')
        if stop.ended_at - stop.requested_at > 2 * STOP_GRACE_S:
            problems.append(
                f'box {stop.box}: took {stop.ended_at - stop.requested_at:.1f} s to stop'
            )
        for record in all_records:
            in_progress = (
                record.box == stop.box and record.started_at < stop.requested_at < record.ended_at
            )
            if (
                in_progress
                and not record.is_complete
                and is_calm(steps, record.started_at - CONTACT_TIME_S, record.ended_at)
            ):
                problems.append(f'{record.call_id}: cut by the planned stop of box {stop.box}')
    return problems
