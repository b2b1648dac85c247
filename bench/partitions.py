"""Compare what boxes do that reach no replica: refuse, leave the balancer, forward, or both.

Half of the requests come over connections that stay at their box, half through a balancer that
asks the boxes of the caller's failure domain whether they are ready. Run it with
`python -m bench.partitions --boxes 8,28`.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import statistics
from typing import TYPE_CHECKING, NamedTuple

import structlog

from testkit.gateway_world import FAILURE_DOMAINS
from testkit.partition import Partition
from testkit.partitioned_fleet import PartitionedFleet
from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from testkit.gateway_replicas import FakeSink

PROBE_INTERVAL_S = 1.0
FAILED_PROBES = 2
"""The balancer asks each second and takes a box out after two answers that are not `ready`."""

BUSY_GAP_S = 0.16
"""Time between two requests to one box."""

WARM_S = 1.0
SETTLE_S = 1.0
LOAD_S = 6.0


class Way(NamedTuple):
    """Name a way and what it consists of."""

    name: str
    forwards: bool
    leaves_balancer: bool


WAYS = (
    Way('refuse', forwards=False, leaves_balancer=False),
    Way('not ready', forwards=False, leaves_balancer=True),
    Way('forward', forwards=True, leaves_balancer=False),
    Way('both', forwards=True, leaves_balancer=True),
)


class Balancer:
    """Give new connections to the boxes of a failure domain that are ready."""

    def __init__(self, *, fleet: PartitionedFleet, way: Way) -> None:
        self.fleet = fleet
        self.way = way
        self.rng = random.Random(1)
        self.failed: dict[str, int] = {}

    async def run(self) -> None:
        """Ask every box whether it is ready, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            for name, found in self.fleet.boxes.items():
                ready = not (self.way.leaves_balancer and found.box.reachability.is_partitioned)
                self.failed[name] = 0 if ready else self.failed.get(name, 0) + 1

    def choose(self, failure_domain: str) -> str:
        """Return the box for a new connection of a caller in a failure domain."""
        boxes = self.fleet.boxes
        own = [
            name
            for name, found in boxes.items()
            if found.box.settings.failure_domain == failure_domain
        ]
        ready = [name for name in own if self.failed.get(name, 0) < FAILED_PROBES]
        if not ready:
            ready = [name for name in boxes if self.failed.get(name, 0) < FAILED_PROBES]
        elif len(ready) < len(own) / 2:
            ready = own
        return self.rng.choice(ready or list(boxes))


class Outcome(NamedTuple):
    """Hold the shares served, and the share of requests that partitioned boxes got."""

    cut: float
    others: float
    at_cut: float


def share(sinks: list[FakeSink]) -> float:
    """Return the share of requests that were served, 1 if there are none."""
    return statistics.fmean([item.status == 200 for item in sinks] or [1.0])


async def play(way: Way, *, boxes: int, cut: int, partition: Partition) -> Outcome:
    """Return what a fleet serves from `SETTLE_S` after a partition on."""
    fleet = PartitionedFleet(count=boxes, forwards=way.forwards, replicas=boxes)
    await fleet.start()
    balancer = Balancer(fleet=fleet, way=way)
    probing = asyncio.create_task(balancer.run())
    gap_s = BUSY_GAP_S / boxes
    await fleet.load(gap_s, WARM_S)
    names = sorted(fleet.boxes)
    cut_names = set(names[:cut])
    for name in cut_names:
        fleet.links.cut(name, partition)
    await fleet.load(gap_s, SETTLE_S)
    sinks: dict[bool, list[FakeSink]] = {True: [], False: []}
    for number in range(round(LOAD_S / gap_s)):
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        name = balancer.choose(domain) if number % 2 else names[number // 2 % boxes]
        sinks[name in cut_names].append(fleet.send_next(name))
        await asyncio.sleep(gap_s)
    await fleet.settle()
    probing.cancel()
    await fleet.stop()
    total = len(sinks[True]) + len(sinks[False])
    return Outcome(share(sinks[True]), share(sinks[False]), len(sinks[True]) / total)


def main() -> None:
    """Print a row for each way, number of partitioned boxes and kind of partition."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--boxes', default='8')
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    print('boxes  cut  partition    way        served at cut  at others  requests at cut')
    for boxes in (int(item) for item in arguments.boxes.split(',')):
        for cut in (1, boxes // 2, boxes - 1):
            for partition in Partition:
                for way in WAYS:
                    found = run_virtual(play(way, boxes=boxes, cut=cut, partition=partition))
                    print(
                        f'{boxes:5}  {cut:3}  {partition.value:11}  {way.name:9}'
                        f'{found.cut:14.3f}{found.others:11.3f}{found.at_cut:17.3f}',
                        flush=True,
                    )


if __name__ == '__main__':
    main()
