"""Test that what waits is kept in the order that a plain sort by rank gives, whatever happens.

A group that is not moved when its job changes, becomes late or gets old results would be served too
early or too late for as long as it waits.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any
from unittest import mock

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from calicopath_core.fleet.replicas import ReplicaTable
from calicopath_core.scheduling.engine_queue import EngineQueue
from calicopath_core.scheduling.jobs import ChangedJobs
from calicopath_core.scheduling.lanes import LaneKey, Lanes, Position
from calicopath_core.scheduling.pacing import PacingClass, precedence
from calicopath_core.scheduling.release import ResultRelease
from calicopath_core.scheduling.stages import MAX_SKIPPED_GROUPS
from calicopath_core.scheduling.tests.work import job, phase, prompt, queue, replica, result, wait
from calicopath_core.scheduling.waiting import OLD_RESULT_AGE_S, PieceGroup, WaitingPieces, rank
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from calicopath_core.scheduling.jobs import Job

STEP_S = 1 / 16
PATH_STEP_S = 0.5
"""Times are multiples of a power of two, so that sums are exact; `PATH_STEP_S` is also a multiple
of the step to which critical paths are rounded."""

LARGE = 300_000
CHAINS = (
    (phase(count=2), phase(needs=(0,), count=3)),
    (phase(size=LARGE, count=2), phase(), phase(needs=(0, 1))),
    (phase(count=4),),
)
EVENTS = ('arrive', 'take', 'finish', 'free', 'invalidate', 'leave', 'pass time', 'classify')
EVENT_LIST = st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 10_000)), max_size=60)


class RandomEvents:
    """Apply random events to jobs whose pieces wait for one stage."""

    def __init__(self) -> None:
        self.now = 0.0
        self.on_inconsistent = mock.Mock()
        self.waiting = WaitingPieces(on_inconsistent=self.on_inconsistent)
        self.jobs: list[Job] = []
        self.arrived = 0

    def apply(self, event: str, seed: int) -> None:
        """Apply an event to a random job, if there is one that it can happen to."""
        rng = random.Random(seed)
        if event == 'arrive':
            self.arrive(rng)
        elif event == 'pass time':
            self.now += rng.randrange(24) * STEP_S
        elif self.jobs:
            getattr(self, event.replace(' ', '_'))(rng.choice(self.jobs), rng)

    def arrive(self, rng: random.Random) -> None:
        """Let the pieces of a new job wait."""
        self.arrived += 1
        found = job(
            f'j{self.arrived}',
            *rng.choice(CHAINS),
            now=self.now,
            priority=rng.randrange(3),
            objective_s=rng.randrange(64) * STEP_S,
            resumed=rng.random() < 0.1,
            is_over_allowance=rng.random() < 0.3,
        )
        found.critical_path_s = {
            number: rng.randrange(4) * PATH_STEP_S for number in range(len(found.place.phases))
        }
        self.jobs.append(found)
        for made in found.pieces.values():
            for piece in made:
                self.waiting.add(piece, self.now)

    def groups_of(self, item: Job) -> list[PieceGroup]:
        """Return the waiting groups of a job."""
        return list(self.waiting.groups.get(item.id, {}).values())

    def take(self, item: Job, rng: random.Random) -> None:
        """Put a waiting piece into a call."""
        for group in self.groups_of(item)[:1]:
            piece = group.first
            self.waiting.remove([piece])
            piece.set_dispatched(True)
            item.add_open_calls(1)

    def finish(self, item: Job, rng: random.Random) -> None:
        """Store the result of a dispatched piece."""
        pieces = [one for made in item.pieces.values() for one in made if one.is_dispatched]
        if pieces:
            piece = rng.choice(pieces)
            made_at = self.now - rng.randrange(16) * STEP_S
            item.results[piece.phase][piece.index] = result('h', created_at=made_at)

    def free(self, item: Job, rng: random.Random) -> None:
        """Free the results of a job."""
        for made in item.all_results():
            made.freed = True
        item.mark_changed()

    def invalidate(self, item: Job, rng: random.Random) -> None:
        """Discard the results of a phase, and the pieces that wait for it."""
        item.invalidate(rng.randrange(len(item.place.phases)))
        self.waiting.drop_stale(item)

    def leave(self, item: Job, rng: random.Random) -> None:
        """End a job."""
        item.ended = True
        self.waiting.drop_stale(item)
        self.jobs.remove(item)

    def classify(self, item: Job, rng: random.Random) -> None:
        """Give a job one of two pacing classes."""
        item.pacing_class = PacingClass(precedence(item), (('look', rng.randrange(2)),))
        item.mark_changed()

    def expected(self, held: set[PacingClass]) -> list[PieceGroup]:
        """Return the groups that may be dispatched, by looking at every group."""
        groups = [group for item in self.jobs for group in self.groups_of(item)]
        ready = [
            group
            for group in groups
            if group.job.held_by not in held and not group.first.is_early()
        ]
        return sorted(ready, key=lambda group: (rank(group.first, self.now), group.number))


class Order(testtools.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(EVENT_LIST)
    def test_it_equals_a_plain_sort_after_any_events(self, events: list[tuple[str, int]]) -> None:
        world = RandomEvents()
        for event, seed in [*events, ('pass time', 1)]:
            world.apply(event, seed)
            classes = [item.pacing_class for item in world.jobs if item.pacing_class is not None]
            for held in (set(), set(classes[:1])):
                found = list(world.waiting.ready(held, world.now))
                self.assertEqual(world.expected(held), found)
        world.on_inconsistent.assert_not_called()

    def test_a_job_whose_results_become_old_goes_first(self) -> None:
        """Guard against results that expire while nothing but time changes."""
        waiting = WaitingPieces()
        reader = job('reader', phase(), phase(needs=(0,)), objective_s=9.0)
        reader.results[0][0] = result('h', created_at=0.0)
        hurried = job('hurried', phase(), objective_s=4.0)
        for piece in (reader.pieces[1][0], hurried.pieces[0][0]):
            waiting.add(piece, 0.0)
        for now, first in ((1.0, 'hurried'), (OLD_RESULT_AGE_S + 0.1, 'reader')):
            self.assertEqual(first, next(iter(waiting.ready(set(), now))).job.id)

    def test_an_order_that_lost_an_item_is_rebuilt_and_reported(self) -> None:
        """Guard against a scheduler that stops, or never serves a group, after a defect."""
        reported: list[int] = []
        lanes: Lanes[str] = Lanes(on_inconsistent=reported.append)
        key = LaneKey(1, 0, None)
        for number, name in enumerate('abc'):
            lanes.put(number, name, Position(key, 3.0 - number))
        lanes.lanes[key].clear()
        lanes.drop(1)
        self.assertEqual([2], reported)
        found = lanes.ordered(0.0, lambda item: True, lambda item: 0.0)
        self.assertEqual(['c', 'a'], list(found))


class Freeing(testtools.TestCase):
    def test_a_job_whose_results_are_freed_is_marked(self) -> None:
        """Guard against a job that goes first for good on account of results freed long ago."""
        item = job('one', phase(), phase(needs=(0,)), phase(needs=(1,)))
        item.results[0][0], item.results[1][0] = result('h'), result('i')
        changed = ChangedJobs()
        item.changed_in.append(changed)
        release = ResultRelease(
            clock=VirtualClock(),
            replicas=ReplicaTable(),
            job_controller=mock.Mock(),
            queues={},
            freeing=mock.Mock(),
        )
        release.free_read(item, fetched=False)
        self.assertEqual([item], changed.pop_all())


class Skipping(testtools.TestCase):
    def test_a_replica_without_space_is_not_compared_with_all_that_waits(self) -> None:
        """Guard against a dispatch that looks at the whole backlog when nothing fits."""
        target = queue(replica('r'))
        target.replicas['r'].reserved_bytes = 10 * LARGE
        for number in range(4 * MAX_SKIPPED_GROUPS):
            wait(target, job(f'j{number}', phase(size=LARGE)))
        ready = target.waiting.ready(set(), 1.0)
        replicas = target.available_replicas()
        self.assertIsNone(target.choose_batch(replicas, replicas, ready, 1.0))
        self.assertLessEqual(len(ready.found), MAX_SKIPPED_GROUPS + 2)

    def test_small_results_behind_many_that_do_not_fit_are_computed(self) -> None:
        """Guard against a replica that is idle while work waits that it has space for."""
        target = queue(replica('r'))
        target.replicas['r'].reserved_bytes = 900_000
        for number in range(MAX_SKIPPED_GROUPS + 1):
            wait(target, job(f'large{number}', phase(size=LARGE), objective_s=1.0))
        wait(target, job('small', phase(count=2)))
        batch = target.next_batch(1.0)
        assert batch is not None
        self.assertEqual(['small', 'small'], [piece.job.id for piece in batch.pieces])

    def test_pieces_without_results_need_no_space(self) -> None:
        """Guard against pieces that wait for space that they don't take."""
        target = queue(replica('r'))
        target.replicas['r'].reserved_bytes = 10 * LARGE
        wait(target, job('one', phase(size=0)))
        self.assertIsNotNone(target.next_batch(1.0))

    def test_a_call_without_space_for_more_large_results_is_filled_with_small_ones(self) -> None:
        """Guard against a call with one piece while many pieces wait that fit as well."""
        target = queue(replica('r'))
        target.replicas['r'].reserved_bytes = 300_000
        for number in range(MAX_SKIPPED_GROUPS + 3):
            wait(target, job(f'large{number:02}', phase(size=LARGE, count=2), objective_s=1.0))
        wait(target, job('small', phase(count=3)))
        batch = target.next_batch(1.0)
        assert batch is not None
        names = [piece.job.id for piece in batch.pieces]
        self.assertEqual(['large00', 'large00', 'small', 'small'], names)

    def test_small_results_behind_many_that_prefer_another_failure_domain_are_computed(
        self,
    ) -> None:
        """Guard against a replica that is idle because of pieces that wait for another one."""
        others = [replica(f'b{number}', 'b') for number in range(MAX_SKIPPED_GROUPS)]
        target = queue(replica('a', 'a'), *others)
        for number in range(MAX_SKIPPED_GROUPS):
            near = target.replicas[f'b{number}']
            near.open_calls, near.free_at, near.due_at = 1, 0.4, 9.0
        for number in range(MAX_SKIPPED_GROUPS + 1):
            reader = job(f'j{number}', phase(size=LARGE), phase(needs=(0,)), objective_s=2.0)
            reader.results[0][0] = result('h', failure_domain='b', size=LARGE)
            wait(target, reader, 1)
        wait(target, job('small', phase(count=2)))
        batch = target.next_batch(0.1)
        assert batch is not None
        self.assertEqual(['small', 'small'], [piece.job.id for piece in batch.pieces])


class WaitingForEngines(testtools.TestCase):
    def run_events(self, events: list[tuple[str, int]]) -> None:
        """Apply events to an engine queue, and compare it with its jobs after each of them."""
        estimates: dict[int, float] = {}
        now = 0.0

        def first_event_s(item: Any) -> float:
            return estimates.get(item.place.prompt.tokens_in.bit_length(), PATH_STEP_S)

        target = EngineQueue(first_event_s=first_event_s)
        jobs: list[Job] = []
        for number, (event, seed) in enumerate(events):
            rng = random.Random(seed)
            if event in ('arrive', 'finish'):
                jobs.append(self.waiting_job(f'j{number}', now, rng))
                target.add(jobs[-1])
            elif event == 'leave' and jobs:
                target.drop(jobs.pop(rng.randrange(len(jobs))))
            elif event == 'take':
                estimates[rng.choice((3, 10)).bit_length()] = rng.randrange(16) * STEP_S
            else:
                now += rng.randrange(24) * STEP_S
            expected = sorted(jobs, key=lambda item: target.rank(item, now))
            self.assertEqual(expected, list(target.ordered(now)))
            self.assertEqual({item.place.service for item in jobs}, target.services())
            for service in target.services():
                own = [item for item in expected if item.place.service == service]
                self.assertEqual(own[1:3], target.first(now, service, 1, 2))
            hopeless = [item for item in jobs if now + first_event_s(item) > item.deadline_at]
            self.assertEqual(hopeless, target.infeasible(now))
            for item in hopeless:
                target.drop(item)
                jobs.remove(item)

    def waiting_job(self, name: str, now: float, rng: random.Random) -> Job:
        """Return a job whose stages are done."""
        return job(
            name,
            now=now,
            priority=rng.randrange(3),
            objective_s=rng.randrange(32) * STEP_S,
            deadline_s=rng.randrange(32, 64) * STEP_S,
            resumed=rng.random() < 0.2,
            is_over_allowance=rng.random() < 0.3,
            service=rng.choice(('engine', 'other')),
            prompt=prompt(('own', rng.choice((3, 10)))),
        )

    def test_a_job_is_infeasible_by_the_present_estimate(self) -> None:
        """Guard against jobs kept until their deadline although no engine can answer by then."""
        estimate_s = 0.5
        target = EngineQueue(first_event_s=lambda item: estimate_s)
        item = job('one', deadline_s=2.0)
        target.add(item)
        self.assertEqual([], target.infeasible(1.25))
        estimate_s = 1.0
        self.assertEqual([item], target.infeasible(1.25))

    def test_equal_jobs_that_become_infeasible_together_can_be_dropped(self) -> None:
        """Guard against a scheduler task that dies when it rejects the second of them."""
        for count in (2, 3):
            target = EngineQueue(first_event_s=lambda item: 0.5)
            jobs = [job(f'j{number}', deadline_s=2.0) for number in range(count)]
            for item in jobs:
                target.add(item)
            self.assertEqual(jobs, target.infeasible(1.75))
            for item in jobs:
                self.assertEqual({'engine'}, target.services())
                target.drop(item)
            self.assertEqual(set(), target.services())

    def test_an_infeasible_job_that_is_not_dropped_still_waits(self) -> None:
        """Guard against a job that is never placed because nobody knows its service waits."""
        target = EngineQueue(first_event_s=lambda item: 0.5)
        jobs = [job(f'j{number}', deadline_s=2.0) for number in range(3)]
        for item in jobs:
            target.add(item)
        target.infeasible(1.75)
        for item in jobs[:2]:
            target.drop(item)
        self.assertEqual({'engine'}, target.services())
        self.assertEqual(jobs[2:], target.first(1.75, 'engine', 0, 4))
        self.assertEqual([], target.infeasible(1.8))

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(EVENT_LIST)
    def test_their_order_and_their_deadlines_equal_a_plain_look(
        self, events: list[tuple[str, int]]
    ) -> None:
        self.run_events(events)
