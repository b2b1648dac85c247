"""Start and stop a box: its web server and its background tasks."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import structlog

from calicopathd import events
from calicopathd.box.box import Box
from calicopathd.box.monitor import Monitor
from calicopathd.box.tasks import keep_running
from calicopathd.http.app import CallerProtocol, bind_listener, new_app

if TYPE_CHECKING:
    import aiohttp
    from sanic.server.async_server import AsyncioServer

    from calicopathd.config.settings import Settings

log = structlog.get_logger(__name__)

CLAIM_FLUSH_TIMEOUT_S = 2.0
"""Time for which a stopping box waits for its pending claim writes."""


class BoxRunner:
    """Run one box inside the current event loop."""

    def __init__(
        self, *, settings: Settings, session: aiohttp.ClientSession, optimise: bool = False
    ) -> None:
        self.optimise = optimise
        self.listener = bind_listener(settings.listen)
        self.box = Box(settings=settings, session=session)
        self.server: AsyncioServer | None = None
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def address(self) -> str:
        """Return the address on which callers are served."""
        host, port = self.listener.getsockname()[:2]
        return f'{host}:{port}'

    async def start(self) -> None:
        """Start the web server and the background tasks."""
        name = f'calicopathd-{uuid.uuid4().hex}'
        app = new_app(self.box, name, optimise=self.optimise)
        server = await app.create_server(
            sock=self.listener,
            return_asyncio_server=True,
            access_log=False,
            protocol=CallerProtocol,
        )
        assert server is not None
        await server.startup()
        await server.start_serving()
        self.server = server
        work = {
            'peers': self.box.transport.run,
            'roles': self.box.relay_controller.run,
            'lag': self.box.lag.run,
            'monitor': Monitor(box=self.box).run,
        }
        self.tasks = [asyncio.create_task(keep_running(*item)) for item in work.items()]

    async def leave(self) -> None:
        """Drain the box: report not ready, refuse new requests, wait for those in progress."""
        lifecycle = self.box.lifecycle
        lifecycle.leave()
        self.box.gossip.leave()
        events.emit(log, events.LEAVING, in_progress=lifecycle.in_progress)
        await asyncio.sleep(self.box.settings.leave_grace_s)
        lifecycle.refuse()
        events.emit(log, events.REFUSING, in_progress=lifecycle.in_progress)
        await lifecycle.idle.wait()
        while self.box.executor.background_tasks:
            await asyncio.wait(set(self.box.executor.background_tasks))
        # Answers and releases of claims, own and forwarded ones, may not be written yet.
        await self.box.local_claims.flush(CLAIM_FLUSH_TIMEOUT_S)

    async def stop(self) -> None:
        """Cancel the background tasks, close the server and the connections to peers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
        self.box.transport.close()
