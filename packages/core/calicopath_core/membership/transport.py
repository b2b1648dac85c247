"""Define how messages travel between boxes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class PeerTransport(ABC):
    """Send bytes to other boxes, best effort: a full queue or a dead peer drops them."""

    @abstractmethod
    def send(self, address: str, data: bytes) -> None:
        """Send without waiting."""

    @abstractmethod
    def listen(self, handler: Callable[[bytes], None]) -> None:
        """Give every message that comes to `handler`."""

    @abstractmethod
    def drop_connection(self, address: str) -> None:
        """Give up the connection to a box: it may be silent. The next message opens another."""
