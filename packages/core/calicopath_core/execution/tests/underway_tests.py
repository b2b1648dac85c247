"""Test that calls which are underway end only for a proven reason."""

from __future__ import annotations

from calicopath_core.execution.tests.answers_tests import fault_once, set_faults, undisturbed
from calicopath_core.structure.outcomes import Answered
from testkit.cases import VirtualCase
from testkit.fake_endpoints import FakeFleet, Fault
from testkit.fake_store import StoreState
from testkit.world import FakeBox, TextSink, new_fleet

QUESTION = 'Where may we moor after dusk?'


class UnderwayCalls(VirtualCase):
    """Call endpoints that fall silent for a moment and go on."""

    def new_box(self, fleet: FakeFleet, *, retries: float) -> FakeBox:
        """Return a box with some retries in its budget."""
        box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
        box.executor.context.retry_budget.tokens = retries
        return box

    # The generation of a silent engine was cancelled before it was known whether it may be resumed.
    def test_a_generation_is_not_broken_if_its_engine_falls_silent_and_no_retry_is_left(
        self,
    ) -> None:
        async def scenario() -> None:
            whole = await undisturbed('answer', QUESTION)
            fleet = new_fleet()
            set_faults(fleet, 'drafting', fault_once(Fault.PAUSE))
            box, sink = self.new_box(fleet, retries=0.0), TextSink()
            outcome = await box.send('answer', QUESTION, sink=sink, deadline_s=4.0)
            assert isinstance(outcome, Answered), outcome
            self.assertEqual((whole, whole), (outcome.output, sink.text))

        self.run_virtual(scenario())

    # Each engine that fell silent used up one attempt, also the last one.
    def test_a_generation_is_not_broken_if_engines_fall_silent_in_turn(self) -> None:
        async def scenario() -> None:
            whole = await undisturbed('answer', QUESTION)
            fleet = new_fleet()
            set_faults(fleet, 'drafting', lambda call: Fault.PAUSE)
            box, sink = self.new_box(fleet, retries=10.0), TextSink()
            outcome = await box.send('answer', QUESTION, sink=sink, deadline_s=12.0)
            assert isinstance(outcome, Answered), outcome
            self.assertEqual((whole, whole), (outcome.output, sink.text))

        self.run_virtual(scenario())

    # A stage that was slow for a moment failed its request although time was left.
    def test_a_stage_call_is_not_given_up_if_its_endpoint_is_slow_and_no_retry_is_left(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = new_fleet()
            set_faults(fleet, 'encoders', fault_once(Fault.PAUSE))
            box = self.new_box(fleet, retries=0.0)
            outcome = await box.send('answer', QUESTION, deadline_s=4.0)
            assert isinstance(outcome, Answered), outcome

        self.run_virtual(scenario())
