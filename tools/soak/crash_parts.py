"""Send requests whose prompts share a part that crashes engines, and judge what reached these."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from tools.soak.checks import CONTACT_TIME_S
from tools.soak.crash_requests import SIMULTANEOUS_S, was_disturbed
from tools.soak.records import STREAM_KINDS, RequestKind
from tools.soak.schedule import FaultKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from tools.soak.records import RequestRecord, Run
    from tools.soak.schedule import Step

MAX_SEND_GAP_S = 0.6
MAX_BOXES_PER_SEND = 3
"""How long after one request the next comes, and to how many boxes requests go at once."""

FATAL_CRASHES = 5
MAX_LATE_SENDS = 3
MIN_JUDGED_CALLERS = 20
MIN_BEGUN_RATIO = 0.5
"""As the users' rules say: after this many crashes and the contact time, this many more sends at
most; after twice that time, of so many sound requests at least half as many begin as otherwise."""


class CrashPartRequest(NamedTuple):
    """Hold what differs between the requests of a series, and the part that they share."""

    kind: RequestKind
    path: str
    body: bytes
    part: str


def crash_part(step: Step) -> str:
    """Return the part of a step; no two steps have the same."""
    return f'feed5eed{step.target:06x}{int(1000 * step.at_s):06x}'


def new_request(step: Step, number: int) -> CrashPartRequest:
    """Return a request of a series; no two have the same path or body."""
    kinds = (RequestKind.STAGED_STREAM, RequestKind.UNREPEATABLE_STREAM)
    kind = kinds[step.target % len(kinds)]
    path = f'/{kind.value}/part-{step.target}-{number}'
    return CrashPartRequest(kind, path, b'number %d' % number, crash_part(step))


async def send_series(
    step: Step, send: Callable[[CrashPartRequest, int], Awaitable[object]], boxes: int
) -> None:
    """Send requests with the part of a step until the step is over, to any box."""
    rng = random.Random(f'parts of {step.target}')
    loop = asyncio.get_running_loop()
    end_at = loop.time() + step.duration_s
    numbers = itertools.count(1)
    sent: list[Awaitable[object]] = []
    while loop.time() < end_at:
        chosen = rng.sample(range(boxes), min(boxes, rng.randint(1, MAX_BOXES_PER_SEND)))
        sent += [
            asyncio.ensure_future(send(new_request(step, next(numbers)), box)) for box in chosen
        ]
        await asyncio.sleep(rng.uniform(0.0, MAX_SEND_GAP_S))
    await asyncio.gather(*sent)


def fatal_crash_at(crash_times: list[float]) -> float:
    """Return when the fifth engine crashed under a part; runs of one engine end together."""
    distinct_times: list[float] = []
    for at in sorted(crash_times):
        if not distinct_times or at - distinct_times[-1] > SIMULTANEOUS_S:
            distinct_times.append(at)
    return distinct_times[FATAL_CRASHES - 1] if len(distinct_times) >= FATAL_CRASHES else math.inf


def find_late_part_sends(
    records: Iterable[RequestRecord],
    runs: Iterable[Run],
    crash_times: dict[str, list[float]],
    steps: list[Step],
) -> list[str]:
    """Check that requests with a part are sent no more once five engines have crashed under it.

    Counted is what boxes send that have run undisturbed for the contact time.
    """
    by_call_id = {record.call_id: record for record in records if record.crash_part}
    fatal_at = {part: fatal_crash_at(times) for part, times in crash_times.items()}
    late_sends: dict[str, int] = defaultdict(int)
    for run in runs:
        record = by_call_id.get(run.call_id)
        if record is None:
            continue
        if run.started_at - fatal_at.get(record.crash_part, math.inf) <= CONTACT_TIME_S:
            continue
        if not was_disturbed(steps, record.box, run.started_at - CONTACT_TIME_S, run.started_at):
            late_sends[record.crash_part] += 1
    return [
        f'part {part}: sent {count} times late, {len(crash_times[part])} runs crashed engines'
        for part, count in late_sends.items()
        if count > MAX_LATE_SENDS
    ]


def find_unserved_beside_parts(
    records: Iterable[RequestRecord],
    crash_times: dict[str, list[float]],
    steps: list[Step],
    only: FaultKind | None,
) -> list[str]:
    """Check that sound streams begin again while requests with crashing parts still come.

    This is judged only where nothing else goes wrong.
    """
    if only is not FaultKind.CRASH_PART or not crash_times:
        return []
    sound = [item for item in records if item.kind in STREAM_KINDS and not item.crash_part]
    first_crash_at = min(at for times in crash_times.values() for at in times)
    last_crash_at = max(at for times in crash_times.values() for at in times)
    series_end_at = max(step.end_s for step in steps)
    before = [item for item in sound if item.ended_at < first_crash_at]
    due_at = last_crash_at + 2 * CONTACT_TIME_S
    after = [item for item in sound if due_at < item.started_at < series_end_at]
    if min(len(before), len(after)) < MIN_JUDGED_CALLERS:
        return []
    begun_before, begun_after = begun_ratio(before), begun_ratio(after)
    if begun_after >= MIN_BEGUN_RATIO * begun_before:
        return []
    return [f'{begun_after:.2f} of {len(after)} sound streams began, {begun_before:.2f} before']


def begun_ratio(records: list[RequestRecord]) -> float:
    """Return the share of streams of which an event came."""
    return sum(bool(item.event_ids) for item in records) / len(records)
