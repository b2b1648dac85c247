"""Test that a replica which starts again under its identifier is believed nothing of before."""

from __future__ import annotations

import random

import testtools

from calicopath_core.exchanges.balancer import Balancer
from calicopath_core.fleet.replicas import Replica, ReplicaTable
from calicopath_core.scheduling.engines import EnginePool
from calicopath_core.scheduling.messages import Prompt, PromptPart
from calicopath_core.scheduling.stages import StageQueue
from calicopath_core.scheduling.tests.work import SPEC, job
from testkit.gates import new_gate

FIRST = Replica('i', 'engine', 'a:1', 'north', 6, False, started_ms=100.0)
AGAIN = FIRST._replace(started_ms=200.0)
PROMPT = Prompt('m', (PromptPart('p', 500),), 500, 10)


class Lives(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = ReplicaTable()
        self.balancer = Balancer(
            replicas=self.table,
            gate=new_gate(self.table),
            failure_domain='north',
            rng=random.Random(1),
        )
        self.board = EnginePool(slots=2, kv_tokens=10_000)
        self.queue = StageQueue(service='engine', spec=SPEC)
        self.table.listeners.append(self.follow)
        self.table.put(FIRST)

    def follow(self) -> None:
        """Take in which replicas there are, as the scheduler does."""
        usable = self.table.usable('engine')
        self.board.set_replicas(usable, self.table.replicas)
        self.queue.set_replicas(usable, self.table.replicas)

    def believe(self) -> None:
        """Come to believe all sorts of things of the replica."""
        for _ in range(5):
            self.balancer.stats_of(FIRST).on_failure(1.0)
        item = job('j', prompt=PROMPT)
        choice = self.board.choose(item, 1.0)
        assert choice is not None
        self.board.start_run(choice, item, 1.0)
        self.board.on_run_ended('i', 'j', failed=True, now=1.0)
        self.queue.book_result('i', 'handle', 1000, 1.0)

    def check_new(self, *, new: bool) -> None:
        """Check whether the replica is believed anything of."""
        self.assertEqual(new, self.balancer.stats_of(FIRST).ejected_until == 0.0)
        self.assertEqual(new, self.board.engines['i'].failures == 0)
        self.assertEqual(new, not self.queue.replicas['i'].bookings)

    def test_everything_held_for_the_earlier_life_goes(self) -> None:
        self.believe()
        self.check_new(new=False)
        self.table.put(AGAIN)
        self.check_new(new=True)

    def test_it_goes_within_a_batch_of_changes_too(self) -> None:
        self.believe()
        with self.table.batch():
            self.table.put(AGAIN)
        self.check_new(new=True)

    def test_a_beat_of_the_same_life_takes_nothing_away(self) -> None:
        self.believe()
        self.table.put(FIRST._replace(draining=False, cold=True))
        self.check_new(new=False)

    def test_an_entry_of_the_earlier_life_that_comes_late_changes_nothing(self) -> None:
        self.table.put(AGAIN)
        self.believe()
        self.table.put(FIRST._replace(draining=True))
        self.assertEqual(AGAIN, self.table.replicas['i'])
        self.check_new(new=False)

    def test_a_drain_ends_with_the_life_that_said_so(self) -> None:
        self.table.put(FIRST._replace(draining=True))
        self.assertEqual([], self.table.usable('engine'))
        self.table.put(AGAIN)
        self.assertEqual([AGAIN], self.table.usable('engine'))

    def test_of_two_entries_with_one_address_the_first_holds_it(self) -> None:
        self.table.put(FIRST._replace(id='other', service='nowhere'))
        self.assertEqual('i', self.table.by_address['a:1'].id)
