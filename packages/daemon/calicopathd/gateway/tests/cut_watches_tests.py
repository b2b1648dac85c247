"""Test that removals take effect in time while the store cuts watches again and again."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.replicas import RETURN_GRACE_S
from calicopath_core.fleet.store import RecordKind
from testkit.cases import VirtualCase
from testkit.gateway import GatewayFleet
from testkit.gateway_world import replicas

if TYPE_CHECKING:
    from collections.abc import Callable

    from testkit.gateway import FleetBox

MAX_DELAY_S = 1.5
"""Longest time from the store's acknowledgement of a removal until a box keeps to it."""

BOX_COUNTS = (1, 2, 8, 12)
"""Twelve boxes follow the store through relays."""

MAX_CALLS_PER_S = 10
"""Most store calls of a box for one kind while its watches are cut."""

CHECK_INTERVAL_S = 0.02
TICK_INTERVAL_S = 0.2
REMOVED = replicas()[0]


class Series(NamedTuple):
    """Describe cuts of all waiting watches of some boxes, at even intervals."""

    cuts: int
    interval_s: float
    every_box: bool


class Trouble(NamedTuple):
    """Describe what else the store does to some calls while it answers the others."""

    name: str
    start: Callable[[FleetBox, random.Random], None]


def fail_some_calls(box: FleetBox, rng: random.Random) -> None:
    """Answer a third of all calls with 429 or 503."""
    box.store.fails = lambda: rng.random() < 1 / 3


def silence_one_watch(box: FleetBox, rng: random.Random) -> None:
    """Leave the next watch of replicas without an answer."""
    box.store.silent_watches.add(RecordKind.REPLICA)


def answer_from_earlier_era(box: FleetBox, rng: random.Random) -> None:
    """Answer one watch from an older state of the store."""
    box.store.outdated_answers = 1


TROUBLES = (
    Trouble('none', lambda box, rng: None),
    Trouble('some calls fail', fail_some_calls),
    Trouble('an older answer', answer_from_earlier_era),
)


class CutWatches(VirtualCase):
    async def delay_s(self, fleet: GatewayFleet) -> float:
        """Remove a replica; return how long it takes until no box uses it."""
        loop = asyncio.get_running_loop()
        removed_at = loop.time()
        fleet.store.write(RecordKind.REPLICA, REMOVED.id, None)
        ticked_at = removed_at
        while any(REMOVED.id in box.box.replicas.replicas for box in fleet.boxes.values()):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if loop.time() - ticked_at >= TICK_INTERVAL_S:
                ticked_at = loop.time()
                for box in fleet.boxes.values():
                    box.box.tick()
        return loop.time() - removed_at

    def removal_delay_s(self, seed: int) -> float:
        """Return how long a removal takes in a drawn series of cuts beside drawn trouble."""

        async def scenario() -> float:
            rng = random.Random(seed)
            fleet = GatewayFleet(count=BOX_COUNTS[seed % len(BOX_COUNTS)])
            await fleet.start()
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            series = Series(rng.randint(2, 30), rng.uniform(0.03, 0.4), rng.random() < 0.7)
            struck = list(fleet.boxes.values()) if series.every_box else [fleet.boxes['box-0']]
            trouble = rng.choice(TROUBLES)
            for box in struck:
                trouble.start(box, rng)
            cuts = asyncio.create_task(cut_watches(struck, series))
            await asyncio.sleep(rng.uniform(0.0, series.cuts * series.interval_s))
            delay_s = await self.delay_s(fleet)
            cuts.cancel()
            await fleet.stop()
            return delay_s

        return self.run_virtual(scenario())

    # Cuts in a row counted as an outage of the store, and removals were held back for its grace.
    def test_removals_amid_a_series_of_cut_watches_are_in_force_in_time(self) -> None:
        late = {
            seed: round(delay_s, 2)
            for seed in range(160)
            if (delay_s := self.removal_delay_s(seed)) > MAX_DELAY_S
        }
        self.assertEqual({}, late)

    # One watch without an answer counted as an outage although other calls were answered.
    def test_one_silent_watch_is_no_outage_while_other_calls_are_answered(self) -> None:
        async def scenario(after_s: float) -> float:
            fleet = GatewayFleet(count=1)
            await fleet.start()
            await asyncio.sleep(after_s)
            silence_one_watch(fleet.boxes['box-0'], random.Random(1))
            await asyncio.sleep(3.0)
            delay_s = await self.delay_s(fleet)
            await fleet.stop()
            return delay_s

        delays = [self.run_virtual(scenario(step * 0.1)) for step in range(20)]
        self.assertLessEqual(max(delays), MAX_DELAY_S)

    # Boxes behind a relay held removals back when its calls had failed for a moment.
    def test_a_short_failure_at_relays_delays_no_removal_elsewhere(self) -> None:
        async def scenario(after_s: float) -> float:
            fleet = GatewayFleet(count=12)
            await fleet.start()
            await asyncio.sleep(after_s)
            for box in fleet.boxes.values():
                box.store.cut = True
            await asyncio.sleep(0.5)
            for box in fleet.boxes.values():
                box.store.cut = False
            await asyncio.sleep(0.5)
            delay_s = await self.delay_s(fleet)
            await fleet.stop()
            return delay_s

        delays = [self.run_virtual(scenario(step * 0.2)) for step in range(10)]
        self.assertLessEqual(max(delays), MAX_DELAY_S)

    # Each cut watch was made again at once, however many had been cut.
    def test_a_long_series_of_cuts_costs_few_calls(self) -> None:
        async def scenario() -> int:
            fleet = GatewayFleet(count=1)
            await fleet.start()
            box = fleet.boxes['box-0']
            before = box.store.calls
            await cut_watches([box], Series(200, 0.05, every_box=True))
            calls = box.store.calls - before
            await fleet.stop()
            return calls

        self.assertLessEqual(self.run_virtual(scenario()), 10 * MAX_CALLS_PER_S * len(RecordKind))


class Lapses(VirtualCase):
    def drop_and_return(self, count: int, away: list[tuple[float, float]], *, hang: bool) -> None:
        """Check that entries that lapse in an outage stay in use for the time they may take.

        `away` lists for how long the store is away and for how long it answers after that.
        """

        async def scenario() -> None:
            fleet = GatewayFleet(count=count)
            await fleet.start()
            for away_s, back_s in away:
                for box in fleet.boxes.values():
                    box.store.cut, box.store.silent = not hang, hang
                    box.store.cut_watches()
                await asyncio.sleep(away_s)
                if (away_s, back_s) == away[-1]:
                    fleet.store.write(RecordKind.REPLICA, REMOVED.id, None)
                for box in fleet.boxes.values():
                    box.store.cut = box.store.silent = False
                await asyncio.sleep(back_s)
            returned_at = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < returned_at + RETURN_GRACE_S - 0.1:
                for box in fleet.boxes.values():
                    box.box.tick()
                    self.assertIn(REMOVED.id, box.box.replicas.replicas)
                await asyncio.sleep(0.05)
            await fleet.stop()

        self.run_virtual(scenario())

    # Entries that lapse while the store is away are back within two seconds of its return.
    def test_entries_that_lapsed_in_an_outage_stay_in_use_until_they_may_be_back(self) -> None:
        for count in BOX_COUNTS:
            for away_s in (2.5, 3.1, 4.0, 9.0):
                self.drop_and_return(count, [(away_s, 0.0)], hang=False)
                self.drop_and_return(count, [(away_s, 0.0)], hang=True)

    # A store that answers for a moment between two outages gives replicas no time to renew entries.
    def test_outages_with_a_moment_of_answers_between_them_count_together(self) -> None:
        for count in BOX_COUNTS:
            self.drop_and_return(count, [(1.5, 0.15), (1.5, 0.0)], hang=False)


async def cut_watches(boxes: list[FleetBox], series: Series) -> None:
    """Cut the waiting watches of some boxes in a series."""
    for _ in range(series.cuts):
        for box in boxes:
            box.store.cut_watches()
        await asyncio.sleep(series.interval_s)
