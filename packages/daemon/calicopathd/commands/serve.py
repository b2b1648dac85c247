"""Run the daemon from start to planned stop."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import structlog
import uvloop

from calicopath_clients.sessions import new_session
from calicopathd import events
from calicopathd.box.box import Box
from calicopathd.box.tasks import keep_running
from calicopathd.http.app import bind, new_app
from calicopathd.logs import set_up_logs

if TYPE_CHECKING:
    import socket

    from sanic.server.async_server import AsyncioServer

    from calicopathd.config.settings import Settings

log = structlog.get_logger(__name__)

READY_POLL_S = 0.05


def serve(settings: Settings) -> None:
    """Serve until a stop signal, then end every request in progress and return."""
    set_up_logs(
        level=settings.log_level.upper(), json=settings.log_format == 'json', box=settings.box
    )
    uvloop.run(serve_until_stopped(settings))


async def serve_until_stopped(settings: Settings) -> None:
    """Start all parts, wait for a stop signal, and stop in order."""
    listener = bind(settings.listen)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with new_session() as session:
        box = Box(settings=settings, session=session)
        server = await start_server(box, listener)
        host, port = listener.getsockname()[:2]
        events.emit(log, events.STARTED, listen=f'{host}:{port}')
        print(f'listening on http://{host}:{port}', flush=True)
        tasks = [
            asyncio.create_task(keep_running('feed', box.feed.run)),
            asyncio.create_task(keep_running('load', box.poller.run)),
            asyncio.create_task(report_ready(box)),
        ]
        await stop.wait()
        await stop_serving(box)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        server.close()
        await server.wait_closed()
    events.emit(log, events.STOPPED)


async def start_server(box: Box, listener: socket.socket) -> AsyncioServer:
    """Start the web server inside this process and event loop."""
    app = new_app(box)
    server = await app.create_server(sock=listener, return_asyncio_server=True, access_log=False)
    assert server is not None
    await server.startup()
    await server.start_serving()
    return server


async def report_ready(box: Box) -> None:
    """Log when the box becomes ready."""
    while not box.ready():
        await asyncio.sleep(READY_POLL_S)
    events.emit(log, events.READY, objects=len(box.view.entries))


async def stop_serving(box: Box) -> None:
    """Leave without cutting a request: not ready, then refusing, then idle."""
    box.lifecycle.leave()
    events.emit(log, events.LEAVING, in_progress=box.lifecycle.in_progress)
    await asyncio.sleep(box.settings.leave_grace_s)
    box.lifecycle.refuse()
    events.emit(log, events.REFUSING, in_progress=box.lifecycle.in_progress)
    await box.lifecycle.idle.wait()
    while box.executor.late:
        await asyncio.wait(set(box.executor.late))
