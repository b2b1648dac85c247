"""Send callers' requests over real connections and note exactly what comes back."""

from __future__ import annotations

import asyncio
import contextlib
import re
from typing import TYPE_CHECKING, NamedTuple

from tools.soak.records import STREAMS, RequestKind, Seen

if TYPE_CHECKING:
    from collections.abc import Callable

EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


class Answer(NamedTuple):
    """Hold one answer as it came; `whole` says that it had its proper end."""

    status: int
    whole: bool
    sealed: bool
    body: bytes
    closes: bool
    leaving: bool = False
    retry_after_s: float = 0.0
    limited: bool = False


NO_ANSWER = Answer(0, False, False, b'', True)


class Question(NamedTuple):
    """Hold what a caller sends, to which box in which of its lives."""

    call_id: str
    kind: RequestKind
    box: int
    life: int
    data: bytes
    since: int
    deadly: str = ''


class CallerConnection:
    """Keep one connection to one box, and open it anew when it is gone."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, data: bytes) -> Answer:
        """Send a request and read its answer."""
        try:
            if self.writer is None or self.writer.is_closing():
                host, _, port = self.address.rpartition(':')
                self.reader, self.writer = await asyncio.open_connection(host, int(port))
            assert self.reader is not None
            self.writer.write(data)
            await self.writer.drain()
            answer = await read_answer(self.reader)
        except (OSError, EOFError):
            self.close()
            return NO_ANSWER
        if answer.closes or not answer.whole:
            self.close()
        return answer

    def close(self) -> None:
        """Give the connection up."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer; raise `EOFError` or `OSError` if there is no head."""
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split(b' ', 2)[1])
    lowered = head.lower()
    sealed = b'\r\nresponse-seal:' in lowered
    closes = b'\r\nconnection: close' in lowered
    length = re.search(rb'\r\ncontent-length: (\d+)', lowered)
    if length is not None:
        body, whole = await read_length(reader, int(length[1]))
    elif b'\r\ntransfer-encoding: chunked' in lowered:
        body, whole = await read_chunks(reader)
    else:
        body, whole = b'', False
    leaving = b'\r\nserver-leaving: 1\r\n' in lowered
    wish = re.search(rb'\r\nretry-after: ([\d.]+)', lowered)
    retry_after_s = float(wish[1]) if wish is not None else 0.0
    limited = b'\r\nserver-limit: ' in lowered
    return Answer(status, whole, sealed, body, closes, leaving, retry_after_s, limited)


async def read_length(reader: asyncio.StreamReader, length: int) -> tuple[bytes, bool]:
    """Return a body of some length, and whether all of it came."""
    try:
        return await reader.readexactly(length), True
    except asyncio.IncompleteReadError as error:
        return error.partial, False
    except OSError:
        return b'', False


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
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


async def ask(
    connection: CallerConnection, question: Question, clock: Callable[[], float], patience_s: float
) -> Seen:
    """Send a question and return what was seen; one without an answer in time is given up."""
    began = clock()
    answer = NO_ANSWER
    try:
        async with asyncio.timeout(patience_s):
            answer = await connection.ask(question.data)
    except TimeoutError:
        connection.close()
    stream = question.kind in STREAMS and answer.status == 200
    ids = tuple(int(found) for found in EVENT_ID.findall(answer.body)) if stream else ()
    return Seen(
        call_id=question.call_id,
        kind=question.kind,
        box=question.box,
        life=question.life,
        began=began,
        ended=clock(),
        status=answer.status,
        whole=answer.whole,
        sealed=answer.sealed,
        body=answer.body[:200],
        event_ids=ids,
        since=question.since,
        leaving=answer.leaving,
        deadly=question.deadly,
        retry_after_s=answer.retry_after_s,
        limited=answer.limited,
    )
