"""Decide which requests a scheduler sheds when it can't decide about all of them in time.

This responds to requests that arrive faster than the scheduler decides. Nothing here does I/O.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.scheduling.admission import CRC32_RANGE, MAX_RETRY_SHARE, MIN_RETRY_AFTER_S
from calicopath_core.scheduling.messages import AdoptJob

if TYPE_CHECKING:
    from calicopath_core.scheduling.messages import PlaceJob

BUSY_REASON = 'scheduler-busy'
"""Refusal reason for a request that no scheduler has decided about in time."""

LAG_LIMIT_S = 0.25
"""Decision lag above which new requests are shed. Callers need a refusal within a quarter of their
objective, and the shortest objective of requests that are scheduled is one second."""

ADMITTED_LAG_LIMIT_S = 0.65
"""Lag above which requests are shed that an earlier scheduler admitted. Their boxes refuse them
after 0.75 s without an answer, and a rejection has to arrive before that."""

MIN_WAITING = 4
"""Number of requests that may always wait, so that a pause of the process does not shed the few
requests that arrived in it."""


class WaitingRequest(NamedTuple):
    """Hold a request that waits for its decision, and when it arrived, in monotonic seconds."""

    message: PlaceJob | AdoptJob
    arrived_at: float

    @property
    def place(self) -> PlaceJob:
        """Return the placement request."""
        return place_of(self.message)


def place_of(message: PlaceJob | AdoptJob) -> PlaceJob:
    """Return the placement request of a message."""
    return message.place if isinstance(message, AdoptJob) else message


class RankedQueue:
    """Hold requests by arrival and by priority; each operation costs the same at any length.

    The number of priorities is bounded by the configuration.
    """

    def __init__(self) -> None:
        self.by_arrival: OrderedDict[str, WaitingRequest] = OrderedDict()
        self.by_priority: dict[int, OrderedDict[str, None]] = {}

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self.by_arrival)

    def add(self, request: WaitingRequest) -> None:
        """Add a request that has just arrived."""
        job = request.place.job
        self.by_arrival[job] = request
        self.by_priority.setdefault(request.place.priority, OrderedDict())[job] = None

    def remove(self, job: str) -> WaitingRequest | None:
        """Remove and return a request, `None` if it does not wait here."""
        request = self.by_arrival.pop(job, None)
        if request is None:
            return None
        priority = request.place.priority
        del self.by_priority[priority][job]
        if not self.by_priority[priority]:
            del self.by_priority[priority]
        return request

    def oldest(self) -> WaitingRequest | None:
        """Return the request that has waited longest, `None` if there is none."""
        return next(iter(self.by_arrival.values()), None)

    def pop_oldest(self) -> WaitingRequest | None:
        """Remove and return the request that has waited longest."""
        request = self.oldest()
        return None if request is None else self.remove(request.place.job)

    def pop_least_urgent(self) -> WaitingRequest | None:
        """Remove and return the newest request of the least urgent priority."""
        if not self.by_priority:
            return None
        least_urgent = self.by_priority[max(self.by_priority)]
        return self.remove(next(reversed(least_urgent)))

    def age_s(self, now: float) -> float:
        """Return the age of the oldest request in seconds, 0 if there is none."""
        request = self.oldest()
        return 0.0 if request is None else now - request.arrived_at


class SheddingQueue:
    """Order the requests that wait for a decision, and shed those that would wait too long.

    Jobs with work begun by another scheduler come first and are never shed, then requests that
    another scheduler has admitted, then new ones. Within each, the oldest comes first: the least
    urgent would otherwise wait until their boxes give up, and get no answer at all.
    """

    def __init__(self) -> None:
        self.begun = RankedQueue()
        self.admitted = RankedQueue()
        self.new = RankedQueue()
        self.decided_at: deque[float] = deque()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.begun) + len(self.admitted) + len(self.new)

    def add(self, message: PlaceJob | AdoptJob, now: float) -> None:
        """Add a request, unless it waits already."""
        place = place_of(message)
        if any(place.job in queue.by_arrival for queue in self.queues()):
            return
        if isinstance(message, AdoptJob):
            queue = self.begun
        elif place.asked_before or place.resumed:
            queue = self.admitted
        else:
            queue = self.new
        queue.add(WaitingRequest(message, now))

    def queues(self) -> tuple[RankedQueue, ...]:
        """Return the queues, the one to serve first comes first."""
        return (self.begun, self.admitted, self.new)

    def pop_next(self) -> WaitingRequest | None:
        """Remove and return the next request to decide about."""
        for queue in self.queues():
            if queue:
                return queue.pop_oldest()
        return None

    def remove(self, job: str) -> None:
        """Remove a request that was withdrawn."""
        for queue in self.queues():
            queue.remove(job)

    def lag_s(self, now: float) -> float:
        """Return the decision lag: the age of the oldest request in seconds."""
        return max(queue.age_s(now) for queue in self.queues())

    def on_decided(self, now: float) -> None:
        """Count a decision, to know how many are made within `LAG_LIMIT_S`."""
        self.decided_at.append(now)
        while self.decided_at[0] < now - LAG_LIMIT_S:
            self.decided_at.popleft()

    def shed_next(self, now: float) -> WaitingRequest | None:
        """Remove and return the next request to shed, `None` if all can be decided in time.

        A lag above its limit shows that the scheduler has been busy for at least that time, so the
        decisions made in it are all that it can make. As many requests may wait.
        """
        ahead = len(self.begun) + len(self.admitted)
        may_wait = max(MIN_WAITING, len(self.decided_at))
        if self.new.age_s(now) > LAG_LIMIT_S and ahead + len(self.new) > may_wait:
            return self.new.pop_least_urgent()
        admitted_may_wait = may_wait * ADMITTED_LAG_LIMIT_S / LAG_LIMIT_S
        if self.admitted.age_s(now) > ADMITTED_LAG_LIMIT_S and ahead > admitted_may_wait:
            return (self.new or self.admitted).pop_least_urgent()
        return None


def busy_retry_after_s(place: PlaceJob) -> float:
    """Return when the caller of a request that was not decided about may come back, in seconds.

    Callers refused by a busy scheduler are spread evenly over the time that they can wait, since
    they would otherwise return as one burst and find it busy again.
    """
    longest_s = max(MIN_RETRY_AFTER_S, MAX_RETRY_SHARE * place.deadline_s)
    share = zlib.crc32(place.job.encode()) / CRC32_RANGE
    return MIN_RETRY_AFTER_S + share * (longest_s - MIN_RETRY_AFTER_S)
