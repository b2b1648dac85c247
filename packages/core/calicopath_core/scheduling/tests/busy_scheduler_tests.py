"""Test a scheduler whose decisions take time, in a burst of more than it can decide."""

from __future__ import annotations

import asyncio

import testtools

from testkit.cases import VirtualCase
from testkit.replay.fleet import hurried_fleet, shifted_fleet
from testkit.replay.load import FAULT_AT_S, LENGTH_S
from testkit.replay.processor import CostMeter, Processor
from testkit.replay.world import replay

CORE_SHARE = 0.5


class Collapse(testtools.TestCase):
    def test_a_burst_of_one_kind_does_not_stop_a_scheduler_with_half_a_core(self) -> None:
        """Guards against a scheduler that stops deciding when load is highest.

        Without an inbox, requests wait unseen for seconds: the scheduler begins work for callers
        who have left, stage calls cease, and callers wait until their deadlines.
        """
        figures = replay('burst-middle', 1, fleet=shifted_fleet(), share=CORE_SHARE)
        before = figures.calls_by_second[1 : int(FAULT_AT_S)]
        after = figures.calls_by_second[int(FAULT_AT_S) : int(LENGTH_S)]
        self.assertGreater(min(after), 0.7 * min(before))
        self.assertEqual(0, figures.undecided)
        self.assertGreater(figures.worth, 0.85)

    def test_the_cost_of_decisions_is_the_same_in_each_run(self) -> None:
        """Guards against results that depend on the speed of the machine."""
        first, second = (
            replay('burst-all', 3, fleet=hurried_fleet(), share=0.05) for _ in range(2)
        )
        self.assertEqual(first, second)
        self.assertGreater(first.cost_ms, 0.0)

    def test_a_scheduler_that_keeps_up_sheds_nothing(self) -> None:
        figures = replay('steady', 1, fleet=hurried_fleet(), share=CORE_SHARE)
        self.assertEqual((0, 0), (figures.undecided, figures.unanswered))
        self.assertNotIn('scheduler-busy', figures.rejected)


class FixedCost(CostMeter):
    """Take 0.1 s for each piece of work."""

    def start(self) -> None:
        """Do nothing."""

    def take(self) -> float:
        """Return the seconds of one piece of work."""
        return 0.1

    def stop(self) -> None:
        """Do nothing."""


class Processors(VirtualCase):
    def test_work_waits_until_the_work_before_it_is_done(self) -> None:
        """Guards against a replay in which decisions overlap, so that a busy box looks idle."""

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            processor = Processor(share=0.5, meter=FixedCost())
            began_at = []
            work = processor.charged(lambda: began_at.append(loop.time()))
            for _ in range(3):
                processor.submit(work)
            await processor.turn()
            for expected, found in zip((0.0, 0.2, 0.4), began_at, strict=True):
                self.assertAlmostEqual(expected, found)
            self.assertAlmostEqual(0.6, loop.time())

        self.run_virtual(scenario())
