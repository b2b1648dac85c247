"""Test that boxes follow a store that was restored from a backup some seconds old."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.crashes.messages import Evidence
from calicopath_core.fleet.notices import Exclusion
from calicopath_core.fleet.restoring import KEEP_MISSING_S
from calicopath_core.fleet.store import RecordKind
from calicopathd.gateway.run import TICK_INTERVAL_S
from testkit.cases import VirtualCase
from testkit.gateway import settings
from testkit.gateway_world import deployment, replicas
from testkit.notice_fleet import NoticeFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from calicopath_core.fleet.replicas import Replica

DRAIN_S = 2.0
"""How long a replica may get requests after the store acknowledged that it drains."""

APPLY_S = 2.0
"""Time within which a configuration that the store acknowledged must be in force."""

OUTAGE_S = 2.7
FEW = 4
MANY = 10
"""Fleet sizes in which each box follows the store itself, and in which boxes use relays."""

MAX_CALLS_PER_S = 10.0
"""Store calls that a box may make per second: a list of each kind, and a failure of each."""


class RestoredStore(VirtualCase):
    def run_scenario(
        self, count: int, steps: Callable[[NoticeFleet], Awaitable[None]]
    ) -> NoticeFleet:
        """Run some work on a fleet whose boxes tick as in production."""

        async def scenario() -> NoticeFleet:
            fleet = NoticeFleet(count=count)
            await fleet.start()
            ticks_task = asyncio.create_task(run_ticks(fleet))
            await steps(fleet)
            ticks_task.cancel()
            await fleet.stop()
            return fleet

        return self.run_virtual(scenario())

    # After a restore the store reuses revisions; boxes must not ignore records that have them.
    def test_a_replica_that_drains_after_the_return_gets_no_more_calls(self) -> None:
        for count in (FEW, MANY):
            for others in range(6):
                self.check_drain(count, others)

    def check_drain(self, count: int, others: int) -> None:
        """Check it with some other changes directly after the draining record."""

        async def work(fleet: NoticeFleet) -> None:
            leaving = replica_of('look-north')
            await go_back(fleet, lost=4)
            await asyncio.sleep(1.0)
            fleet.register(leaving._replace(draining=True))
            for version in range(10, 10 + others):
                fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(version))
            await asyncio.sleep(DRAIN_S)
            self.assertEqual(
                {Exclusion.DRAINING}, exclusions(fleet, leaving), f'{count} boxes, {others} more'
            )
            fleet.stages.calls.clear()
            await fleet.load('draft', 0.2, for_s=4.0)
            called = {name for name, _ in fleet.stages.calls}
            self.assertNotIn(leaving.id, called)

        self.run_scenario(count, work)

    def test_a_configuration_acknowledged_after_the_return_is_in_force_in_time(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            await go_back(fleet, lost=6)
            fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(90))
            await asyncio.sleep(APPLY_S)
            self.assertEqual({90}, versions(fleet))

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_a_configuration_that_the_copy_lacks_stays_in_force(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            copy = fleet.store.snapshot()
            fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(50))
            await asyncio.sleep(1.0)
            seen: set[int] = set()
            back = asyncio.create_task(fleet.store.restore(copy, OUTAGE_S, rewrite_delay_s=1.0))
            while not back.done():
                await asyncio.sleep(0.05)
                seen |= versions(fleet)
            await asyncio.sleep(APPLY_S)
            self.assertEqual({50}, seen | versions(fleet))

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_draining_that_the_copy_lacks_is_not_taken_back(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            leaving = replica_of('look-north')
            copy = fleet.store.snapshot()
            fleet.register(leaving._replace(draining=True))
            await asyncio.sleep(DRAIN_S)
            fleet.stages.calls.clear()
            back = asyncio.create_task(fleet.store.restore(copy, OUTAGE_S, rewrite_delay_s=3.0))
            await fleet.load('draft', 0.2, for_s=OUTAGE_S + 6.0)
            await back
            self.assertNotIn(leaving.id, {name for name, _ in fleet.stages.calls})

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_a_replica_that_is_gone_is_not_back_because_the_copy_holds_it(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            copy = fleet.store.snapshot()
            gone = fleet.withdraw('look-north')
            await asyncio.sleep(DRAIN_S)
            fleet.stages.calls.clear()
            back = asyncio.create_task(fleet.store.restore(copy, OUTAGE_S, rewrite_delay_s=3.0))
            await fleet.load('draft', 0.2, for_s=OUTAGE_S + 6.0)
            await back
            self.assertNotIn(gone.id, {name for name, _ in fleet.stages.calls})

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_a_failure_domain_taken_out_since_the_copy_stays_out_until_it_is_rewritten(
        self,
    ) -> None:
        async def work(fleet: NoticeFleet) -> None:
            copy = fleet.store.snapshot()
            fleet.evacuate('north')
            await asyncio.sleep(DRAIN_S)
            back = asyncio.create_task(fleet.store.restore(copy, OUTAGE_S, rewrite_delay_s=4.0))
            while not back.done():
                await asyncio.sleep(0.1)
                for box in fleet.boxes.values():
                    self.assertEqual({'north'}, box.box.replicas.evacuated)
            await asyncio.sleep(KEEP_MISSING_S)
            for box in fleet.boxes.values():
                self.assertEqual({'north'}, box.box.replicas.evacuated)

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_a_failure_domain_that_is_not_taken_out_again_is_restored(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            copy = fleet.store.snapshot()
            fleet.evacuate('north')
            await asyncio.sleep(DRAIN_S)
            await fleet.store.restore(copy, OUTAGE_S, rewrite_delay_s=2 * KEEP_MISSING_S)
            fleet.end_evacuation('north')
            await asyncio.sleep(DRAIN_S)
            for box in fleet.boxes.values():
                self.assertEqual(frozenset(), box.box.replicas.evacuated)

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_a_live_replica_that_the_copy_brings_back_is_called_again(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            copy = fleet.store.snapshot()
            entry = fleet.withdraw('look-north')
            await asyncio.sleep(DRAIN_S)
            fleet.store.log = [item for item in fleet.store.log if item[2].name != entry.id]
            await fleet.store.restore(copy, OUTAGE_S)
            await asyncio.sleep(settings('box-0', 'north').replica_entry_ttl_s + APPLY_S)
            for box in fleet.boxes.values():
                self.assertIn(entry, box.box.replicas.usable('look'))

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_replicas_announced_since_the_copy_go_on_being_called(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            for name in ('desk-north', 'desk-south', 'desk-2', 'desk-3'):
                fleet.withdraw(name)
            copy = fleet.store.snapshot()
            fleet.register(replica_of('desk-north')._replace(id='desk-new', address='desk-new:1'))
            await asyncio.sleep(1.0)
            back = asyncio.create_task(fleet.store.restore(copy, OUTAGE_S, rewrite_delay_s=1.5))
            sinks = await fleet.load('read', 0.05, for_s=OUTAGE_S + 4.0)
            await back
            await fleet.settle()
            self.assertEqual([], [sink.reason for sink in sinks if sink.status != 200])

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_the_store_is_not_asked_more_often_than_it_bears(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            await go_back(fleet, lost=6, outage_s=0.0)
            before = {name: box.store.calls for name, box in fleet.boxes.items()}
            await asyncio.sleep(5.0)
            for name, box in fleet.boxes.items():
                self.assertLess((box.store.calls - before[name]) / 5.0, MAX_CALLS_PER_S, name)

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_boxes_that_the_copy_lacks_are_listed_again(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            copy = fleet.store.snapshot()
            await fleet.add_box('box-new', 'north').start()
            await asyncio.sleep(2.0)
            await fleet.store.restore(copy, OUTAGE_S)
            await asyncio.sleep(5.0)
            self.assertIn('box-new', fleet.store.records[RecordKind.BOX])
            for box in fleet.boxes.values():
                self.assertEqual(count + 1, box.box.election.box_count())
            self.assertEqual(1, len(fleet.schedulers()))

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_boxes_whose_earlier_incarnation_is_in_the_copy_are_listed_again(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            copy = fleet.store.snapshot()
            fleet.kill('box-1')
            again = fleet.add_box('box-1', 'south')
            await again.start()
            await asyncio.sleep(2.0)
            await fleet.store.restore(copy, OUTAGE_S)
            await asyncio.sleep(5.0)
            listed = fleet.store.records[RecordKind.BOX]['box-1']
            self.assertEqual(again.box.incarnation, getattr(listed, 'incarnation', ''))

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_a_box_that_leaves_does_not_list_itself_again(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            copy = fleet.store.snapshot()
            leaving = fleet.add_box('box-new', 'north')
            await leaving.start()
            await asyncio.sleep(2.0)
            leaving.box.leave()
            await fleet.store.restore(copy, OUTAGE_S)
            await asyncio.sleep(5.0)
            self.assertNotIn('box-new', fleet.store.records[RecordKind.BOX])

        self.run_scenario(FEW, work)

    def test_a_box_that_has_left_is_not_listed_because_the_copy_holds_it(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            copy = fleet.store.snapshot()
            gone = fleet.boxes['box-2']
            fleet.kill('box-2')
            await gone.store.withdraw(gone.box.own)
            await asyncio.sleep(1.0)
            await fleet.store.restore(copy, OUTAGE_S)
            await asyncio.sleep(APPLY_S)
            self.assertNotIn('box-2', fleet.store.records[RecordKind.BOX])
            for box in fleet.boxes.values():
                self.assertEqual(len(fleet.boxes), box.box.election.box_count())

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_relays_that_the_copy_lacks_are_written_down_again(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            noted = fleet.store.relays
            self.assertTrue(noted)
            copy = fleet.store.snapshot()._replace(relays=None)
            await fleet.store.restore(copy, OUTAGE_S)
            await asyncio.sleep(5.0)
            self.assertEqual(noted, fleet.store.relays)

        self.run_scenario(MANY, work)

    def test_blocked_requests_that_the_copy_lacks_are_kept_again(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            copy = fleet.store.snapshot()
            ended = {f'r-{number}': (1.0 + number, 1.0 + number) for number in range(3)}
            evidence = [Evidence('a.b', 'desk', ended, None)]
            for box in fleet.boxes.values():
                box.box.ledger.merge(evidence, 'test')
            await asyncio.sleep(1.0)
            self.assertEqual(['a.b'], [item.content for item in fleet.store.blocked])
            await fleet.store.restore(copy, OUTAGE_S)
            self.assertEqual((), fleet.store.blocked)
            await asyncio.sleep(5.0)
            self.assertEqual(['a.b'], [item.content for item in fleet.store.blocked])

        for count in (FEW, MANY):
            self.run_scenario(count, work)

    def test_a_box_that_was_cut_off_meanwhile_follows_too(self) -> None:
        async def work(fleet: NoticeFleet) -> None:
            cut = fleet.boxes['box-1']
            cut.store.cut = True
            fleet.network.blocked = lambda source, target: 'box-1:7' in (source, target)
            await go_back(fleet, lost=4)
            leaving = replica_of('look-north')
            fleet.register(leaving._replace(draining=True))
            for version in range(20, 30):
                fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(version))
            await asyncio.sleep(3.0)
            cut.store.cut = False
            fleet.network.blocked = lambda source, target: False
            await asyncio.sleep(2 * DRAIN_S)
            self.assertEqual({Exclusion.DRAINING}, exclusions(fleet, leaving))

        for count in (FEW, MANY):
            self.run_scenario(count, work)


async def run_ticks(fleet: NoticeFleet) -> None:
    """Tick every box periodically, as the runner does."""
    while True:
        for box in fleet.boxes.values():
            box.box.tick()
        await asyncio.sleep(TICK_INTERVAL_S)


async def go_back(fleet: NoticeFleet, *, lost: int, outage_s: float = OUTAGE_S) -> None:
    """Restore the store from a copy that lacks its last `lost` revisions."""
    for version in range(2, 4):
        fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(version))
    copy = fleet.store.snapshot()
    for number in range(lost):
        fleet.store.write(RecordKind.BOX, f'gone-{number}', None)
    await asyncio.sleep(1.0)
    await fleet.store.restore(copy, outage_s)


def replica_of(name: str) -> Replica:
    """Return a replica of the test deployment."""
    return next(item for item in replicas() if item.id == name)


def exclusions(fleet: NoticeFleet, replica: Replica) -> set[Exclusion | None]:
    """Return the reasons why boxes exclude a replica."""
    return {box.box.replicas.exclusion_of(replica) for box in fleet.boxes.values()}


def versions(fleet: NoticeFleet) -> set[int]:
    """Return the configuration versions in force on all boxes."""
    return {box.box.config_version() for box in fleet.boxes.values()}
