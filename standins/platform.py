"""Stand in for the platform: object API with versions and watches, box list, faults.

Faults are set by `POST /admin/faults`: `down` refuses everything, `slow_s` delays each answer,
`lose_answers` closes the connection after a write took effect, `silent_watches` stops sending
events without ending the watch. `POST /admin/copy` takes a copy, `POST /admin/restore` has the
platform come back from it: numbers are given out again, under an era one higher.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from standins.common import json_response, new_app, parser, read_json, run

if TYPE_CHECKING:
    import argparse

KEEP_ALIVE_S = 5.0


class Faults:
    """Hold the active faults."""

    def __init__(self) -> None:
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.silent_watches = False


class PlatformStandIn:
    """Store objects in memory, with one version sequence for all keys in each era."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Any]] = {}
        self.version = 0
        self.era = 0
        self.snapshot: tuple[int, dict[str, dict[str, Any]]] = (0, {})
        self.boxes: dict[str, dict[str, Any]] = {}
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self.watchers: dict[asyncio.Queue[dict[str, Any]], str] = {}

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = new_app()
        app.router.add_get('/v1/objects', self.list)
        app.router.add_get('/v1/objects/{key:.+}', self.get)
        app.router.add_post('/v1/objects/{key:.+}', self.put)
        app.router.add_get('/v1/watch', self.watch)
        app.router.add_get('/v1/boxes', self.list_boxes)
        app.router.add_put('/admin/boxes/{name}', self.put_box)
        app.router.add_delete('/admin/boxes/{name}', self.delete_box)
        app.router.add_post('/admin/faults', self.set_faults)
        app.router.add_get('/admin/counts', self.get_counts)
        app.router.add_post('/admin/copy', self.take_snapshot)
        app.router.add_post('/admin/restore', self.restore)
        return app

    async def apply_faults(self, request: web.Request, kind: str) -> None:
        """Count a call and apply the faults that come before any effect."""
        self.counts[kind] += 1
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.down:
            self.close_connection(request)

    def close_connection(self, request: web.Request) -> None:
        """Close the caller's connection without a response."""
        if request.transport is not None:
            request.transport.close()
        raise web.HTTPServiceUnavailable

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Return one object."""
        await self.apply_faults(request, 'read')
        found = self.objects.get(request.match_info['key'])
        return json_response(found) if found else json_response({'error': 'absent'}, 404)

    async def list(self, request: web.Request) -> web.StreamResponse:
        """Return all objects below a prefix."""
        await self.apply_faults(request, 'read')
        prefix = request.query['prefix']
        found = [item for key, item in self.objects.items() if key.startswith(prefix)]
        return json_response({'objects': found})

    async def put(self, request: web.Request) -> web.StreamResponse:
        """Write an object if its version is the expected one."""
        key = request.match_info['key']
        value = await read_json(request)
        await self.apply_faults(request, 'write')
        held = self.objects.get(key)
        found = (held['era'], held['version']) if held else (0, 0)
        if found != (int(request.query.get('era', 0)), int(request.query['expected'])):
            return json_response({'found': found}, 409)
        self.version += 1
        stored = {'key': key, 'era': self.era, 'version': self.version, 'value': value}
        self.objects[key] = stored
        self.publish(stored)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self.close_connection(request)
        return json_response(stored)

    def publish(self, stored: dict[str, Any]) -> None:
        """Send a change to the watches of its prefix."""
        if self.faults.silent_watches:
            return
        for queue, prefix in self.watchers.items():
            if stored['key'].startswith(prefix):
                queue.put_nowait(stored)

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Stream changes below a prefix until the caller leaves or the platform goes down."""
        await self.apply_faults(request, 'watch')
        response = web.StreamResponse()
        await response.prepare(request)
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.watchers[queue] = request.query['prefix']
        try:
            while not self.faults.down:
                line = b'\n'
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(KEEP_ALIVE_S):
                        line = msgspec.json.encode(await queue.get()) + b'\n'
                if self.faults.down:
                    break
                await response.write(line)
        finally:
            del self.watchers[queue]
        return response

    async def list_boxes(self, request: web.Request) -> web.StreamResponse:
        """Return the box list."""
        await self.apply_faults(request, 'read')
        return json_response({'boxes': list(self.boxes.values())})

    async def put_box(self, request: web.Request) -> web.StreamResponse:
        """Add a box to the list, as the platform does when it creates one."""
        name = request.match_info['name']
        self.boxes[name] = {'name': name, 'leaving': False, **await read_json(request)}
        return json_response(self.boxes[name])

    async def delete_box(self, request: web.Request) -> web.StreamResponse:
        """Remove a box from the list."""
        self.boxes.pop(request.match_info['name'], None)
        return json_response({})

    async def set_faults(self, request: web.Request) -> web.StreamResponse:
        """Switch faults on or off."""
        for name, value in (await read_json(request)).items():
            if not hasattr(self.faults, name):
                return json_response({'error': f'no fault {name!r}'}, 400)
            setattr(self.faults, name, value)
        if self.faults.down:
            self.end_watches()
        return json_response(vars(self.faults))

    async def take_snapshot(self, request: web.Request) -> web.StreamResponse:
        """Take a snapshot for `restore`."""
        self.snapshot = (self.version, dict(self.objects))
        return json_response({'version': self.version})

    async def restore(self, request: web.Request) -> web.StreamResponse:
        """Restore the latest snapshot."""
        version, objects = self.snapshot
        self.version, self.objects = version, dict(objects)
        self.era += 1
        self.end_watches()
        return json_response({'era': self.era})

    def end_watches(self) -> None:
        """Wake every watch so that it sees the platform down."""
        for queue in self.watchers:
            queue.put_nowait({})

    async def get_counts(self, request: web.Request) -> web.StreamResponse:
        """Return the counts of calls and the number of waiting watches."""
        return json_response({**self.counts, 'waiting_watches': len(self.watchers)})


def new_platform(args: argparse.Namespace) -> web.Application:
    """Return the stand-in's application."""
    return PlatformStandIn().app()


if __name__ == '__main__':
    run(parser(__doc__ or '').parse_args(), new_platform)
