"""Measure the load of idempotency claims on the platform's store, by grouping and write path."""

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

DURATION_S = 5.0
CLAIM_TIMEOUT_S = 1.0
STORE_LATENCY_S = 0.004
NETWORK_DELAY_S = 0.001


class ClaimFigures(NamedTuple):
    """Hold the figures of one run.

    Rates and `kb_a_shard` are per second, `cpu_us` is per claim, `refused` is a total.
    """

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


async def simulate_claims(
    boxes: int, rate_per_s: float, grouping: GroupingConfig, forwarding: bool
) -> ClaimFigures:
    """Claim keys and record their results at a total rate, in turn over the boxes."""
    state = StoreState()
    registries = new_registries(state, boxes, grouping, forwarding=forwarding)
    loop = asyncio.get_running_loop()
    latencies_s: list[float] = []
    refused = 0

    async def claim(number: int) -> None:
        nonlocal refused
        registry = registries[number % boxes]
        key = parse_key(
            'w', 'p', uuid7(WALL_START_S + number / rate_per_s, number), WALL_START_S + DURATION_S
        )
        started = loop.time()
        try:
            granted = await registry.claim(key, 'body', CLAIM_TIMEOUT_S)
            latencies_s.append(loop.time() - started)
            assert isinstance(granted, Granted)
            await registry.record(granted, {'output': 'x' * 200}, CLAIM_TIMEOUT_S)
        except StoreUnavailable:
            refused += 1

    count = int(rate_per_s * DURATION_S)
    cpu_s = time.process_time()
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(claim(number))
            await asyncio.sleep(1 / rate_per_s)
    cpu_s = time.process_time() - cpu_s
    writers = [writer for item in registries for writer in item.local.writers.values()]
    conflicts = sum(writer.conflicts for writer in writers)
    latencies_s.sort()
    return ClaimFigures(
        boxes,
        grouping.shards,
        grouping.slot_s,
        'owner' if forwarding else 'every box',
        rate_per_s,
        state.counts['write'] / DURATION_S,
        state.counts['read'] / DURATION_S,
        conflicts / DURATION_S,
        refused,
        sum(writer.total_written_bytes for writer in writers) / DURATION_S / grouping.shards / 1000,
        1000 * latencies_s[int(0.99 * (len(latencies_s) - 1))] if latencies_s else 0.0,
        1e6 * cpu_s / count,
    )


class SingleShardOwner(ShardOwners):
    """Forward every operation to one box that owns all shards, after a network delay."""

    def __init__(self, *, owner: LocalExecutor) -> None:
        self.owner_executor = owner

    def owner_address(self, shard: int) -> str | None:
        """Return the same address for every shard."""
        return 'owner'

    async def forward(self, address: str, group: GroupId, op: Op) -> OpResult:
        """Execute an operation at the owner, with a network delay in each direction."""
        await asyncio.sleep(NETWORK_DELAY_S)
        result = await self.owner_executor.execute(group, op)
        await asyncio.sleep(NETWORK_DELAY_S)
        return result


def new_registries(
    state: StoreState, boxes: int, grouping: GroupingConfig, *, forwarding: bool
) -> list[ClaimRegistry]:
    """Return a registry per box; with `forwarding`, all write through the first box."""
    registries: list[ClaimRegistry] = []
    for box in range(boxes):
        numbers = itertools.count()
        local = LocalExecutor(
            store=FakeStore(state=state, latency_s=STORE_LATENCY_S),
            clock=VirtualClock(),
            grouping=grouping,
        )
        executor: ClaimExecutor = local
        if forwarding and registries:
            executor = ForwardingExecutor(
                local=local, shard_owners=SingleShardOwner(owner=registries[0].local)
            )
        registries.append(
            ClaimRegistry(
                local=local,
                executor=executor,
                new_nonce=lambda box=box, numbers=numbers: f'{box}-{next(numbers)}',  # type: ignore[misc]
            )
        )
    return registries


def measure_claims(
    boxes: int, rate_per_s: float, grouping: GroupingConfig, forwarding: bool
) -> ClaimFigures:
    """Run `simulate_claims` on virtual time."""
    return run_virtual(simulate_claims(boxes, rate_per_s, grouping, forwarding))
