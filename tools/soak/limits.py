"""Judge whether replicas that named limits got no more than that from all boxes together."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from tools.soak.checks import paused

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tools.soak.records import Arrived, LimitNamed, Seen
    from tools.soak.schedule import Step

SPAN_S = 4.0
CONTACT_S = 4.0
HEARD_S = 0.5
SURPLUS_SHARE = 1.5
SURPLUS = 5
"""What is borne in some 4 s, from the contact time on after the first word, of boxes that have
passed the word on half a second before: as the users' pages say."""


def limits_are_kept(
    seen: Iterable[Seen],
    limits: Iterable[LimitNamed],
    arrivals: Iterable[Arrived],
    steps: list[Step],
) -> list[str]:
    """Check each limit that was named; calls to stages count whoever sent them."""
    listed = {item.call_id: item for item in seen}
    by_replica: dict[str, list[Arrived]] = defaultdict(list)
    for arrived in arrivals:
        by_replica[arrived.replica].append(arrived)
    problems = []
    for limit in limits:
        told = told_at(limit, by_replica[limit.replica], listed)
        times = [
            item.at
            for item in by_replica[limit.replica]
            if limit.began + CONTACT_S <= item.at <= limit.ended
            and counts(item, listed, told, steps)
        ]
        most = max((sum(at <= one < at + SPAN_S for one in times) for at in times), default=0)
        if most > SURPLUS_SHARE * SPAN_S * limit.per_s + SURPLUS:
            text = f'{most} calls in {SPAN_S:g} s, limited to {limit.per_s:g} a second'
            problems.append(f'{limit.replica}: {text}')
    return problems


def told_at(
    limit: LimitNamed, arrivals: Iterable[Arrived], listed: dict[str, Seen]
) -> dict[tuple[int, int], float]:
    """Return when lives of boxes had first passed on an answer of a replica that named a limit."""
    found: dict[tuple[int, int], float] = {}
    for arrived in arrivals:
        item = listed.get(arrived.call_id)
        if item is not None and item.limited and limit.began <= item.ended <= limit.ended:
            key = (item.box, item.life)
            found[key] = min(found.get(key, item.ended), item.ended)
    return found


def counts(
    arrived: Arrived,
    listed: dict[str, Seen],
    told: dict[tuple[int, int], float],
    steps: list[Step],
) -> bool:
    """Tell whether a call came from a box that had been told, and did not stand still since."""
    if not arrived.call_id:
        return True
    item = listed.get(arrived.call_id)
    at = told.get((item.box, item.life)) if item is not None else None
    if item is None or at is None or arrived.at < at + HEARD_S:
        return False
    return not paused(steps, item.box, at, arrived.at)
