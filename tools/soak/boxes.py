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
from tools.soak.partitionable_box import PARTITION_FILE_VARIABLE

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from tools.soak.records import BoxStop

PYTHON_PATH = ('.', 'packages/core', 'packages/clients', 'packages/daemon', 'platform')
STOP_TIMEOUT_S = 40.0
POLL_S = 0.05


class BoxProcess:
    """Hold a box's settings file, its process and how often it was started."""

    def __init__(self, *, number: int, settings_path: Path, log_path: Path) -> None:
        self.number = number
        self.settings_path = settings_path
        self.log_path = log_path
        self.partition_path = settings_path.with_suffix('.partition')
        self.partitions = 0
        self.frontend = ''
        self.process: asyncio.subprocess.Process | None = None
        self.incarnation = 0
        self.has_fault = False

    async def start(self) -> None:
        """Start a new life."""
        self.incarnation += 1
        environment = {
            **os.environ,
            SETTINGS_VARIABLE: str(self.settings_path),
            PARTITION_FILE_VARIABLE: str(self.partition_path),
        }
        environment['PYTHONPATH'] = os.pathsep.join(str(ROOT / item) for item in PYTHON_PATH)
        with self.log_path.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'tools.soak.partitionable_box', cwd=ROOT, env=environment,
                stdout=output, stderr=output,
            )  # fmt: skip

    async def wait_listening(self) -> bool:
        """Wait until the box listens; tell whether it does, or has ended."""
        assert self.process is not None
        host, _, port = self.frontend.rpartition(':')
        while self.process.returncode is None:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            writer.close()
            return True
        return False

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process only."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal_number)

    def set_partition(self, text: str) -> None:
        """Partition the box from all replicas, or end the partition with an empty text."""
        # Replaced as a whole, since the box may read it at any moment.
        written = self.partition_path.with_suffix('.new')
        written.write_text(text)
        written.replace(self.partition_path)

    async def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        assert self.process is not None
        await self.process.wait()

    async def stop(self, clock: Callable[[], float], record_type: type[BoxStop]) -> BoxStop:
        """Ask the process to end; return how it did."""
        assert self.process is not None
        requested_at = clock()
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                code = await self.process.wait()
        except TimeoutError:
            await self.kill()
            code = -signal.SIGKILL
        return record_type(self.number, requested_at, clock(), code)
