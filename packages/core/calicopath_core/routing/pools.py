"""Hand out the slots of one service's endpoints."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.exceptions import CalicopathError
from calicopath_core.limits.arrivals import ArrivalRates
from calicopath_core.limits.queue import FairPriorityQueue, Waiter
from calicopath_core.routing.outliers import may_eject
from calicopath_core.routing.replicas import Replica
from calicopath_core.structure.endpoints import Endpoint, EndpointState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.limits.concurrency import ConcurrencyLimit
    from calicopath_core.routing.selectors import Selector

AVERAGE_WEIGHT = 0.05
MIN_RETRY_AFTER_S = 0.1
MAX_QUEUED = 10_000
TIMER_SLACK_S = 0.001
"""How much later than a pause ends a timer is set: those may fire a rounding early."""

MAX_WAIT_S = 60.0
"""The wait that is told when requests of higher priority take all there is."""


class PoolError(CalicopathError):
    """Report that a call got no slot; it never left the box."""


class NoEndpoint(PoolError):
    """Report that a service has no active endpoint."""


class NoFreeSlot(PoolError):
    """Report that no slot came free in time; `retry_after_s` says when one should."""

    def __init__(self, message: str, *, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class SlotRequest(NamedTuple):
    """Ask for a slot; times are on the monotonic clock, in seconds.

    `latest_start` is the time after which starting is no use. Endpoints in `exclude` are
    taken only when there are no others.
    """

    workspace: str
    priority: int
    deadline: float
    latest_start: float
    expected_s: float
    exclude: frozenset[str] = frozenset()
    affinity: str | None = None


class Slot:
    """Hold a place at one endpoint until one of the ending methods is called."""

    def __init__(
        self, *, pool: ServicePool, replica: Replica, expected_s: float, queued_s: float
    ) -> None:
        self.pool = pool
        self.replica = replica
        self.expected_s = expected_s
        self.queued_s = queued_s

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint to call."""
        return self.replica.endpoint

    def answered(self, *, first_response_s: float, served_s: float) -> None:
        """Give the place back after an answer."""
        self.replica.health.on_success()
        self.replica.on_answer(
            first_response_s=first_response_s, served_s=served_s, expected_s=self.expected_s
        )
        self.pool.record_served_time(served_s)
        self.pool.release(self.replica)

    def failed(self) -> None:
        """Give the place back after the endpoint failed."""
        self.pool.note_failure(self.replica)
        self.pool.release(self.replica)

    def declined(self, backoff_s: float = 0.0) -> None:
        """Give the place back after the endpoint said that it is full, and for how long."""
        self.replica.on_declined(backoff_s, self.pool.clock.monotonic())
        self.replica.health.on_inconclusive()
        self.pool.release(self.replica)
        self.pool.on_declined()

    def abandoned(self) -> None:
        """Give the place back when nothing was learnt about the endpoint."""
        self.replica.health.on_inconclusive()
        self.pool.release(self.replica)


class ServicePool:
    """Give slots to calls: by choice while there is room, in order of the queue otherwise."""

    def __init__(
        self,
        *,
        service: str,
        clock: Clock,
        selector: Selector,
        new_limit: Callable[[Endpoint], ConcurrencyLimit],
    ) -> None:
        self.service = service
        self.clock = clock
        self.selector = selector
        self.new_limit = new_limit
        self.replicas: dict[str, Replica] = {}
        self.queue = FairPriorityQueue()
        self.pending: Counter[int] = Counter()
        self.served_s: float | None = None
        self.token_gap_s: float | None = None
        self.arrivals = ArrivalRates(clock=clock)
        self.ejections = 0
        self.timer: asyncio.TimerHandle | None = None

    def update(self, endpoints: Iterable[Endpoint]) -> None:
        """Take over the endpoints that configuration gives; calls in flight go on."""
        wanted = {endpoint.name: endpoint for endpoint in endpoints}
        for name in list(self.replicas):
            if name not in wanted:
                self.remove(name)
        for name, endpoint in wanted.items():
            replica = self.replicas.get(name)
            if replica is None or replica.endpoint.address != endpoint.address:
                self.replicas[name] = Replica(
                    endpoint=endpoint, limit=self.new_limit(endpoint), clock=self.clock
                )
            else:
                replica.endpoint = endpoint
        self.serve_waiters()

    def remove(self, name: str) -> None:
        """Take an endpoint out; its slots still end as usual."""
        replica = self.replicas.pop(name)
        replica.endpoint = replica.endpoint._replace(state=EndpointState.STOPPED)

    def active(self) -> list[Replica]:
        """Return the endpoints that may get new work."""
        return [
            replica
            for replica in self.replicas.values()
            if replica.endpoint.state is EndpointState.ACTIVE
        ]

    def not_backing_off(self) -> list[Replica]:
        """Return the active endpoints that have not asked for a pause: an order, not a choice."""
        now = self.clock.monotonic()
        return [replica for replica in self.active() if replica.backoff_left_s(now) <= 0]

    def candidates(self) -> list[Replica]:
        """Return the endpoints to call that are healthy, or all that may be called if none is."""
        now = self.clock.monotonic()
        allowed = self.not_backing_off()
        healthy = [replica for replica in allowed if not replica.health.is_ejected(now)]
        return healthy or allowed

    def min_backoff_left_s(self) -> float:
        """Return when the first endpoint may be called, 0 if one may now."""
        now = self.clock.monotonic()
        return min((replica.backoff_left_s(now) for replica in self.active()), default=0.0)

    def on_declined(self) -> None:
        """Look anew at what waits once an endpoint has asked for a pause."""
        backoff_left_s = self.min_backoff_left_s()
        if backoff_left_s <= 0:
            return
        backoff_ends_at = self.clock.monotonic() + backoff_left_s
        for waiter in list(self.queue.waiters()):
            assert isinstance(waiter, QueuedCall)
            if backoff_ends_at > waiter.request.latest_start:
                waiter.future.set_exception(self.no_free_slot(waiter.priority))
        self.serve_waiters_in(backoff_left_s)

    def serve_waiters_in(self, wait_s: float) -> None:
        """Serve whoever waits when the first pause is over."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(
            wait_s + TIMER_SLACK_S, self.serve_waiters
        )

    async def acquire(self, request: SlotRequest) -> Slot:
        """Return a slot; raise `NoEndpoint` or `NoRoom` at once when there will be none."""
        requested_at = self.clock.monotonic()
        if not self.active():
            raise NoEndpoint(f'service {self.service!r} has no active endpoint')
        backoff_left_s = self.min_backoff_left_s()
        if requested_at + backoff_left_s > request.latest_start:
            raise self.no_free_slot(request.priority)
        if not self.queue.count_ahead_of(request.priority):
            replica = self.choose(request)
            if replica is not None:
                return self.take_slot(replica, request, queued_s=0.0)
        replica = await self.wait_in_queue(request)
        return Slot(
            pool=self,
            replica=replica,
            expected_s=request.expected_s,
            queued_s=self.clock.monotonic() - requested_at,
        )

    async def wait_in_queue(self, request: SlotRequest) -> Replica:
        """Wait until `pump` gives us an endpoint."""
        if len(self.queue) >= MAX_QUEUED:
            raise self.no_free_slot(request.priority)
        future: asyncio.Future[Replica] = asyncio.get_running_loop().create_future()
        self.queue.push(QueuedCall(request=request, future=future))
        self.serve_waiters()
        if backoff_left_s := self.min_backoff_left_s():
            self.serve_waiters_in(backoff_left_s)
        try:
            async with asyncio.timeout_at(request.latest_start):
                return await future
        except TimeoutError:
            self.release_unclaimed(future)
            raise self.no_free_slot(request.priority) from None
        except asyncio.CancelledError:
            self.release_unclaimed(future)
            raise

    def release_unclaimed(self, future: asyncio.Future[Replica]) -> None:
        """Release a place that was handed out just as its waiter gave up."""
        if future.done() and not future.cancelled() and future.exception() is None:
            replica = future.result()
            replica.health.on_inconclusive()
            self.release(replica)

    def choose(self, request: SlotRequest) -> Replica | None:
        """Return the endpoint for a call, or nothing if none has room."""
        with_room = [replica for replica in self.candidates() if replica.has_free_slot()]
        preferred = [replica for replica in with_room if replica.name not in request.exclude]
        if not with_room:
            return None
        return self.selector.choose(preferred or with_room, request.affinity)

    def take_slot(self, replica: Replica, request: SlotRequest, queued_s: float) -> Slot:
        """Occupy a place."""
        self.occupy(replica)
        return Slot(pool=self, replica=replica, expected_s=request.expected_s, queued_s=queued_s)

    def occupy(self, replica: Replica) -> None:
        """Count a call in flight."""
        replica.in_flight += 1
        replica.health.on_chosen()

    def release(self, replica: Replica) -> None:
        """Count a call out and serve whoever waits."""
        replica.in_flight -= 1
        self.serve_waiters()

    def serve_waiters(self) -> None:
        """Hand free places to the waiters, in the queue's order."""
        if not self.active():
            self.fail_waiters()
            return
        while any(replica.has_free_slot() for replica in self.candidates()):
            waiter = self.queue.pop()
            if waiter is None:
                return
            assert isinstance(waiter, QueuedCall)
            replica = self.choose(waiter.request)
            assert replica is not None
            self.occupy(replica)
            waiter.future.set_result(replica)

    def fail_waiters(self) -> None:
        """Tell every waiter that no endpoint is left."""
        while (waiter := self.queue.pop()) is not None:
            error = NoEndpoint(f'service {self.service!r} has no active endpoint')
            waiter.future.set_exception(error)

    def note_failure(self, replica: Replica) -> None:
        """Count a failure, and eject the endpoint if that is due and allowed."""
        replica.on_failure()
        now = self.clock.monotonic()
        active = self.active()
        ejected = sum(other.health.ejected_until is not None for other in active)
        allowed = may_eject(len(active), ejected)
        if replica.health.on_failure(now, may_eject=allowed):
            self.ejections += 1

    def record_served_time(self, served_s: float) -> None:
        """Keep the average time that a call takes."""
        if self.served_s is None:
            self.served_s = served_s
        self.served_s += (served_s - self.served_s) * AVERAGE_WEIGHT

    def record_token_gap(self, gap_s: float) -> None:
        """Keep the average time between two tokens."""
        if self.token_gap_s is None:
            self.token_gap_s = gap_s
        self.token_gap_s += (gap_s - self.token_gap_s) * AVERAGE_WEIGHT

    def slowness(self) -> float:
        """Return how many times longer than expected a call takes, by the median endpoint."""
        values = sorted(replica.slowness.value for replica in self.candidates())
        return values[len(values) // 2] if values else 1.0

    def answers_per_s(self) -> float:
        """Estimate the calls a second that this box gets answered (Little's law)."""
        slots = sum(replica.limit.value for replica in self.candidates())
        if not self.served_s:
            return float('inf')
        return slots / self.served_s

    def free_slots(self) -> int:
        """Count the places free now."""
        return sum(max(0, replica.limit.value - replica.in_flight) for replica in self.candidates())

    def add_pending(self, priority: int) -> None:
        """Count an admitted request that will ask for a slot."""
        self.pending[priority] += 1
        self.arrivals.count(priority)

    def remove_pending(self, priority: int) -> None:
        """Count off a request that got its slot, or never will."""
        self.pending[priority] -= 1

    def estimated_wait_s(self, priority: int) -> float:
        """Estimate the seconds that a new request of `priority` will wait for a slot.

        Requests of higher priority that come meanwhile go first, so only what they leave of the
        rate counts.
        """
        ahead = sum(count for level, count in self.pending.items() if level >= priority)
        waiting = ahead + 1 - self.free_slots()
        if waiting <= 0:
            return 0.0
        if not self.not_backing_off():
            return self.min_backoff_left_s()
        available_per_s = self.answers_per_s() - self.arrivals.rate_above(priority)
        return waiting / available_per_s if available_per_s > 0 else MAX_WAIT_S

    def no_free_slot(self, priority: int) -> NoFreeSlot:
        """Return the error for a call that cannot start in time."""
        return NoFreeSlot(
            f'no endpoint of service {self.service!r} comes free in time',
            retry_after_s=max(MIN_RETRY_AFTER_S, self.estimated_wait_s(priority)),
        )


class QueuedCall(Waiter):
    """Wait for an endpoint with everything that the choice needs."""

    def __init__(self, *, request: SlotRequest, future: asyncio.Future[Replica]) -> None:
        super().__init__(
            workspace=request.workspace,
            priority=request.priority,
            deadline=request.deadline,
            future=future,
        )
        self.request = request
