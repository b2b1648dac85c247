"""Assign calls to the slots of one service's endpoints, with a queue when all are taken."""

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
"""Delay added to timers for the end of a backoff, since timers may fire early by rounding."""

VERSION_POLL_S = 0.02
"""How often a broken generation looks for a slot at an endpoint of its version."""

MAX_WAIT_S = 60.0
"""Wait that is reported when requests of higher priority take all the capacity."""


class PoolError(CalicopathError):
    """Report that a call got no slot and was not sent."""


class NoEndpoint(PoolError):
    """Report that a service has no active endpoint."""


class NoFreeSlot(PoolError):
    """Report that no slot comes free in time; `retry_after_s` estimates when one will."""

    def __init__(self, message: str, *, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class SlotRequest(NamedTuple):
    """Describe a call that needs a slot; times are in monotonic seconds.

    `latest_start` is the time after which the call can't end in time. `expected_s` is its duration
    when unloaded. Endpoints in `exclude` are used only if no other has a free slot; `affinity`
    names a prompt prefix.
    """

    workspace: str
    priority: int
    deadline: float
    latest_start: float
    expected_s: float
    exclude: frozenset[str] = frozenset()
    affinity: str | None = None
    version: str | None = None


class Slot:
    """Hold one call in flight at an endpoint until its outcome is reported.

    Call exactly one of `answered`, `failed`, `declined` and `abandoned`.
    """

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
        """Release the slot after an answer."""
        self.replica.health.on_success()
        self.replica.on_answer(
            first_response_s=first_response_s, served_s=served_s, expected_s=self.expected_s
        )
        self.pool.record_served_time(served_s)
        self.pool.release(self.replica)

    def failed(self) -> None:
        """Release the slot after the endpoint failed."""
        self.pool.note_failure(self.replica)
        self.pool.release(self.replica)

    def declined(self, backoff_s: float = 0.0) -> None:
        """Release the slot after the endpoint declined; `backoff_s` is its `Retry-After`."""
        self.replica.on_declined(backoff_s, self.pool.clock.monotonic())
        self.replica.health.on_inconclusive()
        self.pool.release(self.replica)
        self.pool.on_declined()

    def abandoned(self) -> None:
        """Release the slot of a call that says nothing about the endpoint's health."""
        self.replica.health.on_inconclusive()
        self.pool.release(self.replica)


class ServicePool:
    """Assign slots to calls: by the selector while slots are free, else in queue order."""

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
        """Replace the endpoints by those of the configuration; calls in flight continue."""
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
        """Remove an endpoint; calls in flight there still release their slots."""
        replica = self.replicas.pop(name)
        replica.endpoint = replica.endpoint._replace(state=EndpointState.STOPPED)

    def active(self) -> list[Replica]:
        """Return the endpoints that are neither draining nor stopped."""
        return [
            replica
            for replica in self.replicas.values()
            if replica.endpoint.state is EndpointState.ACTIVE
        ]

    def not_backing_off(self) -> list[Replica]:
        """Return the active endpoints without a backoff; unlike ejection, it always applies."""
        now = self.clock.monotonic()
        return [replica for replica in self.active() if replica.backoff_left_s(now) <= 0]

    def candidates(self) -> list[Replica]:
        """Return the endpoints that may be called: those not ejected, or all if all are ejected.

        Endpoints with a backoff are never among them.
        """
        now = self.clock.monotonic()
        allowed = self.not_backing_off()
        healthy = [replica for replica in allowed if not replica.health.is_ejected(now)]
        return healthy or allowed

    def min_backoff_left_s(self) -> float:
        """Return the seconds until an endpoint may be called, 0 if one may be called now."""
        now = self.clock.monotonic()
        return min((replica.backoff_left_s(now) for replica in self.active()), default=0.0)

    def on_declined(self) -> None:
        """Fail the waiters that can't start before the earliest backoff ends.

        Called after an endpoint has declined a call. Does nothing while an endpoint may be called.
        """
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
        """Set the timer that serves the waiters when the earliest backoff has ended."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(
            wait_s + TIMER_SLACK_S, self.serve_waiters
        )

    async def acquire(self, request: SlotRequest) -> Slot:
        """Return a slot, waiting for one until `latest_start`.

        Raise `NoEndpoint` if no endpoint is active, and `NoFreeSlot` as soon as it is known that no
        slot comes free in time.
        """
        requested_at = self.clock.monotonic()
        if request.version is not None:
            return await self.acquire_of_version(request)
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

    async def acquire_of_version(self, request: SlotRequest) -> Slot:
        """Return a slot of an endpoint of the requested version, to continue a generation there.

        It goes before the calls that wait in the queue, which have not begun.
        """
        requested_at = self.clock.monotonic()
        while any(replica.endpoint.version == request.version for replica in self.active()):
            replica = self.choose(request)
            queued_s = self.clock.monotonic() - requested_at
            if replica is not None:
                return self.take_slot(replica, request, queued_s)
            if self.clock.monotonic() >= request.latest_start:
                raise self.no_free_slot(request.priority)
            await asyncio.sleep(VERSION_POLL_S)
        raise NoEndpoint(f'service {self.service!r} has no endpoint of the same version')

    async def wait_in_queue(self, request: SlotRequest) -> Replica:
        """Wait in the queue until `serve_waiters` assigns an endpoint."""
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
        """Release a slot that was assigned just as its waiter gave up."""
        if future.done() and not future.cancelled() and future.exception() is None:
            replica = future.result()
            replica.health.on_inconclusive()
            self.release(replica)

    def has_other_free_slot(self, excluded: set[str], version: str | None) -> bool:
        """Tell whether an endpoint that is not excluded has a free slot for a call."""
        return any(
            replica.has_free_slot()
            and replica.name not in excluded
            and version in (None, replica.endpoint.version)
            for replica in self.candidates()
        )

    def choose(self, request: SlotRequest) -> Replica | None:
        """Return the endpoint for a call, or `None` if none has a free slot."""
        candidates = self.candidates()
        if request.version is not None:
            found = [item for item in candidates if item.endpoint.version == request.version]
            candidates = found or [
                item for item in self.not_backing_off() if item.endpoint.version == request.version
            ]
        with_room = [replica for replica in candidates if replica.has_free_slot()]
        preferred = [replica for replica in with_room if replica.name not in request.exclude]
        if not with_room:
            return None
        return self.selector.choose(preferred or with_room, request.affinity)

    def take_slot(self, replica: Replica, request: SlotRequest, queued_s: float) -> Slot:
        """Count a call in flight at an endpoint and return its slot."""
        self.occupy(replica)
        return Slot(pool=self, replica=replica, expected_s=request.expected_s, queued_s=queued_s)

    def occupy(self, replica: Replica) -> None:
        """Count a new call in flight at an endpoint."""
        replica.in_flight += 1
        replica.health.on_chosen()

    def release(self, replica: Replica) -> None:
        """Count the end of a call and serve the waiters."""
        replica.in_flight -= 1
        self.serve_waiters()

    def serve_waiters(self) -> None:
        """Assign free slots to the waiters, in queue order."""
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
        """Fail every waiter with `NoEndpoint`."""
        while (waiter := self.queue.pop()) is not None:
            error = NoEndpoint(f'service {self.service!r} has no active endpoint')
            waiter.future.set_exception(error)

    def note_failure(self, replica: Replica) -> None:
        """Record a failure, and eject the endpoint if that is due and allowed."""
        replica.on_failure()
        now = self.clock.monotonic()
        active = self.active()
        ejected = sum(other.health.ejected_until is not None for other in active)
        allowed = may_eject(len(active), ejected)
        if replica.health.on_failure(now, may_eject=allowed):
            self.ejections += 1

    def record_served_time(self, served_s: float) -> None:
        """Update the moving average of a call's service time."""
        if self.served_s is None:
            self.served_s = served_s
        self.served_s += (served_s - self.served_s) * AVERAGE_WEIGHT

    def record_token_gap(self, gap_s: float) -> None:
        """Update the moving average of the time between two tokens."""
        if self.token_gap_s is None:
            self.token_gap_s = gap_s
        self.token_gap_s += (gap_s - self.token_gap_s) * AVERAGE_WEIGHT

    def slowness(self) -> float:
        """Return the median endpoint's ratio of actual to expected service time."""
        values = sorted(replica.slowness.value for replica in self.candidates())
        return values[len(values) // 2] if values else 1.0

    def answers_per_s(self) -> float:
        """Estimate the calls per second that this box gets answered, by Little's law."""
        slots = sum(replica.limit.value for replica in self.candidates())
        if not self.served_s:
            return float('inf')
        return slots / self.served_s

    def free_slots(self) -> int:
        """Return the number of free slots."""
        return sum(max(0, replica.limit.value - replica.in_flight) for replica in self.candidates())

    def add_pending(self, priority: int) -> None:
        """Count an admitted request that will need a slot."""
        self.pending[priority] += 1
        self.arrivals.count(priority)

    def remove_pending(self, priority: int) -> None:
        """Stop counting a request that has got its slot, or no longer needs one."""
        self.pending[priority] -= 1

    def estimated_wait_s(self, priority: int) -> float:
        """Estimate the seconds that a new request of `priority` will wait for a slot.

        Requests of higher priority that arrive meanwhile go first, so their arrival rate is
        subtracted from the service rate.
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
    """Wait for an endpoint; holds the request that the choice needs."""

    def __init__(self, *, request: SlotRequest, future: asyncio.Future[Replica]) -> None:
        super().__init__(
            workspace=request.workspace,
            priority=request.priority,
            deadline=request.deadline,
            future=future,
        )
        self.request = request
