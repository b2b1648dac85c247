"""Deliver messages between boxes in memory, with latency, loss and partitions."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

from calicopath_core.membership.transport import PeerTransport

if TYPE_CHECKING:
    from collections.abc import Callable


class FakeNetwork:
    """Deliver messages to registered handlers; `blocked` tells which pairs are partitioned."""

    def __init__(self, *, seed: int = 1, latency_s: float = 0.001, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.latency_s = latency_s
        self.loss = loss
        self.handlers: dict[str, Callable[[bytes], None]] = {}
        self.sent_bytes: Counter[str] = Counter()
        self.blocked: Callable[[str, str], bool] = lambda source, target: False

    def deliver(self, source: str, target: str, data: bytes) -> None:
        """Deliver after the latency, unless the message is lost."""
        self.sent_bytes[source] += len(data)
        if self.blocked(source, target) or self.rng.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.latency_s, self.arrive, source, target, data)

    def arrive(self, source: str, target: str, data: bytes) -> None:
        """Call the handler of the target if it is still registered and reachable."""
        handler = self.handlers.get(target)
        if handler is not None and not self.blocked(source, target):
            handler(data)


class FakeTransport(PeerTransport):
    """Connect one box to the network."""

    def __init__(self, *, network: FakeNetwork, address: str) -> None:
        self.network = network
        self.address = address
        self.dropped_connections: list[str] = []

    def send(self, address: str, data: bytes) -> None:
        """Send a message."""
        self.network.deliver(self.address, address, data)

    def listen(self, handler: Callable[[bytes], None]) -> None:
        """Register the handler of this box's address."""
        self.network.handlers[self.address] = handler

    def drop_connection(self, address: str) -> None:
        """Record a dropped connection."""
        self.dropped_connections.append(address)
