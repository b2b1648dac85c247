"""Carry out operations on one group of claims, many in one conditional update."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.claims.operations import (
    ClaimOp,
    GroupValue,
    Op,
    OpResult,
    ReleaseOp,
    merge_groups,
    raise_threshold,
)
from calicopath_core.store import versions
from calicopath_core.store.base import (
    ABSENT,
    StoreUnavailable,
    VersionConflict,
    WriteUnknown,
)

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopath_core.store.base import ObjectStore

RETRY_DELAY_S = 0.05
MAX_WAITING_OPS = 10_000
"""Operations that may wait for one group; beyond it claims are refused."""


class WaitingOp:
    """Hold an operation until it is carried out; a persistent one is, whoever still waits."""

    def __init__(self, *, op: Op, future: asyncio.Future[OpResult], persistent: bool) -> None:
        self.op = op
        self.future = future
        self.persistent = persistent
        self.sent = False

    @property
    def is_needed(self) -> bool:
        """Tell whether the operation must still be carried out.

        A claim that may have taken effect is wanted until that is known, to be given back.
        """
        if self.persistent or not self.future.done():
            return True
        return self.sent and isinstance(self.op, ClaimOp)


def retrieve_exception(future: asyncio.Future[OpResult]) -> None:
    """Keep the event loop from reporting an error that nobody waits for."""
    if not future.cancelled():
        future.exception()


class GroupWriter:
    """Write one group, which is one object in the store."""

    def __init__(
        self,
        *,
        key: str,
        store: ObjectStore,
        clock: Clock,
        max_bytes: int,
        write_interval_s: float,
    ) -> None:
        self.key = key
        self.store = store
        self.clock = clock
        self.max_bytes = max_bytes
        self.write_interval_s = write_interval_s
        self.total_written_bytes = 0
        self.waiting: deque[WaitingOp] = deque()
        self.version: int | None = None
        self.last_seen_version = ABSENT
        self.needs_rewrite = False
        self.value = GroupValue(threshold_ms=0, claims={})
        self.task: asyncio.Task[None] | None = None
        self.next_write_at = 0.0
        self.conflicts = 0

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is left to do."""
        return not self.waiting and (self.task is None or self.task.done())

    def submit(self, op: Op, *, persistent: bool = False) -> asyncio.Future[OpResult]:
        """Queue an operation and make sure that it is carried out."""
        if len(self.waiting) >= MAX_WAITING_OPS:
            raise StoreUnavailable('too many claims wait for the object store')
        loop = asyncio.get_running_loop()
        future: asyncio.Future[OpResult] = loop.create_future()
        future.add_done_callback(retrieve_exception)
        self.waiting.append(WaitingOp(op=op, future=future, persistent=persistent))
        if self.task is None or self.task.done():
            self.task = loop.create_task(self.drain())
        return future

    async def drain(self) -> None:
        """Carry out operations until none waits."""
        while self.waiting:
            await asyncio.sleep(max(0.0, self.next_write_at - self.clock.monotonic()))
            batch = [item for item in self.waiting if item.is_needed]
            self.waiting.clear()
            try:
                results = await self.write(batch)
            except VersionConflict:
                self.conflicts += 1
                self.retry(batch)
            except WriteUnknown:
                # It may have taken effect: the same operations on a fresh value will tell.
                self.retry(batch)
                await asyncio.sleep(RETRY_DELAY_S)
            except StoreUnavailable as error:
                self.fail_batch(batch, error)
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                self.complete_batch(batch, results)

    def retry(self, batch: list[WaitingOp]) -> None:
        """Put operations back in front, in their order, to be tried on a fresh value."""
        self.version = None
        self.waiting.extendleft(reversed(batch))

    def fail_batch(self, batch: list[WaitingOp], error: StoreUnavailable) -> None:
        """Tell those who wait; keep what must still be carried out when the store is back."""
        for item in batch:
            if not item.future.done() and not item.sent:
                item.future.set_exception(error)
        self.retry([item for item in batch if item.is_needed])

    async def write(self, batch: list[WaitingOp]) -> list[OpResult]:
        """Apply operations to the newest value known and write it if anything changed."""
        is_fresh = self.version is None
        if is_fresh:
            await self.read()
        value, results = self.evaluate(batch)
        if value == self.value and not is_fresh:
            # What looks taken may have been answered or released by another box since.
            await self.read()
            value, results = self.evaluate(batch)
        if value == self.value and not self.needs_rewrite:
            return results
        self.total_written_bytes += self.prune(value)
        for item in batch:
            item.sent = True
        assert self.version is not None
        write_started_at = self.clock.monotonic()
        stored = await self.store.put(self.key, dict(value), self.version)
        # A write that met a conflict did not happen, and must not make the next one wait.
        self.next_write_at = write_started_at + self.write_interval_s
        self.value = value
        self.version = self.last_seen_version = stored.version
        self.needs_rewrite = False
        return results

    def evaluate(self, batch: list[WaitingOp]) -> tuple[GroupValue, list[OpResult]]:
        """Return the group as the operations leave it, and their results."""
        value = GroupValue(
            threshold_ms=self.value['threshold_ms'], claims=dict(self.value['claims'])
        )
        return value, [item.op.apply(value) for item in batch]

    async def read(self) -> None:
        """Read the group from the store; what it has lost of it is written again."""
        stored = await self.store.get(self.key)
        value = GroupValue(threshold_ms=0, claims={})
        self.version = ABSENT
        if stored is not None:
            value = msgspec.convert(stored.value, GroupValue)
            self.version = stored.version
        if self.was_restored(self.version):
            value = merge_groups(value, self.value)
            self.needs_rewrite = True
        self.value = value
        self.last_seen_version = self.version

    def was_restored(self, version: int) -> bool:
        """Tell whether the store came back from a copy since this box knew the group."""
        if self.last_seen_version == ABSENT:
            return False
        is_other_era = versions.split(version).era != versions.split(self.last_seen_version).era
        return is_other_era or version < self.last_seen_version

    def complete_batch(self, batch: list[WaitingOp], results: list[OpResult]) -> None:
        """Hand out results; a claim granted to somebody who has given up is undone."""
        for item, result in zip(batch, results, strict=True):
            if not item.future.done():
                item.future.set_result(result)
            elif isinstance(item.op, ClaimOp) and result.granted:
                self.submit(ReleaseOp(item.op.key, item.op.nonce), persistent=True)

    def prune(self, value: GroupValue) -> int:
        """Drop the oldest claims of a group that has grown too large; return its size in bytes."""
        while (size := len(msgspec.json.encode(value))) > self.max_bytes:
            times = sorted(item['time_ms'] for item in value['claims'].values())
            raise_threshold(value, times[len(times) // 4])
        return size
