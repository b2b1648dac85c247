"""Test which limits are held, and which of several reports takes precedence."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from calicopath_core.fleet.notices import EMPTY_NOTICE, Notice, NoticeObserver
from calicopath_core.fleet.replicas import Replica
from calicopath_core.permits.limits import (
    ENDED_RETENTION_S,
    ENFORCEMENT_DELAY_S,
    MIN_PER_S,
    RAMP_UP_S,
    REORDER_WINDOW_S,
    TIE_WINDOW_S,
    AdvertisedLimits,
    LimitState,
)
from testkit.cases import VirtualCase
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

DESK = Replica('i', 'desk', 'i:1', 'north', 6, False, started_ms=5.0)
LIMIT = Notice(limit_per_s=2.0)
NAMED = LimitState(5.0, 2.0, ended=False)
ENDED = LimitState(5.0, 2.0, ended=True)


class LimitsCase(VirtualCase):
    def run_scenario(
        self, steps: Callable[[AdvertisedLimits], Coroutine[None, None, None]]
    ) -> None:
        """Run a coroutine with limits on virtual time that does not begin at 0."""

        async def scenario() -> None:
            await asyncio.sleep(100.0)
            await steps(new_limits())

        self.run_virtual(scenario())


def new_limits() -> AdvertisedLimits:
    """Return an empty set of limits."""
    observer = mock.Mock(spec=NoticeObserver)
    return AdvertisedLimits(clock=VirtualClock(), observer=observer, on_changed=mock.Mock())


class Answers(LimitsCase):
    def test_a_limit_binds_after_what_is_under_way_has_arrived(self) -> None:
        async def work(limits: AdvertisedLimits) -> None:
            limits.on_notice(DESK, LIMIT)
            self.assertEqual((2.0, False), (limits.rate_of(DESK), limits.requires_permit(DESK)))
            await asyncio.sleep(ENFORCEMENT_DELAY_S)
            self.assertTrue(limits.requires_permit(DESK))

        self.run_scenario(work)

    def test_an_answer_without_a_limit_ends_it_unless_it_was_overtaken(self) -> None:
        async def work(limits: AdvertisedLimits) -> None:
            limits.on_notice(DESK, LIMIT)
            limits.on_notice(DESK, EMPTY_NOTICE)
            self.assertEqual(2.0, limits.rate_of(DESK))
            await asyncio.sleep(REORDER_WINDOW_S + 0.01)
            limits.on_notice(DESK, Notice(executed=False))
            self.assertFalse(limits.by_replica['i'].state.ended)
            limits.on_notice(DESK, EMPTY_NOTICE)
            self.assertTrue(limits.by_replica['i'].state.ended)
            self.assertFalse(limits.requires_permit(DESK))

        self.run_scenario(work)

    def test_after_the_end_calls_come_back_gradually(self) -> None:
        async def work(limits: AdvertisedLimits) -> None:
            limits.on_notice(DESK, LIMIT)
            await asyncio.sleep(1.0)
            limits.on_notice(DESK, EMPTY_NOTICE)
            rates = []
            while (rate := limits.rate_of(DESK)) is not None:
                rates.append(rate)
                await asyncio.sleep(0.5)
            self.assertEqual([2.0, 4.0, 8.0, 16.0, 32.0, 64.0], rates)

        self.run_scenario(work)

    def test_another_incarnation_has_no_limit(self) -> None:
        async def work(limits: AdvertisedLimits) -> None:
            limits.on_notice(DESK, LIMIT)
            self.assertIsNone(limits.rate_of(DESK._replace(started_ms=6.0)))
            limits.on_notice(DESK._replace(started_ms=6.0), Notice(limit_per_s=3.0))
            self.assertEqual(3.0, limits.rate_of(DESK._replace(started_ms=6.0)))

        self.run_scenario(work)

    def test_a_limit_of_nothing_leaves_some_calls_to_hear_of_its_end(self) -> None:
        async def work(limits: AdvertisedLimits) -> None:
            limits.on_notice(DESK, Notice(limit_per_s=0.0))
            self.assertEqual(MIN_PER_S, limits.rate_of(DESK))

        self.run_scenario(work)

    def test_a_replica_that_limits_is_told_of_once_until_that_changes(self) -> None:
        async def work(limits: AdvertisedLimits) -> None:
            for notice in (LIMIT, LIMIT, Notice(limit_per_s=1.0), Notice(limit_per_s=1.0)):
                limits.on_notice(DESK, notice)
            await asyncio.sleep(1.0)
            limits.on_notice(DESK, EMPTY_NOTICE)
            limits.on_notice(DESK, EMPTY_NOTICE)
            self.assertEqual(3, limits.on_changed.call_count)  # type: ignore[attr-defined]
            self.assertEqual(2, limits.observer.on_limit.call_count)  # type: ignore[attr-defined]
            await asyncio.sleep(ENDED_RETENTION_S + 1.0)
            limits.expire({'i'})
            self.assertEqual({}, limits.by_replica)

        self.run_scenario(work)

    def test_calls_without_new_work_go_at_a_part_of_it(self) -> None:
        async def work(limits: AdvertisedLimits) -> None:
            limits.on_notice(DESK, Notice(limit_per_s=4.0))
            passed = 0
            for _ in range(1000):
                passed += limits.take_control_call(DESK)
                await asyncio.sleep(0.01)
            self.assertLessEqual(passed, 11)
            self.assertGreaterEqual(passed, 9)

        self.run_scenario(work)


class OtherBoxes(LimitsCase):
    def merge(self, limits: AdvertisedLimits, heard: LimitState, age_s: float) -> bool:
        """Merge a report from another box."""
        return limits.merge('i', 'desk', heard, age_s, 'box-2')

    def test_a_report_counts_once_and_an_older_one_not_at_all(self) -> None:
        async def work(limits: AdvertisedLimits) -> None:
            self.assertFalse(self.merge(limits, ENDED, 0.0))
            self.assertTrue(self.merge(limits, NAMED, 1.0))
            self.assertFalse(self.merge(limits, NAMED, 0.5))
            self.assertFalse(self.merge(limits, NAMED._replace(per_s=9.0), 2.0))
            self.assertFalse(self.merge(limits, ENDED, 2.0))
            self.assertTrue(self.merge(limits, ENDED, 0.5))
            self.assertFalse(self.merge(limits, NAMED, 0.7))

        self.run_scenario(work)

    def test_views_of_two_boxes_become_alike_whatever_came_first(self) -> None:
        for named_s, ended_s in ((0.0, 0.05), (0.05, 0.0), (0.0, 0.5), (0.5, 0.0)):

            async def work(
                limits: AdvertisedLimits, named_s: float = named_s, ended_s: float = ended_s
            ) -> None:
                one, two = limits, new_limits()
                for item in (one, two):
                    self.merge(item, LimitState(5.0, 1.0, ended=False), 5.0)
                self.merge(one, NAMED, named_s)
                self.merge(two, ENDED._replace(per_s=1.0), ended_s)
                for _ in range(3):
                    await asyncio.sleep(0.4)
                    exchange(one, two)
                    exchange(two, one)
                self.assertEqual(one.digest(), two.digest())
                expected = ended_s < named_s + TIE_WINDOW_S
                self.assertEqual(expected, one.by_replica['i'].state.ended)

            self.run_scenario(work)

    def test_the_end_of_a_limit_outlasts_the_return(self) -> None:
        async def work(limits: AdvertisedLimits) -> None:
            self.merge(limits, NAMED, 1.0)
            self.merge(limits, ENDED, 0.0)
            await asyncio.sleep(RAMP_UP_S)
            self.assertIsNone(limits.rate_of(DESK))
            self.assertFalse(self.merge(limits, NAMED, RAMP_UP_S + 1.0))

        self.run_scenario(work)


def exchange(sender: AdvertisedLimits, receiver: AdvertisedLimits) -> None:
    """Send one box's limits to another."""
    now = sender.clock.monotonic()
    for name, item in sender.by_replica.items():
        receiver.merge(name, 'desk', item.state, now - item.heard_at, 'box-2')
