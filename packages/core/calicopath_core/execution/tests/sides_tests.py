"""Test that the same request gets the same outcome from any executor and any box."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.execution.tests.answers_tests import PUNJABI, send_naive
from calicopath_core.structure.outcomes import Answered
from testkit.cases import VirtualCase
from testkit.fake_store import StoreState
from testkit.world import FakeBox, TextSink, new_fleet, uuid7

if TYPE_CHECKING:
    from calicopath_core.structure.outcomes import Outcome


class BothSides(VirtualCase):
    def test_without_faults_naive_and_calicopath_answer_alike(self) -> None:
        async def scenario() -> None:
            fleet = new_fleet(concurrency=64)
            box = FakeBox(fleet=fleet, state=StoreState()).configure(fleet)
            for number in range(30):
                text = f'{PUNJABI} {number}'
                mine = await box.send('act', text, key=uuid7(number=number))
                naive = await send_naive(fleet, box, 'act', text, TextSink(), uuid7(number=1000))
                assert isinstance(mine, Answered)
                assert isinstance(naive, Answered)
                self.assertEqual((naive.output, naive.results), (mine.output, mine.results))

        self.run_virtual(scenario())

    def test_the_two_sides_of_a_migration_serve_a_trace_the_same_way(self) -> None:
        async def scenario() -> None:
            sides = []
            for seed in (1, 2):
                fleet = new_fleet(replicas=seed + 1)
                sides.append(FakeBox(fleet=fleet, state=StoreState(), seed=seed).configure(fleet))
            for number in range(30):
                pipeline = ('answer', 'act')[number % 2]
                deadline_s = (2.0, 0.1, 0.0)[number % 3]
                outcomes = [
                    await side.send(
                        pipeline,
                        f'question {number}',
                        key=uuid7(number=number),
                        deadline_s=deadline_s,
                    )
                    for side in sides
                ]
                one, other = (comparable(outcome) for outcome in outcomes)
                self.assertEqual(one, other)

        self.run_virtual(scenario())


def comparable(outcome: Outcome) -> tuple[object, ...]:
    """Return the part of an outcome that must be the same on both sides."""
    if isinstance(outcome, Answered):
        return (outcome.output, outcome.results, outcome.digest)
    return (type(outcome), outcome.reason)
