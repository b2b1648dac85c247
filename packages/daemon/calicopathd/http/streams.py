"""Stream answers as server-sent events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import msgspec

from calicopath_core.execution.requests import TokenSink

if TYPE_CHECKING:
    from sanic import Request
    from sanic.response import HTTPResponse

EVENT_STREAM = 'text/event-stream'
TEXT_EVENT = 'text'
DONE_EVENT = 'done'
BROKEN_EVENT = 'broken'


class EventStream(TokenSink):
    """Open the response at the first event, so that an earlier refusal has its own status."""

    def __init__(self, *, request: Request, request_id: str) -> None:
        self.request = request
        self.request_id = request_id
        self.response: HTTPResponse | None = None

    @property
    def started(self) -> bool:
        """Tell whether the response was opened."""
        return self.response is not None

    async def write(self, text: str) -> None:
        """Send a piece of the answer as a `text` event."""
        await self.send(TEXT_EVENT, {'text': text})

    async def send(self, name: str, data: dict[str, Any]) -> None:
        """Send one event, opening the response first if necessary."""
        if self.response is None:
            response = await self.request.respond(
                content_type=EVENT_STREAM,
                headers={'Cache-Control': 'no-store', 'X-Request-Id': self.request_id},
            )
            self.response = cast('HTTPResponse', response)
        line = b'event: ' + name.encode() + b'\ndata: ' + msgspec.json.encode(data) + b'\n\n'
        await self.response.send(line)

    async def finish(self, name: str, data: dict[str, Any]) -> None:
        """Send the last event and end the stream."""
        await self.send(name, data)
        assert self.response is not None
        await self.response.eof()
