"""Test the choice of engines that ask boxes to back off, or that turn runs away."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from unittest import mock

from calicopath_core.fleet.deployment import EngineSpec, ServiceSpec
from calicopath_core.fleet.replicas import ReplicaTable
from calicopath_core.scheduling.backoffs import MIN_AVOIDANCE_S, TRIAL_TIMEOUT_S
from calicopath_core.scheduling.interfaces import SchedulerObserver, StageCaller
from calicopath_core.scheduling.messages import (
    AdoptJob,
    BackoffNotice,
    Placed,
    PlaceJob,
    Rejected,
    RunEnded,
    RunStarted,
)
from calicopath_core.scheduling.scheduler import Scheduler
from calicopath_core.scheduling.tests.work import job, replica
from testkit.cases import VirtualCase
from testkit.gateway_world import deployment
from testkit.ledgers import new_guard
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import msgspec

BOX = 'b1:7'
OTHER = 'b2:7'
ENGINES = ('e1', 'e2', 'e3')


class SentMessages:
    """Record the messages that a scheduler sends."""

    def __init__(self) -> None:
        self.placed: dict[str, str] = {}
        self.rejected: dict[str, Rejected] = {}
        self.adoptions: list[AdoptJob] = []

    def send(self, address: str, message: msgspec.Struct) -> None:
        if isinstance(message, Placed):
            self.placed[message.job] = message.replica
        elif isinstance(message, Rejected):
            self.rejected[message.job] = message
        elif isinstance(message, AdoptJob):
            self.adoptions.append(message)


def place(name: str, box: str = BOX, **changes: Any) -> PlaceJob:
    """Return the message that asks for a job to be placed."""
    return job(name, reply_to=box, **changes).place


class Backoffs(VirtualCase):
    def run_scenario(
        self, steps: Callable[[Scheduler, SentMessages], Awaitable[None]], *, slots: int = 8
    ) -> None:
        """Run a scheduler in front of three engines, and await `work` with it."""

        async def scenario() -> None:
            table, sent = ReplicaTable(), SentMessages()
            for name in ENGINES:
                table.put(replica(name, service='engine'))
            scheduler = Scheduler(
                clock=VirtualClock(),
                replicas=table,
                caller=mock.Mock(spec=StageCaller),
                send=sent.send,
                observer=mock.Mock(spec=SchedulerObserver),
                own_address=BOX,
                select_replicas=lambda replicas: replicas,
                crashes=new_guard(),
            )
            engine = ServiceSpec('engine', '/healthz', 100, None, EngineSpec(slots, 250_000))
            scheduler.on_deployment(deployment(services=(engine,)))
            task = asyncio.create_task(scheduler.run())
            await steps(scheduler, sent)
            task.cancel()

        self.run_virtual(scenario())

    def test_a_box_is_given_no_engine_that_told_it_to_back_off(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            scheduler.on_backoffs(BackoffNotice(address=BOX, backoffs={'e1': 3.0, 'e2': 3.0}))
            for number in range(6):
                scheduler.on_place(place(f'j{number}'))
            self.assertEqual(['e3'] * 6, list(sent.placed.values()))

        self.run_scenario(work)

    def test_another_box_is_given_it_only_if_there_is_no_other(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            scheduler.on_backoffs(BackoffNotice(address=BOX, backoffs={'e1': 3.0, 'e2': 3.0}))
            scheduler.on_place(place('first', OTHER))
            scheduler.on_place(place('second', OTHER))
            self.assertEqual('e3', sent.placed['first'])
            self.assertIn(sent.placed['second'], ('e1', 'e2'))

        self.run_scenario(work, slots=1)

    def test_the_place_message_itself_carries_backoffs(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            scheduler.on_place(place('j', backoffs={'e1': 3.0, 'e3': 3.0}))
            self.assertEqual({'j': 'e2'}, sent.placed)

        self.run_scenario(work)

    def test_with_none_left_in_time_it_is_rejected_at_once_until_the_first_is_back(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            remaining_s = {'e1': 9.0, 'e2': 4.0, 'e3': 8.0}
            scheduler.on_backoffs(BackoffNotice(address=BOX, backoffs=remaining_s))
            scheduler.on_place(place('j', objective_s=3.0, deadline_s=60.0))
            self.assertEqual('backing-off', sent.rejected['j'].reason)
            self.assertLessEqual(4.0, sent.rejected['j'].retry_after_s)
            self.assertLess(sent.rejected['j'].retry_after_s, 8.0)

        self.run_scenario(work)

    def test_a_wait_that_ends_in_time_is_waited_for(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            remaining_s = dict.fromkeys(ENGINES, 1.0)
            scheduler.on_backoffs(BackoffNotice(address=BOX, backoffs=remaining_s))
            scheduler.on_place(place('j', objective_s=3.0))
            self.assertEqual({}, sent.placed)
            await asyncio.sleep(1.1)
            self.assertIn('j', sent.placed)

        self.run_scenario(work)

    def test_what_waits_is_judged_anew_when_a_backoff_begins(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            for number in range(3):
                scheduler.on_place(place(f'at-work-{number}'))
            scheduler.on_place(place('waits', objective_s=3.0))
            self.assertNotIn('waits', sent.placed)
            remaining_s = dict.fromkeys(ENGINES, 5.0)
            scheduler.on_backoffs(BackoffNotice(address=BOX, backoffs=remaining_s))
            self.assertEqual('backing-off', sent.rejected['waits'].reason)

        self.run_scenario(work, slots=1)

    def test_what_may_have_run_is_held_until_its_deadline_would_pass(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            remaining_s = dict.fromkeys(ENGINES, 5.0)
            scheduler.on_backoffs(BackoffNotice(address=BOX, backoffs=remaining_s))
            scheduler.on_place(place('j', objective_s=3.0, may_have_run=True))
            self.assertEqual({}, sent.rejected)
            await asyncio.sleep(5.1)
            self.assertIn('j', sent.placed)

        self.run_scenario(work)

    def test_the_jobs_of_one_box_do_not_hold_up_those_of_others(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            remaining_s = dict.fromkeys(ENGINES, 1.0)
            scheduler.on_backoffs(BackoffNotice(address=BOX, backoffs=remaining_s))
            scheduler.on_place(place('waits', objective_s=2.0))
            scheduler.on_place(place('other', OTHER))
            self.assertEqual(['other'], list(sent.placed))

        self.run_scenario(work)

    def test_one_that_turns_runs_away_without_a_backoff_draws_no_more_than_the_others(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            for number in range(100):
                name = f'j{number}'
                scheduler.on_place(place(name))
                if sent.placed[name] == 'e1':
                    scheduler.on_ended(
                        RunEnded(job=name, sender='b1', failed=False, turned_away=True)
                    )
                await asyncio.sleep(0.02)
            counts = [list(sent.placed.values()).count(name) for name in ENGINES]
            # It is retried after 0.1 s, doubled each time: at most five times in 2 s.
            self.assertLessEqual(counts[0], 5)

        self.run_scenario(work, slots=100)

    def test_it_is_chosen_again_once_it_takes_a_run(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            backoffs = scheduler.engine_pools.backoffs
            backoffs.on_turned_away('e1', 0.0)
            self.assertTrue(backoffs.is_avoided('e1', MIN_AVOIDANCE_S / 2))
            backoffs.on_placed('e1', MIN_AVOIDANCE_S)
            self.assertTrue(backoffs.in_trial('e1', MIN_AVOIDANCE_S + TRIAL_TIMEOUT_S / 2))
            backoffs.on_started('e1', -1.0, MIN_AVOIDANCE_S + TRIAL_TIMEOUT_S / 2)
            self.assertTrue(backoffs.in_trial('e1', MIN_AVOIDANCE_S + TRIAL_TIMEOUT_S / 2))
            backoffs.on_started('e1', MIN_AVOIDANCE_S, MIN_AVOIDANCE_S + TRIAL_TIMEOUT_S / 2)
            self.assertFalse(backoffs.in_trial('e1', MIN_AVOIDANCE_S + TRIAL_TIMEOUT_S / 2))

        self.run_scenario(work)

    def test_what_waited_does_not_come_back_in_one_instant(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            remaining_s = dict.fromkeys(ENGINES, 1.0)
            scheduler.on_backoffs(BackoffNotice(address=BOX, backoffs=remaining_s))
            for number in range(30):
                scheduler.on_place(place(f'j{number}', objective_s=6.0))
            await asyncio.sleep(1.1)
            self.assertEqual(sorted(ENGINES), sorted(sent.placed.values()))
            for name in list(sent.placed):
                scheduler.on_started(RunStarted(job=name, sender='b1'))
            await asyncio.sleep(0.1)
            self.assertEqual(24, len(sent.placed))

        self.run_scenario(work)

    def test_a_job_that_is_handed_over_takes_what_is_left_of_it_along(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            remaining_s = dict.fromkeys(ENGINES, 1.0)
            scheduler.on_backoffs(BackoffNotice(address=BOX, backoffs=remaining_s))
            scheduler.on_place(place('j', objective_s=3.0))
            await asyncio.sleep(0.4)
            scheduler.succession.step_down(OTHER)
            found = sent.adoptions[0].place.backoffs
            self.assertEqual(set(ENGINES), set(found))
            self.assertAlmostEqual(0.6, found['e1'], places=3)

        self.run_scenario(work)

    def test_what_is_over_is_forgotten(self) -> None:
        async def work(scheduler: Scheduler, sent: SentMessages) -> None:
            remaining_s = dict.fromkeys(ENGINES, 1.0)
            scheduler.on_backoffs(BackoffNotice(address=BOX, backoffs=remaining_s))
            scheduler.engine_pools.expire(30.0)
            backoffs = scheduler.engine_pools.backoffs
            self.assertEqual(({}, {}), (backoffs.by_box, backoffs.avoidances))

        self.run_scenario(work)
