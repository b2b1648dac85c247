"""Observe a scheduler in a replay: its rejections and its processor time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from calicopath_core.scheduling.interfaces import SchedulerObserver
from calicopath_core.scheduling.shedding import BUSY_REASON

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.jobs import Job, Piece
    from calicopath_core.scheduling.messages import PlaceJob
    from calicopath_core.scheduling.shares import WorkspaceShare


class CountingObserver(SchedulerObserver):
    """Count rejections by reason, and reservations by what became of them."""

    def __init__(self) -> None:
        self.rejected: dict[str, int] = {}
        self.reservations: dict[str, int] = {}

    def on_stage_call(
        self, service: str, replica: str, pieces: list[Piece], took_s: float, outcome: str
    ) -> None:
        """Do nothing."""

    def on_placed(self, job: Job, replica: Replica, cost_s: float, waited_s: float) -> None:
        """Do nothing."""

    def on_rejected(self, job: Job, reason: str, retry_after_s: float) -> None:
        """Count a rejection."""
        self.rejected[reason] = self.rejected.get(reason, 0) + 1

    def on_reservation_made(self, job: Job, return_in_s: float, expected_s: float) -> None:
        """Count a reservation."""
        self.count_reservations('made', 1)

    def on_reservation_used(self, job: Job, *, kept: bool) -> None:
        """Count a returned caller by whether it is in time."""
        self.count_reservations('kept' if kept else 'missed', 1)

    def on_reservations_expired(self, count: int) -> None:
        """Count expired reservations."""
        self.count_reservations('expired', count)

    def on_beyond_capacity(self, job: Job, expected_s: float) -> None:
        """Count a job that waits behind those that are in time."""
        self.count_reservations('late', 1)

    def count_reservations(self, state: str, count: int) -> None:
        """Add to the reservations of a state."""
        self.reservations[state] = self.reservations.get(state, 0) + count

    def on_handed_over(self, job: Job, successor: str, results: int) -> None:
        """Do nothing."""

    def on_hand_over_began(self, successor: str, begun: int, waiting: int) -> None:
        """Do nothing."""

    def on_overload_started(self, lag_s: float, waiting: int) -> None:
        """Do nothing."""

    def on_overload_ended(self, shed: int) -> None:
        """Do nothing."""

    def on_shed(self, place: PlaceJob, retry_after_s: float) -> None:
        """Count a rejection."""
        self.rejected[BUSY_REASON] = self.rejected.get(BUSY_REASON, 0) + 1

    def on_report_failed(self, replica: Replica, error: Exception) -> None:
        """Do nothing."""

    def on_counts_rebuilt(self, structure: str, count: int) -> None:
        """Fail, since no structure of a replay may be inconsistent."""
        raise AssertionError(f'{structure} of {count} items was inconsistent')

    def on_free_failed(self, address: str, count: int, error: Exception) -> None:
        """Do nothing."""

    def on_charged(self, is_over: bool) -> None:
        """Do nothing."""

    def on_over_share(self, workspace: str, share: WorkspaceShare) -> None:
        """Do nothing."""

    def on_within_share(self, workspace: str, lasted_s: float, requests: int) -> None:
        """Do nothing."""

    def on_shares_restored(self, sender: str, workspaces: int) -> None:
        """Do nothing."""


class Stopwatch:
    """Add up the processor time of a scheduler's methods, counting nested calls once."""

    def __init__(self) -> None:
        self.depth = 0
        self.cpu_s = 0.0

    def wrap(self, target: Any, names: tuple[str, ...]) -> None:
        """Measure some methods of an object."""
        for name in names:
            setattr(target, name, self.timed(getattr(target, name)))

    def timed(self, work: Callable[..., Any]) -> Callable[..., Any]:
        """Return a function that measures another."""

        def run(*args: Any, **named: Any) -> Any:
            self.depth += 1
            started = time.process_time()
            try:
                return work(*args, **named)
            finally:
                self.depth -= 1
                if self.depth == 0:
                    self.cpu_s += time.process_time() - started

        return run
