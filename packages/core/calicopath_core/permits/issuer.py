"""Issue permits for calls to replicas with a limit; the scheduler's box does so for all boxes.

A single issuer enforces a limit exactly. Fixed shares per box would burst together, or remain
unused at boxes without requests. While two boxes both act as issuer, each issues half.
"""

from __future__ import annotations

import asyncio
import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.permits.buckets import PermitBucket
from calicopath_core.permits.messages import PermitAnswer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import msgspec

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.permits.client import PermitClient
    from calicopath_core.permits.limits import AdvertisedLimits
    from calicopath_core.permits.messages import PermitRequest

CONTESTED_S = 4.0
CONTESTED_SHARE = 0.5
"""For how long a new issuer grants only this share of a limit: the previous issuer may not know yet
that it was replaced."""

MIN_SERVE_DELAY_S = 0.001
"""Minimum delay before waiting requests are served again, in case a delay rounds to zero."""

MAX_WAITING = 2_000
"""Maximum number of waiting requests, 0.3 KB each; further ones are refused."""


class WaitingRequest(NamedTuple):
    """Hold a waiting request, until when in monotonic seconds; `serial` orders equal priorities.

    Of the requests with the same `replica_ids` only the first needs to be checked.
    """

    priority: int
    serial: int
    request: PermitRequest
    until: float
    replica_ids: frozenset[str]


class PermitObserver(ABC):
    """Observe granted and refused permits."""

    @abstractmethod
    def on_permit(self, service: str, outcome: str) -> None:
        """Record a permit; `outcome` is `lent` or `refused`."""


class PermitIssuer(ABC):
    """Decide which replicas may be called now, and count the calls."""

    @abstractmethod
    def rate_of(self, replica: Replica) -> float | None:
        """Return the permits per second that this box may grant, `None` without a limit."""

    @abstractmethod
    def available_in_s(self, replica: Replica) -> float:
        """Return the seconds until a call to a replica may be permitted, 0 for now."""

    @abstractmethod
    def take(self, replica: Replica) -> bool:
        """Count a permitted call; return whether its replica has a limit."""

    @abstractmethod
    def take_for_own_box(self, replica: Replica) -> None:
        """Count a permitted call of this box itself, and hold its permit."""

    def wait_s(self, replicas: Iterable[Replica], ahead: int) -> float:
        """Return the seconds until a call may go to one of some replicas, after `ahead` others."""
        available_s, total_per_s = math.inf, 0.0
        for item in replicas:
            per_s = self.rate_of(item)
            if per_s is None:
                return 0.0
            total_per_s += per_s
            available_s = min(available_s, self.available_in_s(item))
        if not total_per_s or (available_s <= 0 and not ahead):
            return 0.0
        return available_s + ahead / total_per_s


class UnlimitedIssuer(PermitIssuer):
    """Permit every call."""

    def rate_of(self, replica: Replica) -> float | None:
        """Return `None`, since no replica has a limit."""
        return None

    def available_in_s(self, replica: Replica) -> float:
        """Return 0, since every call is permitted now."""
        return 0.0

    def take(self, replica: Replica) -> bool:
        """Return False without counting the call."""
        return False

    def take_for_own_box(self, replica: Replica) -> None:
        """Count nothing, since no permit is needed."""


class LimitIssuer(PermitIssuer):
    """Hold a bucket per limited replica; `share` returns the part of limits that this box grants.

    `send` takes an address and a message.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limits: AdvertisedLimits,
        replicas: ReplicaTable,
        share: Callable[[], float],
        send: Callable[[str, msgspec.Struct], None],
        own_client: PermitClient,
        observer: PermitObserver,
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.replicas = replicas
        self.share = share
        self.send = send
        self.own_client = own_client
        self.observer = observer
        self.buckets: dict[str, PermitBucket] = {}
        self.uncontested_from = clock.monotonic() + CONTESTED_S
        self.waiting: list[WaitingRequest] = []
        self.last_serial = 0
        self.timer: asyncio.TimerHandle | None = None

    def on_activate(self) -> None:
        """Start issuing in place of another box, with empty buckets and at first a lower share."""
        now = self.clock.monotonic()
        self.uncontested_from = now + CONTESTED_S
        for name, bucket in list(self.buckets.items()):
            replica = self.replicas.replicas.get(name)
            per_s = self.rate_of(replica) if replica is not None else None
            if per_s is None:
                del self.buckets[name]
            else:
                bucket.empty(per_s, now)

    def on_step_down(self) -> None:
        """Drop waiting requests, which clients send to the next issuer, and reduce the share."""
        self.uncontested_from = self.clock.monotonic() + CONTESTED_S
        self.waiting.clear()

    def rate_of(self, replica: Replica) -> float | None:
        """Return the permits per second that this box may grant, `None` without a limit."""
        per_s = self.limits.rate_of(replica)
        if per_s is None:
            return None
        contested = self.clock.monotonic() < self.uncontested_from
        return per_s * self.share() * (CONTESTED_SHARE if contested else 1.0)

    def bucket_of(self, replica: Replica, per_s: float) -> PermitBucket:
        """Return a replica's bucket; a new one is empty."""
        found = self.buckets.get(replica.id)
        if found is None:
            next_at = self.clock.monotonic() + 1 / per_s
            found = self.buckets[replica.id] = PermitBucket(next_at=next_at)
        return found

    def available_in_s(self, replica: Replica) -> float:
        """Return the seconds until a call to a replica may be permitted, 0 for now."""
        if not self.limits.by_replica:
            return 0.0
        per_s = self.rate_of(replica)
        if per_s is None:
            return 0.0
        return self.bucket_of(replica, per_s).available_in_s(self.clock.monotonic())

    def take(self, replica: Replica) -> bool:
        """Count a permitted call; return whether its replica has a limit."""
        per_s = self.rate_of(replica)
        if per_s is None:
            return False
        self.bucket_of(replica, per_s).take(per_s, self.clock.monotonic())
        self.observer.on_permit(replica.service, 'lent')
        return True

    def take_for_own_box(self, replica: Replica) -> None:
        """Count a permitted call of this box itself, and hold its permit."""
        if self.take(replica):
            self.own_client.add_permit(replica.id)

    def on_request(self, request: PermitRequest) -> None:
        """Grant a permit, queue the request, or refuse it if no permit can come in time."""
        if self.grant(request):
            return
        now = self.clock.monotonic()
        replicas = self.callable_replicas(request)
        names = frozenset(request.replicas)
        ahead = sum(
            item.priority <= request.priority and not names.isdisjoint(item.replica_ids)
            for item in self.waiting
        )
        wait_s = self.wait_s(replicas, ahead)
        if not replicas or wait_s > request.wait_s or len(self.waiting) >= MAX_WAITING:
            self.refuse(request, wait_s)
            return
        self.last_serial += 1
        until = now + request.wait_s
        self.waiting.append(
            WaitingRequest(request.priority, self.last_serial, request, until, names)
        )
        self.waiting.sort(key=lambda item: (item.priority, item.serial))
        self.schedule_serve()

    def callable_replicas(self, request: PermitRequest) -> list[Replica]:
        """Return the replicas of a request that are known and not excluded."""
        table = self.replicas
        found = (table.replicas.get(name) for name in request.replicas)
        return [item for item in found if item is not None and table.exclusion_of(item) is None]

    def grant(self, request: PermitRequest) -> bool:
        """Answer a request with a permit if one is available now; return whether it was."""
        for replica in self.callable_replicas(request):
            if self.available_in_s(replica) <= 0:
                self.take(replica)
                self.send(request.address, PermitAnswer(request.number, replica.id, 0.0))
                return True
        return False

    def refuse(self, request: PermitRequest, available_in_s: float) -> None:
        """Answer that there is no permit in time, and in how many seconds one may be available."""
        service = next((item.service for item in self.callable_replicas(request)), '')
        self.observer.on_permit(service, 'refused')
        self.send(request.address, PermitAnswer(request.number, '', available_in_s))

    def serve(self) -> None:
        """Grant permits to waiting requests, in order of priority, and refuse expired ones."""
        self.timer = None
        now = self.clock.monotonic()
        still_waiting: list[WaitingRequest] = []
        unavailable: set[frozenset[str]] = set()
        for item in self.waiting:
            if now >= item.until:
                self.refuse(item.request, self.wait_s(self.callable_replicas(item.request), 0))
            elif item.replica_ids in unavailable or not self.grant(item.request):
                unavailable.add(item.replica_ids)
                still_waiting.append(item)
        self.waiting = still_waiting
        self.schedule_serve()

    def schedule_serve(self) -> None:
        """Schedule `serve` for when the next permit is due or a request expires."""
        if not self.waiting or self.timer is not None:
            return
        first_requests = {item.replica_ids: item.request for item in self.waiting}
        waits = [
            self.wait_s(self.callable_replicas(request), 0) for request in first_requests.values()
        ]
        next_expiry_s = min(item.until for item in self.waiting) - self.clock.monotonic()
        delay_s = max(MIN_SERVE_DELAY_S, min(*waits, next_expiry_s))
        self.timer = asyncio.get_running_loop().call_later(delay_s, self.serve)

    def expire(self) -> None:
        """Remove the buckets of replicas that no longer have a limit."""
        for name in list(self.buckets):
            replica = self.replicas.replicas.get(name)
            if replica is None or self.limits.limit_of(replica) is None:
                del self.buckets[name]
