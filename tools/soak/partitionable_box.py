"""Run a box whose connections to replicas the soak can cut: the program is the shipped one.

The file named by `PARTITION_FILE_VARIABLE` holds the partition, and is empty without one.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

# Ignores SIGHUP from the start on, as the shipped program does, before anything large is loaded.
import calicopath_platform.__main__  # noqa: F401
from calicopath_platform.program import main
from testkit.partition import Partition, PartitionedConnector

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_clients.http1.connectors import P

PARTITION_FILE_VARIABLE = 'CALICOPATH_SOAK_PARTITION'
POLL_S = 0.05


class FileConnector(PartitionedConnector):
    """Follow the partition in a file."""

    def __init__(self, *, path: Path) -> None:
        super().__init__()
        self.path = path
        self.task: asyncio.Task[None] | None = None

    async def open_protocol(
        self, new_protocol: Callable[[], P], address: str
    ) -> tuple[asyncio.Transport, P]:
        """Return the transport and protocol of a new connection."""
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.follow())
        return await super().open_protocol(new_protocol, address)

    async def follow(self) -> None:
        """Apply changes of the file, until cancelled."""
        while True:
            text = self.path.read_text() if self.path.exists() else ''
            wanted = Partition(text) if text else None
            if wanted is None:
                self.heal()
            elif wanted is not self.partition:
                self.cut(wanted)
            await asyncio.sleep(POLL_S)


if __name__ == '__main__':
    sys.exit(main(FileConnector(path=Path(os.environ[PARTITION_FILE_VARIABLE]))))
