"""Test that a single permit issuer keeps limits exactly and uses them fully."""

from __future__ import annotations

import asyncio
import bisect
from typing import TYPE_CHECKING
from unittest import mock

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from calicopath_core.fleet.notices import Notice, NoticeObserver
from calicopath_core.fleet.replicas import Replica, ReplicaTable
from calicopath_core.permits.client import PERMIT_TTL_S, Permit, PermitClient
from calicopath_core.permits.issuer import CONTESTED_S, LimitIssuer, PermitObserver
from calicopath_core.permits.limits import AdvertisedLimits
from calicopath_core.permits.messages import PermitAnswer, PermitRequest
from testkit.cases import VirtualCase
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    import msgspec

SPAN_S = 4.0


def desk_replica(number: int) -> Replica:
    """Return a replica of the service `desk`."""
    return Replica(f'i-{number}', 'desk', f'i-{number}:1', 'north', 6, False)


class Fleet:
    """Simulate boxes that request permits and two issuers, and record when calls were permitted."""

    def __init__(self, *, boxes: int, per_s: list[float], delay_s: float = 0.001) -> None:
        self.delay_s = delay_s
        self.replicas = [desk_replica(number) for number in range(len(per_s))]
        self.issuer = 0
        self.calls: list[tuple[float, str]] = []
        self.lost_issuers: set[int] = set()
        clock = VirtualClock()
        table = ReplicaTable()
        table.replace(self.replicas, 0.0)
        self.limits = AdvertisedLimits(clock=clock, observer=mock.Mock(spec=NoticeObserver))
        for replica, limit in zip(self.replicas, per_s, strict=True):
            self.limits.on_notice(replica, Notice(limit_per_s=limit))
        self.clients = [
            PermitClient(
                clock=clock,
                own_address=f'{number}',
                issuer_address=lambda: str(self.issuer),
                send=self.to_issuer,
            )
            for number in range(boxes)
        ]
        self.issuers = [
            LimitIssuer(
                clock=clock,
                limits=self.limits,
                replicas=table,
                share=lambda: 1.0,
                send=self.to_client,
                own_client=self.clients[number],
                observer=mock.Mock(spec=PermitObserver),
            )
            for number in range(2)
        ]

    def to_issuer(self, address: str, message: msgspec.Struct) -> None:
        """Deliver a request to an issuer, unless it is lost."""
        assert isinstance(message, PermitRequest)
        number = int(address)
        if number not in self.lost_issuers:
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_s, self.issuers[number].on_request, message)

    def to_client(self, address: str, message: msgspec.Struct) -> None:
        """Deliver an answer to a box."""
        assert isinstance(message, PermitAnswer)
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self.clients[int(address)].on_answer, message)

    async def request(self, box: int, *, wait_s: float = 1.0, priority: int = 0) -> Permit:
        """Request a permit and use it."""
        client = self.clients[box]
        permit = await client.request_permit(self.replicas, wait_s=wait_s, priority=priority)
        if permit.replica:
            assert client.use_permit(permit.replica)
            self.calls.append((asyncio.get_running_loop().time(), permit.replica))
        return permit

    async def load(self, per_s: float, for_s: float, *, wait_s: float = 1.0) -> list[Permit]:
        """Send requests from all boxes in turn and return the resulting permits."""
        tasks = []
        for number in range(max(1, round(per_s * for_s))):
            box = number % len(self.clients)
            tasks.append(asyncio.create_task(self.request(box, wait_s=wait_s)))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)

    def switch_issuer(self) -> None:
        """Let the other issuer take over."""
        self.lost_issuers.add(self.issuer)
        self.issuer = 1 - self.issuer
        self.lost_issuers.discard(self.issuer)
        self.issuers[self.issuer].on_activate()
        for client in self.clients:
            client.on_issuer_changed()

    def max_calls(self, replica: str, since: float = 0.0) -> int:
        """Return the largest number of calls to a replica within any 4 s."""
        times = [at for at, name in self.calls if name == replica and at >= since]
        ends = (bisect.bisect_left(times, at + SPAN_S) for at in times)
        return max((end - begin for begin, end in enumerate(ends)), default=0)


class IssuerCase(VirtualCase):
    def run_scenario(self, steps: Callable[[], Coroutine[None, None, None]]) -> None:
        """Run a coroutine on virtual time."""
        self.run_virtual(steps())


class Limits(IssuerCase):
    @seed(1)
    @settings(max_examples=30, deadline=None)
    @given(
        boxes=st.integers(2, 40),
        per_s=st.lists(st.floats(0.2, 30.0), min_size=1, max_size=4),
        overload=st.floats(0.5, 4.0),
        changes=st.lists(st.floats(0.5, 9.0), max_size=2),
        delay_s=st.floats(0.0, 0.05),
    )
    def test_whatever_is_asked_and_whoever_lends_no_replica_gets_more(
        self,
        boxes: int,
        per_s: list[float],
        overload: float,
        changes: list[float],
        delay_s: float,
    ) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=boxes, per_s=per_s, delay_s=delay_s)
            loop = asyncio.get_running_loop()
            for at in changes:
                loop.call_later(at, fleet.switch_issuer)
            await fleet.load(overload * sum(per_s), 10.0)
            for limit, replica in zip(per_s, fleet.replicas, strict=True):
                # Each issuer starts with an empty bucket and may allow one burst.
                bursts = (1 + len(changes)) * (1 + 0.1 * limit)
                self.assertLessEqual(fleet.max_calls(replica.id), SPAN_S * limit + bursts)

        self.run_scenario(work)

    def test_what_is_allowed_is_used_while_work_waits(self) -> None:
        async def work() -> None:
            for limit in (0.5, 2.0, 20.0):
                fleet = Fleet(boxes=8, per_s=[limit] * 4)
                await asyncio.sleep(CONTESTED_S)
                started_at = asyncio.get_running_loop().time()
                await fleet.load(12 * limit, 40.0)
                used = sum(at < started_at + 40.0 for at, _ in fleet.calls)
                self.assertGreaterEqual(used, 0.9 * 4 * limit * 40.0)

        self.run_scenario(work)

    def test_a_new_issuer_grants_half_at_first_and_begins_empty(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=8, per_s=[10.0])
            await asyncio.sleep(CONTESTED_S + 10.0)
            fleet.switch_issuer()
            started_at = asyncio.get_running_loop().time()
            await fleet.load(40.0, CONTESTED_S)
            early = [at for at, _ in fleet.calls if at < started_at + CONTESTED_S]
            self.assertGreaterEqual(min(early), started_at + 0.1)
            self.assertLessEqual(len(early), 0.5 * 10.0 * CONTESTED_S + 2)
            self.assertGreaterEqual(len(early), 0.4 * 10.0 * CONTESTED_S)

        self.run_scenario(work)

    def test_an_issuer_that_takes_over_again_begins_empty_too(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=8, per_s=[2.0])
            await fleet.load(4.0, 4.0)
            fleet.switch_issuer()
            await asyncio.sleep(60.0)
            fleet.switch_issuer()
            started_at = asyncio.get_running_loop().time()
            await fleet.load(40.0, 3.0)
            late = [at for at, _ in fleet.calls if at >= started_at]
            self.assertGreaterEqual(min(late), started_at + 0.8)

        self.run_scenario(work)

    def test_an_idle_hour_gathers_no_burst(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=8, per_s=[2.0])
            await fleet.load(4.0, 8.0)
            await asyncio.sleep(3600.0)
            started_at = asyncio.get_running_loop().time()
            await fleet.load(100.0, 4.0)
            self.assertLessEqual(fleet.max_calls('i-0', since=started_at), 2.0 * SPAN_S + 2)

        self.run_scenario(work)


class PermitRequests(IssuerCase):
    def test_a_request_that_gets_no_permit_in_time_is_refused_at_once(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=4, per_s=[1.0])
            await asyncio.sleep(CONTESTED_S)
            asked_at = asyncio.get_running_loop().time()
            tasks = [asyncio.create_task(fleet.request(n % 4, wait_s=3.0)) for n in range(20)]
            await asyncio.sleep(0.1)
            done = [task.result() for task in tasks if task.done()]
            refused = [permit for permit in done if not permit.replica]
            self.assertGreaterEqual(len(refused), 15)
            self.assertTrue(all(permit.available_in_s > 2.0 for permit in refused))
            await asyncio.gather(*tasks)
            self.assertLess(asyncio.get_running_loop().time() - asked_at, 3.3)

        self.run_scenario(work)

    def test_the_more_urgent_go_first(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=2, per_s=[1.0])
            await asyncio.sleep(CONTESTED_S)
            await fleet.request(0)
            order: list[int] = []

            async def wait(priority: int) -> None:
                if (await fleet.request(1, wait_s=9.0, priority=priority)).replica:
                    order.append(priority)

            await asyncio.gather(*(wait(priority) for priority in (3, 1, 2, 0)))
            self.assertEqual([0, 1, 2, 3], order)

        self.run_scenario(work)

    def test_waiting_requests_of_a_lost_issuer_are_sent_to_the_next(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=4, per_s=[2.0])
            await asyncio.sleep(CONTESTED_S)
            await fleet.request(0)
            waiting = [asyncio.create_task(fleet.request(n, wait_s=3.0)) for n in range(2)]
            await asyncio.sleep(0.1)
            fleet.issuers[0].waiting.clear()
            fleet.switch_issuer()
            permits = await asyncio.gather(*waiting)
            self.assertTrue(all(permit.replica for permit in permits))

        self.run_scenario(work)

    def test_an_issuer_that_does_not_answer_causes_a_short_delay(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=2, per_s=[5.0])
            fleet.lost_issuers.add(0)
            asked_at = asyncio.get_running_loop().time()
            permit = await fleet.request(1, wait_s=0.0)
            self.assertEqual('', permit.replica)
            self.assertLess(asyncio.get_running_loop().time() - asked_at, 0.3)

        self.run_scenario(work)

    def test_a_permit_that_is_not_used_runs_out(self) -> None:
        async def work() -> None:
            client = new_client()
            client.add_permit('i')
            await asyncio.sleep(PERMIT_TTL_S + 0.1)
            self.assertFalse(client.use_permit('i'))
            self.assertEqual(1, client.unused)

        self.run_scenario(work)


def new_client() -> PermitClient:
    """Return a client whose requests are not delivered."""
    return PermitClient(
        clock=VirtualClock(), own_address='0', issuer_address=lambda: '0', send=mock.Mock()
    )
