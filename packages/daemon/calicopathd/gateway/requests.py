"""Define a received HTTP request and the interface of its handlers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from calicopath_core.fleet.deployment import ClientLimits
    from calicopathd.gateway.responder import Responder


class RawRequest(NamedTuple):
    """Hold a received request; `received_at` is the monotonic time of its first byte."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float
    keep_alive: bool


class RequestHandler(ABC):
    """Handle the requests of an `HttpServer`."""

    @abstractmethod
    async def handle(self, request: RawRequest, responder: Responder) -> None:
        """Send exactly one response through the responder."""

    @abstractmethod
    def limits(self) -> ClientLimits:
        """Return the limits on requests that are in force."""

    @abstractmethod
    def on_bad_request(self, status: int, reason: str) -> None:
        """Record a request that was refused because it could not be parsed."""
