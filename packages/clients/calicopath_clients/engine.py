"""Provide the HTTP adapter to model engines, which stream tokens as lines of JSON."""

from __future__ import annotations

import base64
import contextlib
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict
from urllib.parse import quote

import aiohttp
import msgspec

from calicopath_clients.bodies import MAX_GENERATION_BYTES, read_lines
from calicopath_clients.calls import open_call
from calicopath_core.backends.base import ConnectionBroken, Engine, WrongAnswer
from calicopath_core.structure.calls import GenerationEnd, Token

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from calicopath_core.structure.calls import GenerationCall
    from calicopath_core.structure.endpoints import Endpoint

CANCEL_TIMEOUT_S = 1.0


class EngineLine(TypedDict):
    """Hold one line of an engine's stream: a token, or the end with the total number of tokens."""

    call: str
    offset: NotRequired[int]
    data: NotRequired[bytes]
    end: NotRequired[int]


LINE_DECODER = msgspec.json.Decoder(EngineLine)


class HttpEngine(Engine):
    """Call model engines over HTTP."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def generate(
        self, endpoint: Endpoint, call: GenerationCall
    ) -> AsyncIterator[Token | GenerationEnd]:
        """Yield the tokens from `call.offset` on, then the end."""
        body: dict[str, Any] = {
            'call': str(call.id),
            'params': call.params,
            'input': call.input,
            'priority': call.priority,
            'offset': call.offset,
            'prefix': base64.b64encode(call.prefix).decode(),
        }
        async with open_call(self.session, f'{endpoint.address}/v1/generate', body) as answer:
            async for line in read_lines(answer, MAX_GENERATION_BYTES):
                if not line.endswith(b'\n'):
                    raise ConnectionBroken(f'{endpoint.name} ended its stream inside a line')
                yield parse_line(line, endpoint)

    async def cancel(self, endpoint: Endpoint, call: GenerationCall) -> None:
        """Ask an engine to stop a generation; errors and timeouts are ignored."""
        url = f'{endpoint.address}/v1/generate/{quote(str(call.id), safe="")}'
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.delete(url, timeout=timeout):
                pass


def parse_line(line: bytes, endpoint: Endpoint) -> Token | GenerationEnd:
    """Parse one line of a stream; raise `WrongAnswer` if it is invalid."""
    try:
        decoded = LINE_DECODER.decode(line)
        if 'end' in decoded:
            return GenerationEnd(decoded['call'], decoded['end'])
        return Token(decoded['call'], decoded['offset'], decoded['data'])
    except (msgspec.MsgspecError, KeyError) as error:
        raise WrongAnswer(f'{endpoint.name} sent an invalid line: {error!r}') from error
