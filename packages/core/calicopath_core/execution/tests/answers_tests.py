"""Test that callers get the complete answer to their own request, or a correct refusal.

A refusal is correct if no call of the request can have run.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from calicopath_core.execution.requests import PipelineRequest
from calicopath_core.structure.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)
from testkit.cases import VirtualCase
from testkit.fake_endpoints import FakeFleet, Fault, Timing
from testkit.fake_store import StoreState
from testkit.naive import NaiveExecutor
from testkit.virtual import run_virtual
from testkit.world import FakeBox, TextSink, new_fleet, uuid7

if TYPE_CHECKING:
    from collections.abc import Callable

PUNJABI = 'ਬੰਨ੍ਹ ਕਿੱਥੇ? پھاٹک بند اے 🚤'
STREAM_FAULTS = [Fault.CUT, Fault.GAP, Fault.REPEAT, Fault.SHORT, Fault.WRONG_IDENTITY, Fault.HANG]
CALL_FAULTS = [Fault.REFUSED, Fault.DECLINED, Fault.RESET_BEFORE, Fault.RESET_AFTER]


def fault_once(*faults: Fault) -> Callable[[str], Fault | None]:
    """Return a fault source that gives each fault to one call, and none afterwards."""
    remaining = list(faults)
    return lambda call: remaining.pop(0) if remaining else None


def set_faults(fleet: FakeFleet, service: str, source: Callable[[str], Fault | None]) -> None:
    """Set one fault source for all replicas of a service."""
    for name, item in fleet.endpoints.items():
        if name.startswith(service):
            item.fault = source


async def undisturbed(pipeline: str, text: str) -> str:
    """Return the answer that a fleet without faults gives."""
    fleet = new_fleet()
    box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
    outcome = await box.send(pipeline, text, key=uuid7())
    assert isinstance(outcome, Answered)
    return outcome.output


async def send_naive(
    fleet: FakeFleet, box: FakeBox, pipeline: str, text: str, sink: TextSink, key: str | None = None
) -> Outcome:
    """Send a request with the naive executor, the baseline without this project's checks."""
    result = box.view.plan('towpath', pipeline)
    assert result is not None
    plan = result.unwrap()
    naive = NaiveExecutor(
        endpoints=list(box.view.endpoints.values()),
        backends=fleet.backends(),
        rng=random.Random(1),
    )
    request = PipelineRequest(box.new_id(), text, 0.0, 2.0, 5, True, key, '')
    return await naive.run(request, plan, sink)


class WholeAnswers(VirtualCase):
    def test_a_stream_broken_in_any_way_is_resumed_and_equal_byte_for_byte(self) -> None:
        async def scenario(fault: Fault) -> None:
            whole = await undisturbed('answer', PUNJABI)
            fleet = new_fleet()
            set_faults(fleet, 'drafting', fault_once(fault))
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            sink = TextSink()
            outcome = await box.send('answer', PUNJABI, sink=sink)
            assert isinstance(outcome, Answered), (fault, outcome)
            self.assertEqual(whole, outcome.output)
            self.assertEqual(whole, sink.text)

        for fault in STREAM_FAULTS:
            self.run_virtual(scenario(fault))

    def test_a_resumed_stream_starts_after_the_tokens_received(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            set_faults(fleet, 'drafting', fault_once(Fault.CUT))
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            await box.send('answer', PUNJABI)
            offsets = sorted(fleet['drafting-0'].offsets + fleet['drafting-1'].offsets)
            self.assertEqual(2, len(offsets))
            self.assertEqual(0, offsets[0])
            self.assertGreater(offsets[1], 3)

        self.run_virtual(scenario())

    def test_a_broken_stream_goes_on_only_at_an_endpoint_of_its_version(self) -> None:
        async def scenario(versions: tuple[str, ...], resumed: int) -> None:
            fleet = new_fleet(replicas=len(versions))
            for number, version in enumerate(versions):
                item = fleet[f'drafting-{number}']
                item.endpoint = item.endpoint._replace(version=version)
            set_faults(fleet, 'drafting', fault_once(Fault.CUT))
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            outcome = await box.send('answer', PUNJABI)
            called = [
                item.endpoint.version
                for name, item in fleet.endpoints.items()
                if name.startswith('drafting')
                for _ in item.offsets
            ]
            self.assertEqual((1 + resumed, 1), (len(called), len(set(called))))
            self.assertEqual(bool(resumed), isinstance(outcome, Answered))

        for _ in range(4):
            self.run_virtual(scenario(('v1', 'v2', 'v1', 'v2'), 1))
        self.run_virtual(scenario(('v1', 'v2'), 1))

    def test_the_naive_version_passes_a_short_or_doubled_answer_off_as_whole(self) -> None:
        async def scenario(fault: Fault) -> None:
            whole = await undisturbed('answer', PUNJABI)
            fleet = new_fleet()
            set_faults(fleet, 'drafting', fault_once(fault))
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            sink = TextSink()
            outcome = await send_naive(fleet, box, 'answer', PUNJABI, sink)
            assert isinstance(outcome, Answered)
            self.assertNotEqual(whole, sink.text)

        for fault in (Fault.CUT, Fault.GAP, Fault.REPEAT, Fault.SHORT):
            self.run_virtual(scenario(fault))

    def test_a_stream_that_no_replica_ends_is_marked_broken_and_what_came_is_right(self) -> None:
        async def scenario() -> None:
            whole = await undisturbed('answer', PUNJABI)
            fleet = new_fleet()
            set_faults(fleet, 'drafting', lambda call: Fault.CUT)
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            sink = TextSink()
            outcome = await box.send('answer', PUNJABI, sink=sink)
            assert isinstance(outcome, Failed)
            self.assertIs(FailureReason.STREAM_BROKEN, outcome.reason)
            self.assertTrue(sink.text)
            self.assertTrue(whole.startswith(sink.text))

        self.run_virtual(scenario())

    def test_text_is_passed_on_in_whole_characters_only(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            sink = TextSink()
            await box.send('answer', PUNJABI, sink=sink)
            self.assertGreater(len(sink.pieces), 5)
            self.assertNotIn('\ufffd', sink.text)

        self.run_virtual(scenario())

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(st.sampled_from(STREAM_FAULTS + CALL_FAULTS), max_size=3),
        st.lists(st.sampled_from(CALL_FAULTS), max_size=2),
        st.text(min_size=1, max_size=40),
    )
    def test_whatever_breaks_an_answer_is_whole_or_not_called_an_answer(
        self, stream_faults: list[Fault], call_faults: list[Fault], text: str
    ) -> None:
        async def scenario() -> None:
            whole = await undisturbed('answer', text)
            fleet = new_fleet(replicas=3)
            set_faults(fleet, 'drafting', fault_once(*stream_faults))
            set_faults(fleet, 'rerankers', fault_once(*call_faults))
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            sink = TextSink()
            outcome = await box.send('answer', text, sink=sink)
            self.assertTrue(whole.startswith(sink.text))
            if isinstance(outcome, Answered):
                self.assertEqual(whole, outcome.output)
                self.assertEqual(whole, sink.text)

        run_virtual(scenario())


class SlowReplicas(VirtualCase):
    def test_a_stream_much_slower_than_usual_goes_on_at_another_replica_in_time(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet(replicas=3, timing=Timing(first_token_s=0.05, token_s=0.02))
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            for _ in range(10):
                self.assertIsInstance(await box.send('answer'), Answered)
            tried_before = len(fleet['drafting-0'].offsets)
            fleet['drafting-0'].speed = 0.05
            for _ in range(20):
                outcome = await box.send('answer')
                assert isinstance(outcome, Answered)
                self.assertNotEqual('drafting-0', outcome.timings[-1].endpoint)
            self.assertLessEqual(len(fleet['drafting-0'].offsets), tried_before + 2)

        self.run_virtual(scenario())


class SlowSink(TextSink):
    """Delay each piece by half a second."""

    async def write(self, text: str) -> None:
        """Keep a piece after a delay."""
        await asyncio.sleep(0.5)
        await super().write(text)


class SlowCallers(VirtualCase):
    def test_a_slow_caller_is_not_taken_for_a_slow_replica(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            await box.send('answer')
            outcome = await box.send('answer', sink=SlowSink(), deadline_s=60.0)
            assert isinstance(outcome, Answered)
            self.assertEqual(1, outcome.timings[-1].attempts)

        self.run_virtual(scenario())


class OwnAnswers(VirtualCase):
    def test_many_requests_at_once_each_get_their_own_answer_while_calls_cross(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet(replicas=3, concurrency=64)
            rng = random.Random(4)
            crossed = [Fault.WRONG_IDENTITY, Fault.RESET_AFTER, Fault.CUT]
            for item in fleet.endpoints.values():
                item.fault = lambda call: rng.choice(crossed) if rng.random() < 0.03 else None
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            texts = [f'question {number}' for number in range(60)]
            outcomes = await asyncio.gather(*(box.send('answer', text) for text in texts))
            answered = 0
            for text, outcome in zip(texts, outcomes, strict=True):
                if isinstance(outcome, Answered):
                    answered += 1
                    self.assertTrue(outcome.output.startswith(text + ' —'))
            self.assertGreater(answered, 50)

        self.run_virtual(scenario())

    def test_an_answer_with_another_calls_identity_is_rejected(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet(replicas=1)
            set_faults(fleet, 'encoders', lambda call: Fault.WRONG_IDENTITY)
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            self.assertIsInstance(await box.send('answer'), Failed)

        self.run_virtual(scenario())


class TrueRefusals(VirtualCase):
    def test_a_connection_refused_everywhere_is_a_refusal_and_nothing_ran(self) -> None:
        async def scenario() -> None:
            for fault in (Fault.REFUSED, Fault.DECLINED):
                fleet = new_fleet()
                set_faults(fleet, 'encoders', lambda call, fault=fault: fault)  # type: ignore[misc]
                box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
                self.assertIsInstance(await box.send('answer'), Refused)
                self.assertEqual(0, fleet.run_counts().total())

        self.run_virtual(scenario())

    def test_what_may_have_run_is_never_called_a_refusal(self) -> None:
        async def scenario() -> None:
            for fault in (Fault.RESET_BEFORE, Fault.RESET_AFTER, Fault.HANG):
                fleet = new_fleet()
                set_faults(fleet, 'encoders', lambda call, fault=fault: fault)  # type: ignore[misc]
                box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
                self.assertIsInstance(await box.send('answer'), Failed, fault.value)

        self.run_virtual(scenario())

    def test_a_refusal_after_an_earlier_stage_ran_is_not_called_not_run(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            set_faults(fleet, 'drafting', lambda call: Fault.REFUSED)
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            self.assertIsInstance(await box.send('answer'), Failed)

        self.run_virtual(scenario())

    def test_the_naive_version_refuses_what_ran(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            set_faults(fleet, 'desk', lambda call: Fault.RESET_AFTER)
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            key = uuid7()
            outcome = await send_naive(fleet, box, 'act', 'charge', TextSink(), key)
            self.assertIsInstance(outcome, Refused)
            self.assertGreater(fleet.run_counts()[key], 1)

        self.run_virtual(scenario())

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(st.sampled_from([*CALL_FAULTS, Fault.HANG]), max_size=4),
        st.lists(st.sampled_from([*CALL_FAULTS, Fault.HANG]), max_size=4),
        st.sampled_from([0.05, 0.4, 2.0]),
    )
    def test_a_refused_request_left_no_trace_at_any_endpoint(
        self, first: list[Fault], service: list[Fault], deadline_s: float
    ) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            set_faults(fleet, 'encoders', fault_once(*first))
            set_faults(fleet, 'desk', fault_once(*service))
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            outcome = await box.send('act', key=uuid7(), deadline_s=deadline_s)
            await box.wait_background_tasks()
            if isinstance(outcome, Refused):
                self.assertEqual(0, fleet.run_counts().total())

        run_virtual(scenario())

    def test_requests_that_cannot_meet_their_deadline_are_refused_at_admission(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            reasons = []
            for deadline_s in (0.0, 0.1):
                outcome = await box.send('answer', deadline_s=deadline_s)
                assert isinstance(outcome, Refused)
                reasons.append(outcome.reason)
            self.assertEqual(
                [RefusalReason.DEADLINE_PASSED, RefusalReason.DEADLINE_TOO_SHORT], reasons
            )
            self.assertEqual(0, fleet.run_counts().total())

        self.run_virtual(scenario())

    def test_an_overloaded_box_refuses_at_once_and_says_when_to_come_back(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet(replicas=1, concurrency=1, timing=Timing(first_token_s=0.3))
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            await box.send('answer')
            loop = asyncio.get_running_loop()

            async def timed() -> tuple[Outcome, float]:
                started = loop.time()
                return await box.send('answer'), loop.time() - started

            results = await asyncio.gather(*(timed() for _ in range(40)))
            refused = [(outcome, took) for outcome, took in results if isinstance(outcome, Refused)]
            self.assertGreater(len(refused), 30)
            for outcome, took in refused:
                self.assertLess(took, 0.001)
                assert outcome.retry_after_s is not None
                self.assertGreater(outcome.retry_after_s, 0)
            self.assertEqual([], [item for item, _ in results if isinstance(item, Failed)])

        self.run_virtual(scenario())

    def test_a_box_whose_event_loop_lags_refuses_at_admission(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            box.lag.add_sample(100.0)
            self.assertIsInstance(await box.send('answer'), Answered)
            for _ in range(5):
                box.lag.add_sample(0.3)
            outcome = await box.send('answer')
            assert isinstance(outcome, Refused)
            self.assertIs(RefusalReason.OVERLOADED, outcome.reason)
            for _ in range(10):
                box.lag.add_sample(0.0)
            self.assertIsInstance(await box.send('answer'), Answered)

        self.run_virtual(scenario())

    def test_a_request_given_up_on_ends_at_its_deadline_and_not_later(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            set_faults(fleet, 'drafting', lambda call: Fault.HANG)
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            outcome = await box.send('answer')
            self.assertIsInstance(outcome, Failed)
            self.assertLessEqual(asyncio.get_running_loop().time(), 2.0)

        self.run_virtual(scenario())
