"""Provide the HTTP adapters to stage pools and plain services."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import aiohttp
import msgspec

from calicopath_clients.bodies import MAX_STAGE_BYTES, read_body
from calicopath_core.backends.base import (
    ConnectionBroken,
    Declined,
    EndpointProber,
    MayHaveRun,
    NotStarted,
    PlainService,
    ProbeResult,
    StagePool,
    WrongAnswer,
)
from calicopath_core.structure.calls import StageOutput

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from calicopath_core.structure.calls import StageCall
    from calicopath_core.structure.endpoints import Endpoint

CONNECT_TIMEOUT_S = 0.25
HTTP_PORT = 80
STATUS_OK = 200
STATUS_DECLINED = 429
"""The status of an endpoint that did not start the call."""

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
BROKEN_ERRORS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
)
PROBE_TIMEOUT_S = 0.3
"""Timeout of one connection attempt, and the pause between two."""

NO_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
"""Only connecting has a timeout here: the executor limits the duration of every call."""


@contextlib.asynccontextmanager
async def open_call(
    session: aiohttp.ClientSession, url: str, body: dict[str, Any]
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a call and yield its response.

    Raise `NotStarted` if the call certainly did not run, otherwise `MayHaveRun`. A cancelled call
    closes its connection, so that its late response cannot be taken for that of another call.
    """
    try:
        async with session.post(url, data=msgspec.json.encode(body), timeout=NO_TIMEOUT) as answer:
            if answer.status == STATUS_DECLINED:
                text, retry_after_s = f'{url} declined the call', retry_after_of(answer)
                raise Declined(text, turned_away=True, retry_after_s=retry_after_s)
            if answer.status != STATUS_OK:
                raise MayHaveRun(f'{url} answered {answer.status}')
            try:
                yield answer
            except BaseException:
                answer.close()
                raise
    except CONNECT_ERRORS as error:
        raise NotStarted(f'{url} cannot be reached: {error!r}') from error
    except BROKEN_ERRORS as error:
        raise ConnectionBroken(f'the connection to {url} broke: {error!r}') from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise MayHaveRun(f'the call to {url} broke: {error!r}') from error


def has_framing(answer: aiohttp.ClientResponse) -> bool:
    """Return whether a response tells where it ends, other than by the end of its connection."""
    return 'Content-Length' in answer.headers or 'Transfer-Encoding' in answer.headers


def retry_after_of(answer: aiohttp.ClientResponse) -> float | None:
    """Return the `Retry-After` of a declined call in seconds, `None` if missing or invalid."""
    try:
        seconds = float(answer.headers.get('Retry-After', ''))
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None


async def call_stage(
    session: aiohttp.ClientSession, endpoint: Endpoint, call: StageCall
) -> StageOutput:
    """Make one call; raise `WrongAnswer` if the response is invalid or of another call."""
    call_id = str(call.id)
    body: dict[str, Any] = {
        'call': call_id,
        'stage': call.id.stage,
        'params': call.params,
        'input': call.input,
        'priority': call.priority,
    }
    if call.idempotency_key is not None:
        body['idempotency_key'] = call.idempotency_key
    async with open_call(session, f'{endpoint.address}/v1/call', body) as answer:
        data = await read_body(answer, MAX_STAGE_BYTES)
    try:
        decoded = msgspec.json.decode(data)
        answered_id = decoded['call']
        output = msgspec.convert(decoded['output'], StageOutput)
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        if not has_framing(answer):
            # An endpoint that crashes closes the connection, which then looks like the end.
            raise ConnectionBroken(f'{endpoint.name} ended its response early') from error
        raise WrongAnswer(f'{endpoint.name} sent an invalid response: {error!r}') from error
    if answered_id != call_id:
        raise WrongAnswer(f'{endpoint.name} answered call {answered_id} instead of {call_id}')
    return output


class HttpEndpointProber(EndpointProber):
    """Probe whether endpoints accept connections."""

    async def probe(self, endpoint: Endpoint, watch_s: float) -> ProbeResult:
        """Return the result of the last connection attempt.

        Attempts are repeated for `watch_s` seconds, or until one does not open.
        """
        url = urlsplit(endpoint.address)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + watch_s
        while True:
            result = await probe_port(url.hostname or '', url.port or HTTP_PORT)
            if result is not ProbeResult.OPEN or loop.time() >= deadline:
                return result
            await asyncio.sleep(PROBE_TIMEOUT_S)


async def probe_port(host: str, port: int) -> ProbeResult:
    """Return the result of one connection attempt."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except (OSError, TimeoutError):
        return ProbeResult.SILENT
    writer.close()
    return ProbeResult.OPEN


class HttpStagePool(StagePool):
    """Call encoders, retrievers and rerankers over HTTP."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def call(self, endpoint: Endpoint, call: StageCall) -> StageOutput:
        """Run a stage."""
        return await call_stage(self.session, endpoint, call)


class HttpPlainService(PlainService):
    """Call plain services over HTTP."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def call(self, endpoint: Endpoint, call: StageCall) -> StageOutput:
        """Run a stage."""
        return await call_stage(self.session, endpoint, call)
