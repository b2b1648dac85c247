"""Test that popular requests are not blocked because they run beside requests that crash replicas.

A popular request runs on nearly every engine at the moment of a crash, and its streams take
seconds, so that none is complete between two crashes. Three crashes block every request that was
running. With ten series of crashing requests and nine in ten requests for the same few targets, 18
and 25 requests were blocked for ten minutes, of which at most ten crashed replicas. A blocked
request can't show that it is harmless until the block expires.
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

    async def later(self, fleet: CrashingFleet, target: str, delay_s: float) -> None:
        """Send a crashing request repeatedly for 3 s, starting after `delay_s`."""
        await asyncio.sleep(delay_s)
        await fleet.send_repeatedly(target, 0.4, 3.0)
