"""Run the daemon from its start to its planned stop."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import structlog
import uvloop

from calicopath_clients.sessions import new_session
from calicopathd import events
from calicopathd.box.runner import BoxRunner
from calicopathd.logs import set_up_logs

if TYPE_CHECKING:
    from calicopathd.config.settings import Settings

log = structlog.get_logger(__name__)


def serve(settings: Settings) -> None:
    """Serve until a stop signal, then finish the requests in progress and return."""
    set_up_logs(
        level=settings.log_level.upper(), json=settings.log_format == 'json', box=settings.box
    )
    uvloop.run(serve_until_stopped(settings))


async def serve_until_stopped(settings: Settings) -> None:
    """Start the box, wait for SIGTERM or SIGINT, then drain and stop it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with new_session() as session:
        runner = BoxRunner(settings=settings, session=session, optimise=True)
        await runner.start()
        peers = runner.box.gossip.members.own.address
        events.emit(log, events.STARTED, listen=runner.address, peers=peers)
        print(f'listening on http://{runner.address} peers {peers}', flush=True)
        await stop.wait()
        await runner.leave()
        await runner.stop()
    events.emit(log, events.STOPPED)
