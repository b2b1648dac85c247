"""Define the interfaces to endpoints and the errors of a call."""

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
    """Say what an attempt to connect has shown."""

    REFUSED = 'refused'
    OPEN = 'open'
    SILENT = 'silent'


class BackendError(CalicopathError):
    """Report that a call gave no answer that may be used."""


class NotStarted(BackendError):
    """Report that a call provably did not run: it never reached the endpoint, or was declined.

    `retry_after_s` is what the endpoint asked for, if it did.
    """

    def __init__(self, message: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class Declined(NotStarted):
    """Report that an endpoint answered that it did not run a call: it works, and is reached.

    `turned_away` says that it had too much to do, not that something is wrong with the call.
    """

    def __init__(
        self, message: str, *, turned_away: bool = False, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, retry_after_s=retry_after_s)
        self.turned_away = turned_away


class MayHaveRun(BackendError):
    """Report that a call may have run, in whole or in part."""


class ConnectionBroken(MayHaveRun):
    """Report that a call's connection broke while it was at work: the endpoint may have ended."""


class WrongAnswer(MayHaveRun):
    """Report an answer that does not belong to the call, or is not a valid answer at all."""


class StagePool(ABC):
    """Call encoders, retrievers and rerankers."""

    @abstractmethod
    async def call(self, endpoint: Endpoint, call: StageCall) -> StageOutput:
        """Run a stage; raise `NotStarted`, `MayHaveRun` or `WrongAnswer`."""


class PlainService(ABC):
    """Call the services beside the model engines."""

    @abstractmethod
    async def call(self, endpoint: Endpoint, call: StageCall) -> StageOutput:
        """Run a stage; raise `NotStarted`, `MayHaveRun` or `WrongAnswer`."""


class Engine(ABC):
    """Generate tokens."""

    @abstractmethod
    def generate(
        self, endpoint: Endpoint, call: GenerationCall
    ) -> AsyncIterator[Token | GenerationEnd]:
        """Yield tokens from `call.offset` on and then the end; raise as a stage call does."""

    @abstractmethod
    async def cancel(self, endpoint: Endpoint, call: GenerationCall) -> None:
        """Ask an engine to stop a generation; a failure to do so is not reported."""


class EndpointProber(ABC):
    """Look whether endpoints can be reached."""

    @abstractmethod
    async def probe(self, endpoint: Endpoint, watch_s: float) -> ProbeResult:
        """Return what an attempt to connect shows; one that opens is watched for a while."""


class Backends:
    """Hold one adapter for each kind of endpoint, and how to look whether any is there."""

    def __init__(
        self, *, engine: Engine, pool: StagePool, service: PlainService, prober: EndpointProber
    ) -> None:
        self.engine = engine
        self.pool = pool
        self.service = service
        self.prober = prober
