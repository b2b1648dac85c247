"""Let things happen to the replicas of a replay: slow, lost, or in an evacuated failure domain."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from testkit.replay.load import Blow
    from testkit.replay.world import World

COLD_S = 3.0
COLD_TOLD_S = 1.8
"""How long an engine is cold, and how late that is heard: by the next beat, 1.2 s apart, and what
the store and the relays take."""


async def take_failure_domain_out(world: World, blow: Blow) -> None:
    """Take the first failure domain out for a while; that its engines are cold is told late."""
    failure_domain = world.fleet.failure_domain_names[0]
    world.table.set_evacuated(frozenset({failure_domain}))
    await asyncio.sleep(blow.for_s)
    world.cold = {name for name in world.engines if world.failure_domains[name] == failure_domain}
    world.table.set_evacuated(frozenset())
    await asyncio.sleep(COLD_TOLD_S)
    tell_cold(world, True)
    await asyncio.sleep(COLD_S - COLD_TOLD_S)
    tell_cold(world, False)
    world.cold = set()


def tell_cold(world: World, cold: bool) -> None:
    """Have the engines that are cold say so, or that they are no more."""
    with world.table.batch():
        for name in world.cold:
            world.table.put(world.table.replicas[name]._replace(cold=cold))


async def strike_replicas(world: World, blow: Blow) -> None:
    """Slow or lose a share of a service's replicas for a while."""
    listed = [item for item in world.fleet.replicas() if item.service == blow.service]
    struck = world.rng.sample(listed, round(len(listed) * blow.share))
    for replica in struck:
        if blow.what == 'slow':
            world.stages.maker(replica.id).slow = 4.0
        else:
            world.stages.kill(replica.id)
    if blow.what == 'lost':
        await asyncio.sleep(1.0)
        for replica in struck:
            world.table.remove(replica.id, world.clock.monotonic())
    await asyncio.sleep(blow.for_s)
    for replica in struck:
        maker = world.stages.maker(replica.id)
        maker.slow, maker.dead = 1.0, False
        world.table.put(replica)
