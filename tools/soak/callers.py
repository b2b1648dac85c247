"""Send callers' requests over real connections and note exactly what comes back."""

from __future__ import annotations

import asyncio
import contextlib
import re
from typing import TYPE_CHECKING, NamedTuple

from tools.soak.records import STREAM_KINDS, RequestKind, RequestRecord

if TYPE_CHECKING:
    from collections.abc import Callable

EVENT_VERSION = re.compile(rb'^data: t\d+ (.*)$', re.MULTILINE)
EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


class Response(NamedTuple):
    """Hold one response; `is_complete` tells whether it ended properly."""

    status: int
    is_complete: bool
    has_seal: bool
    body: bytes
    closes_connection: bool
    replica_is_leaving: bool = False
    retry_after_s: float = 0.0
    replica_is_limited: bool = False


NO_RESPONSE = Response(0, False, False, b'', True)


class CallerRequest(NamedTuple):
    """Hold what a caller sends, to which box in which of its lives."""

    call_id: str
    kind: RequestKind
    box: int
    incarnation: int
    data: bytes
    probed_version: int
    crash_path: str = ''
    crash_part: str = ''
    resumed_call_id: str = ''
    last_event_id: int = 0


class CallerConnection:
    """Keep one connection to one box, and open it anew when it is gone."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(self, data: bytes) -> Response:
        """Send a request and read its answer."""
        try:
            if self.writer is None or self.writer.is_closing():
                host, _, port = self.address.rpartition(':')
                self.reader, self.writer = await asyncio.open_connection(host, int(port))
            assert self.reader is not None
            self.writer.write(data)
            await self.writer.drain()
            response = await read_response(self.reader)
        except (OSError, EOFError):
            self.close()
            return NO_RESPONSE
        if response.closes_connection or not response.is_complete:
            self.close()
        return response

    def close(self) -> None:
        """Give the connection up."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Return the next answer; raise `EOFError` or `OSError` if there is no head."""
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split(b' ', 2)[1])
    lower_head = head.lower()
    has_seal = b'\r\nresponse-seal:' in lower_head
    closes_connection = b'\r\nconnection: close' in lower_head
    content_length = re.search(rb'\r\ncontent-length: (\d+)', lower_head)
    if content_length is not None:
        body, is_complete = await read_sized_body(reader, int(content_length[1]))
    elif b'\r\ntransfer-encoding: chunked' in lower_head:
        body, is_complete = await read_chunked_body(reader)
    else:
        body, is_complete = b'', False
    replica_is_leaving = b'\r\nserver-leaving: 1\r\n' in lower_head
    retry_after = re.search(rb'\r\nretry-after: ([\d.]+)', lower_head)
    retry_after_s = float(retry_after[1]) if retry_after is not None else 0.0
    replica_is_limited = b'\r\nserver-limit: ' in lower_head
    return Response(
        status,
        is_complete,
        has_seal,
        body,
        closes_connection,
        replica_is_leaving,
        retry_after_s,
        replica_is_limited,
    )


async def read_sized_body(reader: asyncio.StreamReader, length: int) -> tuple[bytes, bool]:
    """Return a body of some length, and whether all of it came."""
    try:
        return await reader.readexactly(length), True
    except asyncio.IncompleteReadError as error:
        return error.partial, False
    except OSError:
        return b'', False


async def read_chunked_body(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a body in chunks, and whether its last chunk came."""
    body = b''
    with contextlib.suppress(OSError, EOFError, ValueError):
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    return body, False


async def send_request(
    connection: CallerConnection,
    request: CallerRequest,
    clock: Callable[[], float],
    timeout_s: float,
) -> RequestRecord:
    """Send a question and return what was seen; one without an answer in time is given up."""
    started_at = clock()
    response = NO_RESPONSE
    try:
        async with asyncio.timeout(timeout_s):
            response = await connection.send(request.data)
    except TimeoutError:
        connection.close()
    is_stream = request.kind in STREAM_KINDS and response.status == 200
    event_ids = tuple(int(found) for found in EVENT_ID.findall(response.body)) if is_stream else ()
    versions = EVENT_VERSION.findall(response.body) if is_stream else ()
    return RequestRecord(
        call_id=request.call_id,
        kind=request.kind,
        box=request.box,
        incarnation=request.incarnation,
        started_at=started_at,
        ended_at=clock(),
        status=response.status,
        is_complete=response.is_complete,
        has_seal=response.has_seal,
        body=response.body[:200],
        event_ids=event_ids,
        probed_version=request.probed_version,
        replica_is_leaving=response.replica_is_leaving,
        crash_path=request.crash_path,
        crash_part=request.crash_part,
        retry_after_s=response.retry_after_s,
        replica_is_limited=response.replica_is_limited,
        event_versions=tuple(version.decode() for version in versions),
        resumed_call_id=request.resumed_call_id,
        last_event_id=request.last_event_id,
    )
