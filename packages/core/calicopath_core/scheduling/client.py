"""Submit jobs to the fleet's scheduler, and to the next one if it falls silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.exceptions import CalicopathError
from calicopath_core.fleet.contact import STEADY
from calicopath_core.scheduling.admission import FIRST_TOKEN_LATENCY_S
from calicopath_core.scheduling.election import SILENCE_TIMEOUT_S
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
from calicopath_core.scheduling.shedding import BUSY_REASON, busy_retry_after_s

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

NO_ANSWER_SHARE = 0.25
"""Share of its objective that a request waits for an answer. A caller who is refused by then can
still be served in time by another box."""

MIN_NO_ANSWER_S = SILENCE_TIMEOUT_S + CHECK_INTERVAL_S
"""Least time that a request waits for an answer. The requests of a scheduler that has crashed go to
its successor within this time, and must not be refused before."""

EARLY_RESEND_SHARE = 0.5
"""Share of the time for an answer after which an unanswered request is sent again: a request or an
acknowledgement that was lost must not lead to a refusal."""


class PlacementRejected(CalicopathError):
    """Report that the scheduler rejected a job, with the reason and when to retry."""

    def __init__(self, reason: str, *, retry_after_s: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class PendingJob:
    """Hold a job that was submitted to one or more schedulers, the latest one last.

    `unanswered_since` is when the oldest request was sent that the current scheduler has not
    answered, `None` if it has answered them all. `silent_scheduler` is the address of the scheduler
    that the job was last withdrawn from. `is_heard_about` says that a scheduler has sent progress
    or handed the job over; a request that was only sent again is like new to its scheduler.
    """

    def __init__(self, *, place: PlaceJob, now: float) -> None:
        self.place = place
        self.submitted_at = now
        self.resend_at = now + RESEND_INTERVAL_S
        self.unanswered_since: float | None = now
        self.no_answer_s = max(MIN_NO_ANSWER_S, NO_ANSWER_SHARE * place.objective_s)
        self.schedulers: list[str] = []
        self.silent_scheduler = ''
        self.is_heard_about = False
        self.results: dict[tuple[int, int], StageResult] = {}
        self.answer: asyncio.Future[Placed] = asyncio.get_running_loop().create_future()

    def on_new_scheduler(self, now: float, *, acknowledges: bool) -> None:
        """Wait for the answer of a scheduler that the job was submitted or handed to."""
        self.unanswered_since = now
        self.resend_at = now + self.resend_interval_s(acknowledges=acknowledges)

    def on_resent(self, now: float, *, acknowledges: bool) -> None:
        """Wait for the answer to a request that was sent again."""
        if self.unanswered_since is None:
            self.unanswered_since = now
        self.resend_at = now + self.resend_interval_s(acknowledges=acknowledges)

    def resend_interval_s(self, *, acknowledges: bool) -> float:
        """Return how long to wait for an answer before the request is sent again."""
        if not acknowledges:
            return RESEND_INTERVAL_S
        return min(RESEND_INTERVAL_S, EARLY_RESEND_SHARE * self.no_answer_s)

    def on_heard(self, now: float) -> None:
        """Record that the scheduler works on the job."""
        self.is_heard_about = True
        self.unanswered_since = None
        self.resend_at = now + RESEND_INTERVAL_S

    def is_overdue(self, now: float) -> bool:
        """Tell whether the scheduler has not answered in time."""
        return self.unanswered_since is not None and now - self.unanswered_since >= self.no_answer_s

    def on_progress(self, message: Progress) -> None:
        """Record results and freed phases, to pass them to another scheduler if needed."""
        for item in message.results:
            self.results[item.phase, item.index] = item
        for key, item in self.results.items():
            if item.phase in message.freed:
                self.results[key] = msgspec.structs.replace(item, freed=True)

    def request(self, now: float) -> PlaceJob | AdoptJob:
        """Return the message that submits the job, with its results if there are any."""
        place = self.place_with_time_left(now)
        if not self.results:
            return place
        waited_s = now - self.submitted_at
        return AdoptJob(place=place, results=tuple(self.results.values()), waited_s=waited_s)

    def place_with_time_left(self, now: float) -> PlaceJob:
        """Return the placement request with times reduced by the time already spent."""
        spent_s = now - self.submitted_at
        return msgspec.structs.replace(
            self.place,
            objective_s=self.place.objective_s - spent_s,
            deadline_s=self.place.deadline_s - spent_s,
            backoffs=backoffs_after(self.place.backoffs, spent_s),
            asked_before=self.is_heard_about or bool(self.silent_scheduler),
            silent_scheduler=self.silent_scheduler,
        )


def backoffs_after(backoffs: dict[str, float], spent_s: float) -> dict[str, float]:
    """Return the backoffs that remain after `spent_s`, with the seconds left."""
    return {name: left_s - spent_s for name, left_s in backoffs.items() if left_s > spent_s}


def check_time_left(place: PlaceJob) -> None:
    """Raise `PlacementRejected` if a request has less time left than an engine's first event takes.

    The scheduler would refuse it as well, but perhaps after its deadline.
    """
    if place.deadline_s < FIRST_TOKEN_LATENCY_S and not place.resumed:
        raise PlacementRejected('hopeless', retry_after_s=busy_retry_after_s(place))


def busy_refusal(asked: PendingJob, now: float) -> PlacementRejected:
    """Return the error that refuses a job whose scheduler has not answered."""
    place = asked.place_with_time_left(now)
    return PlacementRejected(BUSY_REASON, retry_after_s=busy_retry_after_s(place))


class SchedulerClient:
    """Submit this box's jobs to the current scheduler and track them until they end.

    `on_scheduler` is called with the address of a new scheduler and the number of orphaned jobs,
    `on_unanswered` with a request that is refused because its scheduler did not answer, the
    scheduler's address and the seconds waited, and `on_unwanted` with a placement for a job that is
    over.
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
        on_unanswered: Callable[[PlaceJob, str, float], None] = lambda place, address, waited_s: (
            None
        ),
        on_unwanted: Callable[[Placed], None] = lambda placed: None,
    ) -> None:
        self.on_unanswered = on_unanswered
        self.on_unwanted = on_unwanted
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
        check_time_left(place)
        now = self.clock.monotonic()
        pending_job = PendingJob(place=place, now=now)
        self.pending[place.job] = pending_job
        self.update_scheduler()
        self.submit(pending_job, self.scheduler_address, now)
        return await pending_job.answer

    def submit(self, pending_job: PendingJob, scheduler: str, now: float) -> None:
        """Submit a job to a scheduler, and withdraw it from the previous one."""
        if pending_job.schedulers:
            pending_job.silent_scheduler = pending_job.schedulers[-1]
            gone = RunEnded(job=pending_job.place.job, sender=self.election.own.name, failed=False)
            self.send(pending_job.silent_scheduler, gone)
        self.send(scheduler, pending_job.request(now))
        pending_job.schedulers.append(scheduler)
        acknowledges = self.election.acknowledges(scheduler)
        pending_job.on_new_scheduler(now, acknowledges=acknowledges)

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
                acknowledges = self.election.acknowledges(asked.schedulers[-1])
                asked.on_resent(now, acknowledges=acknowledges)
                self.send(asked.schedulers[-1], asked.request(now))

    def refuse_unanswered(self, now: float) -> None:
        """Refuse the requests that their schedulers have not answered in time.

        Only this box sends a request to an engine, so the request has not run and never will. Its
        exchange withdraws the job when it ends. A scheduler of a build that sends no
        acknowledgements may well work on the job, so its requests are not refused.
        """
        for asked in self.pending.values():
            if asked.answer.done() or not asked.is_overdue(now):
                continue
            if self.election.acknowledges(asked.schedulers[-1]):
                asked.answer.set_exception(busy_refusal(asked, now))
                waited_s = now - asked.submitted_at
                self.on_unanswered(asked.place, asked.schedulers[-1], waited_s)

    def is_unanswered(self, job: str) -> bool:
        """Tell whether a job's scheduler, which acknowledges jobs, has not answered yet."""
        asked = self.pending.get(job)
        if asked is None or not asked.schedulers or asked.unanswered_since is None:
            return False
        return self.election.acknowledges(asked.schedulers[-1])

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
            self.submit(asked, self.scheduler_address, now)

    async def run(self) -> None:
        """Follow changes of the scheduler and resend requests until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S if self.pending else IDLE_CHECK_INTERVAL_S)
            self.update_scheduler()
            self.resubmit_orphaned()
            self.resend_requests(self.clock.monotonic())
            self.refuse_unanswered(self.clock.monotonic())

    def on_progress(self, message: Progress) -> None:
        """Record a job's progress."""
        asked = self.pending.get(message.job)
        if asked is not None:
            asked.on_heard(self.clock.monotonic())
            asked.on_progress(message)

    def on_handed_over(self, message: HandedOver) -> None:
        """Wait for the scheduler that took a job over; resubmit the job if that one is silent.

        A job that was not taken over is submitted there. If it was already submitted there, the
        schedulers disagree and would send it in a circle; it is then refused in time.
        """
        asked = self.pending.get(message.job)
        if asked is None or asked.answer.done():
            return
        now = self.clock.monotonic()
        if message.resubmit and message.scheduler in asked.schedulers:
            return
        if message.resubmit and self.is_reachable(message.scheduler, now):
            self.submit(asked, message.scheduler, now)
            return
        asked.is_heard_about = True
        asked.schedulers.append(message.scheduler)
        acknowledges = self.election.acknowledges(message.scheduler)
        asked.on_new_scheduler(now, acknowledges=acknowledges)
        self.resubmit_orphaned()

    def is_reachable(self, scheduler: str, now: float) -> bool:
        """Tell whether a job can be submitted to the box at an address."""
        return scheduler == self.scheduler_address or self.election.is_alive(scheduler, now)

    def on_placed(self, message: Placed) -> None:
        """Accept a scheduler's answer; later answers for the same job are ignored.

        A placement for a job that is over is withdrawn, so that its run is not counted at the
        engine until the job's deadline.
        """
        asked = self.pending.get(message.job)
        if asked is None:
            own = self.election.own.name
            self.send(message.scheduler, RunEnded(job=message.job, sender=own, failed=False))
            self.on_unwanted(message)
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
