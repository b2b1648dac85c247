"""Compare ways to follow a store that comes back from a copy, on drawn schedules in virtual time.

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
from calicopathd.gateway.run import TICK_S
from testkit.gateway_store import FakeStoreClient
from testkit.gateway_world import deployment
from testkit.notice_fleet import NoticeFleet
from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    from testkit.gateway import FleetBox

HELP_BOXES = 'Sizes of fleets, separated by commas.'
HELP_SCHEDULES = 'How many schedules to draw for each size.'

STEP_S = 0.1
DRAIN_S = 2.0
AFTER_S = 14.0
"""How long a schedule goes on after the store's return."""

REPLICAS = 24
DESK = 'desk'


class Way(ABC):
    """Say how boxes follow the store."""

    name: str

    @abstractmethod
    def set_up(self, box: FleetBox) -> None:
        """Have a box that was not started yet follow the store so."""


class WithEras(Way):
    """Order by era, and keep what was acknowledged."""

    name = 'eras, kept'

    def set_up(self, box: FleetBox) -> None:
        """Leave the box as it is."""


class AsListed(Way):
    """Order by era, and take the first list as after an outage."""

    name = 'eras, as listed'

    def set_up(self, box: FleetBox) -> None:
        """Take what holds back and keeps out of the way."""
        for feed in box.box.feeds.values():
            feed.handler = box.box.records


class ByRevision(Way):
    """Order by revision alone."""

    name = 'revisions'

    def set_up(self, box: FleetBox) -> None:
        """Hide the era from the box."""
        box.box.store = box.store = EralessClient(store=box.store.store)
        for feed in box.box.feeds.values():
            feed.store = box.store


class EralessClient(FakeStoreClient):
    """Give one box the store without its eras."""

    async def list(self, kind: RecordKind) -> Listing:
        """Return every record."""
        found = await super().list(kind)
        return found._replace(position=Position(0, found.position.revision))

    async def watch(self, kind: RecordKind, revision: int, wait_s: float) -> Changes:
        """Return what has changed."""
        found = await super().watch(kind, revision, wait_s)
        return found._replace(position=Position(0, found.position.revision))


class Acknowledged(NamedTuple):
    """Hold a change that the store has acknowledged: a replica's state, or a configuration."""

    at: float
    replica: str
    leaves: bool
    version: int


class Figures:
    """Hold what a schedule showed; times are seconds, sums are over boxes."""

    def __init__(self) -> None:
        self.force_s = 0.0
        self.left_s = 0.0
        self.unknown_s = 0.0
        self.calls = 0.0

    def join(self, other: Figures) -> None:
        """Take another schedule's figures in."""
        self.force_s = max(self.force_s, other.force_s)
        self.left_s += other.left_s
        self.unknown_s += other.unknown_s
        self.calls += other.calls


class Schedule:
    """Play one drawn schedule."""

    def __init__(self, *, way: Way, boxes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = NoticeFleet(count=boxes)
        for box in self.fleet.boxes.values():
            way.set_up(box)
        self.acknowledged: list[Acknowledged] = []
        self.version = 1
        self.names = [f'desk-{number}' for number in range(10, 10 + REPLICAS)]
        self.figures = Figures()
        self.returned_at = float('inf')

    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def change(self) -> None:
        """Have the store acknowledge one drawn change."""
        kind = self.rng.choice(('announce', 'drain', 'withdraw', 'configure', 'configure'))
        held = self.fleet.store.records[RecordKind.REPLICA]
        known = [name for name in self.names if name in held]
        if kind == 'configure' or not known:
            self.version += 1
            self.fleet.store.write(RecordKind.DEPLOYMENT, 'main', deployment(self.version))
            self.acknowledged.append(Acknowledged(self.now(), '', False, self.version))
            return
        if kind == 'announce':
            name = f'desk-{100 + len(self.acknowledged)}'
            self.fleet.register(Replica(name, DESK, f'{name}:1', 'north', 6, False))
        elif kind == 'drain':
            name = self.names.pop(self.names.index(self.rng.choice(known)))
            entry = held[name]
            assert isinstance(entry, Replica)
            self.fleet.register(entry._replace(draining=True))
        else:
            name = self.names.pop(self.names.index(self.rng.choice(known)))
            self.fleet.withdraw(name)
        self.acknowledged.append(Acknowledged(self.now(), name, kind != 'announce', 0))

    async def changes(self, for_s: float) -> None:
        """Have changes come for a while."""
        ends_at = self.now() + for_s
        while self.now() < ends_at:
            await asyncio.sleep(min(self.rng.expovariate(1.5), for_s))
            if not self.fleet.store.down:
                self.change()

    def is_in_force(self, box: FleetBox, item: Acknowledged) -> bool:
        """Tell whether a box goes by a change."""
        if item.version:
            return box.box.config_version() >= item.version
        usable = any(item.replica == known.id for known in box.box.replicas.usable(DESK))
        return usable != item.leaves

    async def sample(self) -> None:
        """Look again and again which changes are in force where."""
        while True:
            now = self.now()
            for box in self.fleet.boxes.values():
                box.box.tick()
                late = [
                    item
                    for item in self.acknowledged
                    if now - item.at > STEP_S and not self.is_in_force(box, item)
                ]
                self.note(late, now)
            await asyncio.sleep(TICK_S)

    def note(self, late: list[Acknowledged], now: float) -> None:
        """Note changes that a box does not go by; what is down excuses the time that it is."""
        if self.fleet.store.down:
            return
        for item in late:
            since = max(item.at, self.returned_at) if now >= self.returned_at else item.at
            self.figures.force_s = max(self.figures.force_s, now - since)
            if item.leaves and now - since > DRAIN_S:
                self.figures.left_s += TICK_S
            elif item.replica and not item.leaves:
                self.figures.unknown_s += TICK_S

    async def play(self) -> Figures:
        """Play it."""
        fleet, rng = self.fleet, self.rng
        for name in self.names:
            fleet.register(Replica(name, DESK, f'{name}:1', 'north', 6, False))
        await fleet.start()
        await asyncio.sleep(2.0)
        sampling = asyncio.create_task(self.sample())
        await self.changes(2.0)
        copy = fleet.store.snapshot()
        await self.changes(rng.uniform(0.5, 10.0))
        before = sum(box.store.calls for box in fleet.boxes.values())
        away_s, again_s = rng.uniform(0.0, 5.0), rng.uniform(0.0, 2.0)
        back = asyncio.create_task(fleet.store.restore(copy, away_s, again_s))
        await asyncio.sleep(away_s + STEP_S)
        self.returned_at = self.now() - STEP_S
        await self.changes(3.0)
        await asyncio.sleep(AFTER_S - 3.0)
        await back
        sampling.cancel()
        calls = sum(box.store.calls for box in fleet.boxes.values()) - before
        self.figures.calls = calls / len(fleet.boxes)
        await fleet.stop()
        return self.figures


async def play(way: Way, boxes: int, seed: int) -> Figures:
    """Play one schedule."""
    return await Schedule(way=way, boxes=boxes, seed=seed).play()


def measure(way: Callable[[], Way], boxes: int, schedules: int) -> Figures:
    """Play many schedules."""
    total = Figures()
    for seed in range(schedules):
        total.join(run_virtual(play(way(), boxes, seed)))
    return total


def main(
    boxes: Annotated[str, typer.Option(help=HELP_BOXES)] = '8,60',
    schedules: Annotated[int, typer.Option(help=HELP_SCHEDULES)] = 40,
) -> None:
    """Print a line for each way and size."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    print('boxes, way: longest to force; box-seconds a schedule in which a replica is called that')
    print('left over 2 s ago; in which one is not called that is there; calls to the store a box')
    for count in (int(item) for item in boxes.split(',')):
        for way in (ByRevision, AsListed, WithEras):
            found = measure(way, count, schedules)
            print(
                f'{count}, {way.name}: {found.force_s:.1f} s; {found.left_s / schedules:.2f}; '
                f'{found.unknown_s / schedules:.2f}; {found.calls / schedules:.0f}',
                flush=True,
            )


if __name__ == '__main__':
    typer.run(main)
