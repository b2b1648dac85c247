"""Lend permits to call replicas that name a limit: the box that schedules does, for all boxes.

One box that lends keeps a limit exactly; shares of each box burst together, or lie unused where
nothing is asked. Where two boxes take themselves for the one, each lends half for a while.
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
    from calicopath_core.permits.limits import NamedLimits
    from calicopath_core.permits.messages import PermitAsk

CONTESTED_S = 4.0
CONTESTED_SHARE = 0.5
"""For how long a box that takes up lending lends a part only: another one may not know yet that it
has been followed."""

LEAST_LOOK_S = 0.001
"""How soon waiting asks are looked at again at the earliest: a rest of rounding is no time."""

MAX_WAITING = 2_000
"""Asks that wait at once, 0.3 KB each; more are answered with none."""


class Waiting(NamedTuple):
    """Hold an ask that waits, until when in monotonic seconds; `serial` orders equals.

    `names` are its replicas: of those that ask for the same only the first needs to be looked at.
    """

    priority: int
    serial: int
    ask: PermitAsk
    until: float
    names: frozenset[str]


class PermitObserver(ABC):
    """Learn what becomes of permits."""

    @abstractmethod
    def on_permit(self, service: str, outcome: str) -> None:
        """Note a permit that was `lent` or `refused`."""


class PermitLender(ABC):
    """Say which replicas may be called now, and count the calls."""

    @abstractmethod
    def rate_of(self, replica: Replica) -> float | None:
        """Return the permits a second that this box may lend, nothing without a limit."""

    @abstractmethod
    def opens_in_s(self, replica: Replica) -> float:
        """Return when a call to a replica may be permitted, 0 for now."""

    @abstractmethod
    def take(self, replica: Replica) -> bool:
        """Count a call that is permitted; tell whether its replica is limited at all."""

    @abstractmethod
    def take_own(self, replica: Replica) -> None:
        """Count a call that this box makes itself."""

    def wait_s(self, replicas: Iterable[Replica], ahead: int) -> float:
        """Return when a call may go to one of some replicas, behind so many others; 0 for now."""
        opens_s, total_per_s = math.inf, 0.0
        for item in replicas:
            per_s = self.rate_of(item)
            if per_s is None:
                return 0.0
            total_per_s += per_s
            opens_s = min(opens_s, self.opens_in_s(item))
        if not total_per_s or (opens_s <= 0 and not ahead):
            return 0.0
        return opens_s + ahead / total_per_s


class NoLimits(PermitLender):
    """Permit every call."""

    def rate_of(self, replica: Replica) -> float | None:
        """Return nothing."""
        return None

    def opens_in_s(self, replica: Replica) -> float:
        """Return that a call may go now."""
        return 0.0

    def take(self, replica: Replica) -> bool:
        """Count nothing."""
        return False

    def take_own(self, replica: Replica) -> None:
        """Count nothing."""


class PermitHolder(PermitLender):
    """Hold a bucket for each limited replica; `share` is the part of limits that this box lends.

    `send` takes an address and a message.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limits: NamedLimits,
        replicas: ReplicaTable,
        share: Callable[[], float],
        send: Callable[[str, msgspec.Struct], None],
        own: PermitClient,
        observer: PermitObserver,
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.replicas = replicas
        self.share = share
        self.send = send
        self.own = own
        self.observer = observer
        self.buckets: dict[str, PermitBucket] = {}
        self.alone_from = clock.monotonic() + CONTESTED_S
        self.waiting: list[Waiting] = []
        self.serials = 0
        self.timer: asyncio.TimerHandle | None = None

    def on_take_up(self) -> None:
        """Begin to lend in place of another box: with empty buckets, and a part for a while."""
        now = self.clock.monotonic()
        self.alone_from = now + CONTESTED_S
        for name, bucket in list(self.buckets.items()):
            replica = self.replicas.replicas.get(name)
            per_s = self.rate_of(replica) if replica is not None else None
            if per_s is None:
                del self.buckets[name]
            else:
                bucket.drain(per_s, now)

    def on_give_way(self) -> None:
        """Lend a part only to what was begun here; who waits asks the next box."""
        self.alone_from = self.clock.monotonic() + CONTESTED_S
        self.waiting.clear()

    def rate_of(self, replica: Replica) -> float | None:
        """Return the permits a second that this box may lend, nothing without a limit."""
        per_s = self.limits.rate_of(replica)
        if per_s is None:
            return None
        contested = self.clock.monotonic() < self.alone_from
        return per_s * self.share() * (CONTESTED_SHARE if contested else 1.0)

    def bucket_of(self, replica: Replica, per_s: float) -> PermitBucket:
        """Return a replica's bucket; a new one is empty."""
        found = self.buckets.get(replica.id)
        if found is None:
            next_at = self.clock.monotonic() + 1 / per_s
            found = self.buckets[replica.id] = PermitBucket(next_at=next_at)
        return found

    def opens_in_s(self, replica: Replica) -> float:
        """Return when a call to a replica may be permitted, 0 for now."""
        if not self.limits.held:
            return 0.0
        per_s = self.rate_of(replica)
        if per_s is None:
            return 0.0
        return self.bucket_of(replica, per_s).opens_in_s(self.clock.monotonic())

    def take(self, replica: Replica) -> bool:
        """Count a call that is permitted; tell whether its replica is limited at all."""
        per_s = self.rate_of(replica)
        if per_s is None:
            return False
        self.bucket_of(replica, per_s).take(per_s, self.clock.monotonic())
        self.observer.on_permit(replica.service, 'lent')
        return True

    def take_own(self, replica: Replica) -> None:
        """Count a call that this box makes itself."""
        if self.take(replica):
            self.own.lend(replica.id)

    def on_ask(self, ask: PermitAsk) -> None:
        """Lend a permit, let the ask wait for one, or answer at once that there will be none."""
        if self.lend(ask):
            return
        now = self.clock.monotonic()
        replicas = self.listed(ask)
        names = frozenset(ask.replicas)
        ahead = sum(
            item.priority <= ask.priority and not names.isdisjoint(item.names)
            for item in self.waiting
        )
        wait_s = self.wait_s(replicas, ahead)
        if not replicas or wait_s > ask.wait_s or len(self.waiting) >= MAX_WAITING:
            self.refuse(ask, wait_s)
            return
        self.serials += 1
        until = now + ask.wait_s
        self.waiting.append(Waiting(ask.priority, self.serials, ask, until, names))
        self.waiting.sort(key=lambda item: (item.priority, item.serial))
        self.serve_later()

    def listed(self, ask: PermitAsk) -> list[Replica]:
        """Return the replicas of an ask that may be called at all."""
        table = self.replicas
        found = (table.replicas.get(name) for name in ask.replicas)
        return [item for item in found if item is not None and table.bar_of(item) is None]

    def lend(self, ask: PermitAsk) -> bool:
        """Answer an ask with a permit if there is one now."""
        for replica in self.listed(ask):
            if self.opens_in_s(replica) <= 0:
                self.take(replica)
                self.send(ask.address, PermitAnswer(ask.number, replica.id, 0.0))
                return True
        return False

    def refuse(self, ask: PermitAsk, opens_in_s: float) -> None:
        """Answer that there is no permit in time, and when there may be one."""
        service = next((item.service for item in self.listed(ask)), '')
        self.observer.on_permit(service, 'refused')
        self.send(ask.address, PermitAnswer(ask.number, '', opens_in_s))

    def serve(self) -> None:
        """Give permits to the asks that wait, those first that go before others."""
        self.timer = None
        now = self.clock.monotonic()
        left: list[Waiting] = []
        closed: set[frozenset[str]] = set()
        for item in self.waiting:
            if now >= item.until:
                self.refuse(item.ask, self.wait_s(self.listed(item.ask), 0))
            elif item.names in closed or not self.lend(item.ask):
                closed.add(item.names)
                left.append(item)
        self.waiting = left
        self.serve_later()

    def serve_later(self) -> None:
        """Look again when the first permit comes."""
        if not self.waiting or self.timer is not None:
            return
        firsts = {item.names: item.ask for item in self.waiting}
        waits = [self.wait_s(self.listed(ask), 0) for ask in firsts.values()]
        ends = min(item.until for item in self.waiting) - self.clock.monotonic()
        delay_s = max(LEAST_LOOK_S, min(*waits, ends))
        self.timer = asyncio.get_running_loop().call_later(delay_s, self.serve)

    def expire(self) -> None:
        """Forget the buckets of replicas that are not limited any more."""
        for name in list(self.buckets):
            replica = self.replicas.replicas.get(name)
            if replica is None or self.limits.of(replica) is None:
                del self.buckets[name]
