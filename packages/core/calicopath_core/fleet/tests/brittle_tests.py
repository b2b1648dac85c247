"""Test how long what a replica said about rejections counts, and for which replicas."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

from calicopath_core.fleet.brittle import REORDER_WINDOW_S, TTL_S, BrittleReplicas
from calicopath_core.fleet.notices import EMPTY_NOTICE, Notice
from calicopath_core.fleet.replicas import Replica
from testkit.cases import VirtualCase
from testkit.virtual import VirtualClock

BRITTLE = Notice(brittle_per_s=2.0)
REPLICAS = [Replica(name, 'desk', f'{name}:1', 'north', 6, False) for name in 'abcd']


def new_brittle(position: int, boxes: int) -> BrittleReplicas:
    """Return the view of one box."""
    return BrittleReplicas(
        clock=VirtualClock(),
        rng=random.Random(1),
        position=lambda: (position, boxes),
        on_changed=mock.Mock(),
    )


class Shares(VirtualCase):
    def test_one_replicas_word_counts_for_those_that_were_not_called(self) -> None:
        async def scenario() -> None:
            shares = []
            for position in range(28):
                brittle = new_brittle(position, 28)
                brittle.on_notice(REPLICAS[position % 2], BRITTLE)
                shares += list(brittle.share(REPLICAS))
            self.assertEqual([7] * 4, [shares.count(item.id) for item in REPLICAS])

        self.run_virtual(scenario())

    def test_a_replica_that_this_box_may_not_call_is_not_brittle_for_ever(self) -> None:
        async def scenario() -> None:
            brittle = new_brittle(0, 28)
            for item in REPLICAS:
                brittle.on_notice(item, BRITTLE)
            await asyncio.sleep(TTL_S + 0.1)
            self.assertEqual({}, brittle.share(REPLICAS))

        self.run_virtual(scenario())

    def test_an_answer_without_it_ends_it_for_the_service(self) -> None:
        async def scenario() -> None:
            brittle = new_brittle(0, 4)
            brittle.on_notice(REPLICAS[0], BRITTLE)
            brittle.on_notice(REPLICAS[1], EMPTY_NOTICE)
            self.assertNotEqual({}, brittle.share(REPLICAS))
            await asyncio.sleep(REORDER_WINDOW_S + 0.1)
            brittle.on_notice(REPLICAS[1], EMPTY_NOTICE)
            self.assertEqual({}, brittle.share(REPLICAS))

        self.run_virtual(scenario())
