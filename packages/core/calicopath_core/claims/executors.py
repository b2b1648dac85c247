"""Execute operations on claims, on this box or through the box that owns the shard."""

from __future__ import annotations

import asyncio
import hashlib
from abc import ABC, abstractmethod
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.claims.groups import GroupWriter
from calicopath_core.claims.operations import ClaimOp, CloseOp, Op, OpResult, ReleaseOp
from calicopath_core.structure.keys import CLAIM_PREFIX

if TYPE_CHECKING:
    from calicopath_core.claims.keys import ClaimKey
    from calicopath_core.clock import Clock
    from calicopath_core.store.base import ObjectStore

MAX_WRITERS = 128
FLUSH_POLL_S = 0.02
DEFAULT_SHARDS = 16
DEFAULT_RETENTION_S = 24 * 3600.0
DEFAULT_MAX_BYTES = 256 * 1024
DEFAULT_SLOT_S = 60
DEFAULT_WRITE_INTERVAL_S = 0.05


class GroupingConfig(NamedTuple):
    """Configure how claims are grouped; all boxes need equal values, except the write interval.

    Keys created in the same slot of `slot_s` seconds share a group, so old groups are not written
    again, until they are closed after `retention_s`. A group is written at most once per
    `write_interval_s`, and is pruned to `max_bytes`.
    """

    shards: int = DEFAULT_SHARDS
    slot_s: int = DEFAULT_SLOT_S
    retention_s: float = DEFAULT_RETENTION_S
    write_interval_s: float = DEFAULT_WRITE_INTERVAL_S
    max_bytes: int = DEFAULT_MAX_BYTES

    @property
    def slot_ms(self) -> int:
        """Return the length of a slot in milliseconds."""
        return self.slot_s * 1000

    @property
    def retention_slots(self) -> int:
        """Return the number of slots after which a group is closed."""
        return max(1, int(self.retention_s) // self.slot_s)


class GroupId(NamedTuple):
    """Identify a group by its shard and its time slot, counted from 1970.

    The shard decides which box owns the group and batches its operations.
    """

    shard: int
    slot: int

    @property
    def key(self) -> str:
        """Return the store key of the group."""
        return f'{CLAIM_PREFIX}{self.shard:04d}/{self.slot}'


class ClaimExecutor(ABC):
    """Execute operations on groups of claims."""

    @abstractmethod
    async def execute(self, group: GroupId, op: Op, *, persistent: bool = False) -> OpResult:
        """Execute an operation and return its result; raise `StoreUnavailable` if that fails.

        A `persistent` operation is executed even if the caller is cancelled.
        """


class LocalExecutor(ClaimExecutor):
    """Write groups to the store from this box."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Clock,
        grouping: GroupingConfig = GroupingConfig(),  # noqa: B008 - a tuple of constants
    ) -> None:
        self.store = store
        self.clock = clock
        self.grouping = grouping
        self.writers: OrderedDict[GroupId, GroupWriter] = OrderedDict()

    def group(self, key: ClaimKey) -> GroupId:
        """Return the group that holds the claim of a key."""
        digest = hashlib.blake2b(str(key).encode(), digest_size=8).digest()
        return GroupId(
            int.from_bytes(digest, 'big') % self.grouping.shards,
            key.time_ms // self.grouping.slot_ms,
        )

    def writer(self, group: GroupId) -> GroupWriter:
        """Return the writer of a group; drop the least recently used idle ones beyond the limit."""
        found = self.writers.get(group)
        if found is None:
            found = self.new_writer(group)
            self.writers[group] = found
            self.close_expired(group)
        self.writers.move_to_end(group)
        for name in list(self.writers)[: max(0, len(self.writers) - MAX_WRITERS)]:
            if self.writers[name].is_idle:
                del self.writers[name]
        return found

    def new_writer(self, group: GroupId) -> GroupWriter:
        """Return a writer that has not read its group yet."""
        return GroupWriter(
            key=group.key,
            store=self.store,
            clock=self.clock,
            max_bytes=self.grouping.max_bytes,
            write_interval_s=self.grouping.write_interval_s,
        )

    def close_expired(self, group: GroupId) -> None:
        """Close the group that leaves the retention time when `group` is first used.

        The slot comes from the callers' keys, so a box with a wrong clock closes no current group.
        """
        expired = GroupId(group.shard, group.slot - self.grouping.retention_slots)
        if expired not in self.writers:
            self.writers[expired] = self.new_writer(expired)
        end_ms = (expired.slot + 1) * self.grouping.slot_ms - 1
        self.writers[expired].submit(CloseOp(end_ms), persistent=True)

    async def flush(self, timeout_s: float) -> bool:
        """Wait until all operations are executed; return whether that took at most `timeout_s`."""
        deadline = self.clock.monotonic() + timeout_s
        while not all(writer.is_idle for writer in self.writers.values()):
            if self.clock.monotonic() >= deadline:
                return False
            await asyncio.sleep(FLUSH_POLL_S)
        return True

    async def execute(self, group: GroupId, op: Op, *, persistent: bool = False) -> OpResult:
        """Execute an operation through the writer of its group on this box."""
        return await self.writer(group).submit(op, persistent=persistent)


class ShardOwners(ABC):
    """Find the owners of shards and forward operations to them."""

    @abstractmethod
    def owner_address(self, shard: int) -> str | None:
        """Return the address of the owner of a shard, or `None` if it is this box."""

    @abstractmethod
    async def forward(self, address: str, group: GroupId, op: Op) -> OpResult:
        """Have another box execute an operation; raise `StoreUnavailable` if that fails."""


class ForwardingExecutor(ClaimExecutor):
    """Forward operations to the owner of the shard, so that one update carries many boxes' claims.

    Ownership is only a hint: writes of two owners conflict in the store, and if an owner does not
    reply in time, this box writes itself. Executing an operation twice gives the same result, since
    it carries a nonce.
    """

    OWNER_TIMEOUT_S = 0.3

    def __init__(self, *, local: LocalExecutor, shard_owners: ShardOwners) -> None:
        self.local = local
        self.shard_owners = shard_owners
        self.owner_timeouts = 0

    async def execute(self, group: GroupId, op: Op, *, persistent: bool = False) -> OpResult:
        """Forward an operation to the owner; execute it on this box if the owner does not reply."""
        address = self.shard_owners.owner_address(group.shard)
        if address is None:
            return await self.local.execute(group, op, persistent=persistent)
        try:
            async with asyncio.timeout(self.OWNER_TIMEOUT_S):
                return await self.shard_owners.forward(address, group, op)
        except TimeoutError:
            self.owner_timeouts += 1
        except asyncio.CancelledError:
            self.clean_up_cancelled(group, op, persistent=persistent)
            raise
        return await self.local.execute(group, op, persistent=persistent)

    def clean_up_cancelled(self, group: GroupId, op: Op, *, persistent: bool) -> None:
        """Release a claim whose caller was cancelled, or execute a persistent operation here."""
        if isinstance(op, ClaimOp):
            self.local.writer(group).submit(ReleaseOp(op.key, op.nonce), persistent=True)
        elif persistent:
            self.local.writer(group).submit(op, persistent=True)
