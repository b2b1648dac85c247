"""Define the scenarios of the bench: arrival rates and injected faults."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, NamedTuple

from bench.deployments import Workload
from calicopath_core.structure.endpoints import EndpointState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bench.simulation import SimulatedBox, World

DURATION_S = 20.0
STEADY_SHARE = 0.6
"""Arrival rate, as a share of the capacity, in scenarios that do not vary the load."""

LOOKUPS = Workload('lookups', 'lookup', 5, 1.0)
BALANCER_LAG_S = 1.0
RESTART_S = 2.0


class Scenario(NamedTuple):
    """Hold one scenario.

    `capacity_share` returns the arrival rate as a share of the capacity, by seconds since the
    start. `burst_workload` arrives in a burst besides the deployment's own workloads.
    """

    name: str
    capacity_share: Callable[[float], float]
    inject_faults: Callable[[World], Awaitable[None]] | None = None
    burst_workload: Workload | None = None
    has_greedy_workspace: bool = False
    caller_retries: int = 0


def steady(at_s: float) -> float:
    """Return the usual share at every time."""
    return STEADY_SHARE


def burst(at_s: float) -> float:
    """Return the usual share, or 2.5 times the capacity between 6 s and 10 s."""
    return 2.5 if 6.0 <= at_s < 10.0 else STEADY_SHARE


async def slow_replica(world: World) -> None:
    """Make one drafting replica five times slower."""
    world.fleet['drafting-0'].speed = 0.2


async def dead_replica(world: World) -> None:
    """Make one drafting replica refuse every connection from 5 s on."""
    await asyncio.sleep(5)
    world.fleet['drafting-0'].down = True


async def failure_domain_outage(world: World) -> None:
    """Make the endpoints of one failure domain refuse every connection from 5 s to 15 s."""
    endpoints = [
        item
        for item in world.fleet.endpoints.values()
        if item.endpoint.failure_domain == 'domain-1'
    ]
    await asyncio.sleep(5)
    for item in endpoints:
        item.down = True
    await asyncio.sleep(10)
    for item in endpoints:
        item.down = False


async def late_reports(world: World) -> None:
    """Delay load reports by three seconds, and drop every other one."""
    for box in world.boxes:
        box.reported_loads.lag_s = 3.0
        box.reported_loads.drops_every_other = True


async def outage_during_drain(world: World) -> None:
    """Drain a replica, take the platform down, and stop the replica meanwhile."""
    await asyncio.sleep(5)
    key = 'config/endpoints/drafting-0'
    stored = world.state.objects[key]
    spec = {**stored.value['spec'], 'state': EndpointState.DRAINING.value}
    world.state.write(key, {'spec': spec, 'change': {}}, stored.version)
    await asyncio.sleep(0.5)
    world.state.down = True
    world.state.end_watches()
    await asyncio.sleep(2.0)
    world.fleet['drafting-0'].down = True
    await asyncio.sleep(5)
    world.state.down = False


async def rolling_restart(world: World) -> None:
    """Restart every box in turn; the load balancer reacts `BALANCER_LAG_S` late."""
    await asyncio.sleep(2)
    for box in world.boxes:
        await restart(world, box)


async def restart(world: World, box: SimulatedBox) -> None:
    """Restart one box: ours drains as the daemon does, the naive one aborts its requests."""
    if world.variant.is_naive:
        box.is_accepting = False
        for task in list(box.tasks):
            task.cancel()
        await asyncio.sleep(BALANCER_LAG_S)
        world.balanced_boxes.remove(box)
    else:
        await asyncio.sleep(BALANCER_LAG_S)
        world.balanced_boxes.remove(box)
        while box.tasks:
            await asyncio.wait(set(box.tasks))
        box.is_accepting = False
    await asyncio.sleep(RESTART_S - BALANCER_LAG_S)
    box.is_accepting = True
    world.balanced_boxes.append(box)


SCENARIOS = (
    Scenario('steady', steady),
    Scenario('burst-generation', burst),
    Scenario('burst-encoding', steady, burst_workload=LOOKUPS),
    Scenario('overload', lambda at_s: 2.0),
    Scenario('slow-replica', steady, slow_replica),
    Scenario('dead-replica', steady, dead_replica),
    Scenario('domain-gone', steady, failure_domain_outage),
    Scenario('late-reports', lambda at_s: 0.8, late_reports),
    Scenario('greedy-workspace', lambda at_s: 1.4, has_greedy_workspace=True),
    Scenario('retry-storm', lambda at_s: 1.3, caller_retries=4),
    Scenario('outage-in-drain', steady, outage_during_drain),
    Scenario('rolling-restart', steady, rolling_restart),
)


async def run_scenario(world: World, scenario: Scenario) -> None:
    """Run a world under a scenario's arrivals and faults for `DURATION_S`."""
    world.caller_retries = scenario.caller_retries
    await world.start()
    loop = asyncio.get_running_loop()
    fault_task = None
    if scenario.inject_faults is not None:
        fault_task = loop.create_task(run_faults(scenario.inject_faults, world))
    arrivals = [loop.create_task(generate_requests(world, scenario))]
    if scenario.burst_workload is not None:
        arrivals.append(loop.create_task(generate_burst(world, scenario.burst_workload)))
    await asyncio.gather(*arrivals)
    await world.stop()
    if fault_task is not None:
        fault_task.cancel()
        await asyncio.gather(fault_task, return_exceptions=True)


async def run_faults(inject_faults: Callable[[World], Awaitable[None]], world: World) -> None:
    """Await a fault injector in a coroutine, as `create_task` requires one."""
    await inject_faults(world)


async def generate_requests(world: World, scenario: Scenario) -> None:
    """Start requests at random times, as an open loop that does not wait for answers."""
    rng = random.Random(world.rng.random())
    loop = asyncio.get_running_loop()
    started = loop.time()
    workloads = world.deployment.workloads
    weights = [item.share for item in workloads]
    if scenario.has_greedy_workspace:
        # The workspace with the most requests sends four times as many.
        largest = max(range(len(workloads)), key=lambda index: weights[index])
        weights[largest] *= 4
    while (at_s := loop.time() - started) < DURATION_S:
        rate = scenario.capacity_share(at_s) * world.deployment.capacity_per_s
        await asyncio.sleep(rng.expovariate(rate))
        world.start_request(rng.choices(workloads, weights)[0])


async def generate_burst(world: World, workload: Workload) -> None:
    """Start requests of one workload at 1.5 times the encoders' capacity, from 6 s to 10 s."""
    rng = random.Random(world.rng.random())
    loop = asyncio.get_running_loop()
    pool = world.deployment.pools['encoders']
    rate = 1.5 * pool.replicas * pool.concurrency / pool.timing.service_s
    await asyncio.sleep(6)
    ends_at = loop.time() + 4
    while loop.time() < ends_at:
        await asyncio.sleep(rng.expovariate(rate))
        world.start_request(workload)
