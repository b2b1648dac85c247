"""Hand jobs over between schedulers, with their results and the learned estimates."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from calicopath_core.scheduling.jobs import Job, Result
from calicopath_core.scheduling.messages import AdoptJob, EngineLoads, HandedOver, LearnedEstimates

if TYPE_CHECKING:
    from calicopath_core.scheduling.scheduler import Scheduler


class Succession:
    """Hand jobs over to the `successor`, which is `None` while this box schedules."""

    def __init__(self, *, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.successor: str | None = None

    def activate(self) -> None:
        """Start scheduling."""
        self.successor = None
        self.scheduler.engine_pools.on_activated(self.scheduler.clock.monotonic())

    def step_down(self, successor: str) -> None:
        """Hand every job to the successor as soon as no call for the job is in progress.

        A job that was handed to this scheduler stays: two boxes that each take the other for the
        scheduler would send it back and forth.
        """
        self.successor = successor
        self.send_estimates(successor)
        for job in list(self.scheduler.jobs.values()):
            if not job.is_adopted:
                self.hand_over(job)

    def send_estimates(self, successor: str) -> None:
        """Send the successor the load at the engines and the learned estimates."""
        scheduler = self.scheduler
        loads = scheduler.engine_pools.loads()
        if loads:
            message = EngineLoads(sender=scheduler.own_address, loads=loads)
            scheduler.send(successor, message)
        usual_rates = scheduler.allowances.usual_rates(scheduler.clock.monotonic())
        if usual_rates:
            learned = LearnedEstimates(
                sender=scheduler.own_address,
                usual_rates=usual_rates,
                bias=scheduler.admission.bias,
                first_events_s=scheduler.engine_times.snapshot(),
                prompt_speeds=scheduler.engine_pools.prompt_speeds(),
            )
            scheduler.send(successor, learned)

    def hand_over(self, job: Job) -> None:
        """Hand a job with its results to the successor, unless calls for it are in progress."""
        scheduler, successor = self.scheduler, self.successor
        if job.open_calls or job.placed_on is not None or successor is None:
            return
        now = scheduler.clock.monotonic()
        results = job.describe_results()
        place = msgspec.structs.replace(
            job.place,
            objective_s=job.objective_at - now,
            deadline_s=job.deadline_at - now,
            asked_before=True,
            is_over_allowance=job.is_over_allowance,
            backoffs=scheduler.engine_pools.backoffs.of_box(job.place.reply_to, now),
        )
        waited_s = now - job.arrived_at
        scheduler.send(successor, AdoptJob(place=place, results=results, waited_s=waited_s))
        scheduler.send(job.place.reply_to, HandedOver(job=job.id, scheduler=successor))
        scheduler.observer.on_handed_over(job, successor, len(results))
        job.ended = True
        scheduler.remove_job(job)

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
        job.critical_path_s = scheduler.critical_paths(job)
        scheduler.advance(job)

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
        if not scheduler.allowances.restore(message.usual_rates, now):
            return
        scheduler.admission.set_bias(message.bias)
        scheduler.engine_times.restore(message.first_events_s)
        scheduler.engine_pools.restore_prompt_speeds(message.prompt_speeds)
