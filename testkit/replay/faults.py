"""Apply faults to the replicas of a replay: slow, lost, or in an evacuated failure domain."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from testkit.replay.load import Fault
    from testkit.replay.world import World

COLD_S = 3.0
COLD_REPORT_DELAY_S = 1.8
"""Duration of an engine's cold state, and the delay until the scheduler knows of it: up to one
heartbeat interval of 1.2 s plus the time through the store and the relays."""


async def evacuate_failure_domain(world: World, fault: Fault) -> None:
    """Evacuate the first failure domain; its engines return cold, reported with a delay."""
    failure_domain = world.fleet.failure_domain_names[0]
    world.table.set_evacuated(frozenset({failure_domain}))
    await asyncio.sleep(fault.for_s)
    world.cold_engines = {
        name for name in world.engines if world.failure_domains[name] == failure_domain
    }
    world.table.set_evacuated(frozenset())
    await asyncio.sleep(COLD_REPORT_DELAY_S)
    report_cold(world, True)
    await asyncio.sleep(COLD_S - COLD_REPORT_DELAY_S)
    report_cold(world, False)
    world.cold_engines = set()


def report_cold(world: World, cold: bool) -> None:
    """Set the cold flag in the entries of the cold engines."""
    with world.table.batch():
        for name in world.cold_engines:
            world.table.put(world.table.replicas[name]._replace(cold=cold))


async def disturb_replicas(world: World, fault: Fault) -> None:
    """Slow down or kill a share of a service's replicas for `for_s` seconds."""
    listed = [item for item in world.fleet.replicas() if item.service == fault.service]
    affected = world.rng.sample(listed, round(len(listed) * fault.share))
    for replica in affected:
        if fault.kind == 'slow':
            world.stages.state_of(replica.id).slowdown = 4.0
        else:
            world.stages.kill(replica.id)
    if fault.kind == 'lost':
        await asyncio.sleep(1.0)
        for replica in affected:
            world.table.remove(replica.id, world.clock.monotonic())
    await asyncio.sleep(fault.for_s)
    for replica in affected:
        state = world.stages.state_of(replica.id)
        state.slowdown, state.is_dead = 1.0, False
        world.table.put(replica)
