"""Test what boxes report about their scheduling."""

from __future__ import annotations

import asyncio
import copy
from typing import Any

import msgspec

from calicopath_core.scheduling.shedding import BUSY_REASON
from calicopathd.gateway.requests import RawRequest
from calicopathd.gateway.scheduling import SchedulingState, scheduling_state
from calicopathd.gateway.state import StateHandler
from testkit.cases import VirtualCase
from testkit.gateway import GatewayFleet
from testkit.gateway_world import exchange
from testkit.replay.crowd import count_calls

REQUESTS = 12


class FakeResponder:
    """Keep the response of a handler."""

    status = 0
    body = b''

    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Keep a response."""
        self.status, self.body = status, body


class SchedulerResource(VirtualCase):
    async def started(self) -> GatewayFleet:
        """Return a fleet in which box-0 schedules."""
        fleet = GatewayFleet()
        await fleet.start()
        return fleet

    async def ask(self, fleet: GatewayFleet, name: str) -> SchedulingState:
        """Return a box's answer."""
        box = fleet.boxes[name].box
        settings_file: Any = None
        metrics = box.observer.metrics
        handler = StateHandler(box=box, metrics=metrics, settings_file=settings_file)
        responder: Any = FakeResponder()
        await handler.handle(RawRequest('GET', '/scheduler', (), b'', 0.0, False), responder)
        self.assertEqual(200, responder.status)
        return msgspec.json.decode(responder.body, type=SchedulingState)

    def serve_streams(self, fleet: GatewayFleet, count: int = REQUESTS) -> None:
        """Have a box serve streams with stages, more than fit into the first calls."""
        now = asyncio.get_running_loop().time()
        for number in range(count):
            fleet.serve('box-2', exchange(number, 'draft', now))

    def test_only_the_scheduler_has_waiting_jobs_and_shares(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            self.serve_streams(fleet)
            await asyncio.sleep(0.1)
            scheduler = fleet.boxes['box-0'].box.scheduler
            state = await self.ask(fleet, 'box-0')
            self.assertEqual((True, 'box-0:7'), (state.scheduling, state.scheduler))
            self.assertGreater(len(scheduler.backlog), 0)
            waiting = sum(item.in_time + item.late for item in state.jobs)
            self.assertEqual(len(scheduler.backlog), waiting)
            undispatched = sum(
                sum(entry.job.undispatched)
                for entry in scheduler.backlog.entries.values()
                if entry.counted.is_in_time
            )
            self.assertGreater(undispatched, 0)
            self.assertEqual(undispatched, sum(item.in_time for item in state.pieces))
            self.assertEqual(['hire'], [item.workspace for item in state.shares])
            self.assertGreater(state.shares[0].recent, 0)
            other = await self.ask(fleet, 'box-1')
            self.assertEqual((False, 'box-0:7'), (other.scheduling, other.scheduler))
            self.assertEqual(([], []), (other.jobs, other.shares))
            await fleet.settle()
            await fleet.stop()

        self.run_virtual(scenario())

    def test_an_answer_changes_nothing_in_the_scheduler(self) -> None:
        """Guards against decisions that depend on whether an operator looks."""

        async def scenario() -> None:
            fleet = await self.started()
            self.serve_streams(fleet)
            await asyncio.sleep(0.1)
            scheduler = fleet.boxes['box-0'].box.scheduler
            before = self.snapshot(scheduler)
            await self.ask(fleet, 'box-0')
            self.assertEqual(before, self.snapshot(scheduler))
            await fleet.settle()
            await fleet.stop()

        self.run_virtual(scenario())

    async def cost(self, count: int) -> tuple[int, float]:
        """Return how many jobs wait of some streams, and the calls that an answer then takes."""
        fleet = await self.started()
        self.serve_streams(fleet, count)
        await asyncio.sleep(0.1)
        box = fleet.boxes['box-0'].box
        calls = count_calls(lambda: scheduling_state(box, box.observer.metrics))
        waiting = len(box.scheduler.backlog)
        await fleet.stop()
        return waiting, calls

    def test_the_cost_of_an_answer_does_not_grow_with_the_backlog(self) -> None:
        """Guards against an operator's look that slows a scheduler in an overload."""
        few, cost_of_few = self.run_virtual(self.cost(REQUESTS))
        many, cost_of_many = self.run_virtual(self.cost(4 * REQUESTS))
        self.assertGreater(many, 2 * few)
        self.assertLessEqual(cost_of_many, 1.2 * cost_of_few)

    def snapshot(self, scheduler: Any) -> Any:
        """Return what the answer reads, as plain data."""
        backlog, allowances = scheduler.backlog, scheduler.shares.rule
        return (
            {key: copy.deepcopy(vars(counts)) for key, counts in backlog.classes.items()},
            backlog.now,
            list(backlog.changed.jobs),
            [
                (name, usage.allowance_left_s, usage.updated_at, usage.usual.value)
                for name, usage in allowances.workspaces.items()
            ],
        )

    def test_what_waits_for_a_decision_is_told_with_its_age(self) -> None:
        async def scenario() -> None:
            fleet = await self.started()
            box = fleet.boxes['box-0'].box
            box.inbox.is_slice_open, box.inbox.spent_s = True, 1.0
            self.serve_streams(fleet)
            await asyncio.sleep(0.2)
            figures = (await self.ask(fleet, 'box-0')).figures
            self.assertEqual(REQUESTS, figures['undecided'])
            self.assertGreater(figures['decision_lag_ms'], 100)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_rejections_are_counted_by_reason_with_shed_requests(self) -> None:
        """Guards against shed requests that are missing, as they have a counter of their own."""

        async def scenario() -> None:
            fleet = await self.started()
            metrics = fleet.boxes['box-1'].box.observer.metrics
            metrics.jobs_rejected.inc({'reason': 'overloaded'})
            metrics.jobs_shed.inc({'priority': '0'})
            metrics.jobs_shed.inc({'priority': '2'})
            metrics.jobs_unanswered.inc({})
            state = await self.ask(fleet, 'box-1')
            found = [(item.reason, item.count) for item in state.rejections]
            self.assertEqual([(BUSY_REASON, 2), ('overloaded', 1)], found)
            self.assertEqual(1, state.figures['unanswered'])
            await fleet.stop()

        self.run_virtual(scenario())
