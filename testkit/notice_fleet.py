"""Run gateway boxes before replicas that say in their answers how they are."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

from calicopath_core.fleet.notices import Notice
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import RecordKind
from testkit.gateway import GatewayFleet
from testkit.gateway_world import FAILURE_DOMAINS, exchange

if TYPE_CHECKING:
    from testkit.gateway_replicas import FakeSink

ENGINES = 9
DESKS = 4
LOOKS = 3


class NoticeFleet(GatewayFleet):
    """Hold four boxes before nine engines, four desks and three replicas of a stage."""

    def __init__(self, *, count: int = 4) -> None:
        super().__init__(count=count)
        self.numbers = itertools.count(1)
        self.rng = random.Random(count)
        for service, most in (('engine', ENGINES), ('desk', DESKS), ('look', LOOKS)):
            for number in range(2, most):
                name, failure_domain = (
                    f'{service}-{number}',
                    FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                )
                self.register(Replica(name, service, f'{name}:1', failure_domain, 6, False))

    def register(self, replica: Replica) -> None:
        """Write a replica's entry."""
        self.store.write(RecordKind.REPLICA, replica.id, replica)

    def withdraw(self, name: str) -> Replica:
        """Take a replica's entry away and return it."""
        entry = self.store.records[RecordKind.REPLICA][name]
        assert isinstance(entry, Replica)
        self.store.write(RecordKind.REPLICA, name, None)
        return entry

    def rewrite_entry(self, name: str) -> None:
        """Have a replica write its entry once more as it stands."""
        entry = self.store.records[RecordKind.REPLICA][name]
        self.store.write(RecordKind.REPLICA, name, entry)

    def announce_leaving(self, *names: str) -> None:
        """Have replicas say from now on that they leave; the store learns nothing of it."""
        for name in names:
            self.notices.current[name] = Notice(leaving=True)

    def replace(self, *names: str) -> None:
        """Have other replicas answer at the addresses of some; the store learns nothing of it."""
        for name in names:
            self.notices.current[name] = Notice(executed=False, from_other_replica=True)

    def request_backoff(self, backoff_s: float, *names: str) -> None:
        """Have replicas turn all away from now on, and ask for a pause."""
        for name in names:
            self.notices.current[name] = Notice(backoff_s=backoff_s)

    def advertise_limit(self, per_s: float, *names: str) -> None:
        """Have replicas name from now on how many requests a second they take."""
        for name in names:
            self.notices.current[name] = Notice(limit_per_s=per_s)

    def clear_limit(self, *names: str) -> None:
        """Have replicas name no limit any more."""
        for name in names:
            self.notices.current.pop(name, None)

    def silence_store(self) -> None:
        """Have the store answer no box."""
        for box in self.boxes.values():
            box.store.silent = True

    def restore_store(self) -> None:
        """Have the store answer all boxes again."""
        for box in self.boxes.values():
            box.store.silent = False

    def send_request(self, box: str, route: str) -> FakeSink:
        """Have a box serve a new request on a route."""
        now = asyncio.get_running_loop().time()
        return self.serve(box, exchange(next(self.numbers), route, now))

    async def load(self, route: str, gap_s: float, for_s: float) -> list[FakeSink]:
        """Ask on a route at any of the boxes; return where the answers go."""
        sinks = []
        for _ in range(max(1, round(for_s / gap_s))):
            sinks.append(self.send_request(self.rng.choice(sorted(self.boxes)), route))
            await asyncio.sleep(gap_s)
        return sinks
