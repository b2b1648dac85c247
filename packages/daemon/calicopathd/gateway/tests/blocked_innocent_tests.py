"""Test that what runs beside requests that end replicas is not refused for it.

On a day of ten series of such requests, while nine in ten requests of each kind asked for the same
few things, 18 and 25 requests were blocked at every box for ten minutes, of which at most ten
ended replicas. What is popular runs on each engine when it ends, and its streams take seconds, so
that none is whole between two ends. Three ends are enough for whoever was there: `"request
blocked"` came for one content after the other within 0.1 s, each with the same three replicas. Once
blocked, a request has no way to show that it ends nothing, until its time is over.
"""

from __future__ import annotations

import asyncio

from testkit.crashing_fleet import CrashingCase, CrashingFleet

CAUSES = ('/chat/poison-1', '/chat/poison-2', '/chat/poison-3')
POPULAR = ('/chat/popular-1', '/chat/popular-2')


class Innocent(CrashingCase):
    def test_what_is_popular_is_served_beside_series_of_ends(self) -> None:
        async def work(fleet: CrashingFleet) -> None:
            fleet.replicas.crashing_targets = set(CAUSES)
            fleet.replicas.event_gap_s = 0.6
            load = [fleet.send_repeatedly(target, 0.11, 12.0) for target in POPULAR]
            causes = []
            for number, target in enumerate(CAUSES):
                causes.append(asyncio.create_task(self.later(fleet, target, 1.0 + 3.0 * number)))
            sinks = [sink for found in await asyncio.gather(*load) for sink in found]
            await asyncio.gather(*causes)
            await fleet.settle()
            refused = [sink for sink in sinks if sink.reason == 'crashes-replicas']
            self.assertEqual(0, len(refused), f'of {len(sinks)}')
            for target in CAUSES:
                self.assertLessEqual(len(fleet.replicas.crash_times(target)), 5)

        self.run_scenario(work)

    async def later(self, fleet: CrashingFleet, target: str, at_s: float) -> None:
        """Ask for what ends engines for a while, from some time on."""
        await asyncio.sleep(at_s)
        await fleet.send_repeatedly(target, 0.4, 3.0)
