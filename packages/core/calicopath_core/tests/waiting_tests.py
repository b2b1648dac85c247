"""Test waiting on the program's event loop: timers come before the tasks that data has woken."""

from __future__ import annotations

import asyncio
import socket
import time

import testtools
import uvloop

from calicopath_core.clock import LoopClock
from calicopath_core.waiting import time_limit, wait_until

STAND_STILL_S = 0.3
DUE_IN_S = 0.1


async def connect_to_late_bytes() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Return a connection whose bytes come just before the process stands still."""
    near, far = socket.socketpair()
    connection = await asyncio.open_connection(sock=near)

    def stand_still() -> None:
        far.send(b'x')
        time.sleep(STAND_STILL_S)

    asyncio.get_running_loop().call_later(DUE_IN_S / 2, stand_still)
    return connection


class StandingStill(testtools.TestCase):
    # The time was over before what had arrived was read.
    def test_bytes_that_came_in_time_are_read_before_the_time_is_over(self) -> None:
        async def scenario() -> bool:
            clock = LoopClock()
            reader, writer = await connect_to_late_bytes()
            reading = asyncio.create_task(reader.read(1))
            await wait_until(clock, reading, clock.monotonic() + DUE_IN_S)
            writer.close()
            return reading.done()

        self.assertTrue(uvloop.run(scenario()))

    def test_a_time_limit_reads_what_came_in_time(self) -> None:
        async def scenario() -> bytes:
            clock = LoopClock()
            reader, writer = await connect_to_late_bytes()
            async with time_limit(clock, clock.monotonic() + DUE_IN_S):
                data = await reader.read(1)
            writer.close()
            return data

        self.assertEqual(b'x', uvloop.run(scenario()))
