"""Test that claims go through the owner of their shard, and are granted once if it fails."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.claims.executors import (
    ForwardingExecutor,
    GroupId,
    GroupingConfig,
    LocalExecutor,
    ShardOwners,
)
from calicopath_core.claims.registry import ClaimRegistry, Granted, Taken
from calicopath_core.claims.tests.claim_case import group_value, key, new_registry
from calicopath_core.store.base import StoreUnavailable
from testkit.cases import VirtualCase
from testkit.fake_store import StoreState

if TYPE_CHECKING:
    from calicopath_core.claims.operations import Op, OpResult


class FakePeers(ShardOwners):
    """Make one executor the owner of every shard, over a network that may lose messages."""

    def __init__(self, *, owner: LocalExecutor) -> None:
        self.owner_executor = owner
        self.lose_request = False
        self.lose_reply = False

    def owner_address(self, shard: int) -> str | None:
        """Return the address of the owner."""
        return 'owner'

    async def forward(self, address: str, group: GroupId, op: Op) -> OpResult:
        """Execute the operation at the owner; never return if a message is lost."""
        if not self.lose_request:
            result = await self.owner_executor.execute(group, op)
            if not self.lose_reply:
                return result
        await asyncio.sleep(3600)
        raise AssertionError('unreachable')


class Forwarding(VirtualCase):
    def new_boxes(self, state: StoreState, count: int) -> tuple[list[ClaimRegistry], FakePeers]:
        """Return registries that all forward to one owner, and the network between them."""
        owner = new_registry(state, 'owner')
        shard_owners = FakePeers(owner=owner.local)
        boxes = []
        for number in range(count):
            box = new_registry(state, f'box{number}-')
            box.executor = ForwardingExecutor(local=box.local, shard_owners=shard_owners)
            boxes.append(box)
        return boxes, shard_owners

    def test_claims_of_many_boxes_share_few_updates(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            boxes, _ = self.new_boxes(state, 20)

            async def claim(number: int) -> Granted | Taken:
                await asyncio.sleep(number * 0.005)
                return await boxes[number % 20].claim(key(number), 'body', 1)

            results = await asyncio.gather(*(claim(number) for number in range(400)))
            self.assertTrue(all(isinstance(item, Granted) for item in results))
            self.assertLessEqual(state.counts['write'], 2.0 / GroupingConfig().write_interval_s + 2)

        self.run_virtual(scenario())

    def test_an_owner_that_does_not_answer_is_passed_over_without_a_double(self) -> None:
        async def scenario() -> None:
            for fault in ('lose_request', 'lose_reply'):
                state = StoreState()
                boxes, shard_owners = self.new_boxes(state, 2)
                setattr(shard_owners, fault, True)
                first = await boxes[0].claim(key(), 'body', 1)
                second = await boxes[1].claim(key(), 'body', 1)
                self.assertIsInstance(first, Granted)
                self.assertIsInstance(second, Taken)

        self.run_virtual(scenario())

    def test_a_forwarded_claim_given_up_on_is_given_back(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            boxes, shard_owners = self.new_boxes(state, 2)
            shard_owners.lose_reply = True
            with self.assertRaises(StoreUnavailable):
                await boxes[0].claim(key(), 'body', 0.1)
            await asyncio.sleep(1)
            self.assertEqual({}, group_value(state, key())['claims'])

        self.run_virtual(scenario())
