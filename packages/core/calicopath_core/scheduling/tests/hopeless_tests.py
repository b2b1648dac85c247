"""Test that jobs that can't meet their deadline are rejected early, also when started."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from unittest import mock

from calicopath_core.fleet.replicas import ReplicaTable
from calicopath_core.scheduling.engines import EnginePool
from calicopath_core.scheduling.estimates import DEFAULT_FIRST_EVENT_S
from calicopath_core.scheduling.interfaces import StageCaller
from calicopath_core.scheduling.messages import Rejected
from calicopath_core.scheduling.scheduler import TICK_INTERVAL_S, Scheduler
from calicopath_core.scheduling.tests.work import SPEC, job, phase, replica
from testkit.cases import VirtualCase
from testkit.ledgers import new_guard
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    import msgspec

DEADLINE_S = 1.5
CHAIN = (phase('look'), phase('look', (0,)))


async def hang(*details: Any) -> None:
    """Never answer."""
    await asyncio.sleep(3600)


class Hopeless(VirtualCase):
    def scheduler(self, sent: list[msgspec.Struct], caller: Any) -> Scheduler:
        """Return a scheduler with one stage replica and one engine."""
        table = ReplicaTable()
        table.put(replica('r'))
        table.put(replica('e', service='engine'))
        found = Scheduler(
            clock=VirtualClock(),
            replicas=table,
            caller=caller,
            send=lambda address, message: sent.append(message),
            observer=mock.Mock(),
            own_address='own:7',
            select_replicas=lambda replicas: replicas,
            crashes=new_guard(),
        )
        found.stages.set_spec('look', SPEC)
        found.engine_pools['engine'] = EnginePool(slots=4, kv_tokens=1000)
        found.on_replicas()
        return found

    def rejected_at(self, *phases: Any) -> float:
        """Return after how many seconds a job is rejected whose first call hangs."""
        caller = mock.Mock(spec=StageCaller)
        caller.run = caller.report = hang

        async def scenario() -> float:
            sent: list[msgspec.Struct] = []
            scheduler = self.scheduler(sent, caller)
            scheduler.on_place(job('one', *phases, deadline_s=DEADLINE_S).place)
            running = asyncio.create_task(scheduler.run())
            while not any(isinstance(message, Rejected) for message in sent):
                await asyncio.sleep(TICK_INTERVAL_S / 5)
            running.cancel()
            for task in scheduler.stages.tasks:
                task.cancel()
            return asyncio.get_running_loop().time()

        return self.run_virtual(scenario())

    def test_a_begun_job_is_rejected_once_what_is_left_of_it_takes_too_long(self) -> None:
        least_s = SPEC.call_s + SPEC.piece_s + DEFAULT_FIRST_EVENT_S
        found = self.rejected_at(*CHAIN)
        self.assertLess(found, DEADLINE_S - least_s + 3 * TICK_INTERVAL_S)

    def test_a_call_at_work_is_waited_for_while_its_job_may_be_in_time(self) -> None:
        self.assertGreaterEqual(self.rejected_at(CHAIN[0]), DEADLINE_S)
