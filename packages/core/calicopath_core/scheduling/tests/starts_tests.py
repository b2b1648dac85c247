"""Test how many runs start at engines that may be cold, and how jobs wait for an engine."""

from __future__ import annotations

import asyncio
import bisect
from typing import TYPE_CHECKING
from unittest import mock

import testtools

from calicopath_core.fleet.deployment import WarmupSpec
from calicopath_core.fleet.replicas import ReplicaTable
from calicopath_core.scheduling.engines import EnginePool
from calicopath_core.scheduling.interfaces import StageCaller
from calicopath_core.scheduling.messages import Placed, Rejected, RunEnded
from calicopath_core.scheduling.scheduler import Scheduler
from calicopath_core.scheduling.starts import (
    NO_OVERAGE,
    START_WINDOW_S,
    WarmupTerms,
    start_limit_of,
)
from calicopath_core.scheduling.tests.work import job, prompt, replica
from testkit.cases import VirtualCase
from testkit.ledgers import new_guard
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    import msgspec

    from calicopath_core.scheduling.starts import StartLimit

WARMUP = WarmupSpec(per_s=6.7)
TERMS = WarmupTerms(overage=1.5, slack=5.0)
MAX_STARTS_PER_S = 15
LIMIT = start_limit_of(WARMUP, TERMS)

FAILURE_DOMAIN_ENGINES, OTHER_ENGINES = 18, 52
RATE = 480.0
LOAD_S = 2.0
RUN_S = 0.3
"""A burst at engines of which one failure domain has just returned: 27 runs per second for each
engine of that domain."""


class StartLimits(testtools.TestCase):
    def test_the_limit_is_what_a_cold_engine_can_bear(self) -> None:
        self.assertEqual((6, MAX_STARTS_PER_S), LIMIT)
        self.assertEqual((3, 7), LIMIT.per_scheduler())

    def test_at_least_one_run_may_start(self) -> None:
        self.assertEqual((1, 1), start_limit_of(WarmupSpec(per_s=0.2), NO_OVERAGE).per_scheduler())

    def test_an_engine_known_to_be_cold_gets_the_lower_limit(self) -> None:
        pool = EnginePool(slots=100, kv_tokens=1000)
        pool.start_limit = LIMIT
        pool.set_replicas([replica('e', service='engine')._replace(cold=True)])
        self.assertEqual(LIMIT.cold, placed_at_once(pool, 40))

    def test_while_two_boxes_may_schedule_each_uses_its_part_of_the_limit(self) -> None:
        pools = [EnginePool(slots=100, kv_tokens=1000) for _ in range(2)]
        total = 0
        for pool in pools:
            pool.start_limit = LIMIT
            pool.set_replicas([replica('e', service='engine')])
            pool.on_activated(0.0)
            total += placed_at_once(pool, 40, now=0.1)
        self.assertLessEqual(total, MAX_STARTS_PER_S)
        self.assertGreater(placed_at_once(pools[0], 40, now=0.1 + START_WINDOW_S), total // 2)

    def test_boxes_that_schedule_for_themselves_do_not_all_choose_the_same_engine(self) -> None:
        chosen = set()
        for number in range(30):
            pool = EnginePool(slots=4, kv_tokens=1000, salt=f'box-{number}:7')
            pool.set_replicas([replica(f'e{n}', service='engine') for n in range(70)])
            choice = pool.choose(job('one'), 0.0)
            assert choice is not None
            chosen.add(choice.engine.replica.id)
        self.assertGreater(len(chosen), 15)


class RestoredFailureDomain(testtools.TestCase):
    def max_starts_per_s(self, limit: StartLimit | None) -> int:
        """Return the most runs that started within a second at one engine that returned."""
        pool = EnginePool(slots=24, kv_tokens=100_000)
        pool.start_limit = limit
        others = [replica(f'o{n}', 'b', 'engine') for n in range(OTHER_ENGINES)]
        pool.set_replicas(others)
        for number in range(OTHER_ENGINES * 8):
            work = job(f'old-{number}', prompt=prompt((f'x{number}', 3000), out=300))
            choice = pool.choose(work, 0.0)
            if choice is not None:
                pool.start_run(choice, work, 0.0)
        back = [replica(f'z{n}', 'a', 'engine') for n in range(FAILURE_DOMAIN_ENGINES)]
        pool.set_replicas([*others, *back], {item.id for item in others})
        times: dict[str, list[float]] = {}
        ends: list[tuple[float, str, str]] = []
        for number in range(int(RATE * LOAD_S)):
            now = 2.0 + number / RATE
            while ends and ends[0][0] <= now:
                _, engine, name = ends.pop(0)
                pool.on_run_ended(engine, name, failed=False, now=now)
            work = job(f'new-{number}', prompt=prompt((f'y{number}', 300)))
            choice = pool.choose(work, now)
            if choice is None:
                continue
            pool.start_run(choice, work, now)
            name = choice.engine.replica.id
            ends.append((now + RUN_S, name, work.id))
            times.setdefault(name, []).append(now)
        restored = [found for name, found in times.items() if name.startswith('z')]
        self.assertEqual(FAILURE_DOMAIN_ENGINES, len(restored))
        return max(max_within_a_second(found) for found in restored)

    def test_no_engine_gets_more_than_it_bears_though_none_is_known_to_be_cold(self) -> None:
        self.assertLessEqual(self.max_starts_per_s(LIMIT), MAX_STARTS_PER_S)

    def test_without_the_limit_engines_get_more_than_they_bear(self) -> None:
        self.assertGreater(self.max_starts_per_s(None), MAX_STARTS_PER_S)


class Waiting(VirtualCase):
    def scheduler(
        self, sent: list[msgspec.Struct], *, engines: int = 1, slots: int = 2
    ) -> Scheduler:
        """Return a scheduler in front of some engines."""
        table = ReplicaTable()
        for number in range(engines):
            table.put(replica(f'e{number}', service='engine'))
        found = Scheduler(
            clock=VirtualClock(),
            replicas=table,
            caller=mock.Mock(spec=StageCaller),
            send=lambda address, message: sent.append(message),
            observer=mock.Mock(),
            own_address='own:7',
            select_replicas=lambda replicas: replicas,
            crashes=new_guard(),
        )
        found.engine_pools['engine'] = EnginePool(slots=slots, kv_tokens=1000)
        found.on_replicas()
        return found

    def test_a_job_waits_for_the_first_place_and_the_most_urgent_gets_it(self) -> None:
        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            scheduler = self.scheduler(sent)
            for number in range(2):
                scheduler.on_place(job(f'at-work-{number}').place)
            scheduler.on_place(job('patient', priority=2).place)
            scheduler.on_place(job('urgent', priority=0).place)
            self.assertEqual(['at-work-0', 'at-work-1'], names(sent, Placed))
            scheduler.on_ended(RunEnded(job='at-work-0', sender='b1', failed=False))
            self.assertEqual('urgent', names(sent, Placed)[-1])
            scheduler.on_ended(RunEnded(job='at-work-1', sender='b1', failed=False))
            self.assertEqual('patient', names(sent, Placed)[-1])
            self.assertEqual([], names(sent, Rejected))

        self.run_virtual(scenario())

    def test_a_full_service_holds_up_nobody_elses_jobs(self) -> None:
        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            scheduler = self.scheduler(sent, slots=1)
            scheduler.replicas.put(replica('other', service='other-engine'))
            scheduler.engine_pools['other-engine'] = EnginePool(slots=1, kv_tokens=1000)
            scheduler.on_replicas()
            scheduler.on_place(job('at-work').place)
            scheduler.on_place(job('waits', priority=0).place)
            scheduler.on_place(job('other-at-work', service='other-engine').place)
            scheduler.on_place(job('other-waits', priority=2, service='other-engine').place)
            scheduler.on_ended(RunEnded(job='other-at-work', sender='b1', failed=False))
            self.assertEqual(['at-work', 'other-at-work', 'other-waits'], names(sent, Placed))

        self.run_virtual(scenario())

    def test_places_that_come_with_time_are_given_away(self) -> None:
        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            scheduler = self.scheduler(sent, slots=100)
            scheduler.engine_pools['engine'].start_limit = LIMIT
            running = asyncio.create_task(scheduler.run())
            for number in range(20):
                scheduler.on_place(job(f'j{number}').place)
            self.assertEqual(MAX_STARTS_PER_S, len(names(sent, Placed)))
            await asyncio.sleep(START_WINDOW_S + 0.1)
            self.assertEqual(20, len(names(sent, Placed)))
            running.cancel()

        self.run_virtual(scenario())

    def test_a_job_that_no_engine_can_start_in_time_is_rejected_before_its_deadline(self) -> None:
        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            scheduler = self.scheduler(sent, slots=1)
            running = asyncio.create_task(scheduler.run())
            scheduler.on_place(job('at-work').place)
            scheduler.on_place(job('late', deadline_s=1.0).place)
            await asyncio.sleep(0.9)
            (rejected,) = [message for message in sent if isinstance(message, Rejected)]
            self.assertEqual(('late', 'no-engine'), (rejected.job, rejected.reason))
            self.assertEqual(0, len(scheduler.engine_queue))
            running.cancel()

        self.run_virtual(scenario())

    def test_where_there_is_no_engine_a_job_is_rejected_at_once(self) -> None:
        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            scheduler = self.scheduler(sent, engines=0)
            scheduler.on_place(job('one').place)
            excluded = self.scheduler(sent)
            excluded.on_place(job('two', exclude=('e0',)).place)
            self.assertEqual(['one', 'two'], names(sent, Rejected))
            self.assertEqual(0, len(excluded.engine_queue))

        self.run_virtual(scenario())

    def test_engines_that_go_while_jobs_wait_end_the_wait(self) -> None:
        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            scheduler = self.scheduler(sent, slots=1)
            scheduler.on_place(job('at-work').place)
            scheduler.on_place(job('waits').place)
            scheduler.replicas.set_evacuated(frozenset({'a'}))
            self.assertEqual(['waits'], names(sent, Rejected))

        self.run_virtual(scenario())


def placed_at_once(pool: EnginePool, count: int, now: float = 0.0) -> int:
    """Return how many of some jobs are placed at one moment."""
    placed = 0
    for number in range(count):
        work = job(f'{now}-{number}', prompt=prompt((f'p{number}', 1)))
        choice = pool.choose(work, now)
        if choice is not None:
            pool.start_run(choice, work, now)
            placed += 1
    return placed


def max_within_a_second(times: list[float]) -> int:
    """Return the largest number of some sorted times that lie within one second."""
    return max(bisect.bisect_left(times, at + 1.0) - n for n, at in enumerate(times))


def names(sent: list[msgspec.Struct], kind: type[Placed] | type[Rejected]) -> list[str]:
    """Return the jobs of the messages of a kind, in order."""
    return [message.job for message in sent if isinstance(message, kind)]
