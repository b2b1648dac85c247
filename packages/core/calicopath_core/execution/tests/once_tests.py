"""Test that a request marked not repeatable runs at most once, whatever crashes or pauses."""

from __future__ import annotations

import asyncio
import itertools
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from calicopath_core.execution.tests.answers_tests import fault_once, send_naive, set_faults
from calicopath_core.structure.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)
from testkit.cases import VirtualCase
from testkit.fake_endpoints import FakeFleet, Fault
from testkit.fake_store import StoreState, WriteOutcome
from testkit.virtual import run_virtual
from testkit.world import FakeBox, TextSink, new_fleet, uuid7

SERVICE_FAULTS = [
    Fault.REFUSED,
    Fault.DECLINED,
    Fault.RESET_BEFORE,
    Fault.RESET_AFTER,
    Fault.HANG,
    Fault.WRONG_IDENTITY,
]


def new_boxes(fleet: FakeFleet, state: StoreState, count: int) -> list[FakeBox]:
    """Return boxes that share a fleet and a store."""
    return [
        FakeBox(fleet=fleet, state=state, seed=seed + 1).configure(fleet) for seed in range(count)
    ]


class AtMostOnce(VirtualCase):
    def test_the_same_key_at_two_boxes_at_once_runs_once(self) -> None:
        async def scenario() -> None:
            fleet, state = new_fleet(), StoreState()
            boxes = new_boxes(fleet, state, 2)
            outcomes = await asyncio.gather(*(box.send('act', key=uuid7()) for box in boxes))
            kinds = sorted(type(item).__name__ for item in outcomes)
            self.assertEqual(['Answered', 'Failed'], kinds)
            self.assertEqual(1, fleet.run_counts()[uuid7()])

        self.run_virtual(scenario())

    def test_asking_again_gives_the_stored_answer_on_any_box(self) -> None:
        async def scenario() -> None:
            fleet, state = new_fleet(), StoreState()
            boxes = new_boxes(fleet, state, 2)
            first = await boxes[0].send('act', key=uuid7())
            await boxes[0].wait_background_tasks()
            again = await boxes[1].send('act', key=uuid7())
            assert isinstance(first, Answered)
            assert isinstance(again, Answered)
            self.assertTrue(again.replayed)
            self.assertEqual((first.output, first.results), (again.output, again.results))
            self.assertEqual(1, fleet.run_counts()[uuid7()])

        self.run_virtual(scenario())

    def test_a_key_used_with_another_body_is_refused(self) -> None:
        async def scenario() -> None:
            fleet, state = new_fleet(), StoreState()
            box = new_boxes(fleet, state, 1)[0]
            await box.send('act', 'charge 15000', key=uuid7())
            outcome = await box.send('act', 'charge 20000', key=uuid7())
            assert isinstance(outcome, Refused)
            self.assertIs(RefusalReason.KEY_REUSED, outcome.reason)
            self.assertEqual(1, fleet.run_counts()[uuid7()])

        self.run_virtual(scenario())

    def test_without_a_key_it_is_refused_and_with_a_bad_one_too(self) -> None:
        async def scenario() -> None:
            fleet, state = new_fleet(), StoreState()
            box = new_boxes(fleet, state, 1)[0]
            for key in (None, 'deposit-1'):
                self.assertIsInstance(await box.send('act', key=key), Refused)
            self.assertEqual(0, fleet.run_counts().total())

        self.run_virtual(scenario())

    def test_a_repeatable_pipeline_asked_to_run_once_claims_its_key_too(self) -> None:
        async def scenario() -> None:
            fleet, state = new_fleet(), StoreState()
            box = new_boxes(fleet, state, 1)[0]
            set_faults(fleet, 'drafting', fault_once(Fault.RESET_AFTER))
            outcome = await box.send('answer', key=uuid7(), repeatable=False)
            await box.wait_background_tasks()
            again = await box.send('answer', key=uuid7(), repeatable=False)
            self.assertIsInstance(outcome, Answered)
            self.assertIsInstance(again, Answered)
            drafts = [call for call in fleet.run_counts() if '/drafting/' in call]
            self.assertEqual(2, len(drafts))

        self.run_virtual(scenario())

    def test_a_call_that_never_started_gives_the_key_back(self) -> None:
        async def scenario() -> None:
            fleet, state = new_fleet(), StoreState()
            box = new_boxes(fleet, state, 1)[0]
            set_faults(fleet, 'desk', lambda call: Fault.REFUSED)
            self.assertIsInstance(await box.send('act', key=uuid7()), Failed)
            await box.wait_background_tasks()
            set_faults(fleet, 'desk', lambda call: None)
            self.assertIsInstance(await box.send('act', key=uuid7()), Answered)
            self.assertEqual(1, fleet.run_counts()[uuid7()])

        self.run_virtual(scenario())

    def test_an_answer_that_comes_after_the_deadline_is_kept_for_whoever_asks_again(self) -> None:
        async def scenario() -> None:
            fleet, state = new_fleet(), StoreState()
            box = new_boxes(fleet, state, 1)[0]
            for name in ('desk-0', 'desk-1'):
                fleet[name].timing = fleet[name].timing._replace(service_s=3.0)
            outcome = await box.send('act', key=uuid7())
            self.assertIsInstance(outcome, Failed)
            self.assertLessEqual(asyncio.get_running_loop().time(), 2.0)
            await box.wait_background_tasks()
            again = await box.send('act', key=uuid7())
            self.assertIsInstance(again, Answered)
            self.assertEqual(1, fleet.run_counts()[uuid7()])

        self.run_virtual(scenario())

    def test_a_caller_that_hangs_up_does_not_cut_what_must_run_once(self) -> None:
        async def scenario() -> None:
            fleet, state = new_fleet(), StoreState()
            box = new_boxes(fleet, state, 1)[0]
            task = asyncio.create_task(box.send('act', key=uuid7()))
            await asyncio.sleep(0.1)
            task.cancel()
            await box.wait_background_tasks()
            self.assertIsInstance(await box.send('act', key=uuid7()), Answered)
            self.assertEqual(1, fleet.run_counts()[uuid7()])

        self.run_virtual(scenario())


class StoreFaults(VirtualCase):
    def test_with_the_store_down_it_is_refused_and_did_not_run(self) -> None:
        async def scenario() -> None:
            fleet, state = new_fleet(), StoreState()
            box = new_boxes(fleet, state, 1)[0]
            state.down = True
            outcome = await box.send('act', key=uuid7())
            assert isinstance(outcome, Refused)
            self.assertIs(RefusalReason.STORE_UNAVAILABLE, outcome.reason)
            self.assertIsNotNone(outcome.retry_after_s)
            self.assertEqual(0, fleet.run_counts().total())
            state.down = False
            self.assertIsInstance(await box.send('act', key=uuid7()), Answered)

        self.run_virtual(scenario())

    def test_a_store_lost_after_the_claim_costs_the_stored_answer_only(self) -> None:
        async def scenario() -> None:
            fleet, state = new_fleet(), StoreState()
            boxes = new_boxes(fleet, state, 2)
            asyncio.get_running_loop().call_later(0.1, setattr, state, 'down', True)
            self.assertIsInstance(await boxes[0].send('act', key=uuid7()), Answered)
            await boxes[0].wait_background_tasks()
            state.down = False
            await asyncio.sleep(1)
            again = await boxes[1].send('act', key=uuid7())
            self.assertIsInstance(again, Answered)
            self.assertEqual(1, fleet.run_counts()[uuid7()])

        self.run_virtual(scenario())


class StoppedBoxes(VirtualCase):
    def test_a_box_killed_at_any_moment_leaves_a_key_that_nobody_runs_again(self) -> None:
        async def scenario(killed_at: float) -> None:
            fleet, state = new_fleet(), StoreState()
            boxes = new_boxes(fleet, state, 2)
            task = asyncio.create_task(boxes[0].send('act', key=uuid7()))
            await asyncio.sleep(killed_at)
            task.cancel()
            boxes[0].kill()
            await asyncio.sleep(1)
            outcome = await boxes[1].send('act', key=uuid7())
            self.assertLessEqual(fleet.run_counts()[uuid7()], 1)
            if isinstance(outcome, Failed):
                self.assertIs(FailureReason.ALREADY_CLAIMED, outcome.reason)

        for step in range(60):
            self.run_virtual(scenario(step * 0.004))

    def test_a_box_paused_at_any_moment_and_woken_much_later_runs_nothing_twice(self) -> None:
        async def scenario(paused_at: float) -> None:
            fleet, state = new_fleet(), StoreState()
            boxes = new_boxes(fleet, state, 2)
            task = asyncio.create_task(boxes[0].send('act', key=uuid7()))
            await asyncio.sleep(paused_at)
            boxes[0].gate.pause()
            await asyncio.sleep(100)
            await boxes[1].send('act', key=uuid7())
            boxes[0].gate.resume()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(100)
            self.assertLessEqual(fleet.run_counts()[uuid7()], 1)

        for step in range(60):
            self.run_virtual(scenario(step * 0.004))


class Step(NamedTuple):
    """Describe one request of a generated history, with its faults and those of its box."""

    box: int
    key: int
    pause_s: float
    store_fate: WriteOutcome
    service_fault: Fault | None
    killed_after_s: float | None
    frozen_after_s: float | None


STEPS = st.builds(
    Step,
    box=st.integers(0, 2),
    key=st.integers(0, 1),
    pause_s=st.floats(0, 0.4),
    store_fate=st.sampled_from(list(WriteOutcome)),
    service_fault=st.none() | st.sampled_from(SERVICE_FAULTS),
    killed_after_s=st.none() | st.floats(0, 0.5),
    frozen_after_s=st.none() | st.floats(0, 0.5),
)


class OnceHistories(VirtualCase):
    @settings(derandomize=True, deadline=None, max_examples=1000)
    @given(st.lists(STEPS, min_size=2, max_size=5), st.floats(0, 2), st.floats(0, 2))
    def test_no_key_runs_twice_in_a_thousand_histories(
        self, steps: list[Step], down_at: float, down_for: float
    ) -> None:
        run_virtual(self.run_scenario(steps, down_at, down_for))

    async def run_scenario(self, steps: list[Step], down_at: float, down_for: float) -> None:
        """Run one history and check how often the services ran each key."""
        fleet, state = new_fleet(), StoreState()
        boxes = new_boxes(fleet, state, 3)
        loop = asyncio.get_running_loop()
        loop.call_later(down_at, setattr, state, 'down', True)
        loop.call_later(down_at + down_for, setattr, state, 'down', False)
        outcomes: list[tuple[int, Outcome]] = []
        tasks = []
        for step in steps:
            tasks.append(asyncio.create_task(self.ask(boxes[step.box], step, fleet, outcomes)))
            self.disturb(boxes[step.box], step)
            await asyncio.sleep(step.pause_s)
        await asyncio.sleep(5)
        for box in boxes:
            box.gate.resume()
        await asyncio.sleep(30)
        for task in tasks:
            task.cancel()
        for number in (0, 1):
            self.assertLessEqual(fleet.run_counts()[uuid7(number=number)], 1)
        for number, outcome in outcomes:
            if isinstance(outcome, Answered):
                self.assertEqual(1, fleet.run_counts()[uuid7(number=number)])

    async def ask(
        self, box: FakeBox, step: Step, fleet: FakeFleet, outcomes: list[tuple[int, Outcome]]
    ) -> None:
        """Send one request with the faults of its step."""
        fates = itertools.chain([step.store_fate], itertools.repeat(WriteOutcome.DONE))
        box.store.write_outcome = lambda key: next(fates)
        faults = fault_once(*([step.service_fault] if step.service_fault else []))
        set_faults(fleet, 'desk', faults)
        outcomes.append((step.key, await box.send('act', key=uuid7(number=step.key))))

    def disturb(self, box: FakeBox, step: Step) -> None:
        """Schedule the crash or pause of a box after its request, if the step has one."""
        loop = asyncio.get_running_loop()
        if step.killed_after_s is not None:
            loop.call_later(step.killed_after_s, box.kill)
        if step.frozen_after_s is not None:
            loop.call_later(step.frozen_after_s, box.gate.pause)


class Naive(VirtualCase):
    def test_the_naive_version_charges_twice_after_one_lost_answer(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            set_faults(fleet, 'desk', fault_once(Fault.RESET_AFTER))
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            await send_naive(fleet, box, 'act', 'charge', TextSink(), uuid7())
            self.assertEqual(2, fleet.run_counts()[uuid7()])

        self.run_virtual(scenario())
