"""Find out whether a replica has crashed, independently of how its connections failed."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from calicopath_core.backends.base import ProbeResult

if TYPE_CHECKING:
    from collections.abc import Sequence

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

MAX_COMPARED = 3
"""Other replicas that are probed to tell a crash from a partition of this box."""


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
        """Return whether its port alone refuses connections."""
        refused = await self.prober.probe(self.replica, 0.0) is ProbeResult.REFUSED
        return refused and await self.reaches_another()

    async def confirm_crash(self) -> bool:
        """Return whether its port alone refuses connections, or its entry expires.

        The entry decides if the replica is silent, or if others refuse connections too.
        """
        found = await self.prober.probe(self.replica, PORT_WATCH_S)
        if found is ProbeResult.OPEN:
            return False
        if found is ProbeResult.REFUSED and await self.reaches_another():
            return True
        return await self.entry_expires()

    async def reaches_another(self) -> bool:
        """Return whether another replica accepts a connection, or there is none to compare."""
        others = [
            item for item in self.replicas.replicas.values() if item.address != self.replica.address
        ]
        compared = random.Random(self.name).sample(others, min(MAX_COMPARED, len(others)))
        for other in compared:
            if await self.prober.probe(other, 0.0) is ProbeResult.OPEN:
                return True
        return not compared

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
    """Check an endpoint that operators have added; a silent one does not count as crashed.

    `others` are endpoints to compare it with: if they refuse connections too, this box is more
    likely to be partitioned than all of them to have crashed.
    """

    def __init__(
        self, *, prober: EndpointProber, endpoint: Endpoint, others: Sequence[Endpoint] = ()
    ) -> None:
        self.prober = prober
        self.endpoint = endpoint
        self.others = [item for item in others if item.address != endpoint.address]
        self.name = endpoint.name

    async def has_crashed(self) -> bool:
        """Return whether its port alone refuses connections."""
        return await self.refuses_alone(0.0)

    async def confirm_crash(self) -> bool:
        """Return whether its port alone refuses connections within `PORT_WATCH_S`."""
        return await self.refuses_alone(PORT_WATCH_S)

    async def refuses_alone(self, watch_s: float) -> bool:
        """Return whether its port refuses connections and another endpoint's does not."""
        if await self.prober.probe(self.endpoint, watch_s) is not ProbeResult.REFUSED:
            return False
        compared = random.Random(self.name).sample(self.others, min(MAX_COMPARED, len(self.others)))
        for other in compared:
            if await self.prober.probe(other, 0.0) is ProbeResult.OPEN:
                return True
        return not compared
