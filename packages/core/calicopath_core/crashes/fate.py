"""Find out whether a replica has ended, whatever its connections say."""

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
"""How long a replica whose port is still open is watched: a process that ends closes its callers'
connections and its port one after the other."""

ENTRY_WATCH_S = 8.0
"""How long the entry of a replica that says nothing is watched: it goes after three heartbeats of
1.2 s, which boxes hear some 100 ms later."""

ENTRY_POLL_S = 0.2


class CrashProbe(ABC):
    """Tell what became of one replica; `name` is what it goes by."""

    name: str

    @abstractmethod
    async def has_crashed(self) -> bool:
        """Tell at once whether it has ended, as far as that can be seen by now."""

    @abstractmethod
    async def confirm_crash(self) -> bool:
        """Tell, after some seconds if need be, whether it had ended after all."""


class ReplicaCrashProbe(CrashProbe):
    """Tell what became of a replica that announces itself in the store."""

    def __init__(self, *, reach: ReplicaProber, replicas: ReplicaTable, replica: Replica) -> None:
        self.reach = reach
        self.replicas = replicas
        self.replica = replica
        self.name = replica.id

    async def has_crashed(self) -> bool:
        """Tell whether its port refuses connections."""
        return await self.reach.probe(self.replica, 0.0) is ProbeResult.REFUSED

    async def confirm_crash(self) -> bool:
        """Tell whether its port refuses connections soon, or its entry goes while it is silent."""
        found = await self.reach.probe(self.replica, PORT_WATCH_S)
        if found is not ProbeResult.SILENT:
            return found is ProbeResult.REFUSED
        return await self.entry_expires()

    async def entry_expires(self) -> bool:
        """Tell whether its entry goes without its having said that it leaves."""
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
    """Tell what became of an endpoint that operators have added; one that is silent may live."""

    def __init__(self, *, reach: EndpointProber, endpoint: Endpoint) -> None:
        self.reach = reach
        self.endpoint = endpoint
        self.name = endpoint.name

    async def has_crashed(self) -> bool:
        """Tell whether its port refuses connections."""
        return await self.reach.probe(self.endpoint, 0.0) is ProbeResult.REFUSED

    async def confirm_crash(self) -> bool:
        """Tell whether its port refuses connections soon."""
        return await self.reach.probe(self.endpoint, PORT_WATCH_S) is ProbeResult.REFUSED
