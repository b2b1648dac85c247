"""Send requests to daemons over HTTP and read the responses."""

from __future__ import annotations

import json
import time
import uuid
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    import aiohttp

    from testkit.processes import Process


class SampleRequest(NamedTuple):
    """Describe one sample request; `twice` sends it again with the same idempotency key."""

    workspace: str
    pipeline: str
    input: str
    repeatable: bool = True
    stream: bool = False
    twice: bool = False


class Reply(NamedTuple):
    """Hold a response: status, final body, and the streamed text (`None` without a stream)."""

    status: int
    body: dict[str, Any]
    streamed: str | None
    key: str | None

    @property
    def outcome(self) -> str:
        """Return answered, refused or failed."""
        if self.status == 200 and 'output' in self.body:
            return 'answered'
        return 'refused' if self.body.get('outcome') == 'refused-not-run' else 'failed'


def new_idempotency_key() -> str:
    """Return an idempotency key: a UUID of version 7, which contains its creation time."""
    time_ms = time.time_ns() // 1_000_000
    random_bits = uuid.uuid4().int & ((1 << 76) - 1)
    number = (time_ms << 80) | (0x7 << 76) | random_bits
    number = (number & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=number))


async def send(
    session: aiohttp.ClientSession, box: Process, sample: SampleRequest, key: str | None
) -> Reply:
    """Send one request and read the whole response."""
    url = f'{box.url}/v1/workspaces/{sample.workspace}/pipelines/{sample.pipeline}/requests'
    body = {'input': sample.input, 'repeatable': sample.repeatable, 'stream': sample.stream}
    headers = {'Idempotency-Key': key} if key else {}
    async with session.post(url, json=body, headers=headers) as answer:
        if answer.content_type != 'text/event-stream':
            return Reply(answer.status, await answer.json(content_type=None), None, key)
        streamed, final = read_events((await answer.read()).decode())
        return Reply(answer.status, final, streamed, key)


def read_events(stream: str) -> tuple[str, dict[str, Any]]:
    """Return the concatenated text and the final event of an event stream."""
    text: list[str] = []
    final: dict[str, Any] = {}
    for block in stream.strip().split('\n\n'):
        name, data = (line.split(': ', 1)[1] for line in block.split('\n'))
        if name == 'text':
            text.append(json.loads(data)['text'])
        else:
            final = json.loads(data)
    return ''.join(text), final
