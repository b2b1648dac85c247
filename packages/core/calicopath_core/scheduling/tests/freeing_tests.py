"""Test that the space of results counts as free only once their producer has freed them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from calicopath_core.backends.base import MayHaveRun
from calicopath_core.fleet.replicas import ReplicaTable
from calicopath_core.scheduling.freeing import FREE_BATCH_DELAY_S
from calicopath_core.scheduling.interfaces import StageCaller
from calicopath_core.scheduling.stage_calls import StageCalls
from calicopath_core.scheduling.stages import StageBatch
from calicopath_core.scheduling.tests.work import SPEC, job, phase, replica, result
from testkit.cases import VirtualCase
from testkit.ledgers import new_guard
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from calicopath_core.fleet.replicas import Replica

ANSWER_S = 0.02
SIZE = 300_000


def calls_to(caller: mock.Mock) -> StageCalls:
    """Return the calls of a scheduler to one replica that holds one result."""
    table = ReplicaTable()
    table.put(replica('maker-a'))
    found = StageCalls(
        clock=VirtualClock(),
        replicas=table,
        caller=caller,
        observer=mock.Mock(),
        job_controller=mock.Mock(jobs={}),
        select_replicas=lambda replicas: replicas,
        crashes=new_guard(),
    )
    found.set_spec('look', SPEC)
    found.on_replicas()
    found.queues['look'].book_result('maker-a', 'h', SIZE, 0.0)
    return found


class Freeing(VirtualCase):
    def booked_after(self, seconds: list[float], error: Exception | None = None) -> list[int]:
        """Return the booked bytes at some times after a result is freed, in seconds."""
        caller = mock.Mock(spec=StageCaller)

        async def free(replica: Replica, handles: list[str]) -> None:
            await asyncio.sleep(ANSWER_S)
            if error is not None:
                raise error

        caller.free.side_effect = free

        async def scenario() -> list[int]:
            calls = calls_to(caller)
            calls.release.free_soon([result('h', size=SIZE)])
            found = []
            begun = asyncio.get_running_loop().time()
            for moment in seconds:
                await asyncio.sleep(begun + moment - asyncio.get_running_loop().time())
                found.append(calls.queues['look'].replicas['maker-a'].booked_bytes)
            return found

        return self.run_virtual(scenario())

    def test_room_is_taken_until_the_maker_has_answered(self) -> None:
        moments = [FREE_BATCH_DELAY_S + ANSWER_S / 2, FREE_BATCH_DELAY_S + 2 * ANSWER_S]
        self.assertEqual([SIZE, 0], self.booked_after(moments))

    def test_room_stays_taken_if_the_maker_cannot_be_reached(self) -> None:
        moments = [FREE_BATCH_DELAY_S + 2 * ANSWER_S]
        self.assertEqual([SIZE], self.booked_after(moments, MayHaveRun('reset')))


class Inputs(VirtualCase):
    def is_freed(self, taken_bytes: int) -> bool:
        """Tell whether an input is freed once fetched, with `taken_bytes` reserved."""
        calls = calls_to(mock.Mock(spec=StageCaller))
        producer = calls.queues['look'].replicas['maker-a']
        producer.reserved_bytes = taken_bytes
        reader = job('reader', phase(size=100), phase(needs=(0,)))
        reader.started = {0, 1}
        made = reader.results[0][0] = result('input')

        async def scenario() -> bool:
            calls.release.on_fetched(StageBatch(producer, reader.pieces[1]))
            return made.freed

        return self.run_virtual(scenario())

    def test_an_input_stays_until_its_reader_is_done_where_there_is_space(self) -> None:
        self.assertFalse(self.is_freed(0))

    def test_an_input_is_freed_once_it_was_fetched_where_space_is_short(self) -> None:
        self.assertTrue(self.is_freed(int(SPEC.result_capacity_bytes)))
