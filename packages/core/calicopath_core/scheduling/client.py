"""Submit jobs to the fleet's scheduler, and to the next one if it falls silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.exceptions import CalicopathError
from calicopath_core.fleet.contact import STEADY
from calicopath_core.scheduling.messages import (
    AdoptJob,
    HandedOver,
    Placed,
    PlaceJob,
    Progress,
    Rejected,
    RunEnded,
    RunStarted,
    StageResult,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.contact import StoreContact
    from calicopath_core.scheduling.election import Election

STOPPING_RETRY_S = 0.2
"""Retry delay for callers of a box that stops; another box can serve them at once."""

RESEND_INTERVAL_S = 1.0
"""How long after the last message about a job its request is sent again: a request or an answer may
be lost with a connection. The scheduler ignores repeated requests."""

CHECK_INTERVAL_S = 0.05
IDLE_CHECK_INTERVAL_S = 0.2
"""How often the client checks for a change of scheduler, with and without pending jobs."""


class PlacementRejected(CalicopathError):
    """Report that the scheduler rejected a job, with the reason and when to retry."""

    def __init__(self, reason: str, *, retry_after_s: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class PendingJob:
    """Hold a job that was submitted to one or more schedulers, the latest one last."""

    def __init__(self, *, place: PlaceJob, now: float) -> None:
        self.place = place
        self.submitted_at = now
        self.resend_at = now + RESEND_INTERVAL_S
        self.schedulers: list[str] = []
        self.results: dict[tuple[int, int], StageResult] = {}
        self.answer: asyncio.Future[Placed] = asyncio.get_running_loop().create_future()

    def on_progress(self, message: Progress) -> None:
        """Record results and freed phases, to pass them to another scheduler if needed."""
        for item in message.results:
            self.results[item.phase, item.index] = item
        for key, item in self.results.items():
            if item.phase in message.freed:
                self.results[key] = msgspec.structs.replace(item, freed=True)

    def request(self, now: float, silent_scheduler: str = '') -> PlaceJob | AdoptJob:
        """Return the message that submits the job, with its results if there are any.

        `silent_scheduler` is the address of a scheduler that fell silent during the job.
        """
        place = self.place_with_time_left(now, silent_scheduler)
        if not self.results:
            return place
        waited_s = now - self.submitted_at
        return AdoptJob(place=place, results=tuple(self.results.values()), waited_s=waited_s)

    def place_with_time_left(self, now: float, silent_scheduler: str) -> PlaceJob:
        """Return the placement request with times reduced by the time already spent."""
        spent_s = now - self.submitted_at
        return msgspec.structs.replace(
            self.place,
            objective_s=self.place.objective_s - spent_s,
            deadline_s=self.place.deadline_s - spent_s,
            backoffs=backoffs_after(self.place.backoffs, spent_s),
            asked_before=bool(self.schedulers),
            silent_scheduler=silent_scheduler,
        )


def backoffs_after(backoffs: dict[str, float], spent_s: float) -> dict[str, float]:
    """Return the backoffs that remain after `spent_s`, with the seconds left."""
    return {name: left_s - spent_s for name, left_s in backoffs.items() if left_s > spent_s}


class SchedulerClient:
    """Submit this box's jobs to the current scheduler and track them until they end.

    `on_scheduler` is called with the address of a new scheduler and the number of orphaned jobs.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        election: Election,
        send: Callable[[str, msgspec.Struct], None],
        on_scheduler: Callable[[str, int], None],
        contact: Callable[[], StoreContact] = lambda: STEADY,
        has_configuration: Callable[[], bool] = lambda: True,
    ) -> None:
        self.clock = clock
        self.election = election
        self.send = send
        self.on_scheduler = on_scheduler
        self.contact = contact
        self.has_configuration = has_configuration
        self.pending: dict[str, PendingJob] = {}
        self.scheduler_address = election.own.address

    async def place(self, place: PlaceJob) -> Placed:
        """Submit a job and return its placement; raise `PlacementRejected` if it is rejected."""
        now = self.clock.monotonic()
        pending_job = PendingJob(place=place, now=now)
        self.pending[place.job] = pending_job
        self.update_scheduler()
        self.submit(pending_job, now)
        return await pending_job.answer

    def submit(self, pending_job: PendingJob, now: float) -> None:
        """Submit a job to the current scheduler, and withdraw it from the previous one."""
        silent_scheduler = pending_job.schedulers[-1] if pending_job.schedulers else ''
        if silent_scheduler:
            gone = RunEnded(job=pending_job.place.job, sender=self.election.own.name, failed=False)
            self.send(silent_scheduler, gone)
        self.send(self.scheduler_address, pending_job.request(now, silent_scheduler))
        pending_job.schedulers.append(self.scheduler_address)

    def update_scheduler(self) -> None:
        """Determine the current scheduler, and report a change."""
        now = self.clock.monotonic()
        knows = self.has_configuration()
        target = self.election.scheduler(now, self.contact(), has_configuration=knows).address
        if target == self.scheduler_address:
            return
        self.scheduler_address = target
        # A scheduler that leaves or is replaced stays reachable and completes its pending jobs.
        lost = self.orphaned_jobs(now)
        self.on_scheduler(target, len(lost))

    def resend_requests(self, now: float) -> None:
        """Send requests again that got neither an answer nor progress for a while."""
        for asked in self.pending.values():
            if not asked.answer.done() and asked.schedulers and now >= asked.resend_at:
                asked.resend_at = now + RESEND_INTERVAL_S
                self.send(asked.schedulers[-1], asked.request(now))

    def orphaned_jobs(self, now: float) -> list[PendingJob]:
        """Return the unanswered jobs whose scheduler has fallen silent."""
        return [
            asked
            for asked in self.pending.values()
            if not asked.answer.done()
            and asked.schedulers
            and asked.schedulers[-1] != self.scheduler_address
            and not self.election.is_alive(asked.schedulers[-1], now)
        ]

    def resubmit_orphaned(self) -> None:
        """Submit orphaned jobs to the current scheduler."""
        now = self.clock.monotonic()
        for asked in self.orphaned_jobs(now):
            self.submit(asked, now)

    async def run(self) -> None:
        """Follow changes of the scheduler and resend requests until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S if self.pending else IDLE_CHECK_INTERVAL_S)
            self.update_scheduler()
            self.resubmit_orphaned()
            self.resend_requests(self.clock.monotonic())

    def on_progress(self, message: Progress) -> None:
        """Record a job's progress."""
        asked = self.pending.get(message.job)
        if asked is not None:
            asked.resend_at = self.clock.monotonic() + RESEND_INTERVAL_S
            asked.on_progress(message)

    def on_handed_over(self, message: HandedOver) -> None:
        """Wait for the scheduler that took a job over; resubmit the job if that one is silent."""
        asked = self.pending.get(message.job)
        if asked is None or asked.answer.done():
            return
        asked.schedulers.append(message.scheduler)
        self.resubmit_orphaned()

    def on_placed(self, message: Placed) -> None:
        """Accept a scheduler's answer; later answers for the same job are ignored."""
        asked = self.pending.get(message.job)
        if asked is None:
            return
        if message.scheduler not in asked.schedulers:
            asked.schedulers.append(message.scheduler)
        if not asked.answer.done():
            asked.answer.set_result(message)

    def on_rejected(self, message: Rejected) -> None:
        """Fail a pending job with the scheduler's reason."""
        asked = self.pending.get(message.job)
        if asked is not None and not asked.answer.done():
            error = PlacementRejected(message.reason, retry_after_s=message.retry_after_s)
            asked.answer.set_exception(error)

    def report_started(self, job: str, pace: float | None = None) -> None:
        """Report that the engine has read a job's prompt, and the pace that it reported."""
        own = self.election.own.name
        self.notify_schedulers(job, RunStarted(job=job, sender=own, pace=pace))

    def report_ended(
        self, job: str, *, failed: bool, turned_away: bool = False, pace: float | None = None
    ) -> None:
        """Report that a job is over, and stop tracking it.

        `pace` is what the engine reported in an answer that had no event.
        """
        own = self.election.own.name
        ended = RunEnded(job=job, sender=own, failed=failed, turned_away=turned_away, pace=pace)
        self.notify_schedulers(job, ended)
        asked = self.pending.pop(job, None)
        if asked is not None and not asked.answer.done():
            asked.answer.cancel()

    def reject_waiting(self) -> None:
        """Reject every job that is not placed yet, because this box is stopping."""
        for asked in self.pending.values():
            if not asked.answer.done():
                error = PlacementRejected('stopping', retry_after_s=STOPPING_RETRY_S)
                asked.answer.set_exception(error)

    def notify_schedulers(self, job: str, message: msgspec.Struct) -> None:
        """Send a message to every scheduler that the job was submitted to."""
        asked = self.pending.get(job)
        for target in dict.fromkeys(asked.schedulers if asked is not None else ()):
            self.send(target, message)
