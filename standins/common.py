"""Provide what all stand-ins need to run as processes."""

from __future__ import annotations

import argparse
import asyncio
import signal
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_BODY_BYTES = 4 * 1024 * 1024


def json_response(data: Any, status: int = 200, **headers: str) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=msgspec.json.encode(data),
        status=status,
        content_type='application/json',
        headers=headers,
    )


async def read_json(request: web.Request) -> Any:
    """Return a request's JSON body."""
    return msgspec.json.decode(await request.read())


def new_app() -> web.Application:
    """Return an application that accepts bodies up to `MAX_BODY_BYTES`."""
    return web.Application(client_max_size=MAX_BODY_BYTES)


def parser(doc: str) -> argparse.ArgumentParser:
    """Return a parser with the flags common to all stand-ins."""
    arguments = argparse.ArgumentParser(description=doc)
    arguments.add_argument('--host', default='127.0.0.1')
    arguments.add_argument('--port', type=int, default=0, help='0 takes a free one')
    return arguments


async def serve(app: web.Application, host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT, after printing the address."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    bound = runner.addresses[0]
    print(f'listening on http://{bound[0]}:{bound[1]}', flush=True)
    await stop.wait()
    await runner.cleanup()


def run(
    args: argparse.Namespace, new_application: Callable[[argparse.Namespace], web.Application]
) -> None:
    """Run a stand-in as a process."""
    asyncio.run(serve(new_application(args), args.host, args.port))
