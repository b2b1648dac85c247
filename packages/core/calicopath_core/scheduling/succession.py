"""Hand jobs over between schedulers, with their results and the learned estimates."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.scheduling.jobs import Job, Result
from calicopath_core.scheduling.messages import AdoptJob, EngineLoads, HandedOver, LearnedEstimates

if TYPE_CHECKING:
    from calicopath_core.scheduling.messages import PlaceJob
    from calicopath_core.scheduling.scheduler import Scheduler


HAND_OVERS_PER_TICK = 20
"""Jobs handed over per tick of 50 ms. Adopting a job takes the successor up to 1 ms, so it spends
at most two fifths of its time on adoptions and decides about new requests in the rest."""


class Succession:
    """Hand jobs over to the `successor`, which is `None` while this box schedules.

    Jobs beyond `HAND_OVERS_PER_TICK` wait in `begun` and `fresh`, with and without work done for
    them, and are served here meanwhile.
    """

    def __init__(self, *, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.successor: str | None = None
        self.begun: OrderedDict[str, Job] = OrderedDict()
        self.fresh: OrderedDict[str, Job] = OrderedDict()
        self.left_this_tick = HAND_OVERS_PER_TICK

    @property
    def waiting(self) -> int:
        """Return the number of jobs that wait to be handed over."""
        return len(self.begun) + len(self.fresh)

    def activate(self) -> None:
        """Start scheduling, also the jobs that still wait to be handed over."""
        self.successor = None
        self.scheduler.engine_pools.on_activated(self.scheduler.clock.monotonic())
        self.continue_some()

    def continue_some(self) -> None:
        """Continue jobs that were not handed over, until the number of this tick is reached."""
        while (job := self.next_waiting()) is not None:
            if self.scheduler.jobs.get(job.id) is job and job.placed_on is None:
                self.continue_job(job)
                self.left_this_tick -= 1

    def continue_job(self, job: Job) -> None:
        """Continue a job that was not handed over. It was admitted: a new one is redirected."""
        self.scheduler.advance(job)

    def forget(self, job: Job) -> None:
        """Stop waiting to hand over a job that has ended."""
        self.begun.pop(job.id, None)
        self.fresh.pop(job.id, None)

    def next_waiting(self) -> Job | None:
        """Remove and return the next waiting job, `None` if there is none for this tick."""
        waiting = self.begun or self.fresh
        if not waiting or self.left_this_tick <= 0:
            return None
        return waiting.popitem(last=False)[1]

    def step_down(self, successor: str) -> None:
        """Hand every job to the successor, a bounded number per tick, those with work begun first.

        A job with calls in progress is handed over once they have ended. A job that was handed to
        this scheduler stays: two boxes that each take the other for the scheduler would send it
        back and forth.
        """
        self.successor = successor
        self.send_estimates(successor)
        for job in self.scheduler.unplaced.values():
            if not job.is_adopted and not job.open_calls:
                self.enqueue(job)
        if self.waiting > self.left_this_tick:
            observer = self.scheduler.observer
            observer.on_hand_over_began(successor, len(self.begun), self.waiting)
        self.hand_over_some()

    def tick(self) -> None:
        """Hand over the next waiting jobs, or continue them if this box schedules again."""
        self.left_this_tick = HAND_OVERS_PER_TICK
        if self.successor is not None:
            self.hand_over_some()
        else:
            self.continue_some()

    def redirect(self, place: PlaceJob, successor: str) -> None:
        """Tell a box to submit a new request to the successor, which decides about it.

        The box then names this scheduler as `silent_scheduler`, so a successor that takes this box
        for the scheduler decides about the request too, instead of sending it back.
        """
        message = HandedOver(job=place.job, scheduler=successor, resubmit=True)
        self.scheduler.send(place.reply_to, message)

    def hand_over_soon(self, job: Job) -> None:
        """Hand a job over now or with one of the next ticks."""
        if not job.open_calls and job.placed_on is None:
            self.enqueue(job)
            self.hand_over_some()

    def enqueue(self, job: Job) -> None:
        """Let a job wait to be handed over."""
        if job.has_progress:
            self.fresh.pop(job.id, None)
            self.begun[job.id] = job
        else:
            self.fresh[job.id] = job

    def hand_over_some(self) -> None:
        """Hand over waiting jobs until the number of this tick is reached."""
        while (job := self.next_waiting()) is not None:
            if self.hand_over(job):
                self.left_this_tick -= 1

    def send_estimates(self, successor: str) -> None:
        """Send the successor the load at the engines and the learned estimates."""
        scheduler = self.scheduler
        loads = scheduler.engine_pools.loads()
        if loads:
            message = EngineLoads(sender=scheduler.own_address, loads=loads)
            scheduler.send(successor, message)
        usual_rates = scheduler.shares.rule.usual_rates(scheduler.clock.monotonic())
        if usual_rates:
            learned = LearnedEstimates(
                sender=scheduler.own_address,
                usual_rates=usual_rates,
                bias=scheduler.admission.bias,
                first_events_s=scheduler.engine_times.snapshot(),
                reservations=scheduler.returning.reservations.pop_all(scheduler.clock.monotonic()),
                prompt_speeds=scheduler.engine_pools.prompt_speeds(),
            )
            scheduler.send(successor, learned)

    def place_with_time_left(self, job: Job, now: float) -> PlaceJob:
        """Return a job's placement request with the times and backoffs that are left."""
        return msgspec.structs.replace(
            job.place,
            objective_s=job.objective_at - now,
            deadline_s=job.deadline_at - now,
            backoffs=self.scheduler.engine_pools.backoffs.of_box(job.place.reply_to, now),
        )

    def hand_over(self, job: Job) -> bool:
        """Hand a job with its results to the successor; return whether it was handed over.

        It is not if it has ended or is placed, or if calls for it are in progress.
        """
        scheduler, successor = self.scheduler, self.successor
        if job.ended or job.open_calls or job.placed_on is not None or successor is None:
            return False
        now = scheduler.clock.monotonic()
        results = job.describe_results()
        place = msgspec.structs.replace(
            self.place_with_time_left(job, now),
            asked_before=True,
            is_over_allowance=job.is_over_allowance,
        )
        waited_s = now - job.arrived_at
        scheduler.send(successor, AdoptJob(place=place, results=results, waited_s=waited_s))
        scheduler.send(job.place.reply_to, HandedOver(job=job.id, scheduler=successor))
        scheduler.observer.on_handed_over(job, successor, len(results))
        job.ended = True
        scheduler.remove_job(job)
        return True

    def on_adopt(self, message: AdoptJob) -> None:
        """Continue a job that another scheduler has started."""
        scheduler = self.scheduler
        if message.place.job in scheduler.jobs:
            return
        now = scheduler.clock.monotonic()
        scheduler.engine_pools.backoffs.note(message.place.reply_to, message.place.backoffs, now)
        job = Job(place=message.place, now=now)
        job.is_adopted = True
        job.arrived_at = now - message.waited_s
        scheduler.add_job(job)
        if message.place.service not in scheduler.engine_pools:
            scheduler.reject(job, 'unknown-service')
            return
        self.restore_results(job, message, now)
        scheduler.begin(job)

    def restore_results(self, job: Job, message: AdoptJob, now: float) -> None:
        """Record the results that a job already has, and reserve the memory that they occupy."""
        for item in message.results:
            restored = Result(
                handle=item.handle,
                producer=item.producer,
                failure_domain=item.failure_domain,
                size=item.size,
                created_at=now,
            )
            restored.freed = item.freed
            job.results[item.phase][item.index] = restored
            service = message.place.phases[item.phase].service
            queue = self.scheduler.stages.queues.get(service)
            if queue is not None and not item.freed:
                queue.book_result(item.producer, item.handle, item.size, now)

    def on_engine_loads(self, message: EngineLoads) -> None:
        """Record the load that a scheduler which steps down has placed at the engines."""
        now = self.scheduler.clock.monotonic()
        self.scheduler.engine_pools.on_other_loads(message.sender, message.loads, now)

    def on_learned(self, message: LearnedEstimates) -> None:
        """Take over another scheduler's estimates, unless this one has enough of its own."""
        scheduler = self.scheduler
        now = scheduler.clock.monotonic()
        scheduler.returning.reservations.restore(message.reservations, now)
        if not scheduler.shares.rule.restore(message.usual_rates, now):
            return
        scheduler.observer.on_shares_restored(message.sender, len(message.usual_rates))
        scheduler.admission.set_bias(message.bias)
        scheduler.engine_times.restore(message.first_events_s)
        scheduler.engine_pools.restore_prompt_speeds(message.prompt_speeds)
