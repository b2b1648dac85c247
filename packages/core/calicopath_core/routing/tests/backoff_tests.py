"""Test that an endpoint gets no calls during the backoff that it asked for when declining.

Guards against a `Retry-After` that is read but not respected: the next call was sent to the same
endpoint at once, and with no other endpoint left a call was declined at once instead of waiting
for the end of the backoff. Gateway boxes had the same fault, since they did not read the header.
"""

from __future__ import annotations

import asyncio

from calicopath_core.routing.pools import NoFreeSlot
from calicopath_core.routing.tests.pools_tests import new_pool, slot_request
from testkit.cases import VirtualCase

BACKOFF_S = 0.6


class Backoffs(VirtualCase):
    def test_other_endpoints_get_the_calls_until_the_backoff_is_over(self) -> None:
        async def scenario() -> None:
            pool = new_pool('ab', concurrency=8)
            slots = [await pool.acquire(slot_request()) for _ in range(2)]
            first = next(slot for slot in slots if slot.endpoint.name == 'a')
            first.declined(BACKOFF_S)
            names = [(await pool.acquire(slot_request())).endpoint.name for _ in range(5)]
            self.assertEqual({'b'}, set(names))
            await asyncio.sleep(BACKOFF_S)
            self.assertEqual('a', (await pool.acquire(slot_request())).endpoint.name)

        self.run_virtual(scenario())

    def test_without_another_endpoint_a_call_waits_for_the_end_of_the_backoff(self) -> None:
        async def scenario() -> None:
            pool = new_pool('a', concurrency=8)
            (await pool.acquire(slot_request())).declined(BACKOFF_S)
            slot = await pool.acquire(slot_request())
            self.assertAlmostEqual(BACKOFF_S, slot.queued_s, places=2)

        self.run_virtual(scenario())

    def test_a_call_that_cannot_wait_is_refused_at_once_with_a_retry_delay(self) -> None:
        async def scenario() -> None:
            pool = new_pool('a', concurrency=8)
            (await pool.acquire(slot_request())).declined(5.0)
            with self.assertRaises(NoFreeSlot) as raised:
                await pool.acquire(slot_request())
            self.assertEqual(0.0, asyncio.get_running_loop().time())
            assert raised.exception is not None
            self.assertAlmostEqual(5.0, raised.exception.retry_after_s)

        self.run_virtual(scenario())

    def test_waiting_calls_are_refused_at_once_when_a_long_backoff_begins(self) -> None:
        async def scenario() -> None:
            pool = new_pool('a')
            slot_in_use = await pool.acquire(slot_request())
            waiting = asyncio.create_task(pool.acquire(slot_request()))
            await asyncio.sleep(0.1)
            slot_in_use.declined(5.0)
            with self.assertRaises(NoFreeSlot):
                await waiting
            self.assertAlmostEqual(0.1, asyncio.get_running_loop().time())

        self.run_virtual(scenario())

    def test_a_shorter_backoff_does_not_end_a_longer_one(self) -> None:
        async def scenario() -> None:
            pool = new_pool('ab', concurrency=8)
            slots = [await pool.acquire(slot_request()) for _ in range(6)]
            slots_at_a = [slot for slot in slots if slot.endpoint.name == 'a']
            slots_at_a[0].declined(BACKOFF_S)
            slots_at_a[1].declined(0.1)
            await asyncio.sleep(0.3)
            names = [(await pool.acquire(slot_request())).endpoint.name for _ in range(3)]
            self.assertEqual({'b'}, set(names))

        self.run_virtual(scenario())
