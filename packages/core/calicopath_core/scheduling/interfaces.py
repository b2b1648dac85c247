"""Define the interfaces that the scheduler uses: stage calls, events and control of jobs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.exchanges.messages import ReplicaProber

if TYPE_CHECKING:
    from calicopath_core.backends.base import BackendError
    from calicopath_core.fleet.pace import PaceEstimates
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.backlog import Backlog
    from calicopath_core.scheduling.jobs import Job, Piece
    from calicopath_core.scheduling.messages import PlaceJob, StageResult
    from calicopath_core.scheduling.shares import WorkspaceShare


class PieceCall(NamedTuple):
    """Describe one piece of a stage's call; `inputs` is `None` if its phase reads no results."""

    call_id: str
    phase: int
    number: int
    remaining_s: float
    piece_key: str
    inputs: tuple[str, ...] | None


class PieceResult(NamedTuple):
    """Hold the handle of a piece's result, or the reason for none.

    The reasons are `late` (past its deadline), `gone` (an input is missing), `room` (no space for
    the result) and `error`.
    """

    handle: str | None
    reason: str = ''


class StageReport(NamedTuple):
    """Hold a stage replica's report of its state some 100 ms before.

    `free_bytes` is an upper bound of its free space for results; `idle` says that it has no calls
    in progress or queued.
    """

    free_bytes: float
    idle: bool


class StageCaller(ReplicaProber):
    """Make calls to the replicas of stages; `pace` is told the pace that their answers report."""

    pace: PaceEstimates | None = None

    @abstractmethod
    async def run(self, replica: Replica, calls: list[PieceCall]) -> list[PieceResult]:
        """Make one call; raise `NotStarted` if it was declined, or `MayHaveRun` if it failed."""

    @abstractmethod
    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Free results; raise `BackendError`."""

    @abstractmethod
    async def report(self, replica: Replica) -> StageReport:
        """Return the state that a replica reports; raise `BackendError`."""


class SchedulerObserver(ABC):
    """Receive the scheduler's events, for logs and metrics."""

    @abstractmethod
    def on_stage_call(
        self, service: str, replica: str, pieces: list[Piece], took_s: float, outcome: str
    ) -> None:
        """Record a finished or failed call to a stage's replica."""

    @abstractmethod
    def on_placed(self, job: Job, replica: Replica, cost_s: float, waited_s: float) -> None:
        """Record the engine chosen for a job."""

    @abstractmethod
    def on_rejected(self, job: Job, reason: str, retry_after_s: float) -> None:
        """Record a rejected job."""

    @abstractmethod
    def on_reservation_made(self, job: Job, return_in_s: float, expected_s: float) -> None:
        """Record a job that is refused because it would take `expected_s`, and when it returns."""

    @abstractmethod
    def on_reservation_used(self, job: Job, *, kept: bool) -> None:
        """Record whether a job whose caller returned as told is served in time."""

    @abstractmethod
    def on_reservations_expired(self, count: int) -> None:
        """Record reservations whose callers did not return."""

    @abstractmethod
    def on_beyond_capacity(self, job: Job, expected_s: float) -> None:
        """Record a job that is expected to be late and waits behind those that are in time."""

    @abstractmethod
    def on_handed_over(self, job: Job, successor: str, results: int) -> None:
        """Record a job handed over to the next scheduler with that many results."""

    @abstractmethod
    def on_hand_over_began(self, successor: str, begun: int, waiting: int) -> None:
        """Record that jobs wait to be handed over, `begun` of them with work done."""

    @abstractmethod
    def on_overload_started(self, lag_s: float, waiting: int) -> None:
        """Record that requests are shed: the oldest has waited `lag_s` for its decision."""

    @abstractmethod
    def on_overload_ended(self, shed: int) -> None:
        """Record the end of an overload in which that many requests were shed."""

    @abstractmethod
    def on_shed(self, place: PlaceJob, retry_after_s: float) -> None:
        """Record a request that was rejected because the scheduler can't keep up."""

    @abstractmethod
    def on_report_failed(self, replica: Replica, error: Exception) -> None:
        """Record a replica that did not report its state."""

    @abstractmethod
    def on_counts_rebuilt(self, structure: str, count: int) -> None:
        """Record that a structure derived from `count` items was inconsistent and is rebuilt."""

    @abstractmethod
    def on_free_failed(self, address: str, count: int, error: BackendError) -> None:
        """Record results that could not be freed; they expire by themselves."""

    @abstractmethod
    def on_charged(self, is_over: bool) -> None:
        """Record a request charged to its workspace, and whether it is over the share."""

    @abstractmethod
    def on_over_share(self, workspace: str, share: WorkspaceShare) -> None:
        """Record a workspace whose requests exceed its share from now on."""

    @abstractmethod
    def on_within_share(self, workspace: str, lasted_s: float, requests: int) -> None:
        """Record a workspace that is within its share again, after `requests` beyond it."""

    @abstractmethod
    def on_shares_restored(self, sender: str, workspaces: int) -> None:
        """Record the usual rates of workspaces that came from another scheduler."""


class JobController(ABC):
    """Manage the jobs that stage calls belong to; `backlog` holds those without an engine."""

    backlog: Backlog

    @abstractmethod
    def advance(self, job: Job) -> None:
        """Start the phases of a job that are ready."""

    @abstractmethod
    def reject(self, job: Job, reason: str) -> None:
        """End a job that can't be completed, and tell its box why."""

    @abstractmethod
    def recompute_inputs(self, job: Job, piece: Piece) -> None:
        """Recompute the inputs of a piece."""

    @abstractmethod
    def report_progress(
        self, job: Job, results: tuple[StageResult, ...], freed: tuple[int, ...]
    ) -> None:
        """Report new results and freed phases to a job's box."""
