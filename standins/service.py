"""Stand in for a plain service, which counts what it ran.

`run_first` makes the next calls take effect and then lose their answer; `reset_first` makes them
lose the connection before any effect.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from aiohttp import web

from standins.common import json_response, new_app, parser, read_json, run

if TYPE_CHECKING:
    import argparse


class ServiceStandIn:
    """Run calls and count them by idempotency key and by call."""

    def __init__(self, *, name: str, service_s: float) -> None:
        self.name = name
        self.service_s = service_s
        self.run_counts: Counter[str] = Counter()
        self.results: dict[str, Any] = {}
        self.running = 0
        self.run_first = 0
        self.reset_first = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = new_app()
        app.router.add_post('/v1/call', self.call)
        app.router.add_get('/v1/load', self.load)
        app.router.add_get('/admin/ran', self.get_ran)
        app.router.add_get('/admin/asked', self.get_asked)
        app.router.add_post('/admin/faults', self.set_faults)
        return app

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Run one call with the faults that are set."""
        body = await read_json(request)
        if self.reset_first > 0:
            self.reset_first -= 1
            self.close_connection(request)
        self.running += 1
        try:
            await asyncio.sleep(self.service_s)
        finally:
            self.running -= 1
        self.run_counts[body.get('idempotency_key') or body['call']] += 1
        result = {
            'service': self.name,
            'operation': body['params'].get('operation', ''),
            'text': body['input']['text'],
        }
        self.results[body['call']] = result
        if self.run_first > 0:
            self.run_first -= 1
            self.close_connection(request)
        return json_response({'call': body['call'], 'output': {'result': result}})

    def close_connection(self, request: web.Request) -> None:
        """Close the caller's connection without a response."""
        assert request.transport is not None
        request.transport.abort()
        raise web.HTTPServiceUnavailable

    async def load(self, request: web.Request) -> web.StreamResponse:
        """Return the load."""
        return json_response({'running': self.running, 'waiting': 0, 'measured_at': time.time()})

    async def get_ran(self, request: web.Request) -> web.StreamResponse:
        """Return the number of runs per key."""
        return json_response(self.run_counts)

    async def get_asked(self, request: web.Request) -> web.StreamResponse:
        """Return every call with its result."""
        return json_response(self.results)

    async def set_faults(self, request: web.Request) -> web.StreamResponse:
        """Set how many of the next calls lose their connection after or before they run."""
        body = await read_json(request)
        self.run_first = body.get('run_first', 0)
        self.reset_first = body.get('reset_first', 0)
        return json_response({})


def new_service(args: argparse.Namespace) -> web.Application:
    """Return the stand-in's application."""
    return ServiceStandIn(name=args.name, service_s=args.service_ms / 1000).app()


if __name__ == '__main__':
    found = parser(__doc__ or '')
    found.add_argument('--name', required=True)
    found.add_argument('--service-ms', type=float, default=10)
    run(found.parse_args(), new_service)
