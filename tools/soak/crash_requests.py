"""Have requests come again and again that end the replicas which run them, and judge what came."""

from __future__ import annotations

import asyncio
import math
import random
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from tools.soak.checks import CONTACT_TIME_S
from tools.soak.records import RequestKind
from tools.soak.schedule import FaultKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from tools.soak.records import RequestRecord, Run
    from tools.soak.schedule import Step

CRASH_REQUEST_KINDS = (
    RequestKind.SAFE,
    RequestKind.UNSAFE,
    RequestKind.STAGED_STREAM,
    RequestKind.UNREPEATABLE_STREAM,
)
"""The kinds of requests that may end replicas; stages' pieces do not."""

CRASH_MARKER = '/deadly-'
"""Stands in the path of each such request."""

MAX_REPEAT_GAP_S = 0.6
MAX_BOXES_PER_REPEAT = 3
"""How long after one repeat the next comes, and to how many boxes one goes at once."""

BLOCKED_RETRY_AFTER_S = 60.0
"""A refusal that asks a caller to stay away longer than this is one of a blocked request: all other
refusals of a box ask for some seconds."""

SIMULTANEOUS_S = 0.1
"""Runs that end closer together than this ended with one replica."""

BOX_FAULTS = frozenset({FaultKind.KILL_BOX, FaultKind.STOP_BOX, FaultKind.PAUSE_BOX})

MAX_CRASHES = 3
MAX_LATE_SENDS = 3
"""Replicas that may end under a request, and sends later than the contact time after the last of
these, as the users' pages say."""


class Repeat(NamedTuple):
    """Say what one repeat looks like: a caller may write a number of its own into query or body."""

    path: str
    query: str
    body: bytes


def request_kind(step: Step) -> RequestKind:
    """Return the kind of the request of a step."""
    return CRASH_REQUEST_KINDS[step.target % len(CRASH_REQUEST_KINDS)]


def request_path(step: Step) -> str:
    """Return the path of the request of a step; no two steps have the same."""
    return f'/{request_kind(step).value}{CRASH_MARKER}{step.target}-{int(1000 * step.at_s)}'


def new_repeat(step: Step, number: int) -> Repeat:
    """Return a repeat: by the step all are alike, or differ in their query, or in their body."""
    variant = step.target // len(CRASH_REQUEST_KINDS) % 3
    query = f'?n={number}' if variant == 1 else ''
    body = b'time %d' % number if variant == 2 else b'the same'
    return Repeat(request_path(step), query, body)


async def send_repeats(
    step: Step, send: Callable[[Repeat, int], Awaitable[object]], boxes: int
) -> None:
    """Send the request of a step until the step is over, to any box, also to some at once."""
    rng = random.Random(f'repeats of {step.target}')
    loop = asyncio.get_running_loop()
    end_at = loop.time() + step.duration_s
    number = 0
    sent: list[Awaitable[object]] = []
    while loop.time() < end_at:
        number += 1
        chosen = rng.sample(range(boxes), min(boxes, rng.randint(1, MAX_BOXES_PER_REPEAT)))
        sent += [asyncio.ensure_future(send(new_repeat(step, number), box)) for box in chosen]
        await asyncio.sleep(rng.uniform(0.0, MAX_REPEAT_GAP_S))
    await asyncio.gather(*sent)


def find_wrongly_blocked(records: Iterable[RequestRecord]) -> list[str]:
    """Check that only requests that end replicas are refused as such."""
    return [
        f'{item.call_id}: refused for {item.retry_after_s:.0f} s, and ends no replica'
        for item in records
        if item.retry_after_s > BLOCKED_RETRY_AFTER_S and not (item.crash_path or item.crash_part)
    ]


def find_runs_after_block(records: Iterable[RequestRecord], runs: Iterable[Run]) -> list[str]:
    """Check that no box sends on what it has refused as blocked within its life."""
    run_ids = {run.call_id for run in runs}
    blocked_at: dict[tuple[str, int, int], float] = {}
    problems = []
    ordered = sorted(
        (record for record in records if record.crash_path), key=lambda item: item.ended_at
    )
    for record in ordered:
        if record.retry_after_s > BLOCKED_RETRY_AFTER_S:
            blocked_at.setdefault(
                (record.crash_path, record.box, record.incarnation), record.ended_at
            )
    for record in ordered:
        at = blocked_at.get((record.crash_path, record.box, record.incarnation))
        if at is not None and record.started_at > at and record.call_id in run_ids:
            late_s = record.started_at - at
            problems.append(f'{record.call_id}: ran {late_s:.2f} s after its box had blocked it')
    return problems


def find_late_crash_sends(
    records: Iterable[RequestRecord],
    runs: Iterable[Run],
    crash_times: dict[str, list[float]],
    steps: list[Step],
) -> list[str]:
    """Check that a request is sent on no more once three replicas have ended under it.

    Counted is what boxes send that have lived undisturbed for the contact time.
    """
    by_call_id = {record.call_id: record for record in records if record.crash_path}
    late_sends: dict[str, int] = defaultdict(int)
    for run in runs:
        record = by_call_id.get(run.call_id)
        third_crash = (
            third_crash_at(crash_times.get(record.crash_path, []))
            if record is not None
            else math.inf
        )
        if record is None or run.started_at - third_crash <= CONTACT_TIME_S:
            continue
        if not was_disturbed(steps, record.box, run.started_at - CONTACT_TIME_S, run.started_at):
            late_sends[record.crash_path] += 1
    return [
        f'{path}: sent {count} times late, {len(crash_times[path])} runs ended with their replicas'
        for path, count in late_sends.items()
        if count > MAX_LATE_SENDS
    ]


def third_crash_at(crash_times: list[float]) -> float:
    """Return when the third replica ended under a request; runs of one replica end together."""
    distinct_times: list[float] = []
    for at in sorted(crash_times):
        if not distinct_times or at - distinct_times[-1] > SIMULTANEOUS_S:
            distinct_times.append(at)
    return distinct_times[MAX_CRASHES - 1] if len(distinct_times) >= MAX_CRASHES else math.inf


def was_disturbed(steps: list[Step], box: int, start_s: float, end_s: float) -> bool:
    """Tell whether a box was stopped, killed or stood still, or ways to replicas were broken."""
    return any(
        (step.kind is FaultKind.REPLICA_LINK or (step.kind in BOX_FAULTS and step.target == box))
        and step.at_s <= end_s
        and step.end_s >= start_s
        for step in steps
    )
