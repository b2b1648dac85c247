"""Define the interfaces to endpoints and the errors of calls."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from calicopath_core.exceptions import CalicopathError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from calicopath_core.structure.calls import (
        GenerationCall,
        GenerationEnd,
        StageCall,
        StageOutput,
        Token,
    )
    from calicopath_core.structure.endpoints import Endpoint


class ProbeResult(enum.Enum):
    """Name the result of a connection attempt: refused, opened, or no reply."""

    REFUSED = 'refused'
    OPEN = 'open'
    SILENT = 'silent'


class BackendError(CalicopathError):
    """Report that a call gave no usable answer."""


class NotStarted(BackendError):
    """Report that a call provably did not run: it did not reach the endpoint, or was declined.

    `retry_after_s` is the endpoint's `Retry-After`, `None` if it sent none.
    """

    def __init__(self, message: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class ConnectionLimitReached(NotStarted):
    """Report that this box may open no more connections; the backend is not at fault."""


class Declined(NotStarted):
    """Report that a reachable endpoint answered that it did not run a call.

    `turned_away` is true if it was overloaded, false if it declined for another reason.
    """

    def __init__(
        self, message: str, *, turned_away: bool = False, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, retry_after_s=retry_after_s)
        self.turned_away = turned_away


class MayHaveRun(BackendError):
    """Report that a call may have run, completely or in part."""


class ConnectionBroken(MayHaveRun):
    """Report that the connection broke during a call: the endpoint may have crashed."""


class SilentReplica(MayHaveRun):
    """Report that nothing came in time, although the connection is open.

    `late_s` is how much later than due this box noticed: it was busy or stood still meanwhile, and
    what the endpoint sent may not have been read yet.
    """

    def __init__(self, message: str, *, late_s: float = 0.0) -> None:
        super().__init__(message)
        self.late_s = late_s


class WrongAnswer(MayHaveRun):
    """Report an answer that is invalid or belongs to another call."""


class AnswerTooLarge(WrongAnswer):
    """Report an answer of more bytes than its call may have; its connection was closed."""


class StagePool(ABC):
    """Call encoders, retrievers and rerankers."""

    @abstractmethod
    async def call(self, endpoint: Endpoint, call: StageCall) -> StageOutput:
        """Run a stage; raise `NotStarted`, `MayHaveRun` or `WrongAnswer`."""


class PlainService(ABC):
    """Call plain services, which run no model."""

    @abstractmethod
    async def call(self, endpoint: Endpoint, call: StageCall) -> StageOutput:
        """Run a stage; raise `NotStarted`, `MayHaveRun` or `WrongAnswer`."""


class Engine(ABC):
    """Generate tokens on a model engine."""

    @abstractmethod
    def generate(
        self, endpoint: Endpoint, call: GenerationCall
    ) -> AsyncIterator[Token | GenerationEnd]:
        """Yield the tokens from `call.offset` on, then the end.

        Raise `NotStarted`, `MayHaveRun` or `WrongAnswer`.
        """

    @abstractmethod
    async def cancel(self, endpoint: Endpoint, call: GenerationCall) -> None:
        """Ask an engine to stop a generation; errors are not reported."""


class EndpointProber(ABC):
    """Probe whether endpoints accept connections."""

    @abstractmethod
    async def probe(self, endpoint: Endpoint, watch_s: float) -> ProbeResult:
        """Return the result of a connection attempt.

        A connection that opens is observed for `watch_s` seconds.
        """


class Backends:
    """Hold one adapter for each kind of endpoint, and the prober for all of them."""

    def __init__(
        self, *, engine: Engine, pool: StagePool, service: PlainService, prober: EndpointProber
    ) -> None:
        self.engine = engine
        self.pool = pool
        self.service = service
        self.prober = prober
