"""Judge whether replicas that named limits got no more than that from all boxes together."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from tools.soak.checks import was_paused

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tools.soak.records import Arrival, LimitPeriod, RequestRecord
    from tools.soak.schedule import Step

WINDOW_S = 4.0
CONTACT_TIME_S = 4.0
PROPAGATION_S = 0.5
ALLOWED_RATIO = 1.5
ALLOWED_EXCESS = 5
"""What is borne in some 4 s, from the contact time on after the first word, of boxes that have
passed the word on half a second before: as the users' pages say."""


def find_limit_violations(
    records: Iterable[RequestRecord],
    limits: Iterable[LimitPeriod],
    arrivals: Iterable[Arrival],
    steps: list[Step],
) -> list[str]:
    """Check each limit that was named; calls to stages count whoever sent them."""
    by_call_id = {item.call_id: item for item in records}
    by_replica: dict[str, list[Arrival]] = defaultdict(list)
    for arrived in arrivals:
        by_replica[arrived.replica].append(arrived)
    problems = []
    for limit in limits:
        notified_at = limit_notified_at(limit, by_replica[limit.replica], by_call_id)
        times = [
            item.at
            for item in by_replica[limit.replica]
            if limit.started_at + CONTACT_TIME_S <= item.at <= limit.ended_at
            and is_counted(item, by_call_id, notified_at, steps)
        ]
        max_calls = max(
            (sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0
        )
        if max_calls > ALLOWED_RATIO * WINDOW_S * limit.per_s + ALLOWED_EXCESS:
            text = f'{max_calls} calls in {WINDOW_S:g} s, limited to {limit.per_s:g} a second'
            problems.append(f'{limit.replica}: {text}')
    return problems


def limit_notified_at(
    limit: LimitPeriod, arrivals: Iterable[Arrival], by_call_id: dict[str, RequestRecord]
) -> dict[tuple[int, int], float]:
    """Return when lives of boxes had first passed on an answer of a replica that named a limit."""
    found: dict[tuple[int, int], float] = {}
    for arrived in arrivals:
        record = by_call_id.get(arrived.call_id)
        if (
            record is not None
            and record.replica_is_limited
            and limit.started_at <= record.ended_at <= limit.ended_at
        ):
            key = (record.box, record.incarnation)
            found[key] = min(found.get(key, record.ended_at), record.ended_at)
    return found


def is_counted(
    arrived: Arrival,
    by_call_id: dict[str, RequestRecord],
    notified_at: dict[tuple[int, int], float],
    steps: list[Step],
) -> bool:
    """Tell whether a call came from a box that had been told, and did not stand still since."""
    if not arrived.call_id:
        return True
    record = by_call_id.get(arrived.call_id)
    at = notified_at.get((record.box, record.incarnation)) if record is not None else None
    if record is None or at is None or arrived.at < at + PROPAGATION_S:
        return False
    return not was_paused(steps, record.box, at, arrived.at)
