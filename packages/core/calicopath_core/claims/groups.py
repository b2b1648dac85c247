"""Execute operations on one group of claims, many in one conditional update."""

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
    ABSENT_VERSION,
    StoreUnavailable,
    VersionConflict,
    WriteUnknown,
)

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopath_core.store.base import ObjectStore

RETRY_DELAY_S = 0.05
MAX_WAITING_OPS = 10_000
"""Operations that may wait for one group; further ones are refused."""


class WaitingOp:
    """Hold an operation until it is executed.

    A persistent operation is executed even if its caller no longer waits.
    """

    def __init__(self, *, op: Op, future: asyncio.Future[OpResult], persistent: bool) -> None:
        self.op = op
        self.future = future
        self.persistent = persistent
        self.sent = False

    @property
    def is_needed(self) -> bool:
        """Return whether the operation must still be executed.

        A claim that may have taken effect is needed until its result is known, so that it can be
        released.
        """
        if self.persistent or not self.future.done():
            return True
        return self.sent and isinstance(self.op, ClaimOp)


def retrieve_exception(future: asyncio.Future[OpResult]) -> None:
    """Retrieve the error of an abandoned future, so that the event loop does not report it."""
    if not future.cancelled():
        future.exception()


class GroupWriter:
    """Write one group, which is a single object in the store."""

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
        self.last_seen_version = ABSENT_VERSION
        self.needs_rewrite = False
        self.value = GroupValue(threshold_ms=0, claims={})
        self.task: asyncio.Task[None] | None = None
        self.next_write_at = 0.0
        self.conflicts = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no operation is waiting or being executed."""
        return not self.waiting and (self.task is None or self.task.done())

    def submit(self, op: Op, *, persistent: bool = False) -> asyncio.Future[OpResult]:
        """Queue an operation; raise `StoreUnavailable` if too many are waiting."""
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
        """Execute operations in batches until none is waiting."""
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
                # The write may have taken effect; a retry on a fresh value finds out.
                self.retry(batch)
                await asyncio.sleep(RETRY_DELAY_S)
            except StoreUnavailable as error:
                self.fail_batch(batch, error)
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                self.complete_batch(batch, results)

    def retry(self, batch: list[WaitingOp]) -> None:
        """Put operations back at the front of the queue, to be retried on a fresh value."""
        self.version = None
        self.waiting.extendleft(reversed(batch))

    def fail_batch(self, batch: list[WaitingOp], error: StoreUnavailable) -> None:
        """Report a store error to waiting callers; retry the operations that are still needed."""
        for item in batch:
            if not item.future.done() and not item.sent:
                item.future.set_exception(error)
        self.retry([item for item in batch if item.is_needed])

    async def write(self, batch: list[WaitingOp]) -> list[OpResult]:
        """Apply operations to the last known value, and write the result if it changed."""
        is_fresh = self.version is None
        if is_fresh:
            await self.read()
        value, results = self.evaluate(batch)
        if value == self.value and not is_fresh:
            # Another box may have answered or released the claims since the last read.
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
        # A conflicting write raises before this line, so it does not delay the next write.
        self.next_write_at = write_started_at + self.write_interval_s
        self.value = value
        self.version = self.last_seen_version = stored.version
        self.needs_rewrite = False
        return results

    def evaluate(self, batch: list[WaitingOp]) -> tuple[GroupValue, list[OpResult]]:
        """Return the value of the group after the operations, and the results of the operations."""
        value = GroupValue(
            threshold_ms=self.value['threshold_ms'], claims=dict(self.value['claims'])
        )
        return value, [item.op.apply(value) for item in batch]

    async def read(self) -> None:
        """Read the group; if the store was restored from an older copy, merge in what it lost."""
        stored = await self.store.get(self.key)
        value = GroupValue(threshold_ms=0, claims={})
        self.version = ABSENT_VERSION
        if stored is not None:
            value = msgspec.convert(stored.value, GroupValue)
            self.version = stored.version
        if self.was_restored(self.version):
            value = merge_groups(value, self.value)
            self.needs_rewrite = True
        self.value = value
        self.last_seen_version = self.version

    def was_restored(self, version: int) -> bool:
        """Return whether the store was restored from an older copy since the last access."""
        if self.last_seen_version == ABSENT_VERSION:
            return False
        is_other_era = versions.split(version).era != versions.split(self.last_seen_version).era
        return is_other_era or version < self.last_seen_version

    def complete_batch(self, batch: list[WaitingOp], results: list[OpResult]) -> None:
        """Pass results to the callers; release claims granted to callers that no longer wait."""
        for item, result in zip(batch, results, strict=True):
            if not item.future.done():
                item.future.set_result(result)
            elif isinstance(item.op, ClaimOp) and result.granted:
                self.submit(ReleaseOp(item.op.key, item.op.nonce), persistent=True)

    def prune(self, value: GroupValue) -> int:
        """Drop the oldest claims until the group fits `max_bytes`; return its size in bytes."""
        while (size := len(msgspec.json.encode(value))) > self.max_bytes:
            times = sorted(item['time_ms'] for item in value['claims'].values())
            raise_threshold(value, times[len(times) // 4])
        return size
