"""Test that the counts of waiting jobs equal a plain count over all jobs, whatever happens to them.

A count that misses an event, or counts one twice, would refuse jobs that could be served, or admit
more than can be. It would stay wrong until the scheduler changes.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any
from unittest import mock

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from calicopath_core.scheduling.admission import outranks
from calicopath_core.scheduling.backlog import Backlog
from calicopath_core.scheduling.due_times import MIN_REBUILD_SIZE, DueTimes
from calicopath_core.scheduling.interfaces import SchedulerObserver
from calicopath_core.scheduling.pacing import Pacing, precedence
from calicopath_core.scheduling.tests.work import backlog_of, job, phase, queue, replica, result

if TYPE_CHECKING:
    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.pacing import Precedence

CHAINS = (
    (phase('look', count=2), phase('rank', (0,), count=3)),
    (phase('look'), phase('rank', (0,)), phase('check', (0, 1), count=2)),
    (phase('look', count=3),),
    (),
)
STEP_S = 1 / 16
"""Times are multiples of a power of two, so that sums of them are exact."""

EVENTS = (
    'arrive',
    'dispatch',
    'requeue',
    'finish',
    'open',
    'invalidate',
    'leave',
    'pass time',
    'pace',
)
EVENT_LIST = st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 10_000)), max_size=60)


def plain_pieces_ahead(owner: Job, jobs: list[Job], now: float) -> dict[str, int]:
    """Count the pieces ahead of a job by looking at every job."""
    ahead: dict[str, int] = {}
    for other in jobs:
        if other is owner or outranks(owner, other) or other.is_late(now):
            continue
        for number, work in enumerate(other.place.phases):
            if other.undispatched[number]:
                ahead[work.service] = ahead.get(work.service, 0) + other.undispatched[number]
    return ahead


def plain_jobs_ahead(owner: Job, jobs: list[Job], now: float) -> int:
    """Count the jobs ahead of a job by looking at every job."""
    return sum(
        other is not owner
        and other.place.service == owner.place.service
        and not outranks(owner, other)
        and not other.is_late(now)
        for other in jobs
    )


def plain_started_pieces(jobs: list[Job], max_precedence: Precedence) -> dict[str, int]:
    """Count the uncalled pieces of started jobs by looking at every job."""
    pieces: dict[str, int] = {}
    for item in jobs:
        if item.has_progress and precedence(item) <= max_precedence:
            for number, work in enumerate(item.place.phases):
                if item.undispatched[number]:
                    pieces[work.service] = pieces.get(work.service, 0) + item.undispatched[number]
    return pieces


class RandomEvents:
    """Apply random events to jobs and to their backlog."""

    def __init__(self) -> None:
        self.now = 0.0
        self.observer = mock.Mock(spec=SchedulerObserver)
        self.backlog = Backlog(observer=self.observer)
        self.queues = {name: queue(replica('r')) for name in ('look', 'rank', 'check')}
        self.jobs: list[Job] = []
        self.arrived = 0

    def new_job(self, rng: random.Random) -> Job:
        """Return a job of a random kind."""
        self.arrived += 1
        found = job(
            f'j{self.arrived}',
            *rng.choice(CHAINS),
            now=self.now,
            priority=rng.randrange(3),
            objective_s=rng.randrange(16) * STEP_S,
            deadline_s=rng.randrange(16, 64) * STEP_S,
            resumed=rng.random() < 0.2,
            is_over_allowance=rng.random() < 0.3,
            service=rng.choice(('engine', 'other')),
        )
        found.critical_path_s = {
            number: rng.randrange(8) * STEP_S for number in range(len(found.place.phases))
        }
        return found

    def apply(self, event: str, seed: int) -> None:
        """Apply an event to a random job, if there is one that it can happen to."""
        rng = random.Random(seed)
        if event == 'arrive':
            self.jobs.append(self.new_job(rng))
            self.backlog.add(self.jobs[-1])
        elif event == 'pass time':
            self.now += rng.randrange(6) * STEP_S
        elif event == 'pace':
            Pacing().find_held(self.backlog, self.queues)
        elif self.jobs:
            getattr(self, event)(rng.choice(self.jobs), rng)

    def leave(self, item: Job, rng: random.Random) -> None:
        """End a job or place it."""
        self.jobs.remove(item)
        self.backlog.remove(item)

    def open(self, item: Job, rng: random.Random) -> None:
        """Open a call of a job, or close one."""
        item.add_open_calls(-1 if item.open_calls and rng.random() < 0.5 else 1)

    def pieces(self, item: Job) -> list[Any]:
        """Return the pieces of a job."""
        return [piece for made in item.pieces.values() for piece in made]

    def dispatch(self, item: Job, rng: random.Random) -> None:
        """Put a piece into a call."""
        for piece in self.pieces(item)[:1]:
            piece.set_dispatched(True)

    def requeue(self, item: Job, rng: random.Random) -> None:
        """Put a piece back from its call."""
        for piece in self.pieces(item)[-1:]:
            piece.set_dispatched(False)

    def finish(self, item: Job, rng: random.Random) -> None:
        """Store a result."""
        pieces = self.pieces(item)
        if pieces:
            piece = rng.choice(pieces)
            piece.set_dispatched(True)
            item.results[piece.phase][piece.index] = result('h', rng.choice('abc'))

    def invalidate(self, item: Job, rng: random.Random) -> None:
        """Discard the results of a phase."""
        if item.place.phases:
            item.invalidate(rng.randrange(len(item.place.phases)))


class Counts(testtools.TestCase):
    def check(self, world: RandomEvents, rng: random.Random) -> None:
        """Compare every count with the plain one, for a new job and for one that waits."""
        for owner in [world.new_job(rng), *world.jobs[:2]]:
            self.assertEqual(
                plain_pieces_ahead(owner, world.jobs, world.now),
                world.backlog.pieces_ahead(owner, world.now),
            )
            self.assertEqual(
                plain_jobs_ahead(owner, world.jobs, world.now),
                world.backlog.jobs_ahead(owner, world.now),
            )
            self.assertEqual(
                plain_started_pieces(world.jobs, precedence(owner)),
                world.backlog.started_pieces(precedence(owner)),
            )
        self.assertEqual(
            {item.held_by for item in world.jobs} - {None}, set(world.backlog.unstarted_classes())
        )
        self.assertEqual(
            [item for item in world.jobs if any(one.producer == 'maker-a' for one in made(item))],
            world.backlog.jobs_with_lost_results(['maker-b', 'maker-c']),
        )

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(EVENT_LIST)
    def test_they_equal_a_plain_count_after_any_events(self, events: list[tuple[str, int]]) -> None:
        world = RandomEvents()
        for number, (event, seed) in enumerate(events):
            world.apply(event, seed)
            if number % 3 == 0:
                self.check(world, random.Random(seed))
        self.check(world, random.Random(0))
        world.observer.on_counts_rebuilt.assert_not_called()

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(EVENT_LIST)
    def test_hopeless_jobs_are_found_when_they_are_due(self, events: list[tuple[str, int]]) -> None:
        world = RandomEvents()
        for event, seed in events:
            world.apply(event, seed)
            expected = [
                item for item in world.jobs if world.now + item.min_remaining_s() > item.deadline_at
            ]
            found = world.backlog.hopeless(world.now)
            self.assertEqual(expected, found)
            for item in found:
                world.leave(item, random.Random(0))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(EVENT_LIST, st.integers(0, 10_000))
    def test_a_wrong_count_is_reported_and_counted_anew(
        self, events: list[tuple[str, int]], seed: int
    ) -> None:
        """Guard against a scheduler that stops, or decides by wrong counts, after a defect."""
        world = RandomEvents()
        for event, event_seed in events:
            world.apply(event, event_seed)
        last = job('last', phase(count=2), now=world.now)
        world.jobs.append(last)
        world.backlog.add(last)
        world.backlog.refresh()
        for counts in world.backlog.classes.values():
            counts.pieces.clear()
            counts.jobs.clear()
            counts.started_pieces.clear()
        world.backlog.unstarted.clear()
        world.leave(last, random.Random(0))
        world.observer.on_counts_rebuilt.assert_called_with('backlog', len(world.jobs))
        self.check(world, random.Random(seed))


def made(item: Job) -> list[Any]:
    """Return the results of a job."""
    return item.all_results()


class Ahead(testtools.TestCase):
    def test_a_job_that_waits_is_not_ahead_of_itself(self) -> None:
        one, two = job('one', phase(count=2)), job('two', phase(count=3))
        backlog = backlog_of([one, two])
        self.assertEqual({'look': 3}, backlog.pieces_ahead(one, 0.0))
        self.assertEqual(1, backlog.jobs_ahead(one, 0.0))

    def test_a_late_job_counts_again_once_what_made_it_late_is_done(self) -> None:
        """Guard against a job that stays late for good after its slow phase has ended."""
        late = job('late', phase('look'), phase('rank', count=4), objective_s=1.0)
        late.critical_path_s = {0: 2.0, 1: 0.25}
        backlog = backlog_of([late])
        new = job('new', phase('rank'))
        self.assertEqual({}, backlog.pieces_ahead(new, 0.5))
        late.pieces[0][0].set_dispatched(True)
        late.results[0][0] = result('h')
        self.assertEqual({'rank': 4}, backlog.pieces_ahead(new, 0.5))
        self.assertEqual({}, backlog.pieces_ahead(new, 1.0))


class Due(testtools.TestCase):
    def test_only_the_last_time_of_a_name_counts(self) -> None:
        times = DueTimes()
        for at in (1.0, 3.0, 2.0):
            times.set('one', at)
        times.set('gone', 1.0)
        times.drop('gone')
        self.assertEqual([], times.pop_before(2.0))
        self.assertEqual(['one'], times.pop_until(2.0))
        self.assertEqual([], times.pop_until(9.0))

    def test_names_that_change_often_take_no_more_space(self) -> None:
        """Guard against a heap that grows with each change of a job that never becomes due."""
        times = DueTimes()
        for at in range(10 * MIN_REBUILD_SIZE):
            times.set('one', float(at))
        self.assertLessEqual(len(times.heap), MIN_REBUILD_SIZE + 3)
