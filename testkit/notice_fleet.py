"""Run gateway boxes against replicas that put notices into their responses."""

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
    """Run four boxes with nine engines, four plain replicas (desks) and three stage replicas."""

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
        """Write a replica's entry to the store."""
        self.store.write(RecordKind.REPLICA, replica.id, replica)

    def withdraw(self, name: str) -> Replica:
        """Remove a replica's entry from the store and return it."""
        entry = self.store.records[RecordKind.REPLICA][name]
        assert isinstance(entry, Replica)
        self.store.write(RecordKind.REPLICA, name, None)
        return entry

    def rewrite_entry(self, name: str) -> None:
        """Rewrite a replica's entry unchanged."""
        entry = self.store.records[RecordKind.REPLICA][name]
        self.store.write(RecordKind.REPLICA, name, entry)

    def announce_leaving(self, *names: str) -> None:
        """Have replicas report that they are leaving; their store entries stay unchanged."""
        for name in names:
            self.notices.current[name] = Notice(leaving=True)

    def replace(self, *names: str) -> None:
        """Have other replicas respond at these addresses; the store entries stay unchanged."""
        for name in names:
            self.notices.current[name] = Notice(executed=False, from_other_replica=True)

    def request_backoff(self, backoff_s: float, *names: str) -> None:
        """Have replicas decline every call and request a backoff."""
        for name in names:
            self.notices.current[name] = Notice(backoff_s=backoff_s)

    def advertise_limit(self, per_s: float, *names: str) -> None:
        """Have replicas advertise a limit in requests per second."""
        for name in names:
            self.notices.current[name] = Notice(limit_per_s=per_s)

    def clear_limit(self, *names: str) -> None:
        """Have replicas stop advertising a limit."""
        for name in names:
            self.notices.current.pop(name, None)

    def silence_store(self) -> None:
        """Have the store time out for every box."""
        for box in self.boxes.values():
            box.store.silent = True

    def restore_store(self) -> None:
        """Have the store respond to all boxes again."""
        for box in self.boxes.values():
            box.store.silent = False

    def send_request(self, box: str, route: str) -> FakeSink:
        """Send a box a new request on a route and return its reply sink."""
        now = asyncio.get_running_loop().time()
        return self.serve(box, exchange(next(self.numbers), route, now))

    async def load(self, route: str, gap_s: float, for_s: float) -> list[FakeSink]:
        """Send requests on a route to random boxes; return their reply sinks."""
        sinks = []
        for _ in range(max(1, round(for_s / gap_s))):
            sinks.append(self.send_request(self.rng.choice(sorted(self.boxes)), route))
            await asyncio.sleep(gap_s)
        return sinks
