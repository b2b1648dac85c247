"""Test which estimates a scheduler that steps down passes on, and when its successor uses them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

import msgspec

from calicopath_core.fleet.deployment import Deployment, EngineSpec, ServiceSpec
from calicopath_core.fleet.replicas import ReplicaTable
from calicopath_core.scheduling.admission import MAX_BIAS
from calicopath_core.scheduling.estimates import DEFAULT_FIRST_EVENT_S
from calicopath_core.scheduling.interfaces import StageCaller
from calicopath_core.scheduling.messages import (
    AdoptJob,
    HandedOver,
    LearnedEstimates,
    Rejected,
    RunEnded,
    RunStarted,
)
from calicopath_core.scheduling.scheduler import Scheduler
from calicopath_core.scheduling.succession import HAND_OVERS_PER_TICK
from calicopath_core.scheduling.tests.work import job, phase, result
from testkit.cases import VirtualCase
from testkit.ledgers import new_guard
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from calicopath_core.scheduling.jobs import Job

SIZE = 9000


def deployment_with_engines(name: str) -> Deployment:
    """Return a deployment with one service of engines."""
    return Deployment(
        version=1,
        routes=(),
        services=(ServiceSpec(name, '', 100, None, EngineSpec(8, 100_000)),),
        workspaces=(),
        limits=None,  # type: ignore[arg-type]
    )


SEEN_S = 0.1


class Succession(VirtualCase):
    def scheduler(self, sent: list[msgspec.Struct]) -> Scheduler:
        """Return a scheduler without replicas."""
        return Scheduler(
            clock=VirtualClock(),
            replicas=ReplicaTable(),
            caller=mock.Mock(spec=StageCaller),
            send=lambda address, message: sent.append(message),
            observer=mock.Mock(),
            own_address='own:7',
            select_replicas=lambda replicas: replicas,
            crashes=new_guard(),
        )

    def add_estimates(self, scheduler: Scheduler) -> None:
        """Give a scheduler estimates of every kind."""
        for _ in range(200):
            scheduler.engine_times.learn(SIZE, SEEN_S)
        scheduler.admission.set_bias(1.4)
        scheduler.shares.rule.charge('w', 1.0, scheduler.clock.monotonic())

    def test_the_next_goes_by_what_was_learned(self) -> None:
        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            before, after = self.scheduler(sent), self.scheduler([])
            self.add_estimates(before)
            await asyncio.sleep(20.0)
            before.succession.step_down('next:7')
            (learned,) = [message for message in sent if isinstance(message, LearnedEstimates)]
            after.succession.on_learned(learned)
            self.assertAlmostEqual(SEEN_S, after.engine_times.expected_s(SIZE), delta=0.01)
            self.assertEqual(1.4, after.admission.bias)
            (rate,) = after.shares.rule.usual_rates(after.clock.monotonic())
            self.assertEqual('w', rate.workspace)
            after.observer.on_shares_restored.assert_called_once_with('own:7', 1)  # type: ignore[attr-defined]

        self.run_virtual(scenario())

    def test_one_that_has_seen_enough_goes_by_that(self) -> None:
        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            before, after = self.scheduler(sent), self.scheduler([])
            self.add_estimates(before)
            after.shares.rule.charge('w', 1.0, 0.0)
            await asyncio.sleep(20.0)
            before.succession.step_down('next:7')
            for message in sent:
                if isinstance(message, LearnedEstimates):
                    after.succession.on_learned(message)
            self.assertEqual(1.0, after.admission.bias)
            self.assertEqual(DEFAULT_FIRST_EVENT_S, after.engine_times.expected_s(SIZE))

        self.run_virtual(scenario())

    def test_the_next_goes_by_the_learned_prompt_speeds(self) -> None:
        """Guards against relearning the speed of engines after each change of the scheduler, and
        against passing on how fast single replicas are, which may have changed."""

        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            before, after = self.scheduler(sent), self.scheduler([])
            for scheduler in (before, after):
                scheduler.on_deployment(deployment_with_engines('engine'))
            speed = before.engine_pools['engine'].prompt_speed
            for number in range(300):
                tokens = 100 + (number * 337) % 5000
                speed.learn(tokens, 0.05 + tokens / 92_100)
            before.pace.on_observed('e1', 0.2, 0.1, 0.0)
            self.add_estimates(before)
            await asyncio.sleep(20.0)
            before.succession.step_down('next:7')
            (learned,) = [message for message in sent if isinstance(message, LearnedEstimates)]
            after.succession.on_learned(learned)
            self.assertEqual(
                speed.s_per_token, after.engine_pools['engine'].prompt_speed.s_per_token
            )
            self.assertEqual({}, after.pace.paces)

        self.run_virtual(scenario())

    def test_messages_of_another_build_have_no_pace_and_no_speeds(self) -> None:
        """Guards against a field without a default, by which boxes of two builds misunderstand
        each other during a roll-out."""
        for message in (
            RunStarted(job='j', sender='b'),
            RunEnded(job='j', sender='b', failed=False),
            LearnedEstimates(sender='b', usual_rates=(), bias=1.0, first_events_s={}),
        ):
            fields = msgspec.to_builtins(message)
            fields.pop('pace', None)
            fields.pop('prompt_speeds', None)
            self.assertEqual(message, msgspec.convert(fields, type(message), strict=False))
            self.assertIn(type(message).__struct_fields__[-1], ('pace', 'prompt_speeds'))

    def test_implausible_estimates_are_clamped(self) -> None:
        async def scenario() -> None:
            after = self.scheduler([])
            wild = LearnedEstimates(
                sender='x', usual_rates=(), bias=99.0, first_events_s={14: -5.0}
            )
            after.succession.on_learned(wild)
            self.assertEqual(MAX_BIAS, after.admission.bias)
            self.assertGreaterEqual(after.engine_times.expected_s(SIZE), 0.0)

        self.run_virtual(scenario())

    def test_a_bounded_number_goes_with_each_tick_and_work_begun_goes_first(self) -> None:
        """Guards against a hand-over that keeps the next scheduler from deciding."""

        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            before = self.scheduler(sent)
            for number in range(30):
                before.add_job(job(f'fresh-{number}', phase()))
            for number in range(10):
                begun = job(f'begun-{number}', phase())
                begun.results[0][0] = result(f'r{number}')
                before.add_job(begun)
            counts = []
            before.succession.step_down('next:7')
            while before.succession.waiting:
                counts.append(sum(isinstance(message, AdoptJob) for message in sent))
                before.tick()
            names = [message.place.job for message in sent if isinstance(message, AdoptJob)]
            self.assertEqual([HAND_OVERS_PER_TICK], counts)
            self.assertEqual({'begun'}, {name.split('-')[0] for name in names[:10]})
            self.assertEqual(40, len(set(names)))
            self.assertEqual({}, before.jobs)

        self.run_virtual(scenario())

    def test_a_job_that_ended_while_it_waited_is_not_handed_over(self) -> None:
        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            before = self.scheduler(sent)
            jobs = [job(f'j{number}', phase()) for number in range(HAND_OVERS_PER_TICK + 2)]
            for item in jobs:
                before.add_job(item)
            before.succession.step_down('next:7')
            before.end(jobs[-1])
            before.tick()
            names = [message.place.job for message in sent if isinstance(message, AdoptJob)]
            self.assertEqual([item.id for item in jobs[:-1]], names)

        self.run_virtual(scenario())

    def test_new_requests_are_sent_on_at_once(self) -> None:
        """Guards against acknowledged requests that nobody decides about."""

        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            before = self.scheduler(sent)
            before.succession.step_down('next:7')
            names = [f'j{number}' for number in range(2 * HAND_OVERS_PER_TICK)]
            for name in names:
                before.on_place(job(name, phase()).place)
            self.assertEqual([HandedOver(name, 'next:7', resubmit=True) for name in names], sent)
            self.assertEqual({}, before.jobs)

        self.run_virtual(scenario())

    def test_two_boxes_that_take_each_other_for_the_scheduler_send_nothing_back(self) -> None:
        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            before = self.scheduler(sent)
            before.succession.step_down('next:7')
            before.on_place(job('j', phase(), silent_scheduler='next:7').place)
            self.assertEqual([], [item for item in sent if isinstance(item, HandedOver)])

        self.run_virtual(scenario())

    def test_ended_jobs_do_not_wait_to_be_handed_over(self) -> None:
        """Guards against a gauge of waiting jobs that stays up while the scheduler is idle."""

        async def scenario() -> None:
            before = self.scheduler([])
            jobs = self.add_more_than_go_at_once(before)
            begun = jobs[-1]
            begun.results[0][0] = result('r')
            before.succession.enqueue(begun)
            self.assertEqual(2, before.succession.waiting)
            for item in jobs[-2:]:
                before.end(item)
            self.assertEqual(0, before.succession.waiting)

        self.run_virtual(scenario())

    def test_a_job_that_did_not_go_is_continued_and_not_decided_about_again(self) -> None:
        """Guards against refusing admitted jobs without phases, or with results to recompute."""

        async def scenario() -> None:
            sent: list[msgspec.Struct] = []
            before = self.scheduler(sent)
            jobs = self.add_more_than_go_at_once(before)
            for item in jobs:
                item.started.clear()
            before.advance = mock.Mock()  # type: ignore[method-assign]
            before.succession.activate()
            before.succession.tick()
            self.assertEqual([mock.call(item) for item in jobs[-2:]], before.advance.mock_calls)
            self.assertEqual([], [item for item in sent if isinstance(item, Rejected)])

        self.run_virtual(scenario())

    def add_more_than_go_at_once(self, scheduler: Scheduler) -> list[Job]:
        """Return the jobs of a scheduler that steps down; the last two have to wait."""
        jobs = [job(f'j{number}', phase()) for number in range(HAND_OVERS_PER_TICK + 2)]
        for item in jobs:
            scheduler.add_job(item)
        scheduler.succession.step_down('next:7')
        return jobs
