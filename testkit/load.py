"""Send requests to running daemons and judge each answer."""

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
    """Hold a request and what became of it; no reply means that the connection broke."""

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
        """Tell whether an answer is the one to this very request."""
        if self.reply is None or self.reply.outcome != 'answered':
            return True
        output = self.reply.body['output']
        streamed = self.reply.streamed
        return self.sample.input in output and streamed in (None, output)


class LoadGenerator:
    """Keep a few clients busy, each with one request after another, in turn over the boxes."""

    def __init__(self, *, boxes: Sequence[Process], samples: Sequence[SampleRequest]) -> None:
        self.boxes = list(boxes)
        self.samples = samples
        self.results: list[Result] = []
        self.sent_count = 0
        self.is_stopping = False

    async def run_client(self, session: aiohttp.ClientSession) -> None:
        """Send until told to stop."""
        while not self.is_stopping:
            self.sent_count += 1
            sample = self.samples[self.sent_count % len(self.samples)]
            sample = sample._replace(input=f'{sample.input} #{self.sent_count}#')
            # Divided first, so that every box gets every kind of request.
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
        """Run clients in the background and let their last requests end."""
        timeout = aiohttp.ClientTimeout(total=20)
        async with aiohttp.ClientSession(timeout=timeout) as session, asyncio.TaskGroup() as group:
            for _ in range(clients):
                group.create_task(self.run_client(session))
            try:
                yield self
            finally:
                self.is_stopping = True

    def outcomes(self, box: str | None = None) -> Counter[str]:
        """Count the outcomes, of one box or of all."""
        return Counter(item.outcome for item in self.results if box in (None, item.box))
