"""Test that an answer which breaks off after its head tells that its connection broke.

A request ended each engine that began to run it, and came again and again. An engine gives the
head of its answer at once and the first event some 100 ms later, so nearly each of them ended
between the two. The client raised "the connection was lost" for it as any failure that may have
run, and not as a broken connection; only the latter made a box look whether the engine had ended.
So most ends were never counted: 34 engines ended under three requests in one day, of which boxes
saw 15.

The lines that settled it, of one engine's end, all of one digest of content: `"failure":"silent",
"begun":false,"error":"the connection was lost: None"` at the box whose request ended it, and
`"failure":"broken"` with the same words only where no head had come yet. Looking at every failed
attempt hides the fault, some time later; telling it for what it is lets a box know the end before
it sends the request once more.
"""

from __future__ import annotations

import asyncio
from typing import Any

from calicopath_clients.tests.http1_tests import HttpCase, get, reset
from calicopath_core.backends.base import ConnectionBroken, MayHaveRun
from testkit.servers import read_request

CHUNKED = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
LENGTH = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\n'
PLAIN = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n'


class BrokenAfterTheHead(HttpCase):
    def check_broken(self, data: bytes, *, by_reset: bool = False) -> None:
        """Check what is told of an answer that breaks off after some bytes."""

        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(data)
            await asyncio.sleep(0.02)
            if by_reset:
                reset(writer)

        self.assertRaises(ConnectionBroken, self.run_scenario, script, get)

    def test_a_stream_of_which_no_event_has_come(self) -> None:
        self.check_broken(CHUNKED)

    def test_a_stream_that_has_begun(self) -> None:
        self.check_broken(CHUNKED + b'3\r\nabc\r\n')

    def test_a_stream_inside_a_chunk(self) -> None:
        self.check_broken(CHUNKED + b'3\r\na')

    def test_an_answer_with_a_length(self) -> None:
        self.check_broken(LENGTH + b'half')

    def test_an_answer_without_a_length_that_is_reset(self) -> None:
        self.check_broken(PLAIN + b'half', by_reset=True)

    def test_bytes_that_are_no_http_after_a_head_are_no_broken_connection(self) -> None:
        async def script(reader: Any, writer: Any) -> None:
            await read_request(reader)
            writer.write(CHUNKED + b'no length\r\n')
            await asyncio.sleep(0.05)

        error = self.assertRaises(MayHaveRun, self.run_scenario, script, get)
        self.assertNotIsInstance(error, ConnectionBroken)
