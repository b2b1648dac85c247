"""Test that an endpoint which asks for a pause as it declines gets no call in it.

What an endpoint asked for with `Retry-After` was read, and used for nothing but to tell a decline
from a connection refused: the next call went there again at once, and a call for which no other
endpoint was left was declined at once in place of waiting for the pause to end. The same cause as
with gateway boxes, which did not read it at all.
"""

from __future__ import annotations

import asyncio

from calicopath_core.routing.pools import NoFreeSlot
from calicopath_core.routing.tests.pools_tests import new_pool, slot_request
from testkit.cases import VirtualCase

PAUSE_S = 0.6


class Backoffs(VirtualCase):
    def test_the_others_get_its_calls_until_its_pause_is_over(self) -> None:
        async def scenario() -> None:
            pool = new_pool('ab', concurrency=8)
            slots = [await pool.acquire(slot_request()) for _ in range(2)]
            first = next(slot for slot in slots if slot.endpoint.name == 'a')
            first.declined(PAUSE_S)
            names = [(await pool.acquire(slot_request())).endpoint.name for _ in range(5)]
            self.assertEqual({'b'}, set(names))
            await asyncio.sleep(PAUSE_S)
            self.assertEqual('a', (await pool.acquire(slot_request())).endpoint.name)

        self.run_virtual(scenario())

    def test_with_no_other_a_call_waits_for_the_end_of_the_pause(self) -> None:
        async def scenario() -> None:
            pool = new_pool('a', concurrency=8)
            (await pool.acquire(slot_request())).declined(PAUSE_S)
            slot = await pool.acquire(slot_request())
            self.assertAlmostEqual(PAUSE_S, slot.queued_s, places=2)

        self.run_virtual(scenario())

    def test_one_that_would_wait_in_vain_is_told_at_once_when_it_ends(self) -> None:
        async def scenario() -> None:
            pool = new_pool('a', concurrency=8)
            (await pool.acquire(slot_request())).declined(5.0)
            with self.assertRaises(NoFreeSlot) as raised:
                await pool.acquire(slot_request())
            self.assertEqual(0.0, asyncio.get_running_loop().time())
            assert raised.exception is not None
            self.assertAlmostEqual(5.0, raised.exception.retry_after_s)

        self.run_virtual(scenario())

    def test_what_waits_is_told_at_once_when_a_long_pause_begins(self) -> None:
        async def scenario() -> None:
            pool = new_pool('a')
            held = await pool.acquire(slot_request())
            waiting = asyncio.create_task(pool.acquire(slot_request()))
            await asyncio.sleep(0.1)
            held.declined(5.0)
            with self.assertRaises(NoFreeSlot):
                await waiting
            self.assertAlmostEqual(0.1, asyncio.get_running_loop().time())

        self.run_virtual(scenario())

    def test_a_shorter_wish_does_not_end_a_longer_one(self) -> None:
        async def scenario() -> None:
            pool = new_pool('ab', concurrency=8)
            slots = [await pool.acquire(slot_request()) for _ in range(6)]
            mine = [slot for slot in slots if slot.endpoint.name == 'a']
            mine[0].declined(PAUSE_S)
            mine[1].declined(0.1)
            await asyncio.sleep(0.3)
            names = [(await pool.acquire(slot_request())).endpoint.name for _ in range(3)]
            self.assertEqual({'b'}, set(names))

        self.run_virtual(scenario())
