"""Find what is due at a time without looking at what is not."""

from __future__ import annotations

import heapq

MIN_REBUILD_SIZE = 64
"""Heap entries below which outdated ones are left in place: removing so few saves nothing."""


class DueTimes:
    """Map names to times, in monotonic seconds, and return the names whose time has come.

    An entry of the heap is outdated once its name has another time or none. Outdated entries are
    skipped, and removed when they are more than half of the heap, so that a change costs the
    logarithm of the number of names.
    """

    def __init__(self) -> None:
        self.times: dict[str, float] = {}
        self.heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self.times)

    def set(self, name: str, at: float) -> None:
        """Set the time of a name."""
        if self.times.get(name) == at:
            return
        self.times[name] = at
        heapq.heappush(self.heap, (at, name))
        if len(self.heap) > MIN_REBUILD_SIZE + 2 * len(self.times):
            self.heap = [(due_at, item) for item, due_at in self.times.items()]
            heapq.heapify(self.heap)

    def drop(self, name: str) -> None:
        """Remove a name, if it is there."""
        self.times.pop(name, None)

    def clear(self) -> None:
        """Remove all names."""
        self.times.clear()
        self.heap.clear()

    def pop_before(self, now: float) -> list[str]:
        """Remove and return the names whose time is before `now`, earliest first."""
        return self.pop(now, inclusive=False)

    def pop_until(self, now: float) -> list[str]:
        """Remove and return the names whose time is `now` or earlier, earliest first."""
        return self.pop(now, inclusive=True)

    def pop(self, now: float, *, inclusive: bool) -> list[str]:
        """Remove and return the names that are due, those due at `now` only if `inclusive`."""
        found = []
        while self.heap and (self.heap[0][0] < now or (inclusive and self.heap[0][0] == now)):
            at, name = heapq.heappop(self.heap)
            if self.times.get(name) == at:
                del self.times[name]
                found.append(name)
        return found
