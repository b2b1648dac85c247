"""Test that callers who are refused early come back in time, also when a scheduler fails."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Any
from unittest import mock

import msgspec

from calicopath_core.fleet.deployment import (
    Deployment,
    EngineSpec,
    Phase,
    Route,
    RouteKind,
    ServiceSpec,
    WeightedService,
    Workspace,
)
from calicopath_core.fleet.replicas import ReplicaTable
from calicopath_core.scheduling.interfaces import SchedulerObserver, StageCaller
from calicopath_core.scheduling.messages import LearnedEstimates, Rejected
from calicopath_core.scheduling.reservations import RETENTION_S, STEP_S
from calicopath_core.scheduling.returning import asks_for_reservations
from calicopath_core.scheduling.scheduler import Scheduler
from calicopath_core.scheduling.tests.work import SPEC, job, phase, replica
from calicopath_core.scheduling.waiting import rank
from testkit.cases import VirtualCase
from testkit.ledgers import new_guard
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from calicopath_core.scheduling.messages import PlaceJob

BACKLOG = 30
QUIET_S = 3.0
"""After this time, the arrival of the backlog no longer counts as demand."""


def deployment(*, workspaces: int = 2, objective_s: float = 3.0, stages: int = 1) -> Deployment:
    """Return a deployment with one route of a stage and an engine."""
    route = Route(
        name='r',
        host='h',
        prefix='/',
        kind=RouteKind.STREAMING,
        timeout_s=8.0,
        objective_s=objective_s,
        priority=0,
        services=(WeightedService('engine', 1.0),),
        max_attempts=2,
        phases=(Phase('look', (), 100),) * stages,
        anonymous=False,
        resumable=True,
    )
    return Deployment(
        version=1,
        routes=(route,),
        services=(
            ServiceSpec('look', '', 10, SPEC, None),
            ServiceSpec('engine', '', 10, None, EngineSpec(4, 1000)),
        ),
        workspaces=tuple(Workspace(f'w{number}', (), None) for number in range(workspaces)),
    )


async def hang(*details: Any) -> None:
    """Never answer."""
    await asyncio.sleep(3600)


class Condition(VirtualCase):
    def test_it_takes_effect_where_workspaces_compete_for_stages(self) -> None:
        """Deployments that don't ask for it must be served as before."""
        self.assertTrue(asks_for_reservations(deployment()))
        self.assertFalse(asks_for_reservations(deployment(workspaces=1)))
        self.assertFalse(asks_for_reservations(deployment(stages=0)))
        self.assertFalse(asks_for_reservations(deployment(objective_s=8.0)))


class Returning(VirtualCase):
    def setUp(self) -> None:
        super().setUp()
        self.sent: list[Any] = []
        self.observer = mock.Mock(spec=SchedulerObserver)

    def scheduler(self, **changes: Any) -> Scheduler:
        """Return a scheduler whose stage has one replica, which never answers."""
        table = ReplicaTable()
        table.put(replica('r'))
        table.put(replica('e', service='engine'))
        caller = mock.Mock(spec=StageCaller)
        caller.run = caller.report = hang
        found = Scheduler(
            clock=VirtualClock(),
            replicas=table,
            caller=caller,
            send=lambda address, message: self.sent.append(message),
            observer=self.observer,
            own_address='own:7',
            select_replicas=lambda replicas: replicas,
            crashes=new_guard(),
            promises_returns=True,
        )
        found.on_deployment(deployment(**changes))
        return found

    def place(self, name: str, **changes: Any) -> PlaceJob:
        return job(name, phase(), **{'content': 'c', 'deadline_s': 8.0, **changes}).place

    async def overload(self, scheduler: Scheduler, count: int = BACKLOG) -> None:
        """Queue jobs, and wait until their arrival is past."""
        for number in range(count):
            name = f'queued-{number}'
            scheduler.on_place(self.place(name, objective_s=20.0, deadline_s=30.0, content=name))
        await asyncio.sleep(QUIET_S)

    async def refuse(self, scheduler: Scheduler, name: str = 'first') -> float:
        """Place a job and return in how many seconds its caller is told to return."""
        scheduler.on_place(self.place(name))
        rejected = self.sent[-1]
        self.assertIsInstance(rejected, Rejected)
        self.assertEqual((name, 'come-back'), (rejected.job, rejected.reason))
        return float(rejected.retry_after_s)

    def test_who_returns_as_told_is_not_refused_again(self) -> None:
        """Callers came back as told and were refused again; they try only once more."""

        async def scenario() -> None:
            scheduler = self.scheduler()
            await self.overload(scheduler)
            await asyncio.sleep(await self.refuse(scheduler))
            scheduler.on_place(self.place('again'))
            self.assertTrue(scheduler.jobs['again'].is_returning)
            self.assertFalse(scheduler.jobs['again'].is_over_allowance)

        self.run_virtual(scenario())

    def test_an_answer_from_its_second_attempt_is_counted(self) -> None:
        """Operators would not see whether promises are kept."""

        async def scenario() -> None:
            scheduler = self.scheduler()
            await self.overload(scheduler)
            await asyncio.sleep(await self.refuse(scheduler))
            scheduler.on_place(self.place('again'))
            scheduler.returning.on_placed(scheduler.jobs['again'], in_time=True)
            self.observer.on_reservation_used.assert_called_once_with(mock.ANY, kept=True)
            scheduler.reject(scheduler.jobs['again'], 'result-gone')
            self.observer.on_reservation_used.assert_called_with(mock.ANY, kept=False)

        self.run_virtual(scenario())

    def test_it_goes_before_new_ones_of_its_priority(self) -> None:
        """New requests would take the capacity that was reserved."""
        returned, earlier = job('returned', phase(), now=0.3), job('earlier', phase(), now=0.29)
        returned.is_returning = True
        urgent = job('urgent', phase(), now=0.3)
        urgent.effective_priority = -1
        ranked = sorted((returned, earlier, urgent), key=lambda item: rank(item.pieces[0][0], 0.31))
        self.assertEqual([urgent, returned, earlier], ranked)

    def test_a_job_without_a_reservation_waits_behind_those_in_time(self) -> None:
        """Jobs that will be late took calls from jobs in time, until both were late."""

        async def scenario() -> None:
            scheduler = self.scheduler()
            await self.overload(scheduler, count=BACKLOG + 15)
            for _ in range(BACKLOG):
                scheduler.returning.arrivals.add(self.place('new'), scheduler.clock.monotonic())
            scheduler.on_place(self.place('late'))
            self.assertTrue(scheduler.jobs['late'].is_over_allowance)
            self.observer.on_beyond_capacity.assert_called_once()

        self.run_virtual(scenario())

    def test_requests_that_must_not_be_refused_are_not(self) -> None:
        """A request that may have run, or that was admitted before, would lose what it has."""

        async def scenario() -> None:
            scheduler = self.scheduler()
            await self.overload(scheduler)
            for field in ('may_have_run', 'asked_before', 'resumed'):
                scheduler.on_place(self.place(field, **{field: True}))
                self.assertIn(field, scheduler.jobs)
            scheduler.on_place(self.place('nameless', content=''))
            self.assertIn('nameless', scheduler.jobs)
            self.observer.on_reservation_made.assert_not_called()

        self.run_virtual(scenario())

    def test_without_the_setting_the_rule_decides_nothing(self) -> None:
        """A rule that operators have not asked for would change how deployments are served."""

        async def scenario() -> None:
            scheduler = self.scheduler()
            scheduler.returning.allowed = False
            scheduler.on_deployment(deployment())
            await self.overload(scheduler)
            scheduler.on_place(self.place('first'))
            self.assertEqual([], [item for item in self.sent if isinstance(item, Rejected)])
            self.observer.on_reservation_made.assert_not_called()
            self.observer.on_beyond_capacity.assert_not_called()

        self.run_virtual(scenario())

    def test_a_flood_reserves_nothing(self) -> None:
        """A workspace over its allowance would reserve the capacity that others need."""

        async def scenario() -> None:
            scheduler = self.scheduler()
            await self.overload(scheduler)
            scheduler.shares.charge = mock.Mock(return_value=True)  # type: ignore[method-assign]
            scheduler.on_place(self.place('flood'))
            self.observer.on_reservation_made.assert_not_called()

        self.run_virtual(scenario())

    def test_nothing_changes_where_it_is_not_asked_for(self) -> None:
        """A deployment with one workspace must be served as before."""

        async def scenario() -> None:
            scheduler = self.scheduler(workspaces=1)
            await self.overload(scheduler)
            scheduler.on_place(self.place('j'))
            self.assertIn('j', scheduler.jobs)
            self.assertFalse(scheduler.jobs['j'].is_over_allowance)

        self.run_virtual(scenario())

    def test_the_successor_keeps_the_promises(self) -> None:
        """A planned stop would turn every caller who was told to return into a new one."""

        async def scenario() -> None:
            before = self.scheduler()
            await self.overload(before)
            return_in_s = await self.refuse(before)
            self.sent.clear()
            before.succession.step_down('next:7')
            (learned,) = [item for item in self.sent if isinstance(item, LearnedEstimates)]
            self.assertEqual(0, before.returning.reservations.count)
            after = self.scheduler()
            after.succession.on_learned(
                msgspec.json.decode(msgspec.json.encode(learned), type=LearnedEstimates)
            )
            await asyncio.sleep(return_in_s)
            after.on_place(self.place('again'))
            self.assertTrue(after.jobs['again'].is_returning)

        self.run_virtual(scenario())

    def test_a_scheduler_of_an_earlier_build_sends_none(self) -> None:
        """During a roll-out, messages lack the new field."""

        async def scenario() -> None:
            learned = LearnedEstimates(sender='x', usual_rates=(), bias=1.0, first_events_s={})
            fields = msgspec.json.decode(msgspec.json.encode(learned))
            del fields['reservations']
            earlier = msgspec.json.decode(msgspec.json.encode(fields), type=LearnedEstimates)
            scheduler = self.scheduler()
            scheduler.succession.on_learned(earlier)
            self.assertEqual(0, scheduler.returning.reservations.count)

        self.run_virtual(scenario())

    def test_after_a_scheduler_died_its_callers_are_new(self) -> None:
        """Reservations are lost with their scheduler; its callers must be served all the same."""

        async def scenario() -> None:
            before, after = self.scheduler(), self.scheduler()
            await self.overload(before)
            await asyncio.sleep(await self.refuse(before))
            after.on_place(self.place('again'))
            self.assertFalse(after.jobs['again'].is_returning)

        self.run_virtual(scenario())

    def test_the_reservation_of_a_caller_that_never_returns_expires(self) -> None:
        """Its capacity would be kept free for ever."""

        async def scenario() -> None:
            scheduler = self.scheduler()
            await self.overload(scheduler)
            await asyncio.sleep(await self.refuse(scheduler) + RETENTION_S + 2 * STEP_S)
            scheduler.tick()
            self.observer.on_reservations_expired.assert_called_once_with(1)
            self.assertEqual(0, scheduler.returning.reservations.count)

        self.run_virtual(scenario())

    def test_a_decision_costs_the_same_with_many_waiting_jobs(self) -> None:
        """The scheduler stopped deciding under load because decisions grew with the backlog."""

        async def calls_with(count: int) -> int:
            scheduler = self.scheduler()
            await self.overload(scheduler, count)
            first = job('first', phase(), content='c')
            scheduler.returning.admits(first, scheduler.backlog, 0.4, QUIET_S)
            found = 0

            def count_call(frame: Any, event: str, argument: Any) -> None:
                nonlocal found
                found += event == 'call'

            measured = job('measured', phase(), content='d')
            sys.setprofile(count_call)
            try:
                scheduler.returning.admits(measured, scheduler.backlog, 0.4, QUIET_S)
            finally:
                sys.setprofile(None)
            return found

        async def scenario() -> None:
            few, many = await calls_with(100), await calls_with(2000)
            self.assertLessEqual(many, 1.2 * few)

        self.run_virtual(scenario())
