"""Stand in for a model engine: streams tokens, batches, reports load late, resumes by offset.

The answer is a fixed function of the request, so that a resumed stream can be compared byte for
byte with an undisturbed one. Tokens are a few bytes each and split characters on purpose.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import heapq
import itertools
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from aiohttp import web

from standins.common import json_response, new_app, parser, read_json, run

if TYPE_CHECKING:
    import argparse

DEFAULT_MAX_TOKENS = 64
TOKEN_SIZES = (3, 4, 2, 5)
"""Bytes per token, in rotation; tokens split the characters outside ASCII."""


class EngineSettings(NamedTuple):
    """Hold the engine's parameters; times are in seconds."""

    concurrency: int
    queue_limit: int
    first_token_s: float
    token_s: float
    report_lag_s: float


def answer_tokens(params: dict[str, Any], data: dict[str, Any]) -> list[bytes]:
    """Return the whole answer as tokens."""
    documents = '; '.join(data.get('documents', []))
    text = f'{params.get("instruction", "")} {data["text"]} — {documents}'.strip()
    limit = int(params.get('max_tokens', DEFAULT_MAX_TOKENS))
    encoded = text.encode()
    tokens: list[bytes] = []
    position = 0
    for size in itertools.cycle(TOKEN_SIZES):
        if position >= len(encoded) or len(tokens) >= limit:
            break
        tokens.append(encoded[position : position + size])
        position += size
    return trim_to_whole_characters(tokens)


def trim_to_whole_characters(tokens: list[bytes]) -> list[bytes]:
    """Trim the last tokens so that the answer ends with a whole character."""
    joined = b''.join(tokens)
    whole = joined.decode(errors='ignore').encode()
    excess = len(joined) - len(whole)
    while excess and tokens:
        last = tokens.pop()
        if len(last) > excess:
            tokens.append(last[: len(last) - excess])
            break
        excess -= len(last)
    return tokens


class EngineStandIn:
    """Generate for a limited number of calls at once; the others wait by priority."""

    def __init__(self, *, settings: EngineSettings) -> None:
        self.settings = settings
        self.running: set[str] = set()
        self.waiting: list[tuple[int, int, str, asyncio.Future[None]]] = []
        self.numbers = itertools.count()
        self.cancelled: set[str] = set()
        self.answer_digests: dict[str, str] = {}
        self.load_report = {'running': 0, 'waiting': 0, 'measured_at': 0.0}
        self.cut_after: int | None = None

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = new_app()
        app.router.add_post('/v1/generate', self.generate)
        app.router.add_delete('/v1/generate/{call}', self.cancel)
        app.router.add_get('/v1/load', self.load)
        app.router.add_get('/admin/asked', self.get_asked)
        app.router.add_post('/admin/faults', self.set_faults)
        app.cleanup_ctx.append(self.run_load_reports)
        return app

    async def run_load_reports(self, app: web.Application) -> Any:
        """Refresh the load report in the background."""
        task = asyncio.create_task(self.refresh_load_report())
        yield
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def refresh_load_report(self) -> None:
        """Refresh the report every `report_lag_s` seconds, so that reports lag."""
        while True:
            self.load_report = {
                'running': len(self.running),
                'waiting': len(self.waiting),
                'measured_at': time.time(),
            }
            await asyncio.sleep(self.settings.report_lag_s)

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Stream one response as lines of JSON."""
        body = await read_json(request)
        call = body['call']
        if len(self.waiting) >= self.settings.queue_limit:
            return json_response({'error': 'queue full'}, 429, **{'Retry-After': '0.2'})
        tokens = answer_tokens(body['params'], body['input'])
        offset = body['offset']
        if b''.join(tokens[:offset]) != base64.b64decode(body['prefix']):
            return json_response({'error': 'prefix does not match'}, 400)
        self.answer_digests[call] = hashlib.sha256(b''.join(tokens)).hexdigest()
        await self.acquire_slot(call, body['priority'])
        try:
            return await self.stream(request, call, tokens, offset)
        finally:
            self.release_slot(call)

    async def acquire_slot(self, call: str, priority: int) -> None:
        """Wait for a slot in the batch."""
        if len(self.running) >= self.settings.concurrency:
            future = asyncio.get_running_loop().create_future()
            entry = (-priority, next(self.numbers), call, future)
            heapq.heappush(self.waiting, entry)
            try:
                await future
            except asyncio.CancelledError:
                if entry in self.waiting:
                    self.waiting.remove(entry)
                    heapq.heapify(self.waiting)
                else:
                    self.release_slot(call)
                raise
            return
        self.running.add(call)

    def release_slot(self, call: str) -> None:
        """Give the slot to the next waiting call."""
        self.running.discard(call)
        self.cancelled.discard(call)
        while self.waiting:
            _, _, next_call, future = heapq.heappop(self.waiting)
            if not future.done():
                self.running.add(next_call)
                future.set_result(None)
                return

    async def stream(
        self, request: web.Request, call: str, tokens: list[bytes], offset: int
    ) -> web.StreamResponse:
        """Send the tokens from `offset` on, at the engine's pace."""
        response = web.StreamResponse(headers={'Content-Type': 'application/x-ndjson'})
        await response.prepare(request)
        await asyncio.sleep(self.settings.first_token_s)
        started = time.monotonic()
        for number, token in enumerate(tokens[offset:], start=offset):
            if call in self.cancelled:
                return response
            if self.cut_after is not None and number - offset >= self.cut_after:
                self.cut_after = None
                assert request.transport is not None
                request.transport.abort()
                return response
            line = {'call': call, 'offset': number, 'data': base64.b64encode(token).decode()}
            await response.write(msgspec.json.encode(line) + b'\n')
            due = started + (number - offset + 1) * self.settings.token_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await response.write(msgspec.json.encode({'call': call, 'end': len(tokens)}) + b'\n')
        await response.write_eof()
        return response

    async def cancel(self, request: web.Request) -> web.StreamResponse:
        """Stop one generation."""
        call = request.match_info['call']
        if call in self.running:
            self.cancelled.add(call)
        return json_response({})

    async def load(self, request: web.Request) -> web.StreamResponse:
        """Return the latest load report."""
        return json_response(self.load_report)

    async def get_asked(self, request: web.Request) -> web.StreamResponse:
        """Return the received calls with the digest of each one's whole answer."""
        return json_response(self.answer_digests)

    async def set_faults(self, request: web.Request) -> web.StreamResponse:
        """Set the number of tokens after which the next stream breaks."""
        self.cut_after = (await read_json(request)).get('cut_after')
        return json_response({'cut_after': self.cut_after})


def new_engine(args: argparse.Namespace) -> web.Application:
    """Return the stand-in's application."""
    settings = EngineSettings(
        concurrency=args.concurrency,
        queue_limit=args.queue,
        first_token_s=args.first_token_ms / 1000,
        token_s=args.token_ms / 1000,
        report_lag_s=args.report_lag_ms / 1000,
    )
    return EngineStandIn(settings=settings).app()


if __name__ == '__main__':
    found = parser(__doc__ or '')
    found.add_argument('--concurrency', type=int, default=8)
    found.add_argument('--queue', type=int, default=64)
    found.add_argument('--first-token-ms', type=float, default=60)
    found.add_argument('--token-ms', type=float, default=4)
    found.add_argument('--report-lag-ms', type=float, default=1000)
    run(found.parse_args(), new_engine)
