"""Give each box its own way to the replicas, which note from which box a call has come."""

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
    """Note a call that reached a replica, from which box, and what its answer told.

    Times are the loop's; `asked_at` is when the caller sent the request, for a stage's call when
    it was sent.
    """

    box: str
    replica: str
    requested_at: float
    at: float
    notice: Notice


class ReplicaNotices:
    """Hold what replicas say in their answers, and what reached them; shared by all boxes."""

    def __init__(self) -> None:
        self.current: dict[str, Notice] = {}
        self.arrivals: list[Arrival] = []

    def record_arrival(self, box: str, replica: Replica, requested_at: float) -> Notice:
        """Note a call and return what its answer tells."""
        notice = self.current.get(replica.id, EMPTY_NOTICE)
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(box, replica.id, requested_at, now, notice))
        return notice

    def arrivals_between(self, box: str, replica: str, begin: float, end: float) -> list[Arrival]:
        """Return what reached a replica from a box in a span."""
        return [
            item
            for item in self.arrivals
            if item.box == box and item.replica == replica and begin < item.at < end
        ]

    def late_sends(self, drain_s: float) -> list[Arrival]:
        """Return what was asked longer than `drain_s` after a replica had told a box it leaves."""
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
        """Return for each backoff how many calls came from that box in it, after some slack."""
        found = {}
        for item in self.arrivals:
            if item.notice.backoff_s > slack_s:
                span = (item.at + slack_s, item.at + item.notice.backoff_s)
                came = self.arrivals_between(item.box, item.replica, *span)
                found[item.box, item.replica, item.at] = len(came)
        return found

    def max_calls_after_limits(self, *, span_s: float, limit_grace_s: float, notice_grace_s: float) -> dict[str, int]:
        """Return the most calls in a span that replicas which named a limit got from told boxes.

        Counted from `after_s` after the first answer that names it; a box counts from `heard_s`
        after the first such answer that it got itself.
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
    """Give one box the engines and plain services; one that wants a pause declines."""

    def __init__(self, *, replicas: FakeReplicas, notices: ReplicaNotices, box: str) -> None:
        self.replicas = replicas
        self.notices = notices
        self.box = box

    async def send(self, outbound: OutboundRequest) -> ReplicaAnswer:
        """Send a request, and tell the listener what the answer's head tells."""
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
        self.interceptor.on_notice(replica, notice)
        return answer

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return what an attempt to connect shows."""
        return await self.replicas.probe(replica, watch_s)


class BoxStages(StageCaller):
    """Give one box the replicas of stages."""

    def __init__(self, *, stages: FakeStages, notices: ReplicaNotices, box: str) -> None:
        self.stages = stages
        self.notices = notices
        self.box = box

    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call; its head comes when it is done."""
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
        """Return what a replica tells of itself."""
        self.interceptor.check_call(replica, new_work=False)
        report = await self.stages.report(replica)
        self.interceptor.on_notice(replica, self.notices.current.get(replica.id, EMPTY_NOTICE))
        return report

    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Give results up."""
        self.interceptor.check_call(replica, new_work=False)
        await self.stages.free(replica, handles)
        self.interceptor.on_notice(replica, self.notices.current.get(replica.id, EMPTY_NOTICE))

    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return what an attempt to connect shows."""
        return await self.stages.probe(replica, watch_s)
