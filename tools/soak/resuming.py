"""Take broken streams up at other boxes, and judge at which software version they go on."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from tools.soak.records import RequestKind
from tools.soak.schedule import FaultKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from tools.soak.records import RequestRecord

JUDGED_VERSION = 'v1'
"""Version of two of the three engines, while none is replaced."""

MAX_ATTEMPTS = 8
RETRY_PAUSE_S = 0.3
MIN_JUDGED_STREAMS = 12
MIN_RESUMED_RATIO = 0.5
"""As the users' rule says: of this many streams or more that are taken up, at least half as large a
share goes on as of new streams begins."""


class Resumption(NamedTuple):
    """Hold what a caller sends to continue a stream; `call_id` is of the new attempt."""

    call_id: str
    resumed_call_id: str
    last_event_id: int
    deadline_s: float


async def resume_stream(
    broken: RequestRecord,
    send: Callable[[Resumption], Awaitable[RequestRecord]],
    deadline_s: float,
    clock: Callable[[], float],
) -> None:
    """Send the rest of a broken stream until it is complete or its deadline has passed."""
    last_event_id = broken.event_ids[-1]
    for number in range(1, MAX_ATTEMPTS + 1):
        left_s = broken.started_at + deadline_s - clock()
        if left_s <= RETRY_PAUSE_S:
            return
        attempt = f'{broken.call_id}.{number}'
        record = await send(Resumption(attempt, broken.call_id, last_event_id, left_s))
        if record.event_ids:
            last_event_id = record.event_ids[-1]
        if record.is_complete and record.status == 200:
            return
        pause_s = record.retry_after_s or RETRY_PAUSE_S
        if clock() + pause_s >= broken.started_at + deadline_s:
            return
        await asyncio.sleep(pause_s)


def is_broken_stream(record: RequestRecord) -> bool:
    """Tell whether a stream that may be resumed has broken after its first event."""
    return (
        record.kind is RequestKind.STAGED_STREAM
        and not record.crash_path
        and bool(record.event_ids)
        and not record.is_complete
    )


def attempts_by_stream(records: Iterable[RequestRecord]) -> dict[str, list[RequestRecord]]:
    """Return the attempts at each stream, by the identifier of the first one."""
    attempts: dict[str, list[RequestRecord]] = defaultdict(list)
    for record in records:
        if record.kind is RequestKind.STAGED_STREAM:
            attempts[record.resumed_call_id or record.call_id].append(record)
    return attempts


def find_mixed_versions(records: Iterable[RequestRecord]) -> list[str]:
    """Check that each stream holds events of one version, over all attempts of its caller."""
    problems = []
    for call_id, attempts in attempts_by_stream(records).items():
        versions = sorted({version for record in attempts for version in record.event_versions})
        if len(versions) > 1:
            problems.append(f'{call_id}: events of versions {", ".join(versions)}')
    return problems


def find_lost_streams(records: Iterable[RequestRecord], only: FaultKind | None) -> list[str]:
    """Check how many streams go on after boxes were killed.

    This is judged only where nothing but boxes is killed: then two replicas of the first version
    serve all the time.
    """
    if only is not FaultKind.KILL_BOXES:
        return []
    streams = attempts_by_stream(records).values()
    new = [attempts[0] for attempts in streams if not attempts[0].resumed_call_id]
    taken_up = [
        attempts
        for attempts in streams
        if len(attempts) > 1 and attempts[0].event_versions[:1] == (JUDGED_VERSION,)
    ]
    if len(taken_up) < MIN_JUDGED_STREAMS:
        return []
    began = sum(bool(record.event_ids) for record in new) / len(new)
    went_on = sum(any(item.event_ids for item in attempts[1:]) for attempts in taken_up)
    if went_on / len(taken_up) >= MIN_RESUMED_RATIO * began:
        return []
    return [
        f'{went_on} of {len(taken_up)} streams went on, {began:.2f} of {len(new)} new ones began'
    ]
