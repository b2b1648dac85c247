"""Test what a box does about requests that its scheduler does not answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from calicopath_core.fleet.contact import STEADY
from calicopath_core.scheduling.client import (
    CHECK_INTERVAL_S,
    EARLY_RESEND_SHARE,
    MIN_NO_ANSWER_S,
    NO_ANSWER_SHARE,
    RESEND_INTERVAL_S,
    PlacementRejected,
    SchedulerClient,
)
from calicopath_core.scheduling.election import PING_INTERVAL_S, BoxAddress, Election
from calicopath_core.scheduling.messages import (
    AdoptJob,
    HandedOver,
    Placed,
    PlaceJob,
    Pong,
    Progress,
    RunEnded,
)
from calicopath_core.scheduling.shedding import BUSY_REASON
from calicopath_core.scheduling.tests.work import job
from testkit.cases import VirtualCase
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

FIRST, SECOND = 'first:7', 'second:7'


async def wait_until(is_true: Callable[[], bool]) -> None:
    """Wait until something is true; raise `TimeoutError` if it is not within some resends."""
    async with asyncio.timeout(5 * RESEND_INTERVAL_S):
        while not is_true():
            await asyncio.sleep(0.01)


class Box:
    """Run one box's client beside two other boxes that rank before it and answer its pings."""

    def __init__(self, *, acknowledges: bool) -> None:
        self.clock = VirtualClock()
        self.acknowledges = acknowledges
        self.election = Election(own=BoxAddress('own', 'own:7', 'a', 'own-1', 3))
        self.alive = {'first': 1, 'second': 2}
        boxes = [BoxAddress(n, f'{n}:7', 'a', f'{n}-1', order) for n, order in self.alive.items()]
        self.election.on_listed([*boxes, self.election.own], 0.0)
        self.sent: list[tuple[float, str, msgspec.Struct]] = []
        self.unanswered: list[str] = []
        self.unwanted: list[Placed] = []
        self.client = SchedulerClient(
            clock=self.clock,
            election=self.election,
            send=self.send,
            on_scheduler=lambda address, jobs: None,
            on_unanswered=lambda place, address, waited_s: self.unanswered.append(place.job),
            on_unwanted=self.unwanted.append,
        )
        self.tasks = [asyncio.create_task(self.client.run()), asyncio.create_task(self.pong())]

    async def pong(self) -> None:
        """Answer for the boxes that are alive."""
        while True:
            for name in self.alive:
                pong = Pong(name, f'{name}:7', 1, STEADY, False, 0, acknowledges=self.acknowledges)
                self.election.on_pong(pong, self.clock.monotonic())
            await asyncio.sleep(PING_INTERVAL_S)

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Record a message."""
        self.sent.append((self.clock.monotonic(), address, message))

    def messages(self, kind: type[Any], address: str) -> list[float]:
        """Return when messages of a type were sent to an address."""
        return [at for at, to, item in self.sent if to == address and isinstance(item, kind)]

    def asked_before(self, address: str) -> list[bool]:
        """Return `asked_before` of the requests that were sent to an address."""
        return [
            item.asked_before
            for _, to, item in self.sent
            if to == address and isinstance(item, PlaceJob)
        ]

    async def place(self, **changes: Any) -> tuple[float, PlacementRejected | Placed]:
        """Place a job as an exchange does; return the outcome and the seconds that it took."""
        began_at = self.clock.monotonic()
        outcome: PlacementRejected | Placed
        try:
            outcome = await self.client.place(job('j', **changes).place)
        except PlacementRejected as error:
            outcome = error
        took_s = self.clock.monotonic() - began_at
        self.client.report_ended('j', failed=False)
        return took_s, outcome

    def stop(self) -> None:
        """Stop the box."""
        for task in self.tasks:
            task.cancel()


class Unanswered(VirtualCase):
    """Guard against callers who wait for a busy scheduler until their deadline."""

    async def started(self, *, acknowledges: bool = True) -> Box:
        """Return a box that has heard the others."""
        box = Box(acknowledges=acknowledges)
        await asyncio.sleep(2.0)
        return box

    def test_a_request_without_an_answer_is_refused_within_the_bound_and_withdrawn(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            took_s, outcome = await box.place(objective_s=1.0)
            assert isinstance(outcome, PlacementRejected)
            self.assertEqual(BUSY_REASON, outcome.reason)
            self.assertGreater(outcome.retry_after_s, 0.0)
            self.assertLessEqual(took_s, MIN_NO_ANSWER_S + CHECK_INTERVAL_S + 0.001)
            self.assertEqual(1, len(box.messages(RunEnded, FIRST)))
            self.assertEqual(['j'], box.unanswered)
            box.stop()

        self.run_virtual(scenario())

    def test_a_request_that_no_answer_can_reach_is_refused_at_once(self) -> None:
        """Guards against callers who return 9 ms before their deadline and get no decision."""

        async def scenario() -> None:
            box = await self.started()
            took_s, answer = await box.place(deadline_s=0.009)
            assert isinstance(answer, PlacementRejected)
            self.assertEqual(('hopeless', 0.0), (answer.reason, took_s))
            self.assertEqual([], box.messages(PlaceJob, FIRST))
            box.stop()

        self.run_virtual(scenario())

    def test_a_patient_request_waits_for_a_quarter_of_its_objective(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            took_s, _ = await box.place(objective_s=6.0, deadline_s=12.0)
            self.assertAlmostEqual(NO_ANSWER_SHARE * 6.0, took_s, delta=CHECK_INTERVAL_S + 0.001)
            box.stop()

        self.run_virtual(scenario())

    def test_a_placement_after_the_refusal_is_withdrawn_and_not_used(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            await box.place(objective_s=1.0)
            placed = Placed('j', 'engine', (), 0.1, FIRST)
            box.client.on_placed(placed)
            self.assertEqual([placed], box.unwanted)
            self.assertEqual(2, len(box.messages(RunEnded, FIRST)))
            self.assertEqual({}, box.client.pending)
            box.stop()

        self.run_virtual(scenario())

    def test_a_placement_at_the_moment_of_the_refusal_does_not_replace_it(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            placed = Placed('j', 'engine', (), 0.1, FIRST)
            box.client.on_unanswered = lambda *_: box.client.on_placed(placed)
            _, outcome = await box.place(objective_s=1.0)
            self.assertIsInstance(outcome, PlacementRejected)
            self.assertEqual(1, len(box.messages(RunEnded, FIRST)))
            box.stop()

        self.run_virtual(scenario())

    def test_an_acknowledged_request_is_not_refused_while_the_scheduler_answers(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            asked = asyncio.create_task(box.place(objective_s=1.0))
            for _ in range(20):
                await asyncio.sleep(0.2)
                box.client.on_progress(Progress('j', (), ()))
            box.client.on_placed(Placed('j', 'engine', (), 0.1, FIRST))
            took_s, outcome = await asked
            self.assertIsInstance(outcome, Placed)
            self.assertAlmostEqual(4.0, took_s)
            box.stop()

        self.run_virtual(scenario())

    def test_a_lost_acknowledgement_is_asked_for_again_before_the_request_is_refused(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            asked = asyncio.create_task(box.place(objective_s=1.0))
            await wait_until(lambda: len(box.messages(PlaceJob, FIRST)) == 2)
            first, again = box.messages(PlaceJob, FIRST)
            self.assertLess(again - first, MIN_NO_ANSWER_S - 0.2)
            box.client.on_progress(Progress('j', (), ()))
            await asyncio.sleep(RESEND_INTERVAL_S - 0.1)
            self.assertEqual([], box.unanswered)
            box.client.on_placed(Placed('j', 'engine', (), 0.1, FIRST))
            self.assertIsInstance((await asked)[1], Placed)
            box.stop()

        self.run_virtual(scenario())

    def test_only_a_request_that_a_scheduler_has_worked_on_is_marked_as_asked_before(self) -> None:
        """Guards against requests sent again that are neither shed in time nor charged."""

        async def scenario() -> None:
            box = await self.started()
            asked = asyncio.create_task(box.place(objective_s=1.0, deadline_s=8.0))
            await asyncio.sleep(MIN_NO_ANSWER_S - 0.1)
            self.assertEqual([False, False], box.asked_before(FIRST))
            box.client.on_progress(Progress('j', (), ()))
            await asyncio.sleep(RESEND_INTERVAL_S + 2 * CHECK_INTERVAL_S)
            self.assertEqual([False, False, True], box.asked_before(FIRST))
            box.client.on_placed(Placed('j', 'engine', (), 0.1, FIRST))
            await asked
            box.stop()

        self.run_virtual(scenario())

    def test_a_request_that_was_handed_over_is_marked_as_asked_before(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            asked = asyncio.create_task(box.place(objective_s=1.0))
            await asyncio.sleep(0.01)
            box.client.on_handed_over(HandedOver('j', SECOND))
            await asyncio.sleep(MIN_NO_ANSWER_S - 0.1)
            self.assertEqual(([False], [True]), (box.asked_before(FIRST), box.asked_before(SECOND)))
            await asked
            box.stop()

        self.run_virtual(scenario())

    def test_a_request_that_goes_to_the_next_scheduler_is_marked_as_asked_before(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            del box.alive['first']
            asked = asyncio.create_task(box.place(objective_s=1.0))
            await wait_until(lambda: len(box.asked_before(SECOND)) == 2)
            self.assertEqual([True, True], box.asked_before(SECOND))
            self.assertNotIn(True, box.asked_before(FIRST))
            await asked
            box.stop()

        self.run_virtual(scenario())

    def test_a_scheduler_that_stops_answering_after_its_acknowledgement_is_noticed(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            asked = asyncio.create_task(box.place(objective_s=1.0, deadline_s=8.0))
            await asyncio.sleep(0.01)
            box.client.on_progress(Progress('j', (), ()))
            took_s, outcome = await asked
            self.assertIsInstance(outcome, PlacementRejected)
            self.assertLess(took_s, RESEND_INTERVAL_S + MIN_NO_ANSWER_S + 2 * CHECK_INTERVAL_S)
            box.stop()

        self.run_virtual(scenario())

    def test_a_scheduler_of_an_older_build_may_take_longer(self) -> None:
        """One that sends no acknowledgements may work on the job; refusing it wastes the work."""

        async def scenario() -> None:
            box = await self.started(acknowledges=False)
            asked = asyncio.create_task(box.place(objective_s=1.0))
            await asyncio.sleep(3.5)
            self.assertEqual([], box.unanswered)
            self.assertFalse(box.client.is_unanswered('j'))
            sent = box.messages(PlaceJob, FIRST)
            self.assertAlmostEqual(RESEND_INTERVAL_S, sent[1] - sent[0], delta=CHECK_INTERVAL_S)
            box.client.on_placed(Placed('j', 'engine', (), 0.1, FIRST))
            self.assertIsInstance((await asked)[1], Placed)
            box.stop()

        self.run_virtual(scenario())

    def test_requests_of_a_scheduler_that_died_go_to_the_next_one_before_any_refusal(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            del box.alive['first']
            asked = asyncio.create_task(box.place(objective_s=1.0))
            while not box.messages(PlaceJob, SECOND):
                await asyncio.sleep(0.01)
            self.assertEqual([], box.unanswered)
            box.client.on_progress(Progress('j', (), ()))
            box.client.on_placed(Placed('j', 'engine', (), 0.1, SECOND))
            self.assertIsInstance((await asked)[1], Placed)
            box.stop()

        self.run_virtual(scenario())

    def test_the_next_scheduler_has_the_whole_time_for_a_job_handed_over(self) -> None:
        async def scenario() -> None:
            box = await self.started()
            asked = asyncio.create_task(box.place(objective_s=1.0))
            await asyncio.sleep(0.5)
            box.client.on_handed_over(HandedOver('j', SECOND))
            took_s, outcome = await asked
            self.assertIsInstance(outcome, PlacementRejected)
            self.assertAlmostEqual(0.5 + MIN_NO_ANSWER_S, took_s, delta=CHECK_INTERVAL_S + 0.001)
            self.assertEqual(1, len(box.messages(RunEnded, SECOND)))
            self.assertEqual([], box.messages(AdoptJob, SECOND))
            box.stop()

        self.run_virtual(scenario())

    def test_a_job_that_was_not_taken_over_is_submitted_to_the_named_scheduler(self) -> None:
        """Guards against a request that waits for a scheduler which does not have it."""

        async def scenario() -> None:
            box = await self.started()
            asked = asyncio.create_task(box.place(objective_s=1.0))
            await asyncio.sleep(0.1)
            box.client.on_handed_over(HandedOver('j', SECOND, resubmit=True))
            box.client.on_handed_over(HandedOver('j', SECOND, resubmit=True))
            (place,) = [item for _, to, item in box.sent if to == SECOND]
            assert isinstance(place, PlaceJob)
            self.assertEqual(FIRST, place.silent_scheduler)
            box.client.on_placed(Placed('j', 'engine', (), 0.1, SECOND))
            self.assertIsInstance((await asked)[1], Placed)
            box.stop()

        self.run_virtual(scenario())

    def test_a_job_that_schedulers_send_in_a_circle_is_refused_in_time(self) -> None:
        """Guards against messages without end between boxes that disagree on the scheduler."""

        async def scenario() -> None:
            box = await self.started()
            asked = asyncio.create_task(box.place(objective_s=1.0))
            await asyncio.sleep(0.01)
            box.client.on_handed_over(HandedOver('j', SECOND, resubmit=True))
            for _ in range(100):
                await asyncio.sleep(0.01)
                box.client.on_handed_over(HandedOver('j', FIRST, resubmit=True))
            took_s, outcome = await asked
            self.assertIsInstance(outcome, PlacementRejected)
            self.assertLess(took_s, MIN_NO_ANSWER_S + 2 * CHECK_INTERVAL_S)
            self.assertEqual(1, len(box.messages(PlaceJob, FIRST)))
            resent = MIN_NO_ANSWER_S // (EARLY_RESEND_SHARE * MIN_NO_ANSWER_S)
            self.assertLessEqual(len(box.messages(PlaceJob, SECOND)), 1 + resent)
            box.stop()

        self.run_virtual(scenario())
