"""Find out whether a replica has crashed, independently of how its connections failed."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from calicopath_core.backends.base import ProbeResult

if TYPE_CHECKING:
    from calicopath_core.backends.base import EndpointProber
    from calicopath_core.exchanges.messages import ReplicaProber
    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.structure.endpoints import Endpoint

PORT_WATCH_S = 1.5
"""How long the port of a replica is watched while it is still open: an exiting process closes
its connections and its port one after the other."""

ENTRY_WATCH_S = 8.0
"""How long the entry of a silent replica is watched: it expires after three missed heartbeats of
1.2 s, and boxes learn of that some 100 ms later."""

ENTRY_POLL_S = 0.2


class CrashProbe(ABC):
    """Check whether one replica has crashed; `name` identifies it in crash IDs."""

    name: str

    @abstractmethod
    async def has_crashed(self) -> bool:
        """Return whether the crash can be seen already, without waiting."""

    @abstractmethod
    async def confirm_crash(self) -> bool:
        """Wait some seconds if necessary and return whether the replica has crashed."""


class ReplicaCrashProbe(CrashProbe):
    """Check a replica that registers itself in the store."""

    def __init__(self, *, prober: ReplicaProber, replicas: ReplicaTable, replica: Replica) -> None:
        self.prober = prober
        self.replicas = replicas
        self.replica = replica
        self.name = replica.id

    async def has_crashed(self) -> bool:
        """Return whether its port refuses connections."""
        return await self.prober.probe(self.replica, 0.0) is ProbeResult.REFUSED

    async def confirm_crash(self) -> bool:
        """Return whether its port refuses connections, or its entry expires if it is silent."""
        found = await self.prober.probe(self.replica, PORT_WATCH_S)
        if found is not ProbeResult.SILENT:
            return found is ProbeResult.REFUSED
        return await self.entry_expires()

    async def entry_expires(self) -> bool:
        """Return whether its entry expires without the replica having announced that it leaves."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + ENTRY_WATCH_S
        while loop.time() < ends_at:
            known = self.replicas.replicas.get(self.replica.id)
            if self.replicas.is_leaving(known or self.replica):
                return False
            if known is None or self.replicas.is_replaced(known):
                return True
            await asyncio.sleep(ENTRY_POLL_S)
        return False


class EndpointCrashProbe(CrashProbe):
    """Check an endpoint that operators have added; a silent one does not count as crashed."""

    def __init__(self, *, prober: EndpointProber, endpoint: Endpoint) -> None:
        self.prober = prober
        self.endpoint = endpoint
        self.name = endpoint.name

    async def has_crashed(self) -> bool:
        """Return whether its port refuses connections."""
        return await self.prober.probe(self.endpoint, 0.0) is ProbeResult.REFUSED

    async def confirm_crash(self) -> bool:
        """Return whether its port refuses connections within `PORT_WATCH_S`."""
        return await self.prober.probe(self.endpoint, PORT_WATCH_S) is ProbeResult.REFUSED
