"""Test that calls of the callers' own interface end if their answers never do."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from unittest import mock

import testtools

from calicopath_clients import engine
from calicopath_clients.calls import HttpStagePool
from calicopath_clients.engine import HttpEngine
from calicopath_clients.platform import HttpBoxList, HttpObjectStore
from calicopath_clients.sessions import new_session
from calicopath_clients.tests.calls_tests import CALL, endpoint
from calicopath_core.backends.base import MayHaveRun
from calicopath_core.store.base import StoreUnavailable, WriteUnknown
from calicopath_core.structure.calls import CallId, GenerationCall
from testkit.servers import read_request, serve_script

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import aiohttp

GUARD_S = 120.0
PART = 64 * 1024
OFFERED_BYTES = 256 * 1024 * 1024
MAX_SENT_BYTES = 96 * 1024 * 1024
"""Most bytes that a server gets rid of: the longest answer, and buffers on both sides."""

SHORT_STREAM_BYTES = 1024 * 1024
BUFFERED_BYTES = 24 * 1024 * 1024
"""What the kernel and the library hold of a stream beyond what was read of it."""

OK = b'HTTP/1.1 200 OK\r\n'
TOKEN = b'{"call": "r/s/1", "offset": 0, "data": "eA=="}\n'
CHUNK = b'%x\r\n%s\r\n'
ENDLESS = {
    'header value': (OK + b'X-Long: ', b'x' * PART),
    'headers': (OK, b'X-More: value\r\n' * 4096),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 2048),
    'length': (OK + b'Content-Length: 99999999999\r\n\r\n', b' ' * PART),
    'no length': (OK + b'\r\n', b' ' * PART),
    'chunks': (OK + b'Transfer-Encoding: chunked\r\n\r\n', CHUNK % (PART, b' ' * PART)),
    'trailers': (OK + b'Transfer-Encoding: chunked\r\n\r\n0\r\n', b'X-More: value\r\n' * 4096),
}
GENERATION = GenerationCall(CallId('r', 's', 1), {}, {'text': 'x'}, 1.0, 5, 0, b'')


class EndlessAnswers(testtools.TestCase):
    def sent_bytes(
        self,
        start: bytes,
        repeated: bytes,
        call: Callable[[str, aiohttp.ClientSession], Awaitable[Any]],
        error: type[Exception],
    ) -> int:
        """Make a call that must fail; return how many bytes its server got rid of."""
        sent = 0

        async def script(reader: Any, writer: Any) -> None:
            nonlocal sent
            await read_request(reader)
            writer.write(start)
            while sent < OFFERED_BYTES:
                writer.write(repeated)
                sent += len(repeated)
                await writer.drain()
            await reader.read()

        async def scenario() -> None:
            async with (
                asyncio.timeout(GUARD_S),
                serve_script(script) as url,
                new_session() as session,
            ):
                with self.assertRaisesRegex(error, ''):
                    await call(url, session)

        asyncio.run(scenario())
        return sent

    def check(
        self,
        call: Callable[[str, aiohttp.ClientSession], Awaitable[Any]],
        error: type[Exception],
    ) -> None:
        """Check that a call ends for each kind of endless answer."""
        sent = {
            name: self.sent_bytes(start, repeated, call, error)
            for name, (start, repeated) in ENDLESS.items()
        }
        self.assertEqual({}, {name: n for name, n in sent.items() if n > MAX_SENT_BYTES})

    # The answer of a stage was read into memory for as long as it came.
    def test_calls_of_stages_end(self) -> None:
        async def call(url: str, session: aiohttp.ClientSession) -> None:
            await HttpStagePool(session=session).call(endpoint(url), CALL)

        self.check(call, MayHaveRun)

    # A line of a stream that was too long ended the request with an error that nobody expected.
    def test_generations_end(self) -> None:
        async def call(url: str, session: aiohttp.ClientSession) -> None:
            async for _ in HttpEngine(session=session).generate(endpoint(url), GENERATION):
                pass

        self.check(call, MayHaveRun)
        with mock.patch.object(engine, 'MAX_GENERATION_BYTES', SHORT_STREAM_BYTES):
            sent = self.sent_bytes(OK + b'\r\n', TOKEN * 1024, call, MayHaveRun)
        self.assertLess(sent, SHORT_STREAM_BYTES + BUFFERED_BYTES)

    # An answer of the object API was read into memory for the two seconds that a call may take.
    def test_calls_to_the_object_api_end(self) -> None:
        async def read(url: str, session: aiohttp.ClientSession) -> None:
            await HttpObjectStore(url=url, session=session).list('config/')

        async def write(url: str, session: aiohttp.ClientSession) -> None:
            await HttpObjectStore(url=url, session=session).put('config/a', {}, 0)

        async def watch(url: str, session: aiohttp.ClientSession) -> None:
            async for _ in HttpObjectStore(url=url, session=session).watch('config/'):
                pass

        async def boxes(url: str, session: aiohttp.ClientSession) -> None:
            await HttpBoxList(url=url, session=session).boxes()

        self.check(read, StoreUnavailable)
        self.check(write, WriteUnknown)
        self.check(boxes, StoreUnavailable)
        self.sent_bytes(*ENDLESS['length'], watch, StoreUnavailable)
