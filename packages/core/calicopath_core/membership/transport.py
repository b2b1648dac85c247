"""Define the transport of messages between boxes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class PeerTransport(ABC):
    """Send messages to other boxes, best effort: a full queue or a dead peer drops them."""

    @abstractmethod
    def send(self, address: str, data: bytes) -> None:
        """Send a message without waiting."""

    @abstractmethod
    def listen(self, handler: Callable[[bytes], None]) -> None:
        """Pass every received message to `handler`."""

    @abstractmethod
    def drop_connection(self, address: str) -> None:
        """Close the connection to a box, as it may be stale; the next message opens a new one."""
