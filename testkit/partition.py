"""Partition one box from the replicas, while peers, store and callers still reach it."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from calicopath_clients.http1.connections import UNACKED_TIMEOUT_MS
from calicopath_clients.http1.connectors import DirectConnector, P

if TYPE_CHECKING:
    from collections.abc import Callable

HANG_S = 3600.0


class Partition(enum.Enum):
    """Name what a partition does to new connections, and to those that are open.

    `REFUSED` resets open connections and refuses new ones, `HANGING` silences both, and
    `NEW_REFUSED` refuses new connections while open ones live on.
    """

    REFUSED = 'refused'
    HANGING = 'hanging'
    NEW_REFUSED = 'new-refused'


class PartitionedConnector(DirectConnector):
    """Open connections unless a partition is set."""

    def __init__(self) -> None:
        self.partition: Partition | None = None
        self.transports: set[asyncio.Transport] = set()

    async def open_protocol(
        self, new_protocol: Callable[[], P], address: str
    ) -> tuple[asyncio.Transport, P]:
        """Return the transport and protocol of a new connection."""
        if self.partition is Partition.HANGING:
            await asyncio.sleep(HANG_S)
        if self.partition is not None:
            raise ConnectionRefusedError(f'{address} is behind a partition')
        transport, protocol = await super().open_protocol(new_protocol, address)
        self.transports.add(transport)
        return transport, protocol

    def cut(self, partition: Partition) -> None:
        """Start a partition."""
        self.partition = partition
        for transport in self.transports:
            if transport.is_closing():
                continue
            if partition is Partition.REFUSED:
                transport.abort()
            elif partition is Partition.HANGING:
                transport.pause_reading()
                # The kernel closes a connection whose peer acknowledges nothing.
                asyncio.get_running_loop().call_later(UNACKED_TIMEOUT_MS / 1000, transport.abort)
        if partition is not Partition.NEW_REFUSED:
            self.transports.clear()

    def heal(self) -> None:
        """End the partition; connections that it silenced stay silent."""
        self.partition = None
