"""Describe one request while it runs."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from calicopath_core.structure.outcomes import Outcome, StageTiming
    from calicopath_core.structure.stages import Plan, StagePlan


class PipelineRequest(NamedTuple):
    """Carry a caller's request; times are on the monotonic clock, in seconds.

    `body` is a digest of everything that the caller asked for, `key` its idempotency key.
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
    """Take text as it is generated; the text given so far is always right."""

    @abstractmethod
    async def write(self, text: str) -> None:
        """Pass on the next piece of text."""


class DiscardSink(TokenSink):
    """Take text that nobody wants before the whole answer is there."""

    async def write(self, text: str) -> None:
        """Do nothing."""


class CallResult(enum.StrEnum):
    """Say how one call to an endpoint ended."""

    ANSWERED = 'answered'
    NOT_STARTED = 'not-started'
    MAY_HAVE_RUN = 'may-have-run'
    WRONG_ANSWER = 'wrong-answer'
    TIMED_OUT = 'timed-out'
    ABANDONED = 'abandoned'


class Observer(ABC):
    """Count what happens to requests and stages."""

    @abstractmethod
    def on_call(self, stage: StagePlan, endpoint: str, served_s: float, result: CallResult) -> None:
        """Note one call to an endpoint."""

    @abstractmethod
    def on_first_token(self, plan: Plan, after_s: float) -> None:
        """Note the time from arrival to the first token."""

    @abstractmethod
    def on_outcome(
        self, plan: Plan, outcome: Outcome, took_s: float, timings: tuple[StageTiming, ...]
    ) -> None:
        """Note how a request ended and what its finished stages took."""


class NullObserver(Observer):
    """Count nothing."""

    def on_call(self, stage: StagePlan, endpoint: str, served_s: float, result: CallResult) -> None:
        """Do nothing."""

    def on_first_token(self, plan: Plan, after_s: float) -> None:
        """Do nothing."""

    def on_outcome(
        self, plan: Plan, outcome: Outcome, took_s: float, timings: tuple[StageTiming, ...]
    ) -> None:
        """Do nothing."""
