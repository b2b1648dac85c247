"""Provide the HTTP adapters to the platform's object API and box list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import aiohttp
import msgspec

from calicopath_clients.bodies import MAX_STORE_BYTES, read_body, read_lines
from calicopath_core.backends.base import AnswerTooLarge
from calicopath_core.store import versions
from calicopath_core.store.base import (
    BoxList,
    BoxRecord,
    ObjectStore,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
    WriteUnknown,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 2.0
WATCH_SILENCE_TIMEOUT_S = 30.0
"""Timeout of a watch that sends nothing, not even its keep-alive line."""

STATUS_CONFLICT = 409
STATUS_NOT_FOUND = 404
STATUS_OK = 200

READ_ERRORS = (aiohttp.ClientError, TimeoutError, msgspec.DecodeError, AnswerTooLarge)
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class HttpObjectStore(ObjectStore):
    """Access the object API over HTTP."""

    def __init__(
        self,
        *,
        url: str,
        session: aiohttp.ClientSession,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        self.url = url.rstrip('/')
        self.session = session
        self.timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)

    def object_url(self, key: str) -> str:
        """Return the URL of the object at a key."""
        return f'{self.url}/v1/objects/{quote(key)}'

    async def read_json(self, url: str, params: dict[str, str] | None = None) -> Any:
        """Return the decoded JSON response, `None` for status 404; raise `StoreUnavailable`."""
        try:
            async with self.session.get(url, params=params, timeout=self.timeout) as response:
                if response.status == STATUS_NOT_FOUND:
                    return None
                if response.status != STATUS_OK:
                    raise StoreUnavailable(f'the object API answered {response.status}')
                return msgspec.json.decode(await read_body(response, MAX_STORE_BYTES))
        except READ_ERRORS as error:
            raise StoreUnavailable(f'the object API cannot be read: {error!r}') from error

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, `None` if there is none."""
        data = await self.read_json(self.object_url(key))
        return None if data is None else to_stored_object(data)

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects below `prefix`."""
        data = await self.read_json(f'{self.url}/v1/objects', {'prefix': prefix})
        if data is None:
            raise StoreUnavailable('the object API has no list')
        return [to_stored_object(item) for item in data['objects']]

    async def put(self, key: str, value: dict[str, Any], expected_version: int) -> StoredObject:
        """Write if the version is still the expected one.

        The request is a POST: the HTTP library treats a PUT as idempotent and would retry it on its
        own after a lost response.
        """
        expected = versions.split(expected_version)
        try:
            async with self.session.post(
                self.object_url(key),
                params={'expected': str(expected.number), 'era': str(expected.era)},
                data=msgspec.json.encode(value),
                timeout=self.timeout,
            ) as response:
                body = await read_body(response, MAX_STORE_BYTES)
        except CONNECT_ERRORS as error:
            raise StoreUnavailable(f'the object API cannot be reached: {error!r}') from error
        except (aiohttp.ClientError, TimeoutError, AnswerTooLarge) as error:
            raise WriteUnknown(f'the answer to a write was lost: {error!r}') from error
        if response.status == STATUS_CONFLICT:
            raise VersionConflict(f'{key} is no longer at version {expected_version}')
        if response.status != STATUS_OK:
            raise WriteUnknown(f'the object API answered {response.status}')
        return to_stored_object(msgspec.json.decode(body))

    async def watch(self, prefix: str) -> AsyncIterator[StoredObject]:
        """Yield objects below `prefix` as they change; raise `StoreUnavailable` on errors."""
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=WATCH_SILENCE_TIMEOUT_S
        )
        try:
            async with self.session.get(
                f'{self.url}/v1/watch', params={'prefix': prefix}, timeout=timeout
            ) as response:
                if response.status != STATUS_OK:
                    raise StoreUnavailable(f'the object API answered {response.status}')
                async for line in read_lines(response):
                    if line.strip():
                        yield to_stored_object(msgspec.json.decode(line))
        except (aiohttp.ClientError, TimeoutError, ValueError, AnswerTooLarge) as error:
            raise StoreUnavailable(f'the watch ended: {error!r}') from error


class HttpBoxList(BoxList):
    """Read the box list over HTTP."""

    def __init__(self, *, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url.rstrip('/')
        self.session = session
        self.timeout = aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )

    async def boxes(self) -> list[BoxRecord]:
        """Return the boxes that the platform lists; raise `StoreUnavailable`."""
        try:
            async with self.session.get(f'{self.url}/v1/boxes', timeout=self.timeout) as response:
                data = msgspec.json.decode(await read_body(response, MAX_STORE_BYTES))
                if response.status != STATUS_OK:
                    raise StoreUnavailable(f'the box list answered {response.status}')
        except READ_ERRORS as error:
            raise StoreUnavailable(f'the box list cannot be read: {error!r}') from error
        return [BoxRecord(**item) for item in data['boxes']]


def to_stored_object(data: dict[str, Any]) -> StoredObject:
    """Convert an object from its decoded JSON form."""
    store_version = versions.StoreVersion(data.get('era', 0), data['version'])
    return StoredObject(data['key'], versions.join(store_version), data['value'])
