"""Define a caller's request, its forwarding to a replica, and the interface for the answer."""

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
"""Statuses with which an overloaded replica declines a request."""

NO_EVENT_ID = '0'
"""Identifier before that of the first event of a stream."""

Headers = tuple[tuple[str, str], ...]


class Exchange(NamedTuple):
    """Hold one request as it was received; `received_at` is in monotonic seconds.

    `headers` are forwarded unchanged. Headers that the gateway replaces are not among them; their
    values are in other fields. `resumed_call_id` identifies the caller's attempt that received the
    first event of a stream which this request continues.
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
    resumed_call_id: str | None = None

    @property
    def continues_stream(self) -> bool:
        """Return whether the caller has received events of the stream before."""
        return self.last_event_id not in (None, '', NO_EVENT_ID)


class OutboundRequest(NamedTuple):
    """Hold a request to a replica and the values that the gateway adds to it."""

    exchange: Exchange
    replica: Replica
    deadline_s: float
    workspace: str | None
    priority: int
    inputs: tuple[str, ...]
    last_event_id: str | None
    needs_verified_connection: bool
    """Whether the call must use a connection that is known to be open."""


class AnswerHead(NamedTuple):
    """Hold the head of a replica's answer; `declined` means that the request did not run."""

    status: int
    headers: Headers
    declined: bool
    load: LoadReport | None

    @property
    def turned_away(self) -> bool:
        """Return whether the replica declined because it is overloaded."""
        return self.declined and self.status in OVERLOAD_STATUSES

    @property
    def success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


class ReplicaAnswer(ABC):
    """Read one answer; closing it before its end closes its connection.

    `ends_with_connection` tells that the answer has neither a length nor chunks.
    """

    head: AnswerHead
    ends_with_connection: bool = False

    @abstractmethod
    async def read(self) -> bytes | None:
        """Return the next bytes of the body, `None` at its end.

        Raise `MayHaveRun` if the connection breaks first. A read that is cancelled loses nothing.
        """

    async def sender_runs(self, watch_s: float) -> bool | None:
        """Return whether the process that sent the answer runs on after its end, `None` if unknown.

        Needed only if the answer ends with its connection. The process is watched for `watch_s`
        seconds, since one that exits closes its connections one after the other.
        """
        return None

    @abstractmethod
    def close(self) -> None:
        """Release the answer; close its connection if the body was not read to its end."""


class ReplicaProber(ABC):
    """Probe whether replicas accept connections; `interceptor` is notified of calls and answers."""

    interceptor: CallInterceptor = NoInterceptor()

    @abstractmethod
    async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
        """Return the result of a connection attempt.

        A connection that opens is observed for `watch_s` seconds.
        """


class ReplicaClient(ReplicaProber):
    """Send requests to replicas."""

    async def identify(self, replica: Replica, health_path: str | None) -> bool:
        """Return whether a replica answers under its own identifier, and not another one."""
        return False

    @abstractmethod
    async def send(self, outbound: OutboundRequest) -> ReplicaAnswer:
        """Send a request and return its answer once the head has come.

        Raise `NotStarted`, `MayHaveRun` or `WrongAnswer`.
        """


class ReplySink(ABC):
    """Write the answer to a caller."""

    @abstractmethod
    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""

    @abstractmethod
    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer of unknown length."""

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a part of the body; wait while the caller does not read."""

    @abstractmethod
    def finish(self) -> None:
        """End a body that is complete."""

    @abstractmethod
    def abort(self) -> None:
        """End an incomplete answer in a way that the caller can tell from a complete one."""

    @abstractmethod
    def refuse(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Send an error answer that the gateway itself makes."""
