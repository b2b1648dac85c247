"""Queue the calls that wait for an endpoint, by priority, workspace and deadline."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator


class Waiter:
    """Represent a call that waits for a slot; `deadline` is in monotonic seconds."""

    def __init__(
        self,
        *,
        workspace: str,
        priority: int,
        deadline: float,
        future: asyncio.Future[Any],
    ) -> None:
        self.workspace = workspace
        self.priority = priority
        self.deadline = deadline
        self.future = future

    @property
    def is_waiting(self) -> bool:
        """Return whether the call still waits: its future is neither done nor cancelled."""
        return not self.future.done()


class QueuedWaiter(NamedTuple):
    """Order waiters of one workspace by deadline, then by arrival."""

    deadline: float
    sequence: int
    waiter: Waiter


class PriorityClass:
    """Share slots between the workspaces of one priority by start-time fair queueing.

    Each workspace has a virtual time that grows by one for every slot it gets; the workspace with
    the lowest goes first. An idle workspace resumes at the class's virtual time, so that it can't
    accumulate slots.
    """

    def __init__(self) -> None:
        self.queues: dict[str, list[QueuedWaiter]] = {}
        self.virtual_times: dict[str, float] = {}
        self.virtual_now = 0.0

    def push(self, item: QueuedWaiter) -> None:
        """Queue a waiter in its workspace's queue, ordered by deadline."""
        workspace = item.waiter.workspace
        if workspace not in self.queues:
            self.queues[workspace] = []
            self.virtual_times[workspace] = max(
                self.virtual_now, self.virtual_times.get(workspace, 0.0)
            )
        heapq.heappush(self.queues[workspace], item)

    def pop(self) -> Waiter | None:
        """Remove and return the next call that still waits, or `None`."""
        while self.queues:
            workspace = min(self.queues, key=lambda name: (self.virtual_times[name], name))
            queue = self.queues[workspace]
            waiter = heapq.heappop(queue).waiter
            if not queue:
                del self.queues[workspace]
            if waiter.is_waiting:
                self.virtual_now = self.virtual_times[workspace]
                self.virtual_times[workspace] += 1.0
                self.forget_idle()
                return waiter
        return None

    def forget_idle(self) -> None:
        """Drop idle workspaces whose virtual time is not ahead of the class's."""
        for name in list(self.virtual_times):
            if name not in self.queues and self.virtual_times[name] <= self.virtual_now:
                del self.virtual_times[name]

    def waiters(self) -> Iterator[Waiter]:
        """Yield the calls that still wait, in no particular order."""
        for queue in self.queues.values():
            for item in queue:
                if item.waiter.is_waiting:
                    yield item.waiter


class FairPriorityQueue:
    """Serve higher priorities first, workspaces within one evenly, each by earliest deadline."""

    def __init__(self) -> None:
        self.classes: dict[int, PriorityClass] = {}
        self.sequence_numbers = itertools.count()

    def push(self, waiter: Waiter) -> None:
        """Add a waiter to the queue of its priority and workspace."""
        group = self.classes.setdefault(waiter.priority, PriorityClass())
        group.push(QueuedWaiter(waiter.deadline, next(self.sequence_numbers), waiter))

    def pop(self) -> Waiter | None:
        """Remove and return the next call that still waits, or `None`."""
        for priority in sorted(self.classes, reverse=True):
            waiter = self.classes[priority].pop()
            if waiter is not None:
                return waiter
        return None

    def count_ahead_of(self, priority: int) -> int:
        """Return the number of waiters of `priority` or higher."""
        return sum(
            1 for level, group in self.classes.items() if level >= priority for _ in group.waiters()
        )

    def waiters(self) -> Iterator[Waiter]:
        """Yield the calls that still wait, in no particular order."""
        for group in self.classes.values():
            yield from group.waiters()

    def __len__(self) -> int:
        """Return the number of calls that still wait."""
        return self.count_ahead_of(-1)
