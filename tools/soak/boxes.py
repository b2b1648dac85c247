"""Run one box as a process: start it, signal it, and start it again."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from typing import TYPE_CHECKING

from calicopath_platform.names import SETTINGS_VARIABLE
from testkit.processes import ROOT

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from tools.soak.records import StopSeen

PYTHON_PATH = ('packages/core', 'packages/clients', 'packages/daemon', 'platform')
STOP_LIMIT_S = 40.0
POLL_S = 0.05


class BoxProcess:
    """Hold a box's settings file, its process and how often it was started."""

    def __init__(self, *, number: int, path: Path, log: Path) -> None:
        self.number = number
        self.path = path
        self.log = log
        self.frontend = ''
        self.handle: asyncio.subprocess.Process | None = None
        self.life = 0
        self.busy = False

    async def start(self) -> None:
        """Start a new life."""
        self.life += 1
        environment = {**os.environ, SETTINGS_VARIABLE: str(self.path)}
        environment['PYTHONPATH'] = os.pathsep.join(str(ROOT / item) for item in PYTHON_PATH)
        with self.log.open('ab') as output:
            self.handle = await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'calicopath_platform', cwd=ROOT, env=environment,
                stdout=output, stderr=output,
            )  # fmt: skip

    async def listens(self) -> bool:
        """Wait until the box listens; tell whether it does, or has ended."""
        assert self.handle is not None
        host, _, port = self.frontend.rpartition(':')
        while self.handle.returncode is None:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            writer.close()
            return True
        return False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        assert self.handle is not None
        with contextlib.suppress(ProcessLookupError):
            self.handle.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        assert self.handle is not None
        await self.handle.wait()

    async def stop(self, clock: Callable[[], float], seen: type[StopSeen]) -> StopSeen:
        """Ask the process to end; return how it did."""
        assert self.handle is not None
        asked = clock()
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_LIMIT_S):
                code = await self.handle.wait()
        except TimeoutError:
            await self.kill()
            code = -signal.SIGKILL
        return seen(self.number, asked, clock(), code)
