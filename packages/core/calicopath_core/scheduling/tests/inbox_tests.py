"""Test that a busy scheduler lets the event loop run, and answers every request it got."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any
from unittest import mock

from calicopath_core.scheduling.inbox import OVERLOAD_END_S, SLICE_S, Inbox
from calicopath_core.scheduling.messages import AdoptJob, Placed, PlaceJob, Progress, Rejected
from calicopath_core.scheduling.shedding import BUSY_REASON, LAG_LIMIT_S
from calicopath_core.scheduling.tests.work import job, phase, result
from testkit.cases import VirtualCase
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    import msgspec

    from calicopath_core.scheduling.jobs import Job


class BusyClock(VirtualClock):
    """Advance by the time that decisions take."""

    def __init__(self) -> None:
        super().__init__()
        self.worked_s = 0.0

    def monotonic(self) -> float:
        """Return virtual time plus the time of decisions."""
        return super().monotonic() + self.worked_s


class FakeScheduler:
    """Admit every job, and take `decision_s` for each."""

    def __init__(self, *, clock: BusyClock, decision_s: float) -> None:
        self.clock = clock
        self.decision_s = decision_s
        self.jobs: dict[str, Job] = {}
        self.placed: list[PlaceJob] = []
        self.sent: list[msgspec.Struct] = []
        self.withdrawn: list[Job] = []
        self.observer = mock.Mock()
        self.succession = self

    def on_place(self, place: PlaceJob) -> None:
        """Admit a job."""
        self.clock.worked_s += self.decision_s
        self.placed.append(place)
        self.jobs[place.job] = job(place.job)

    def on_adopt(self, message: AdoptJob) -> None:
        """Adopt a job."""
        self.on_place(message.place)

    def withdraw_placement(self, job: Job) -> None:
        """Record a withdrawn placement."""
        self.withdrawn.append(job)

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Record a message."""
        self.sent.append(message)


class InboxCase(VirtualCase):
    def new(self, decision_s: float) -> tuple[FakeScheduler, Inbox]:
        """Return a scheduler and its inbox."""
        clock = BusyClock()
        scheduler: Any = FakeScheduler(clock=clock, decision_s=decision_s)
        return scheduler, Inbox(scheduler=scheduler, clock=clock)


def place(name: str, **changes: Any) -> PlaceJob:
    return job(name, **changes).place


class Slices(InboxCase):
    def test_with_nothing_waiting_a_request_is_handled_at_once(self) -> None:
        async def scenario() -> None:
            scheduler, inbox = self.new(0.0)
            for number in range(100):
                inbox.on_request(place(f'j{number}'))
                self.assertEqual(number + 1, len(scheduler.placed))
            self.assertEqual(0.0, inbox.lag_s())

        self.run_virtual(scenario())

    def test_the_event_loop_runs_between_slices(self) -> None:
        """Guards against a burst that keeps the box from answering pings until it is replaced."""

        async def scenario() -> None:
            scheduler, inbox = self.new(0.004)
            for number in range(30):
                inbox.on_request(place(f'j{number}'))
            decided = [0]
            while len(scheduler.placed) < 30:
                decided.append(len(scheduler.placed))
                await asyncio.sleep(0)
            most = max(after - before for before, after in itertools.pairwise(decided))
            self.assertLessEqual(most * 0.004, SLICE_S + 0.004)
            self.assertEqual(
                [f'j{number}' for number in range(30)], [p.job for p in scheduler.placed]
            )

        self.run_virtual(scenario())

    def test_the_time_spent_waiting_is_taken_off_the_times_left(self) -> None:
        async def scenario() -> None:
            scheduler, inbox = self.new(0.05)
            inbox.on_request(place('first'))
            inbox.on_request(place('second', objective_s=1.0, deadline_s=5.0))
            scheduler.clock.worked_s += 0.1
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            second = scheduler.placed[1]
            self.assertAlmostEqual(0.9, second.objective_s)
            self.assertAlmostEqual(4.9, second.deadline_s)

        self.run_virtual(scenario())

    def test_a_withdrawn_request_is_not_decided_about(self) -> None:
        """Guards against engines that run requests whose callers have left."""

        async def scenario() -> None:
            scheduler, inbox = self.new(0.05)
            inbox.on_request(place('first'))
            inbox.on_request(place('second'))
            inbox.on_withdrawn('second')
            await asyncio.sleep(0.1)
            self.assertEqual(['first'], [item.job for item in scheduler.placed])

        self.run_virtual(scenario())


class Answers(InboxCase):
    def test_an_admitted_request_is_acknowledged(self) -> None:
        async def scenario() -> None:
            scheduler, inbox = self.new(0.0)
            inbox.on_request(place('j'))
            self.assertEqual([Progress('j', (), ())], scheduler.sent)

        self.run_virtual(scenario())

    def test_a_request_sent_again_is_acknowledged_again_and_not_decided_again(self) -> None:
        async def scenario() -> None:
            scheduler, inbox = self.new(0.0)
            inbox.on_request(place('j'))
            inbox.on_request(AdoptJob(place=place('j'), results=(), waited_s=1.0))
            self.assertEqual([Progress('j', (), ())] * 2, scheduler.sent)
            self.assertEqual(1, len(scheduler.placed))

        self.run_virtual(scenario())

    def test_a_placement_that_was_lost_is_sent_again(self) -> None:
        """Guards against a caller who waits until the deadline for a placement that was lost."""

        async def scenario() -> None:
            scheduler, inbox = self.new(0.0)
            inbox.on_request(place('j'))
            placed = Placed('j', 'e', (), 0.1, 'own:7')
            scheduler.jobs['j'].placement = placed
            inbox.on_request(place('j'))
            self.assertEqual(placed, scheduler.sent[-1])

        self.run_virtual(scenario())

    def test_a_placement_is_sent_again_only_while_its_inputs_are_kept(self) -> None:
        """Guards against an engine that refuses a request because its inputs are gone."""

        async def scenario() -> None:
            scheduler, inbox = self.new(0.0)
            placed = Placed('j', 'e', ('last',), 0.1, 'own:7')
            known = scheduler.jobs['j'] = job('j', phase(), phase(needs=(0,)))
            known.placement = placed
            first, last = result('first'), result('last')
            known.results[0][0], known.results[1][0] = first, last
            first.freed = True
            inbox.on_request(known.place)
            self.assertEqual(([placed], []), (scheduler.sent, scheduler.withdrawn))
            last.freed = True
            inbox.on_request(known.place)
            self.assertEqual(([placed], [known]), (scheduler.sent, scheduler.withdrawn))

        self.run_virtual(scenario())

    def test_a_run_that_has_begun_is_not_withdrawn(self) -> None:
        """Guards against a run that is no longer counted at its engine."""

        async def scenario() -> None:
            scheduler, inbox = self.new(0.0)
            known = scheduler.jobs['j'] = job('j', phase())
            known.placement = Placed('j', 'e', ('r',), 0.1, 'own:7')
            known.results[0][0] = read = result('r')
            read.freed = True
            known.is_running = True
            inbox.on_request(known.place)
            self.assertEqual([], scheduler.withdrawn)

        self.run_virtual(scenario())

    def test_what_is_shed_gets_a_rejection_and_an_overload_is_reported_once(self) -> None:
        async def scenario() -> None:
            scheduler, inbox = self.new(0.05)
            for number in range(50):
                inbox.on_request(place(f'j{number}', priority=number % 2))
            scheduler.clock.worked_s += LAG_LIMIT_S
            while inbox.queue:
                await asyncio.sleep(0)
            rejected = [item for item in scheduler.sent if isinstance(item, Rejected)]
            self.assertEqual({BUSY_REASON}, {item.reason for item in rejected})
            answered = {getattr(item, 'job', '') for item in scheduler.sent}
            self.assertEqual({f'j{number}' for number in range(50)}, answered)
            self.assertEqual(len(rejected), scheduler.observer.on_shed.call_count)
            scheduler.observer.on_overload_started.assert_called_once()
            await asyncio.sleep(OVERLOAD_END_S * 2)
            inbox.on_request(place('after'))
            scheduler.observer.on_overload_ended.assert_called_once_with(len(rejected))

        self.run_virtual(scenario())
