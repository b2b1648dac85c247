"""Compare strategies of boxes that follow a store which is restored from a snapshot.

Schedules of changes and outages are drawn at random and run on virtual time:

python -m bench.restored --boxes 8,60 --schedules 40
"""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Annotated, NamedTuple

import structlog
import typer

from calicopath_core.fleet.positions import Position
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import Changes, Listing, RecordKind
from calicopathd.gateway.run import TICK_INTERVAL_S
from testkit.gateway_store import FakeStoreClient
from testkit.gateway_world import deployment
from testkit.notice_fleet import NoticeFleet
from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    from testkit.gateway import FleetBox

HELP_BOXES = 'Fleet sizes in boxes, separated by commas.'
HELP_SCHEDULES = 'Number of random schedules for each size.'

TOLERATED_DELAY_S = 0.1
DRAIN_ALLOWANCE_S = 2.0
AFTER_RETURN_S = 14.0
"""How long a schedule continues after the store is back."""

REPLICAS = 24
DESK = 'desk'


class FollowStrategy(ABC):
    """Define how boxes order the store's states and treat its records after a restore."""

    name: str

    @abstractmethod
    def set_up(self, box: FleetBox) -> None:
        """Prepare a box that has not been started."""


class EraOrder(FollowStrategy):
    """Order states by era and revision, and keep the changes seen before the restore."""

    name = 'eras, kept'

    def set_up(self, box: FleetBox) -> None:
        """Leave the box unchanged: this is the strategy of the gateway."""


class FirstListTrusted(FollowStrategy):
    """Order states by era and revision, and apply the first list after the restore at once."""

    name = 'eras, as listed'

    def set_up(self, box: FleetBox) -> None:
        """Connect the feeds to the record handler directly, without the restore filter."""
        for feed in box.box.feeds.values():
            feed.handler = box.box.records


class RevisionOrder(FollowStrategy):
    """Order states by revision alone."""

    name = 'revisions'

    def set_up(self, box: FleetBox) -> None:
        """Give the box a store client that hides the era."""
        box.box.store = box.store = EralessClient(store=box.store.store)
        for feed in box.box.feeds.values():
            feed.store = box.store


class EralessClient(FakeStoreClient):
    """Store client that reports every position with era 0."""

    async def list(self, kind: RecordKind) -> Listing:
        """Return all records of a kind, at a position of era 0."""
        result = await super().list(kind)
        return result._replace(position=Position(0, result.position.revision))

    async def watch(self, kind: RecordKind, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision, at a position of era 0."""
        result = await super().watch(kind, revision, wait_s)
        return result._replace(position=Position(0, result.position.revision))


class AcknowledgedChange(NamedTuple):
    """Hold a change that the store has acknowledged.

    It concerns one replica, or the configuration if `version` is not 0.
    """

    acknowledged_at: float
    replica: str
    removes_replica: bool
    version: int


class Figures:
    """Hold the figures of schedules; `stale_use_s` and `unused_s` are sums over boxes.

    `max_delay_s` is the longest time until a change was in force at a box. A box-second counts as
    stale use if a removed replica is still called, as unused if a present one is not called.
    """

    def __init__(self) -> None:
        self.max_delay_s = 0.0
        self.stale_use_s = 0.0
        self.unused_s = 0.0
        self.store_calls = 0.0

    def add(self, other: Figures) -> None:
        """Add the figures of another schedule, with the larger of the two delays."""
        self.max_delay_s = max(self.max_delay_s, other.max_delay_s)
        self.stale_use_s += other.stale_use_s
        self.unused_s += other.unused_s
        self.store_calls += other.store_calls


class Schedule:
    """Run one schedule of changes, with a restore, that the seed determines."""

    def __init__(self, *, strategy: FollowStrategy, boxes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = NoticeFleet(count=boxes)
        for box in self.fleet.boxes.values():
            strategy.set_up(box)
        self.acknowledged: list[AcknowledgedChange] = []
        self.version = 1
        self.replica_names = [f'desk-{number}' for number in range(10, 10 + REPLICAS)]
        self.figures = Figures()
        self.returned_at = float('inf')

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def make_change(self) -> None:
        """Make one random change in the store and record it as acknowledged."""
        kind = self.rng.choice(('announce', 'drain', 'withdraw', 'configure', 'configure'))
        records = self.fleet.store.records[RecordKind.REPLICA]
        known_names = [name for name in self.replica_names if name in records]
        if kind == 'configure' or not known_names:
            self.version += 1
            self.fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(self.version))
            self.acknowledged.append(AcknowledgedChange(self.now(), '', False, self.version))
            return
        if kind == 'announce':
            name = f'desk-{100 + len(self.acknowledged)}'
            self.fleet.register(Replica(name, DESK, f'{name}:1', 'north', 6, False))
        elif kind == 'drain':
            name = self.replica_names.pop(self.replica_names.index(self.rng.choice(known_names)))
            entry = records[name]
            assert isinstance(entry, Replica)
            self.fleet.register(entry._replace(draining=True))
        else:
            name = self.replica_names.pop(self.replica_names.index(self.rng.choice(known_names)))
            self.fleet.withdraw(name)
        self.acknowledged.append(AcknowledgedChange(self.now(), name, kind != 'announce', 0))

    async def make_changes(self, duration_s: float) -> None:
        """Make random changes for a time, except while the store is down."""
        ends_at = self.now() + duration_s
        while self.now() < ends_at:
            await asyncio.sleep(min(self.rng.expovariate(1.5), duration_s))
            if not self.fleet.store.down:
                self.make_change()

    def is_in_force(self, box: FleetBox, item: AcknowledgedChange) -> bool:
        """Tell whether a box applies a change."""
        if item.version:
            return box.box.config_version() >= item.version
        usable = any(item.replica == known.id for known in box.box.replicas.usable(DESK))
        return usable != item.removes_replica

    async def run_sampling(self) -> None:
        """Check at every tick which changes are late at which box, until cancelled."""
        while True:
            now = self.now()
            for box in self.fleet.boxes.values():
                box.box.tick()
                late = [
                    item
                    for item in self.acknowledged
                    if now - item.acknowledged_at > TOLERATED_DELAY_S
                    and not self.is_in_force(box, item)
                ]
                self.record_late_changes(late, now)
            await asyncio.sleep(TICK_INTERVAL_S)

    def record_late_changes(self, late: list[AcknowledgedChange], now: float) -> None:
        """Count the late changes of one box, but not the time that the store is down."""
        if self.fleet.store.down:
            return
        for item in late:
            since = (
                max(item.acknowledged_at, self.returned_at)
                if now >= self.returned_at
                else item.acknowledged_at
            )
            self.figures.max_delay_s = max(self.figures.max_delay_s, now - since)
            if item.removes_replica and now - since > DRAIN_ALLOWANCE_S:
                self.figures.stale_use_s += TICK_INTERVAL_S
            elif item.replica and not item.removes_replica:
                self.figures.unused_s += TICK_INTERVAL_S

    async def run(self) -> Figures:
        """Run the schedule and return its figures."""
        fleet, rng = self.fleet, self.rng
        for name in self.replica_names:
            fleet.register(Replica(name, DESK, f'{name}:1', 'north', 6, False))
        await fleet.start()
        await asyncio.sleep(2.0)
        sampling = asyncio.create_task(self.run_sampling())
        await self.make_changes(2.0)
        snapshot = fleet.store.snapshot()
        await self.make_changes(rng.uniform(0.5, 10.0))
        calls_before = sum(box.store.calls for box in fleet.boxes.values())
        down_s, rewrite_delay_s = rng.uniform(0.0, 5.0), rng.uniform(0.0, 2.0)
        restoring = asyncio.create_task(fleet.store.restore(snapshot, down_s, rewrite_delay_s))
        await asyncio.sleep(down_s + TOLERATED_DELAY_S)
        self.returned_at = self.now() - TOLERATED_DELAY_S
        await self.make_changes(3.0)
        await asyncio.sleep(AFTER_RETURN_S - 3.0)
        await restoring
        sampling.cancel()
        calls = sum(box.store.calls for box in fleet.boxes.values()) - calls_before
        self.figures.store_calls = calls / len(fleet.boxes)
        await fleet.stop()
        return self.figures


async def run_schedule(strategy: FollowStrategy, boxes: int, seed: int) -> Figures:
    """Create and run one schedule in the current loop."""
    return await Schedule(strategy=strategy, boxes=boxes, seed=seed).run()


def measure(new_strategy: Callable[[], FollowStrategy], boxes: int, schedules: int) -> Figures:
    """Return the figures of the schedules of all seeds together."""
    total = Figures()
    for seed in range(schedules):
        total.add(run_virtual(run_schedule(new_strategy(), boxes, seed)))
    return total


def main(
    boxes: Annotated[str, typer.Option(help=HELP_BOXES)] = '8,60',
    schedules: Annotated[int, typer.Option(help=HELP_SCHEDULES)] = 40,
) -> None:
    """Print a line for each strategy and fleet size."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    print('boxes, way: longest to force; box-seconds a schedule in which a replica is called that')
    print('left over 2 s ago; in which one is not called that is there; calls to the store a box')
    for count in (int(item) for item in boxes.split(',')):
        for strategy in (RevisionOrder, FirstListTrusted, EraOrder):
            figures = measure(strategy, count, schedules)
            print(
                f'{count}, {strategy.name}: {figures.max_delay_s:.1f} s; '
                f'{figures.stale_use_s / schedules:.2f}; '
                f'{figures.unused_s / schedules:.2f}; {figures.store_calls / schedules:.0f}',
                flush=True,
            )


if __name__ == '__main__':
    typer.run(main)
