"""Test that receiving messages leaves the event loop time for other tasks."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

from calicopathd.peers.zmq_transport import RECEIVE_SLICE_S, ZmqTransport
from testkit.cases import VirtualCase

HANDLING_S = 0.001


class FullSocket:
    """Have a message ready at every call, as a socket in a burst does."""

    async def recv(self) -> bytes:
        """Return a message without waiting."""
        return b'message'


class Receiving(VirtualCase):
    def test_other_tasks_run_while_messages_keep_coming(self) -> None:
        """Guards against a box that sends no pings during a burst, and is taken for dead."""

        async def scenario() -> None:
            loop: Any = asyncio.get_running_loop()
            received: list[bytes] = []

            def handle(data: bytes) -> None:
                received.append(data)
                loop.virtual_selector.now += HANDLING_S
                if len(received) > 1000:
                    raise AssertionError('no other task has run')

            transport = ZmqTransport.__new__(ZmqTransport)
            transport.receive_socket = FullSocket()  # type: ignore[assignment]
            transport.listen(handle)
            task = asyncio.create_task(transport.run())
            counts = []
            for _ in range(20):
                await asyncio.sleep(0)
                counts.append(len(received))
            task.cancel()
            most = max(after - before for before, after in itertools.pairwise([0, *counts]))
            self.assertLessEqual(most * HANDLING_S, RECEIVE_SLICE_S + HANDLING_S)

        self.run_virtual(scenario())
