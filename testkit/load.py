"""Send requests to running daemons and check each response."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from testkit.callers import Reply, SampleRequest, new_idempotency_key, send

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from testkit.processes import Process


class Result(NamedTuple):
    """Hold a request and its reply; `None` means that the connection broke."""

    box: str
    sample: SampleRequest
    key: str | None
    reply: Reply | None

    @property
    def outcome(self) -> str:
        """Return answered, refused, failed or broken."""
        return self.reply.outcome if self.reply else 'broken'

    @property
    def is_correct(self) -> bool:
        """Tell whether an answer belongs to this request; other outcomes are always correct."""
        if self.reply is None or self.reply.outcome != 'answered':
            return True
        output = self.reply.body['output']
        streamed = self.reply.streamed
        return self.sample.input in output and streamed in (None, output)


class LoadGenerator:
    """Run clients that each send one request after another, in turn to all boxes."""

    def __init__(self, *, boxes: Sequence[Process], samples: Sequence[SampleRequest]) -> None:
        self.boxes = list(boxes)
        self.samples = samples
        self.results: list[Result] = []
        self.sent_count = 0
        self.is_stopping = False

    async def run_client(self, session: aiohttp.ClientSession) -> None:
        """Send requests until `is_stopping` is set."""
        while not self.is_stopping:
            self.sent_count += 1
            sample = self.samples[self.sent_count % len(self.samples)]
            sample = sample._replace(input=f'{sample.input} #{self.sent_count}#')
            # The quotient selects the box, so that every box gets every kind of sample.
            box = self.boxes[self.sent_count // len(self.samples) % len(self.boxes)]
            self.results.append(await self.send_request(session, box, sample))

    async def send_request(
        self, session: aiohttp.ClientSession, box: Process, sample: SampleRequest
    ) -> Result:
        """Send one request."""
        key = None if sample.repeatable else new_idempotency_key()
        reply = None
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            reply = await send(session, box, sample, key)
        if reply is None:
            await asyncio.sleep(0.05)
        return Result(box.name, sample, key, reply)

    @contextlib.asynccontextmanager
    async def running(self, clients: int) -> AsyncIterator[LoadGenerator]:
        """Run clients in the background and wait for their last requests on exit."""
        timeout = aiohttp.ClientTimeout(total=20)
        async with aiohttp.ClientSession(timeout=timeout) as session, asyncio.TaskGroup() as group:
            for _ in range(clients):
                group.create_task(self.run_client(session))
            try:
                yield self
            finally:
                self.is_stopping = True

    def outcomes(self, box: str | None = None) -> Counter[str]:
        """Count the outcomes of one box, or of all boxes."""
        return Counter(item.outcome for item in self.results if box in (None, item.box))
