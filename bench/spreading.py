"""Measure how changes spread and what that costs, with many boxes in one process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from testkit.fleet import PeerFleet
from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Sequence

IDLE_S = 10.0
CHANGES = 30
CHANGE_EVERY_S = 1.0
BOXES_A_DOMAIN = 16


class Spread(NamedTuple):
    """Hold what one fleet did; times in seconds, bytes and calls a second."""

    boxes: int
    domains: int
    idle_bytes: float
    changing_bytes: float
    busiest_bytes: float
    idle_calls: float
    watches: int
    median_s: float
    p99_s: float
    worst_s: float
    killed_worst_s: float
    cut_worst_s: float


def percentile(values: Sequence[float], part: float) -> float:
    """Return a percentile."""
    found = sorted(values)
    return found[min(len(found) - 1, int(part * len(found)))]


def sent(fleet: PeerFleet) -> dict[str, int]:
    """Return the bytes that each box has sent."""
    return {name: box.gossip.counts.sent_bytes for name, box in fleet.boxes.items()}


def calls(fleet: PeerFleet) -> int:
    """Return the platform calls so far, a watch counted when it begins."""
    return fleet.state.counts.total()


async def measure(count: int) -> Spread:
    """Measure one fleet: idle, under changes, with relays killed, with half the domains cut."""
    domains = max(2, count // BOXES_A_DOMAIN)
    fleet = PeerFleet(count=count, failure_domains=domains)
    await fleet.start(15.0)
    before, calls_before = sent(fleet), calls(fleet)
    await asyncio.sleep(IDLE_S)
    idle = sum(sent(fleet).values()) - sum(before.values())
    idle_calls = (calls(fleet) - calls_before) / IDLE_S
    before = sent(fleet)
    took: list[float] = []
    for number in range(CHANGES):
        version = fleet.put(f'config/endpoints/e-{number % 7}', number)
        took += await delays(fleet, f'config/endpoints/e-{number % 7}', version)
        await asyncio.sleep(max(0.0, CHANGE_EVERY_S - took[-1]))
    span_s = CHANGES * CHANGE_EVERY_S
    changed = {name: total - before[name] for name, total in sent(fleet).items()}
    watches = len(fleet.state.watchers)
    killed_s = await with_relays_killed(fleet)
    cut_s = await with_domains_cut(fleet)
    await fleet.stop()
    return Spread(
        boxes=count,
        domains=domains,
        idle_bytes=idle / count / IDLE_S,
        changing_bytes=sum(changed.values()) / count / span_s,
        busiest_bytes=max(changed.values()) / span_s,
        idle_calls=idle_calls,
        watches=watches,
        median_s=percentile(took, 0.5),
        p99_s=percentile(took, 0.99),
        worst_s=max(took),
        killed_worst_s=killed_s,
        cut_worst_s=cut_s,
    )


async def delays(fleet: PeerFleet, key: str, version: int) -> list[float]:
    """Return each box's time until a version is in force, shortest first."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    waiting = set(fleet.boxes)
    found: list[float] = []
    while waiting and loop.time() - started < 30.0:
        done = {name for name in waiting if fleet.boxes[name].view.version(key) >= version}
        found += [loop.time() - started] * len(done)
        waiting -= done
        await asyncio.sleep(0.01)
    return found + [30.0] * len(waiting)


async def with_relays_killed(fleet: PeerFleet) -> float:
    """Kill every relay at the moment of a change and return the worst delay."""
    for name in fleet.relays():
        await fleet.boxes.pop(name).kill()
    version = fleet.put('config/endpoints/killed', 1)
    return max(await delays(fleet, 'config/endpoints/killed', version))


async def with_domains_cut(fleet: PeerFleet) -> float:
    """Cut half of the domains from the platform and return the worst delay of a change."""
    await asyncio.sleep(10)
    domain = {record.name: record.failure_domain for record in fleet.records}
    names = sorted(set(domain.values()))
    cut = set(names[: len(names) // 2])
    for name, box in fleet.boxes.items():
        box.store.cut = domain[name] in cut
    version = fleet.put('config/endpoints/cut', 1)
    return max(await delays(fleet, 'config/endpoints/cut', version))


def measure_fleet(count: int) -> Spread:
    """Measure a fleet on virtual time."""
    return run_virtual(measure(count))
