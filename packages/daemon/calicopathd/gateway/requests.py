"""Define a caller's request as it came, and who serves it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from calicopath_core.fleet.deployment import ClientLimits
    from calicopathd.gateway.responder import Responder


class RawRequest(NamedTuple):
    """Hold a request as it came; `received_at` is the box's time of its head's first byte."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float
    keep_alive: bool


class RequestHandler(ABC):
    """Serve requests."""

    @abstractmethod
    async def handle(self, request: RawRequest, responder: Responder) -> None:
        """Give one final answer through the responder."""

    @abstractmethod
    def limits(self) -> ClientLimits:
        """Return what callers may send at the moment."""

    @abstractmethod
    def on_bad_request(self, status: int, reason: str) -> None:
        """Note a request that was refused before it was read."""
