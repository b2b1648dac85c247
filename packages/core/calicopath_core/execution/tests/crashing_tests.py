"""Test requests that end the endpoints which run them, sent again and again at any box.

The same missing memory stood here: a request was called at two endpoints at most, and the same body
sent once more began at nothing. Without the memory twelve of twelve repeats reached endpoints: 23
ends of engines and 22 of rerankers, each with whatever else the endpoint was at work on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.structure.outcomes import Answered, Failed, RefusalReason, Refused
from testkit.cases import VirtualCase
from testkit.fake_store import StoreState
from testkit.world import FakeBox, new_fleet

if TYPE_CHECKING:
    from testkit.fake_endpoints import FakeFleet

POISON = 'poison'
GAP_S = 2.0


class Crashing(VirtualCase):
    def fleet(self, service: str) -> FakeFleet:
        """Return endpoints of which those of one service end under a request."""
        fleet = new_fleet(replicas=4)
        for name, item in fleet.endpoints.items():
            if name.startswith(service):
                item.crashing_texts = {POISON}
        return fleet

    def ends(self, fleet: FakeFleet) -> int:
        """Return how often endpoints have ended."""
        return sum(len(item.crash_times) for item in fleet.endpoints.values())

    def check_stopped(
        self, service: str, pipeline: str = 'answer', *, quietly: bool = False
    ) -> None:
        """Check that a request is not sent on once three endpoints have ended under it."""

        async def scenario() -> None:
            fleet = self.fleet(service)
            for item in fleet.endpoints.values():
                item.crash_ends_streams = quietly
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            for _ in range(12):
                await box.send(pipeline, POISON)
                await asyncio.sleep(GAP_S)
            self.assertLessEqual(self.ends(fleet), 4)
            self.assertIsInstance(await box.send(pipeline, 'another'), Answered)

        self.run_virtual(scenario())

    def test_what_ends_engines_is_stopped(self) -> None:
        self.check_stopped('drafting')

    def test_what_ends_engines_is_stopped_where_their_streams_just_stop(self) -> None:
        # An answer without a length ends with its connection, so that an engine which ends under
        # a request looks like one that has nothing more to say: 23 ends under twelve repeats.
        self.check_stopped('drafting', quietly=True)

    def test_what_ends_stage_pools_is_stopped(self) -> None:
        self.check_stopped('rerankers')

    def test_it_is_refused_at_once_as_not_run_with_when_to_come_back(self) -> None:
        async def scenario() -> None:
            fleet = self.fleet('drafting')
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            outcomes = []
            for _ in range(6):
                outcomes.append(await box.send('answer', POISON))
                await asyncio.sleep(GAP_S)
            self.assertIsInstance(outcomes[0], Failed)
            last = outcomes[-1]
            assert isinstance(last, Refused)
            self.assertEqual(RefusalReason.CRASHES_ENDPOINTS, last.reason)
            self.assertGreater(last.retry_after_s or 0, 60)

        self.run_virtual(scenario())
