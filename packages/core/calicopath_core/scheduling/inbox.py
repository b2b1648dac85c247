"""Hold the requests that wait until the scheduler of this box decides about them.

Every other message is handled when it arrives, so that a busy scheduler still answers pings and
learns of finished runs.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.scheduling.client import backoffs_after
from calicopath_core.scheduling.messages import AdoptJob, PlaceJob, Progress, Rejected
from calicopath_core.scheduling.shedding import (
    BUSY_REASON,
    SheddingQueue,
    busy_retry_after_s,
    place_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.scheduler import Scheduler
    from calicopath_core.scheduling.shedding import WaitingRequest

SLICE_S = 0.01
"""Time for decisions between two runs of the event loop. A ping then waits for one slice, far less
than the 0.7 s after which a silent scheduler is replaced."""

OVERLOAD_END_S = 1.0
"""Time without a shed request after which an overload counts as over, so that an overload with
pauses is reported once."""


def call_on_loop(work: Callable[[], None]) -> None:
    """Call a function when the event loop runs next."""
    asyncio.get_running_loop().call_soon(work)


class Inbox:
    """Pass requests to the scheduler in slices, and shed requests when it can't keep up.

    `before_slice` is called before requests are handled. `call_soon` calls a function after the
    event loop has handled what is ready. While nothing waits, a request is handled at once.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        clock: Clock,
        before_slice: Callable[[], None] = lambda: None,
        call_soon: Callable[[Callable[[], None]], None] = call_on_loop,
    ) -> None:
        self.scheduler = scheduler
        self.clock = clock
        self.before_slice = before_slice
        self.call_soon = call_soon
        self.queue = SheddingQueue()
        self.spent_s = 0.0
        self.is_slice_open = False
        self.last_shed_at: float | None = None
        self.shed_in_overload = 0

    def lag_s(self) -> float:
        """Return the decision lag: the age of the oldest waiting request in seconds."""
        return self.queue.lag_s(self.clock.monotonic())

    def on_request(self, message: PlaceJob | AdoptJob) -> None:
        """Handle a request at once if nothing waits and the slice has time left, or keep it."""
        known = self.scheduler.jobs.get(place_of(message).job)
        if known is not None:
            self.answer_again(known)
            return
        now = self.clock.monotonic()
        self.check_overload_end(now)
        self.queue.add(message, now)
        if self.is_slice_open:
            if len(self.queue) == 1:
                self.handle_waiting()
            return
        self.open_slice()

    def on_withdrawn(self, job: str) -> None:
        """Remove a request whose box no longer waits for it."""
        self.queue.remove(job)

    def open_slice(self) -> None:
        """Start a slice with its full time, and end it when the event loop runs next."""
        self.is_slice_open = True
        self.spent_s = 0.0
        self.call_soon(self.end_slice)
        self.before_slice()
        self.shed()
        self.handle_waiting()

    def end_slice(self) -> None:
        """Continue with another slice if requests wait."""
        self.is_slice_open = False
        if self.queue:
            self.open_slice()

    def handle_waiting(self) -> None:
        """Pass requests to the scheduler until the time of the slice is used up."""
        while self.spent_s < SLICE_S:
            request = self.queue.pop_next()
            if request is None:
                return
            began_at = self.clock.monotonic()
            self.handle(request, began_at)
            ended_at = self.clock.monotonic()
            self.queue.on_decided(ended_at)
            self.spent_s += ended_at - began_at

    def handle(self, request: WaitingRequest, now: float) -> None:
        """Pass one request to the scheduler, and acknowledge it if it was admitted."""
        message = aged(request.message, now - request.arrived_at)
        if isinstance(message, AdoptJob):
            self.scheduler.succession.on_adopt(message)
        else:
            self.scheduler.on_place(message)
        job = self.scheduler.jobs.get(request.place.job)
        if job is not None and job.placed_on is None:
            self.acknowledge(job)

    def acknowledge(self, job: Job) -> None:
        """Tell a job's box that the job was admitted."""
        self.scheduler.send(job.place.reply_to, Progress(job=job.id, results=(), freed=()))

    def answer_again(self, job: Job) -> None:
        """Answer a repeated request: its box may have missed the first answer.

        A placement is not repeated once its inputs are freed, since the engine would refuse it.
        """
        if job.placement is None:
            self.acknowledge(job)
        elif job.is_running or not any(result.freed for result in job.final_results()):
            self.scheduler.send(job.place.reply_to, job.placement)
        else:
            self.scheduler.withdraw_placement(job)

    def shed(self) -> None:
        """Reject the requests that can't be decided about in time."""
        now = self.clock.monotonic()
        lag_s = self.queue.lag_s(now)
        while (request := self.queue.shed_next(now)) is not None:
            self.note_shed(now, lag_s)
            place = request.place
            retry_after_s = busy_retry_after_s(place)
            self.scheduler.observer.on_shed(place, retry_after_s)
            rejected = Rejected(job=place.job, reason=BUSY_REASON, retry_after_s=retry_after_s)
            self.scheduler.send(place.reply_to, rejected)

    def note_shed(self, now: float, lag_s: float) -> None:
        """Count a shed request, and report the first one of an overload."""
        if self.shed_in_overload == 0:
            self.scheduler.observer.on_overload_started(lag_s, len(self.queue) + 1)
        self.last_shed_at = now
        self.shed_in_overload += 1

    def check_overload_end(self, now: float) -> None:
        """Report the end of an overload, with the number of requests shed in it."""
        if self.last_shed_at is not None and now - self.last_shed_at > OVERLOAD_END_S:
            self.scheduler.observer.on_overload_ended(self.shed_in_overload)
            self.last_shed_at = None
            self.shed_in_overload = 0


def aged(message: PlaceJob | AdoptJob, waited_s: float) -> PlaceJob | AdoptJob:
    """Return a request with its times reduced by the time that it has waited."""
    if waited_s <= 0:
        return message
    if isinstance(message, AdoptJob):
        return AdoptJob(
            place=aged_place(message.place, waited_s),
            results=message.results,
            waited_s=message.waited_s + waited_s,
        )
    return aged_place(message, waited_s)


def aged_place(place: PlaceJob, waited_s: float) -> PlaceJob:
    """Return a placement request with its times reduced."""
    return msgspec.structs.replace(
        place,
        objective_s=place.objective_s - waited_s,
        deadline_s=place.deadline_s - waited_s,
        backoffs=backoffs_after(place.backoffs, waited_s),
    )
