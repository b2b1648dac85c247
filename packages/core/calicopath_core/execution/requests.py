"""Define pipeline requests and the interfaces that receive their text and metrics."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from calicopath_core.structure.outcomes import Outcome, StageTiming
    from calicopath_core.structure.stages import Plan, StagePlan


class PipelineRequest(NamedTuple):
    """Hold a caller's request; times are on the monotonic clock, in seconds.

    `body_digest` covers everything that the caller asked for; `key` is the idempotency key.
    """

    id: str
    text: str
    arrived_at: float
    deadline: float
    priority: int
    repeatable: bool
    key: str | None
    body_digest: str


class TokenSink(ABC):
    """Receive text as it is generated; what was written is never retracted."""

    @abstractmethod
    async def write(self, text: str) -> None:
        """Write the next piece of text."""


class DiscardSink(TokenSink):
    """Discard text, for callers that only want the complete answer."""

    async def write(self, text: str) -> None:
        """Do nothing."""


class CallResult(enum.StrEnum):
    """Name the result of one call to an endpoint."""

    ANSWERED = 'answered'
    NOT_STARTED = 'not-started'
    MAY_HAVE_RUN = 'may-have-run'
    WRONG_ANSWER = 'wrong-answer'
    TIMED_OUT = 'timed-out'
    ABANDONED = 'abandoned'


class Observer(ABC):
    """Receive the results of calls and requests, for metrics."""

    @abstractmethod
    def on_call(self, stage: StagePlan, endpoint: str, served_s: float, result: CallResult) -> None:
        """Record one call to an endpoint and how long it took."""

    @abstractmethod
    def on_first_token(self, plan: Plan, after_s: float) -> None:
        """Record the time from the arrival of a request to its first token, in seconds."""

    @abstractmethod
    def on_outcome(
        self, plan: Plan, outcome: Outcome, took_s: float, timings: tuple[StageTiming, ...]
    ) -> None:
        """Record the outcome of a request and the timings of its finished stages."""


class NullObserver(Observer):
    """Ignore all results."""

    def on_call(self, stage: StagePlan, endpoint: str, served_s: float, result: CallResult) -> None:
        """Do nothing."""

    def on_first_token(self, plan: Plan, after_s: float) -> None:
        """Do nothing."""

    def on_outcome(
        self, plan: Plan, outcome: Outcome, took_s: float, timings: tuple[StageTiming, ...]
    ) -> None:
        """Do nothing."""
