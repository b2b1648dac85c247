"""Test for how long a replica's limit is held against its callers."""

from __future__ import annotations

import asyncio
import shutil

import testtools

from calicopath_platform.tests.soak_replicas import SoakReplica
from tools.soak.schedule import FaultKind, LinkMode, Step
from tools.soak.world import World


class Named(testtools.TestCase):
    # A replica that had started again under its name was held to the limit of its earlier life.
    def test_a_limit_ends_with_the_life_that_named_it(self) -> None:
        async def scenario() -> None:
            world = World(boxes=0)
            self.addCleanup(shutil.rmtree, world.folder)
            replica = SoakReplica(
                name='i-6-1',
                version='v1',
                service='engine',
                failure_domain='a',
                clock=world.now,
                runs=[],
                handles={},
            )
            step = Step(0.0, FaultKind.REPLICA_LIMITS, 6, 0.1, LinkMode.PASS)
            limiting = asyncio.create_task(world.advertise_limit(step, replica))
            await asyncio.sleep(0.0)
            replica.limited_at = world.now()
            replica.crash()
            ended_at = replica.crashed_at
            await limiting
            self.assertEqual([ended_at], [named.ended_at for named in world.limit_periods])

        asyncio.run(scenario())
