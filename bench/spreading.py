"""Measure delay and cost of spreading changes among many boxes in one process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from testkit.fleet import PeerFleet
from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Sequence

IDLE_S = 10.0
CHANGE_COUNT = 30
CHANGE_INTERVAL_S = 1.0
BOXES_PER_DOMAIN = 16


class SpreadFigures(NamedTuple):
    """Hold the figures of one fleet.

    Bytes are per second and box, on average or at the busiest box; calls per second in total.
    """

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


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return a percentile of at least one value."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def sent_bytes(fleet: PeerFleet) -> dict[str, int]:
    """Return the bytes that each box has sent so far."""
    return {name: box.gossip.counts.sent_bytes for name, box in fleet.boxes.items()}


def platform_calls(fleet: PeerFleet) -> int:
    """Return the platform calls so far; a watch counts when it starts."""
    return fleet.state.counts.total()


async def simulate_fleet(count: int) -> SpreadFigures:
    """Measure a fleet when idle, under changes, and with relays or failure domains lost."""
    domains = max(2, count // BOXES_PER_DOMAIN)
    fleet = PeerFleet(count=count, failure_domains=domains)
    await fleet.start(15.0)
    before, calls_before = sent_bytes(fleet), platform_calls(fleet)
    await asyncio.sleep(IDLE_S)
    idle = sum(sent_bytes(fleet).values()) - sum(before.values())
    idle_calls = (platform_calls(fleet) - calls_before) / IDLE_S
    before = sent_bytes(fleet)
    delays_s: list[float] = []
    for number in range(CHANGE_COUNT):
        version = fleet.put(f'config/endpoints/e-{number % 7}', number)
        delays_s += await measure_delays(fleet, f'config/endpoints/e-{number % 7}', version)
        await asyncio.sleep(max(0.0, CHANGE_INTERVAL_S - delays_s[-1]))
    span_s = CHANGE_COUNT * CHANGE_INTERVAL_S
    changed = {name: total - before[name] for name, total in sent_bytes(fleet).items()}
    watches = len(fleet.state.watchers)
    killed_s = await delay_with_relays_killed(fleet)
    cut_s = await delay_with_domains_cut(fleet)
    await fleet.stop()
    return SpreadFigures(
        boxes=count,
        domains=domains,
        idle_bytes=idle / count / IDLE_S,
        changing_bytes=sum(changed.values()) / count / span_s,
        busiest_bytes=max(changed.values()) / span_s,
        idle_calls=idle_calls,
        watches=watches,
        median_s=percentile(delays_s, 0.5),
        p99_s=percentile(delays_s, 0.99),
        worst_s=max(delays_s),
        killed_worst_s=killed_s,
        cut_worst_s=cut_s,
    )


async def measure_delays(fleet: PeerFleet, key: str, version: int) -> list[float]:
    """Return the seconds until each box has a version, shortest first, 30 at most."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    waiting = set(fleet.boxes)
    delays_s: list[float] = []
    while waiting and loop.time() - started < 30.0:
        done = {name for name in waiting if fleet.boxes[name].view.version(key) >= version}
        delays_s += [loop.time() - started] * len(done)
        waiting -= done
        await asyncio.sleep(0.01)
    return delays_s + [30.0] * len(waiting)


async def delay_with_relays_killed(fleet: PeerFleet) -> float:
    """Kill all relays right before a change and return the longest delay."""
    for name in fleet.relays():
        await fleet.boxes.pop(name).kill()
    version = fleet.put('config/endpoints/killed', 1)
    return max(await measure_delays(fleet, 'config/endpoints/killed', version))


async def delay_with_domains_cut(fleet: PeerFleet) -> float:
    """Cut half of the failure domains off the platform and return a change's longest delay."""
    await asyncio.sleep(10)
    domain_by_box = {record.name: record.failure_domain for record in fleet.records}
    names = sorted(set(domain_by_box.values()))
    cut_domains = set(names[: len(names) // 2])
    for name, box in fleet.boxes.items():
        box.store.cut = domain_by_box[name] in cut_domains
    version = fleet.put('config/endpoints/cut', 1)
    return max(await measure_delays(fleet, 'config/endpoints/cut', version))


def measure_fleet(count: int) -> SpreadFigures:
    """Run `simulate_fleet` on virtual time."""
    return run_virtual(simulate_fleet(count))
