"""Read the load reports of the endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from calicopath_core.backends.base import BackendError
from calicopathd import events

if TYPE_CHECKING:
    from calicopath_core.backends.base import LoadReader
    from calicopath_core.clock import Clock
    from calicopath_core.routing.registry import PoolRegistry
    from calicopath_core.routing.replicas import Replica

log = structlog.get_logger(__name__)


class LoadPoller:
    """Ask each endpoint for its load, spread over the interval."""

    def __init__(
        self, *, pools: PoolRegistry, reader: LoadReader, clock: Clock, interval_s: float
    ) -> None:
        self.pools = pools
        self.reader = reader
        self.clock = clock
        self.interval_s = interval_s
        self.silent: set[str] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            replicas = [item for pool in self.pools.pools.values() for item in pool.active()]
            pause_s = self.interval_s / max(1, len(replicas))
            async with asyncio.TaskGroup() as group:
                for replica in replicas:
                    group.create_task(self.read(replica))
                    await asyncio.sleep(pause_s)
                if not replicas:
                    await asyncio.sleep(self.interval_s)

    async def read(self, replica: Replica) -> None:
        """Read one report; an endpoint without one is judged by our own calls only."""
        try:
            report = await self.reader.read(replica.endpoint)
        except BackendError as error:
            if replica.name not in self.silent:
                events.emit(log, events.LOAD_UNKNOWN, endpoint=replica.name, detail=str(error))
            self.silent.add(replica.name)
            return
        self.silent.discard(replica.name)
        replica.on_report(report, self.clock.monotonic())
