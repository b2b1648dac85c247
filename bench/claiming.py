"""Measure what claims cost the platform, grouped into shards and one by one."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.claims.executors import (
    ClaimExecutor,
    ForwardingExecutor,
    GroupId,
    GroupingConfig,
    LocalExecutor,
    ShardOwners,
)
from calicopath_core.claims.keys import parse_key
from calicopath_core.claims.registry import ClaimRegistry, Granted
from calicopath_core.store.base import StoreUnavailable
from testkit.fake_store import FakeStore, StoreState
from testkit.virtual import WALL_START_S, VirtualClock, run_virtual
from testkit.world import uuid7

if TYPE_CHECKING:
    from calicopath_core.claims.operations import Op, OpResult

SECONDS = 5.0
TIMEOUT_S = 1.0
STORE_LATENCY_S = 0.004
NETWORK_S = 0.001


class Claiming(NamedTuple):
    """Hold one run: rates a second, delay in milliseconds, processor time in microseconds."""

    boxes: int
    shards: int
    slot_s: int
    written_by: str
    claims: float
    writes: float
    reads: float
    conflicts: float
    refused: int
    kb_a_shard: float
    p99_ms: float
    cpu_us: float


async def measure(boxes: int, rate: float, plan: GroupingConfig, forwarding: bool) -> Claiming:
    """Claim and record at a total rate, spread over boxes."""
    state = StoreState()
    registries = new_registries(state, boxes, plan, forwarding=forwarding)
    loop = asyncio.get_running_loop()
    waits: list[float] = []
    refused = 0

    async def claim(number: int) -> None:
        nonlocal refused
        registry = registries[number % boxes]
        key = parse_key(
            'w', 'p', uuid7(WALL_START_S + number / rate, number), WALL_START_S + SECONDS
        )
        started = loop.time()
        try:
            granted = await registry.claim(key, 'body', TIMEOUT_S)
            waits.append(loop.time() - started)
            assert isinstance(granted, Granted)
            await registry.record(granted, {'output': 'x' * 200}, TIMEOUT_S)
        except StoreUnavailable:
            refused += 1

    count = int(rate * SECONDS)
    cpu = time.process_time()
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(claim(number))
            await asyncio.sleep(1 / rate)
    cpu = time.process_time() - cpu
    writers = [writer for item in registries for writer in item.local.writers.values()]
    conflicts = sum(writer.conflicts for writer in writers)
    waits.sort()
    return Claiming(
        boxes,
        plan.shards,
        plan.slot_s,
        'owner' if forwarding else 'every box',
        rate,
        state.counts['write'] / SECONDS,
        state.counts['read'] / SECONDS,
        conflicts / SECONDS,
        refused,
        sum(writer.total_written_bytes for writer in writers) / SECONDS / plan.shards / 1000,
        1000 * waits[int(0.99 * (len(waits) - 1))] if waits else 0.0,
        1e6 * cpu / count,
    )


class OnePeer(ShardOwners):
    """Let the first box own every shard, a network's latency away."""

    def __init__(self, *, owner: LocalExecutor) -> None:
        self.owner_executor = owner

    def owner_address(self, shard: int) -> str | None:
        """Name the owner."""
        return 'owner'

    async def forward(self, address: str, group: GroupId, op: Op) -> OpResult:
        """Carry an operation out over there."""
        await asyncio.sleep(NETWORK_S)
        result = await self.owner_executor.execute(group, op)
        await asyncio.sleep(NETWORK_S)
        return result


def new_registries(
    state: StoreState, boxes: int, plan: GroupingConfig, *, forwarding: bool
) -> list[ClaimRegistry]:
    """Return the boxes' registries, writing by themselves or through one owner."""
    found: list[ClaimRegistry] = []
    for box in range(boxes):
        numbers = itertools.count()
        local = LocalExecutor(
            store=FakeStore(state=state, latency_s=STORE_LATENCY_S),
            clock=VirtualClock(),
            grouping=plan,
        )
        executor: ClaimExecutor = local
        if forwarding and found:
            executor = ForwardingExecutor(local=local, shard_owners=OnePeer(owner=found[0].local))
        found.append(
            ClaimRegistry(
                local=local,
                executor=executor,
                new_nonce=lambda box=box, numbers=numbers: f'{box}-{next(numbers)}',  # type: ignore[misc]
            )
        )
    return found


def measure_claims(boxes: int, rate: float, plan: GroupingConfig, forwarding: bool) -> Claiming:
    """Measure on virtual time."""
    return run_virtual(measure(boxes, rate, plan, forwarding))
