"""Define what the scheduler calls and tells."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.exchanges.messages import ReplicaProber

if TYPE_CHECKING:
    from calicopath_core.backends.base import BackendError
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.jobs import Job, Piece
    from calicopath_core.scheduling.messages import StageResult


class PieceCall(NamedTuple):
    """Describe one piece of a stage's call; `inputs` is nothing for a phase that reads none."""

    call_id: str
    phase: int
    number: int
    remaining_s: float
    piece_key: str
    inputs: tuple[str, ...] | None


class PieceResult(NamedTuple):
    """Hold a piece's handle, or why there is none: `late`, `gone`, `room` or `error`."""

    handle: str | None
    reason: str = ''


class StageReport(NamedTuple):
    """Hold what a stage's replica tells of itself, as it stood some 100 ms before.

    `free_bytes` is the most that may be free for results, `idle` says that no call is at work or
    waits there.
    """

    free_bytes: float
    idle: bool


class StageCaller(ReplicaProber):
    """Call the replicas of stages."""

    @abstractmethod
    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call; raise `NotStarted` if it was declined, else `MayHaveRun`."""

    @abstractmethod
    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Give results up; raise `BackendError`."""

    @abstractmethod
    async def report(self, replica: Replica) -> StageReport:
        """Return what a replica tells of itself; raise `BackendError`."""


class SchedulerObserver(ABC):
    """Learn of the scheduler's decisions."""

    @abstractmethod
    def on_stage_call(
        self, service: str, replica: str, pieces: list[Piece], took_s: float, outcome: str
    ) -> None:
        """Note one call to a stage's replica."""

    @abstractmethod
    def on_placed(self, job: Job, replica: Replica, cost_s: float, waited_s: float) -> None:
        """Note the engine chosen for a job."""

    @abstractmethod
    def on_rejected(self, job: Job, reason: str, retry_after_s: float) -> None:
        """Note a job that is not placed."""

    @abstractmethod
    def on_handed_over(self, job: Job, successor: str, results: int) -> None:
        """Note a job that the next scheduler goes on with."""

    @abstractmethod
    def on_report_failed(self, replica: Replica, error: Exception) -> None:
        """Note a replica that did not tell its room."""

    @abstractmethod
    def on_free_failed(self, address: str, count: int, error: BackendError) -> None:
        """Note results that could not be given up; they run out by themselves."""


class JobKeeper(ABC):
    """Keep the jobs that calls are made for; `unplaced` are those that have no engine yet."""

    unplaced: dict[str, Job]

    @abstractmethod
    def advance(self, job: Job) -> None:
        """Begin what can be begun of a job."""

    @abstractmethod
    def reject(self, job: Job, reason: str) -> None:
        """End a job that can't be made."""

    @abstractmethod
    def recompute_inputs(self, job: Job, piece: Piece) -> None:
        """Make the inputs of a piece anew."""

    @abstractmethod
    def report_progress(
        self, job: Job, results: tuple[StageResult, ...], freed: tuple[int, ...]
    ) -> None:
        """Tell a job's box what was made and given up."""
