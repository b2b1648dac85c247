"""Test that permits of one box keep limits exactly, and that what they allow is used."""

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
from calicopath_core.permits.holder import CONTESTED_S, LimitIssuer, PermitObserver
from calicopath_core.permits.limits import AdvertisedLimits
from calicopath_core.permits.messages import PermitAnswer, PermitRequest
from testkit.cases import VirtualCase
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    import msgspec

SPAN_S = 4.0


def desk(number: int) -> Replica:
    """Return a replica."""
    return Replica(f'i-{number}', 'desk', f'i-{number}:1', 'north', 6, False)


class Fleet:
    """Hold boxes that ask, two that may lend, and when calls were permitted."""

    def __init__(self, *, boxes: int, per_s: list[float], delay_s: float = 0.001) -> None:
        self.delay_s = delay_s
        self.replicas = [desk(number) for number in range(len(per_s))]
        self.target = 0
        self.calls: list[tuple[float, str]] = []
        self.lost: set[int] = set()
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
                issuer_address=lambda: str(self.target),
                send=self.to_holder,
            )
            for number in range(boxes)
        ]
        self.holders = [
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

    def to_holder(self, address: str, message: msgspec.Struct) -> None:
        """Bring an ask to a box that lends, unless that is lost."""
        assert isinstance(message, PermitRequest)
        number = int(address)
        if number not in self.lost:
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_s, self.holders[number].on_request, message)

    def to_client(self, address: str, message: msgspec.Struct) -> None:
        """Bring an answer to a box."""
        assert isinstance(message, PermitAnswer)
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self.clients[int(address)].on_answer, message)

    async def request(self, box: int, *, wait_s: float = 1.0, priority: int = 0) -> Permit:
        """Ask for a permit and use it."""
        client = self.clients[box]
        permit = await client.request_permit(self.replicas, wait_s=wait_s, priority=priority)
        if permit.replica:
            assert client.use_permit(permit.replica)
            self.calls.append((asyncio.get_running_loop().time(), permit.replica))
        return permit

    async def load(self, per_s: float, for_s: float, *, wait_s: float = 1.0) -> list[Permit]:
        """Ask at all boxes in turn and return what came of it."""
        tasks = []
        for number in range(max(1, round(per_s * for_s))):
            box = number % len(self.clients)
            tasks.append(asyncio.create_task(self.request(box, wait_s=wait_s)))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)

    def take_over(self) -> None:
        """Have the other box lend from now on."""
        self.lost.add(self.target)
        self.target = 1 - self.target
        self.lost.discard(self.target)
        self.holders[self.target].on_activate()
        for client in self.clients:
            client.on_issuer_changed()

    def most(self, replica: str, since: float = 0.0) -> int:
        """Return the most calls to a replica in some 4 s."""
        times = [at for at, name in self.calls if name == replica and at >= since]
        ends = (bisect.bisect_left(times, at + SPAN_S) for at in times)
        return max((end - begin for begin, end in enumerate(ends)), default=0)


class HolderCase(VirtualCase):
    def play(self, work: Callable[[], Coroutine[None, None, None]]) -> None:
        """Do some work on virtual time."""
        self.run_virtual(work())


class Limits(HolderCase):
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
                loop.call_later(at, fleet.take_over)
            await fleet.load(overload * sum(per_s), 10.0)
            for limit, replica in zip(per_s, fleet.replicas, strict=True):
                # Each box that lends has begun with an empty bucket, and may let a burst go.
                bursts = (1 + len(changes)) * (1 + 0.1 * limit)
                self.assertLessEqual(fleet.most(replica.id), SPAN_S * limit + bursts)

        self.play(work)

    def test_what_is_allowed_is_used_while_work_waits(self) -> None:
        async def work() -> None:
            for limit in (0.5, 2.0, 20.0):
                fleet = Fleet(boxes=8, per_s=[limit] * 4)
                await asyncio.sleep(CONTESTED_S)
                begun = asyncio.get_running_loop().time()
                await fleet.load(12 * limit, 40.0)
                used = sum(at < begun + 40.0 for at, _ in fleet.calls)
                self.assertGreaterEqual(used, 0.9 * 4 * limit * 40.0)

        self.play(work)

    def test_one_that_takes_up_lends_half_at_first_and_begins_empty(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=8, per_s=[10.0])
            await asyncio.sleep(CONTESTED_S + 10.0)
            fleet.take_over()
            begun = asyncio.get_running_loop().time()
            await fleet.load(40.0, CONTESTED_S)
            early = [at for at, _ in fleet.calls if at < begun + CONTESTED_S]
            self.assertGreaterEqual(min(early), begun + 0.1)
            self.assertLessEqual(len(early), 0.5 * 10.0 * CONTESTED_S + 2)
            self.assertGreaterEqual(len(early), 0.4 * 10.0 * CONTESTED_S)

        self.play(work)

    def test_one_that_takes_up_again_begins_empty_too(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=8, per_s=[2.0])
            await fleet.load(4.0, 4.0)
            fleet.take_over()
            await asyncio.sleep(60.0)
            fleet.take_over()
            begun = asyncio.get_running_loop().time()
            await fleet.load(40.0, 3.0)
            late = [at for at, _ in fleet.calls if at >= begun]
            self.assertGreaterEqual(min(late), begun + 0.8)

        self.play(work)

    def test_an_idle_hour_gathers_no_burst(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=8, per_s=[2.0])
            await fleet.load(4.0, 8.0)
            await asyncio.sleep(3600.0)
            begun = asyncio.get_running_loop().time()
            await fleet.load(100.0, 4.0)
            self.assertLessEqual(fleet.most('i-0', since=begun), 2.0 * SPAN_S + 2)

        self.play(work)


class Asks(HolderCase):
    def test_what_can_get_no_permit_in_time_is_told_so_at_once(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=4, per_s=[1.0])
            await asyncio.sleep(CONTESTED_S)
            asked_at = asyncio.get_running_loop().time()
            tasks = [asyncio.create_task(fleet.request(n % 4, wait_s=3.0)) for n in range(20)]
            await asyncio.sleep(0.1)
            told = [task.result() for task in tasks if task.done()]
            refused = [permit for permit in told if not permit.replica]
            self.assertGreaterEqual(len(refused), 15)
            self.assertTrue(all(permit.available_in_s > 2.0 for permit in refused))
            await asyncio.gather(*tasks)
            self.assertLess(asyncio.get_running_loop().time() - asked_at, 3.3)

        self.play(work)

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

        self.play(work)

    def test_what_waits_at_a_box_that_is_lost_is_asked_of_the_next(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=4, per_s=[2.0])
            await asyncio.sleep(CONTESTED_S)
            await fleet.request(0)
            waiting = [asyncio.create_task(fleet.request(n, wait_s=3.0)) for n in range(2)]
            await asyncio.sleep(0.1)
            fleet.holders[0].waiting.clear()
            fleet.take_over()
            permits = await asyncio.gather(*waiting)
            self.assertTrue(all(permit.replica for permit in permits))

        self.play(work)

    def test_a_lender_that_does_not_answer_costs_a_moment(self) -> None:
        async def work() -> None:
            fleet = Fleet(boxes=2, per_s=[5.0])
            fleet.lost.add(0)
            asked_at = asyncio.get_running_loop().time()
            permit = await fleet.request(1, wait_s=0.0)
            self.assertEqual('', permit.replica)
            self.assertLess(asyncio.get_running_loop().time() - asked_at, 0.3)

        self.play(work)

    def test_a_permit_that_is_not_used_runs_out(self) -> None:
        async def work() -> None:
            client = new_client()
            client.add_permit('i')
            await asyncio.sleep(PERMIT_TTL_S + 0.1)
            self.assertFalse(client.use_permit('i'))
            self.assertEqual(1, client.unused)

        self.play(work)


def new_client() -> PermitClient:
    """Return a box that asks nobody."""
    return PermitClient(
        clock=VirtualClock(), own_address='0', issuer_address=lambda: '0', send=mock.Mock()
    )
