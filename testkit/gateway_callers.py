"""Give each box its own clients of the shared replicas, and record which box made each call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.backends.base import NotStarted
from calicopath_core.exchanges.messages import AnswerHead, ReplicaClient
from calicopath_core.fleet.notices import EMPTY_NOTICE, Notice
from calicopath_core.scheduling.interfaces import StageCaller
from testkit.gateway_replicas import FakeBody

if TYPE_CHECKING:
    from calicopath_core.backends.base import ProbeResult
    from calicopath_core.exchanges.messages import OutboundRequest, ReplicaAnswer
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.interfaces import PieceCall, PieceResult, StageReport
    from testkit.gateway_replicas import FakeReplicas, FakeStages

STATUS_UNAVAILABLE = 503
STATUS_MISDIRECTED = 421
DECLINE_DELAY_S = 0.01


class Arrival(NamedTuple):
    """Record a call that reached a replica, the calling box, and the notice in the response.

    Times are the loop's, in seconds; `requested_at` is when the caller sent its request, or for a
    stage's call when the box sent it.
    """

    box: str
    replica: str
    requested_at: float
    at: float
    notice: Notice


class ReplicaNotices:
    """Hold the replicas' current notices and the calls that reached them, for all boxes."""

    def __init__(self) -> None:
        self.current: dict[str, Notice] = {}
        self.arrivals: list[Arrival] = []

    def record_arrival(self, box: str, replica: Replica, requested_at: float) -> Notice:
        """Record a call and return the notice for its response."""
        notice = self.current.get(replica.id, EMPTY_NOTICE)
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(box, replica.id, requested_at, now, notice))
        return notice

    def arrivals_between(self, box: str, replica: str, begin: float, end: float) -> list[Arrival]:
        """Return the calls from a box to a replica between two times."""
        return [
            item
            for item in self.arrivals
            if item.box == box and item.replica == replica and begin < item.at < end
        ]

    def late_sends(self, drain_s: float) -> list[Arrival]:
        """Return calls requested over `drain_s` after the replica told their box that it leaves."""
        told: dict[tuple[str, str], float] = {}
        found = []
        for item in self.arrivals:
            key = (item.box, item.replica)
            if item.requested_at > told.get(key, item.at) + drain_s:
                found.append(item)
            if item.notice.leaving:
                told.setdefault(key, item.at)
        return found

    def sends_in_backoffs(self, slack_s: float) -> dict[tuple[str, str, float], int]:
        """Count the calls from a box during each of its backoffs, from `slack_s` on."""
        found = {}
        for item in self.arrivals:
            if item.notice.backoff_s > slack_s:
                span = (item.at + slack_s, item.at + item.notice.backoff_s)
                came = self.arrivals_between(item.box, item.replica, *span)
                found[item.box, item.replica, item.at] = len(came)
        return found

    def max_calls_after_limits(
        self, *, span_s: float, limit_grace_s: float, notice_grace_s: float
    ) -> dict[str, int]:
        """Return per limited replica the most calls within `span_s` from boxes that know the limit.

        Counts calls from `limit_grace_s` after the first response that advertised the limit; a box
        counts from `notice_grace_s` after the first such response that it received itself.
        """
        named: dict[str, float] = {}
        told: dict[tuple[str, str], float] = {}
        counted: dict[str, list[float]] = {}
        for item in self.arrivals:
            key = (item.box, item.replica)
            first, heard = named.get(item.replica), told.get(key)
            if first is not None and item.at >= first + limit_grace_s:
                times = counted.setdefault(item.replica, [])
                if heard is not None and item.at >= heard + notice_grace_s:
                    times.append(item.at)
            if item.notice.limit_per_s is not None:
                named.setdefault(item.replica, item.at)
                counted.setdefault(item.replica, [])
                told.setdefault(key, item.at)
        return {
            name: max((sum(at <= one < at + span_s for one in times) for at in times), default=0)
            for name, times in counted.items()
        }


class BoxReplicas(ReplicaClient):
    """Call engines and plain services for one box; a replica in backoff declines."""

    def __init__(self, *, replicas: FakeReplicas, notices: ReplicaNotices, box: str) -> None:
        self.replicas = replicas
        self.notices = notices
        self.box = box

    async def send(self, outbound: OutboundRequest) -> ReplicaAnswer:
        """Send a request, and pass the notice in the response head to the interceptor."""
        replica = outbound.replica
        self.interceptor.check_call(replica, new_work=True)
        notice = self.notices.record_arrival(self.box, replica, outbound.exchange.received_at)
        if notice.backoff_s:
            self.replicas.sent.append(outbound)
            await asyncio.sleep(DECLINE_DELAY_S)
            self.interceptor.on_notice(replica, notice)
            head = AnswerHead(STATUS_UNAVAILABLE, (), True, None)
            return FakeBody(head=head, body=b'')
        if notice.from_other_replica:
            await asyncio.sleep(DECLINE_DELAY_S)
            self.interceptor.on_notice(replica, notice)
            return FakeBody(head=AnswerHead(STATUS_MISDIRECTED, (), True, None), body=b'')
        answer = await self.replicas.send(outbound)
        self.interceptor.on_notice(replica, notice._replace(executed=not answer.head.declined))
        return answer

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return the result of a connection attempt."""
        return await self.replicas.probe(replica, watch_s)


class BoxStages(StageCaller):
    """Call the replicas of stages for one box."""

    def __init__(self, *, stages: FakeStages, notices: ReplicaNotices, box: str) -> None:
        self.stages = stages
        self.notices = notices
        self.box = box

    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call; the notice arrives with the results."""
        self.interceptor.check_call(replica, new_work=True)
        now = asyncio.get_running_loop().time()
        notice = self.notices.record_arrival(self.box, replica, now)
        if notice.backoff_s:
            await asyncio.sleep(DECLINE_DELAY_S)
            self.interceptor.on_notice(replica, notice)
            raise NotStarted(f'{replica.id} declined with {STATUS_UNAVAILABLE}')
        if notice.from_other_replica:
            await asyncio.sleep(DECLINE_DELAY_S)
            self.interceptor.on_notice(replica, notice)
            raise NotStarted(f'{replica.id} declined with {STATUS_MISDIRECTED}')
        results = await self.stages.run(replica, calls)
        self.interceptor.on_notice(replica, notice)
        return results

    async def report(self, replica: Replica) -> StageReport:
        """Return a replica's report."""
        self.interceptor.check_call(replica, new_work=False)
        report = await self.stages.report(replica)
        self.interceptor.on_notice(replica, self.notices.current.get(replica.id, EMPTY_NOTICE))
        return report

    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Free results."""
        self.interceptor.check_call(replica, new_work=False)
        await self.stages.free(replica, handles)
        self.interceptor.on_notice(replica, self.notices.current.get(replica.id, EMPTY_NOTICE))

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return the result of a connection attempt."""
        return await self.stages.probe(replica, watch_s)
