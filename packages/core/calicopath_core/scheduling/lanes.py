"""Keep waiting items in order while time passes, and while items come, go and change.

Which of two items goes first depends on the time: slack is compared in steps that are counted from
now, and an item that becomes late moves behind those in time. Among items of one priority, with the
same time between their start and their objective, the order never changes, except that the late
ones, whose objectives are first, go after the others. So each such set is a lane, sorted by
objective, and the order of all is a merge of the lanes that stops where the reader does.
"""

from __future__ import annotations

import bisect
import heapq
from typing import TYPE_CHECKING, Any, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SLACK_STEP_S = 0.4
"""Step to which slack is rounded, about one call; jobs in the same step go by priority."""


class Rank(NamedTuple):
    """Sort key of what waits; the smallest is served first."""

    tier: int
    slack_step: int
    priority: int
    order_at: float


class LaneKey(NamedTuple):
    """Identify a lane by tier, priority, and `shared`, which is what else its items have in common.

    Tier 0 goes before all others, tier 1 is within its workspace's allowance, tier 2 over it.
    """

    tier: int
    priority: int
    shared: Any


FIRST_TIER, ALLOWED_TIER, OVER_ALLOWANCE_TIER, LATE_TIER = range(4)

Item = TypeVar('Item')


class Position(NamedTuple):
    """Hold the lane of an item, and the time by which the lane is sorted."""

    key: LaneKey
    at: float


class Lanes(Generic[Item]):
    """Hold numbered items, each in a lane; `on_inconsistent` gets the number of items rebuilt."""

    def __init__(self, *, on_inconsistent: Callable[[int], None]) -> None:
        self.on_inconsistent = on_inconsistent
        self.positions: dict[int, Position] = {}
        self.items: dict[int, Item] = {}
        self.lanes: dict[LaneKey, list[tuple[float, int, Item]]] = {}

    def put(self, number: int, item: Item, position: Position) -> None:
        """Add an item, or move it to another position."""
        if self.positions.get(number) == position:
            return
        self.drop(number)
        self.items[number] = item
        self.positions[number] = position
        bisect.insort(self.lanes.setdefault(position.key, []), (position.at, number, item))

    def drop(self, number: int) -> None:
        """Remove an item, if it is there."""
        position = self.positions.pop(number, None)
        if position is None:
            return
        del self.items[number]
        lane = self.lanes.get(position.key, [])
        index = bisect.bisect_left(lane, (position.at, number))
        if index == len(lane) or lane[index][1] != number:
            self.rebuild()
            return
        del lane[index]
        if not lane:
            del self.lanes[position.key]

    def rebuild(self) -> None:
        """Sort all items anew, after a lane did not hold an item that it should."""
        self.on_inconsistent(len(self.items))
        self.lanes.clear()
        for number, position in self.positions.items():
            entry = (position.at, number, self.items[number])
            self.lanes.setdefault(position.key, []).append(entry)
        for lane in self.lanes.values():
            lane.sort(key=lambda entry: entry[:2])

    def ordered(
        self, now: float, accepts: Callable[[LaneKey], bool], lead_s: Callable[[LaneKey], float]
    ) -> Iterator[Item]:
        """Yield the items of accepted lanes in order; the lanes must not change meanwhile.

        `lead_s` returns how long before their objective the items of a lane must be served.
        """
        heap = [
            head
            for key, lane in self.lanes.items()
            if accepts(key)
            for head in heads(key, lane, now + lead_s(key))
        ]
        heapq.heapify(heap)
        while heap:
            part = heap[0].part
            yield part.lane[part.index][2]
            part.index += 1
            if part.index < part.stop:
                heapq.heapreplace(heap, part.head())
            else:
                heapq.heappop(heap)


class LanePart(Generic[Item]):
    """Hold a part of a lane that is read from `index` to `stop`, and how to rank its items."""

    __slots__ = ('index', 'lane', 'priority', 'served_by', 'stop', 'tier')

    def __init__(
        self,
        *,
        lane: list[tuple[float, int, Item]],
        index: int,
        stop: int,
        tier: int,
        priority: int,
        served_by: float,
    ) -> None:
        self.lane = lane
        self.index = index
        self.stop = stop
        self.tier = tier
        self.priority = priority
        self.served_by = served_by

    def head(self) -> Head[Item]:
        """Return the next item's sort key with the part."""
        at, number, _ = self.lane[self.index]
        in_time = self.tier in (ALLOWED_TIER, OVER_ALLOWANCE_TIER)
        step = int((at - self.served_by) / SLACK_STEP_S) if in_time else 0
        return Head(self.tier, step, self.priority, at, number, self)


class Head(NamedTuple, Generic[Item]):
    """Hold a `Rank` and a number, by which the heads of lane parts are compared, and the part."""

    tier: int
    slack_step: int
    priority: int
    order_at: float
    number: int
    part: LanePart[Item]


def heads(
    key: LaneKey, lane: list[tuple[float, int, Item]], served_by: float
) -> Iterator[Head[Item]]:
    """Yield the heads of the parts of a lane: items in time, and late ones."""
    late = 0 if key.tier == FIRST_TIER else bisect.bisect_left(lane, (served_by,))
    for start, stop, tier in ((late, len(lane), key.tier), (0, late, LATE_TIER)):
        if start < stop:
            part = LanePart(
                lane=lane,
                index=start,
                stop=stop,
                tier=tier,
                priority=key.priority,
                served_by=served_by,
            )
            yield part.head()
