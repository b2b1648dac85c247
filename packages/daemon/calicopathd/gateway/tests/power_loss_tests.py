"""Test that popular requests are served again after all replicas have lost power in rounds."""

from __future__ import annotations

import asyncio
import random

from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import RecordKind
from testkit.crashing import Arrival
from testkit.crashing_fleet import CrashingCase, CrashingFleet

POPULAR = ('/chat/popular-1', '/chat/popular-2')
ROUNDS = 4
ROUND_GAP_S = 2.0
SPREAD_S = 0.6
"""Over how long the replicas of a round end."""

RECOVERY_S = 12.0
"""How long after the machines are back a quarter of all requests must be served."""

MEASURED_S = 3.0
SEED = 3


class PowerLoss(CrashingCase):
    # Machines that lose power together end replicas under requests that have nothing to do with it.
    def test_popular_requests_are_served_after_power_was_lost_in_rounds(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.event_gap_s = 0.3
            lasts_s = 1.0 + ROUNDS * ROUND_GAP_S
            load = [
                asyncio.create_task(fleet.send_repeatedly(item, 0.11, lasts_s)) for item in POPULAR
            ]
            rng = random.Random(SEED)
            for _ in range(ROUNDS):
                await asyncio.sleep(ROUND_GAP_S)
                self.end_all(fleet, rng)
            await asyncio.gather(*load)
            await asyncio.sleep(RECOVERY_S)
            found = await asyncio.gather(
                *(fleet.send_repeatedly(item, 0.2, MEASURED_S) for item in POPULAR)
            )
            await fleet.settle()
            sinks = [sink for group in found for sink in group]
            served = sum(sink.state == 'whole' for sink in sinks)
            self.assertGreaterEqual(served, len(sinks) / 4)

        self.run_scenario(work)

    def end_all(self, fleet: CrashingFleet, rng: random.Random) -> None:
        """Have every replica end within a moment, and another come in its place."""
        now = asyncio.get_running_loop().time()
        for replica in list(fleet.store.records[RecordKind.REPLICA].values()):
            assert isinstance(replica, Replica)
            delay_s = rng.uniform(0.0, SPREAD_S)
            arrival = Arrival(target='', call_id='', replica=replica.id, at=now + delay_s)
            asyncio.get_running_loop().call_later(
                delay_s, fleet.replicas.start_crash, replica, arrival
            )
