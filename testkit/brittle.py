"""Fake replicas of a plain service that fall over if they turn too many requests away."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from calicopath_core.backends.base import ConnectionBroken, NotStarted, ProbeResult
from calicopath_core.exchanges.balancer import LoadReport
from calicopath_core.exchanges.messages import AnswerHead, ReplicaAnswer
from calicopath_core.fleet.notices import Notice
from testkit.gateway_replicas import FakeBody, FakeReplicas
from testkit.notice_fleet import NoticeFleet

if TYPE_CHECKING:
    from calicopath_core.exchanges.messages import OutboundRequest
    from calicopath_core.fleet.replicas import Replica

SERVICE = 'desk'
SLOTS = 6
WORK_S = 0.06
NETWORK_S = 0.002
DOWN_S = 3.0
WINDOW_S = 1.0
STATUS_UNAVAILABLE = 503


class BrittleReplica:
    """Serve `SLOTS` requests at a time, let `queue` wait, and turn the others away."""

    def __init__(self, *, queue: int, brittle_per_s: int) -> None:
        self.queue = queue
        self.brittle_per_s = brittle_per_s
        self.slots = asyncio.Semaphore(SLOTS)
        self.present = 0
        self.turned_away: deque[float] = deque()
        self.turned_away_total = 0
        self.falls = 0
        self.down_until = 0.0
        self.fallen = asyncio.Event()

    @property
    def load(self) -> LoadReport:
        """Return the reported load."""
        running = min(self.present, SLOTS)
        return LoadReport(running, self.present - running, SLOTS)

    def on_turned_away(self) -> None:
        """Count a request that was turned away, and fall over if there were too many."""
        now = asyncio.get_running_loop().time()
        self.turned_away.append(now)
        self.turned_away_total += 1
        while self.turned_away[0] <= now - WINDOW_S:
            self.turned_away.popleft()
        if len(self.turned_away) > self.brittle_per_s:
            self.falls += 1
            self.down_until = now + DOWN_S
            self.turned_away.clear()
            fallen, self.fallen = self.fallen, asyncio.Event()
            fallen.set()

    async def run(self) -> LoadReport | None:
        """Run one request; return `None` if it was turned away.

        Raise `NotStarted` while the replica is down, `ConnectionBroken` if it falls over meanwhile.
        """
        await asyncio.sleep(NETWORK_S)
        if asyncio.get_running_loop().time() < self.down_until:
            raise NotStarted('down')
        if self.present >= SLOTS + self.queue:
            self.on_turned_away()
            return None
        self.present += 1
        fallen = asyncio.ensure_future(self.fallen.wait())
        work = asyncio.ensure_future(self.work())
        try:
            await asyncio.wait({fallen, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise ConnectionBroken('fell over')
            return self.load
        finally:
            work.cancel()
            fallen.cancel()
            self.present -= 1

    async def work(self) -> None:
        """Wait for a slot and use it."""
        async with self.slots:
            await asyncio.sleep(WORK_S)


class BrittleReplicas(FakeReplicas):
    """Fake engines, and plain services whose replicas are brittle."""

    def __init__(self, *, queue: int, brittle_per_s: int) -> None:
        super().__init__()
        self.queue = queue
        self.brittle_per_s = brittle_per_s
        self.by_id: dict[str, BrittleReplica] = {}

    def replica(self, name: str) -> BrittleReplica:
        """Return a replica, created on first use."""
        if name not in self.by_id:
            self.by_id[name] = BrittleReplica(queue=self.queue, brittle_per_s=self.brittle_per_s)
        return self.by_id[name]

    async def send(self, outbound: OutboundRequest) -> ReplicaAnswer:
        """Answer as a brittle replica does."""
        if outbound.replica.service != SERVICE:
            return await super().send(outbound)
        self.sent.append(outbound)
        found = self.replica(outbound.replica.id)
        load = await found.run()
        if load is None:
            return FakeBody(head=AnswerHead(STATUS_UNAVAILABLE, (), True, found.load), body=b'')
        return FakeBody(head=AnswerHead(200, (), False, load), body=b'done')

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return whether a replica is up."""
        down_until = self.by_id[replica.id].down_until if replica.id in self.by_id else 0.0
        is_down = asyncio.get_running_loop().time() < down_until
        return ProbeResult.REFUSED if is_down else ProbeResult.OPEN


class BrittleFleet(NoticeFleet):
    """Run boxes before four brittle replicas of a plain service."""

    replicas: BrittleReplicas

    def __init__(self, *, count: int = 8, queue: int = 24, brittle_per_s: int = 5) -> None:
        self.queue = queue
        self.brittle_per_s = brittle_per_s
        super().__init__(count=count)
        self.notices.current.update(
            {
                name: Notice(brittle_per_s=float(brittle_per_s))
                for name in ('desk-north', 'desk-south', 'desk-2', 'desk-3')
            }
        )

    def new_replicas(self) -> BrittleReplicas:
        """Return the engines and the brittle replicas."""
        return BrittleReplicas(queue=self.queue, brittle_per_s=self.brittle_per_s)

    def shrink_queues(self, queue: int) -> None:
        """Let fewer requests wait from now on."""
        for name in self.notices.current:
            self.replicas.replica(name).queue = queue

    @property
    def falls(self) -> int:
        """Return how often the replicas have fallen over."""
        return sum(item.falls for item in self.replicas.by_id.values())
