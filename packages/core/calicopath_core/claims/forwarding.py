"""Forward operations on claims to the owners of their shards, by messages between boxes."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.claims.executors import GroupId, LocalExecutor, ShardOwners
from calicopath_core.claims.operations import Op, OpResult, StoredClaim
from calicopath_core.routing.selectors import rendezvous_weight
from calicopath_core.store.base import StoreError, StoreUnavailable

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopath_core.membership.gossip import Gossip

OWNER_REFRESH_S = 1.0


class OpRequest(msgspec.Struct, frozen=True, tag='o'):
    """Ask the owner of a shard to execute an operation."""

    sender: str
    reply_to: str
    number: int
    shard: int
    slot: int
    op: Op


class OpReply(msgspec.Struct, frozen=True, tag='r'):
    """Return the result of an operation; `error` is empty if it was executed."""

    number: int
    granted: bool
    claim: StoredClaim | None
    error: str


class GossipShardOwners(ShardOwners):
    """Choose the owner of each shard by rendezvous hashing over the live boxes."""

    def __init__(self, *, gossip: Gossip, local: LocalExecutor, clock: Clock) -> None:
        self.gossip = gossip
        self.local = local
        self.clock = clock
        self.request_numbers = itertools.count(1)
        self.pending: dict[int, asyncio.Future[OpResult]] = {}
        self.serve_tasks: set[asyncio.Task[None]] = set()
        self.owners: dict[int, str | None] = {}
        self.owners_refreshed_at = -OWNER_REFRESH_S
        gossip.register_handler(OpRequest, self.on_request)
        gossip.register_handler(OpReply, self.on_reply)

    def owner_address(self, shard: int) -> str | None:
        """Return the address of a shard's owner, or `None` if it is this box."""
        now = self.clock.monotonic()
        if now - self.owners_refreshed_at >= OWNER_REFRESH_S:
            self.owners.clear()
            self.owners_refreshed_at = now
        if shard not in self.owners:
            self.owners[shard] = self.choose_owner(shard, now)
        return self.owners[shard]

    def choose_owner(self, shard: int, now: float) -> str | None:
        """Choose the live box with the highest rendezvous weight for a shard."""
        own = self.gossip.members.own
        boxes = [
            member.info
            for member in self.gossip.members.live(now)
            if member.heard_at is not None and not member.info.leaving
        ]
        best = max([own, *boxes], key=lambda info: rendezvous_weight(info.name, str(shard)))
        return None if best is own else best.address

    async def forward(self, address: str, group: GroupId, op: Op) -> OpResult:
        """Send an operation and wait for its result; raise `StoreUnavailable` on an error reply."""
        number = next(self.request_numbers)
        future: asyncio.Future[OpResult] = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        own = self.gossip.members.own
        request = OpRequest(own.name, own.address, number, group.shard, group.slot, op)
        try:
            self.gossip.send(address, request)
            return await future
        finally:
            del self.pending[number]

    def on_request(self, message: OpRequest) -> None:
        """Start a task that executes another box's operation."""
        task = asyncio.get_running_loop().create_task(self.serve(message))
        self.serve_tasks.add(task)
        task.add_done_callback(self.serve_tasks.discard)

    async def serve(self, message: OpRequest) -> None:
        """Execute an operation in a batch with other waiting ones, and reply."""
        group = GroupId(message.shard, message.slot)
        try:
            result = await self.local.execute(group, message.op)
        except StoreError as error:
            reply = OpReply(message.number, False, None, str(error))
        else:
            reply = OpReply(message.number, result.granted, result.claim, '')
        self.gossip.send(message.reply_to, reply)

    def on_reply(self, message: OpReply) -> None:
        """Pass a reply to the waiting caller; ignore a late one."""
        future = self.pending.get(message.number)
        if future is None or future.done():
            return
        if message.error:
            future.set_exception(StoreUnavailable(message.error))
        else:
            future.set_result(OpResult(message.granted, message.claim))
