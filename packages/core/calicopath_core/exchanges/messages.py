"""Define an exchange: a caller's request, what a replica gets of it, and the answer's way back."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.notices import NoInterceptor

if TYPE_CHECKING:
    from calicopath_core.backends.base import ProbeResult
    from calicopath_core.exchanges.balancer import LoadReport
    from calicopath_core.fleet.notices import CallInterceptor
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.messages import Prompt

OVERLOAD_STATUSES = (429, 503)
"""With what a replica declines that has too much to do."""

Headers = tuple[tuple[str, str], ...]


class Exchange(NamedTuple):
    """Hold one request as it came; `received_at` is in monotonic seconds.

    `headers` are those to be passed on unchanged; what the product reads of the others is in
    fields of its own.
    """

    call_id: str
    method: str
    target: str
    path: str
    host: str
    headers: Headers
    body: bytes
    received_at: float
    deadline_s: float | None
    key: str | None
    last_event_id: str | None
    prompt: Prompt | None
    piece_counts: tuple[int, ...]
    piece_key: str


class OutboundRequest(NamedTuple):
    """Hold what a replica is sent beside the request itself."""

    exchange: Exchange
    replica: Replica
    deadline_s: float
    workspace: str | None
    priority: int
    inputs: tuple[str, ...]
    last_event_id: str | None
    needs_verified_connection: bool
    """Whether the call must go over a connection that is known to be good."""


class AnswerHead(NamedTuple):
    """Hold the head of a replica's answer; `declined` means that it provably did not run."""

    status: int
    headers: Headers
    declined: bool
    load: LoadReport | None

    @property
    def turned_away(self) -> bool:
        """Tell whether the replica declined since it has too much to do."""
        return self.declined and self.status in OVERLOAD_STATUSES

    @property
    def success(self) -> bool:
        """Tell whether the status is 2xx."""
        return 200 <= self.status < 300


class ReplicaAnswer(ABC):
    """Read one answer; an answer left before its end closes its connection."""

    head: AnswerHead

    @abstractmethod
    async def read(self) -> bytes | None:
        """Return the next bytes of the body, nothing at its end; raise `MayHaveRun` if cut."""

    @abstractmethod
    def close(self) -> None:
        """Be done with the answer; cuts the connection if the answer is not whole."""


class ReplicaProber(ABC):
    """Look whether replicas can be reached; `listener` learns of every call and answer."""

    interceptor: CallInterceptor = NoInterceptor()

    @abstractmethod
    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return what an attempt to connect shows; one that opens is watched for a while."""


class ReplicaClient(ReplicaProber):
    """Send requests to replicas."""

    @abstractmethod
    async def send(self, outbound: OutboundRequest) -> ReplicaAnswer:
        """Return the answer's head and body; raise `NotStarted`, `MayHaveRun`, `WrongAnswer`."""


class ReplySink(ABC):
    """Give a caller its answer."""

    @abstractmethod
    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    @abstractmethod
    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose length is not known."""

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Send some of the body; waits while the caller does not read."""

    @abstractmethod
    def finish(self) -> None:
        """End a whole body."""

    @abstractmethod
    def abort(self) -> None:
        """End an answer that is not whole so that it cannot look whole."""

    @abstractmethod
    def refuse(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Send an answer of our own: nothing of a replica is in it."""
