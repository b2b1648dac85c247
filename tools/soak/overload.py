"""Send more requests of one kind than the fleet can serve, and judge refusals and recovery."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, NamedTuple

from tools.soak.records import RequestKind
from tools.soak.schedule import FaultKind, LinkMode, chosen_replica
from tools.soak.world import FAILURE_DOMAINS, REPLICA_COUNT, SERVICES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from tools.soak.records import RequestRecord, Run
    from tools.soak.schedule import Step

OVERLOAD_KINDS = (
    RequestKind.STAGED_STREAM,
    RequestKind.STAGED_STREAM,
    RequestKind.UNREPEATABLE_STREAM,
)
"""The kinds of requests that are scheduled; staged ones come twice as often, since stages fall
short first."""

MAX_GAP_S = 0.01
"""Three stage replicas serve at most 57 requests a second: each runs four pieces in 70 ms, and a
request has three. With these gaps, 131 a second were measured at the boxes."""

SERVED_AGAIN_S = 5.0
"""How soon after an overload a request is served again: what was admitted in it ends within the
4 s of its callers' deadline."""


class LoadPeriod(NamedTuple):
    """Hold which kind of request was sent too often, and from when to when."""

    kind: RequestKind
    started_at: float
    ended_at: float


async def send_load(
    step: Step,
    send: Callable[[RequestKind, int], Awaitable[object]],
    boxes: int,
    clock: Callable[[], float],
) -> LoadPeriod:
    """Send the requests of a step without waiting for answers, and return when they were sent."""
    rng = random.Random(f'overload of {step.target}')
    kind = OVERLOAD_KINDS[step.target % len(OVERLOAD_KINDS)]
    started_at = clock()
    sent: list[Awaitable[object]] = []
    while clock() < started_at + step.duration_s:
        sent.append(asyncio.ensure_future(send(kind, rng.randrange(boxes))))
        await asyncio.sleep(rng.uniform(0.0, MAX_GAP_S))
    period = LoadPeriod(kind, started_at, clock())
    await asyncio.gather(*sent)
    return period


def find_runs_after_refusal(records: Iterable[RequestRecord], runs: Iterable[Run]) -> list[str]:
    """Check that no request, of whatever kind, begins to run after its caller was refused."""
    refused_at = {item.call_id: item.ended_at for item in records if item.status == 503}
    return [
        f'{run.call_id}: refused, and ran {run.started_at - refused_at[run.call_id]:.2f} s later'
        for run in runs
        if run.started_at > refused_at.get(run.call_id, run.started_at)
    ]


def find_lasting_overloads(
    records: Iterable[RequestRecord], periods: Iterable[LoadPeriod], steps: list[Step]
) -> list[str]:
    """Check that some request of the kind is served soon after its overload.

    Nothing is expected if another overload begins meanwhile, if a service has no replica that is
    left alone, or if nobody has asked.
    """
    all_records, all_periods = list(records), list(periods)
    problems = []
    for period in all_periods:
        end_at = period.ended_at + SERVED_AGAIN_S
        asked = [
            item
            for item in all_records
            if item.kind is period.kind and period.ended_at <= item.started_at < end_at
        ]
        is_excused = has_disturbed_service(steps, period.ended_at, end_at) or any(
            other.started_at < end_at and other.ended_at > period.ended_at
            for other in all_periods
            if other is not period
        )
        is_served = any(
            item.status == 200 and item.is_complete and item.ended_at <= end_at for item in asked
        )
        if asked and not is_excused and not is_served:
            text = f'{len(asked)} requests, none served within {SERVED_AGAIN_S:.0f} s'
            problems.append(f'overload of {period.kind.value} until {period.ended_at:.1f}: {text}')
    return problems


def has_disturbed_service(steps: list[Step], start_s: float, end_s: float) -> bool:
    """Tell whether steps touch each replica of some service in a span."""
    disturbed: set[int] = set()
    for step in steps:
        if step.at_s > end_s or step.end_s < start_s:
            continue
        if step.kind is FaultKind.EVACUATION:
            disturbed.update(range(step.target, REPLICA_COUNT, len(FAILURE_DOMAINS)))
        elif step.kind.value.startswith('replica'):
            disturbed.add(step.target)
        elif step.kind is FaultKind.UNDERWAY and step.link_mode is not LinkMode.SILENT:
            # One replica leaves, or is silent; if all are silent, it is for less than two seconds.
            disturbed.add(chosen_replica(step.target))
        elif step.kind in {FaultKind.ENDLESS, FaultKind.WATCH_CUTS}:
            # One replica sends bytes without end, or leaves without notice.
            disturbed.add(chosen_replica(step.target))
    return any(
        disturbed.issuperset(range(service, REPLICA_COUNT, len(SERVICES)))
        for service in range(len(SERVICES))
    )
