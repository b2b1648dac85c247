"""Stand in for a stage pool: encoder, retriever or reranker, by flag.

Answers are fixed functions of the request, so that they can be checked.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from typing import TYPE_CHECKING, Any

from standins.common import json_response, new_app, parser, read_json, run

if TYPE_CHECKING:
    import argparse

    from aiohttp import web

VECTOR_SIZE = 8
CORPUS_SIZE = 50


def encode(data: dict[str, Any], params: dict[str, Any]) -> dict[str, Any]:
    """Return a small vector for a text."""
    digest = hashlib.sha256(data['text'].encode()).digest()
    return {'vector': [round(byte / 255, 4) for byte in digest[:VECTOR_SIZE]]}


def retrieve(data: dict[str, Any], params: dict[str, Any]) -> dict[str, Any]:
    """Return the documents nearest to a vector, by a fixed rule."""
    start = int(sum(data['vector']) * 1000)
    collection = params.get('collection', 'documents')
    count = int(params.get('top_k', 4))
    return {'documents': [f'{collection}-{(start + 7 * i) % CORPUS_SIZE}' for i in range(count)]}


def rerank(data: dict[str, Any], params: dict[str, Any]) -> dict[str, Any]:
    """Return the best documents, in a fixed order that depends on the text."""

    def score(document: str) -> str:
        return hashlib.sha256(f'{data["text"]}|{document}'.encode()).hexdigest()

    keep = int(params.get('keep', 2))
    return {'documents': sorted(data['documents'], key=score)[:keep]}


STAGE_FUNCTIONS = {'encoder': encode, 'retriever': retrieve, 'reranker': rerank}


class StagePoolStandIn:
    """Run calls with limited concurrency."""

    def __init__(self, *, kind: str, concurrency: int, service_s: float) -> None:
        self.kind = kind
        self.slots = asyncio.Semaphore(concurrency)
        self.service_s = service_s
        self.running = 0
        self.waiting = 0
        self.outputs: dict[str, Any] = {}

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = new_app()
        app.router.add_post('/v1/call', self.call)
        app.router.add_get('/v1/load', self.load)
        app.router.add_get('/admin/asked', self.get_asked)
        return app

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Run one call."""
        body = await read_json(request)
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            try:
                await asyncio.sleep(self.service_s)
            finally:
                self.running -= 1
        output = STAGE_FUNCTIONS[self.kind](body['input'], body['params'])
        self.outputs[body['call']] = output
        return json_response({'call': body['call'], 'output': output})

    async def load(self, request: web.Request) -> web.StreamResponse:
        """Return the load."""
        return json_response(
            {'running': self.running, 'waiting': self.waiting, 'measured_at': time.time()}
        )

    async def get_asked(self, request: web.Request) -> web.StreamResponse:
        """Return every call with its output."""
        return json_response(self.outputs)


def new_stage_pool(args: argparse.Namespace) -> web.Application:
    """Return the stand-in's application."""
    return StagePoolStandIn(
        kind=args.kind, concurrency=args.concurrency, service_s=args.service_ms / 1000
    ).app()


if __name__ == '__main__':
    found = parser(__doc__ or '')
    found.add_argument('--kind', choices=sorted(STAGE_FUNCTIONS), required=True)
    found.add_argument('--concurrency', type=int, default=8)
    found.add_argument('--service-ms', type=float, default=10)
    run(found.parse_args(), new_stage_pool)
