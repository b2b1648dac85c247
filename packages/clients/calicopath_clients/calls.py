"""Adapt stage pools and plain services."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from calicopath_core.backends.base import (
    MayHaveRun,
    NotStarted,
    PlainService,
    StagePool,
    WrongAnswer,
)
from calicopath_core.structure.calls import StageOutput

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from calicopath_core.structure.calls import StageCall
    from calicopath_core.structure.endpoints import Endpoint

CONNECT_TIMEOUT_S = 0.25
STATUS_OK = 200
STATUS_DECLINED = 429
"""An endpoint that answers so has not started the call."""

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
NO_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
"""The executor bounds every call; here only connecting is bounded."""


@contextlib.asynccontextmanager
async def open_call(
    session: aiohttp.ClientSession, url: str, body: dict[str, Any]
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a call and yield its answer, turning failures into what they prove.

    A call abandoned half-way closes its connection, so that no late answer can be taken for
    another call's.
    """
    try:
        async with session.post(url, data=msgspec.json.encode(body), timeout=NO_TIMEOUT) as answer:
            if answer.status == STATUS_DECLINED:
                raise NotStarted(f'{url} declined', retry_after_s=retry_after(answer))
            if answer.status != STATUS_OK:
                raise MayHaveRun(f'{url} answered {answer.status}')
            try:
                yield answer
            except BaseException:
                answer.close()
                raise
    except CONNECT_ERRORS as error:
        raise NotStarted(f'{url} cannot be reached: {error!r}') from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise MayHaveRun(f'the call to {url} broke: {error!r}') from error


def retry_after(answer: aiohttp.ClientResponse) -> float:
    """Return the seconds that a declining endpoint asks for."""
    try:
        return float(answer.headers.get('Retry-After', '1'))
    except ValueError:
        return 1.0


async def call_stage(
    session: aiohttp.ClientSession, endpoint: Endpoint, call: StageCall
) -> StageOutput:
    """Make one call and check that the answer is its own."""
    identity = str(call.id)
    body: dict[str, Any] = {
        'call': identity,
        'stage': call.id.stage,
        'params': call.params,
        'input': call.input,
        'priority': call.priority,
    }
    if call.idempotency_key is not None:
        body['idempotency_key'] = call.idempotency_key
    async with open_call(session, f'{endpoint.address}/v1/call', body) as answer:
        data = await answer.read()
    try:
        decoded = msgspec.json.decode(data)
        answered = decoded['call']
        output = msgspec.convert(decoded['output'], StageOutput)
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        raise WrongAnswer(f'{endpoint.name} gave no valid answer: {error!r}') from error
    if answered != identity:
        raise WrongAnswer(f'{endpoint.name} answered {answered} instead of {identity}')
    return output


class HttpStagePool(StagePool):
    """Reach encoders, retrievers and rerankers over HTTP."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def call(self, endpoint: Endpoint, call: StageCall) -> StageOutput:
        """Run a stage."""
        return await call_stage(self.session, endpoint, call)


class HttpPlainService(PlainService):
    """Reach plain services over HTTP."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def call(self, endpoint: Endpoint, call: StageCall) -> StageOutput:
        """Run a stage."""
        return await call_stage(self.session, endpoint, call)
