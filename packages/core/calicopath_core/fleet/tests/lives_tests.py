"""Test that state kept for a replica is dropped when it restarts under the same identifier."""

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


class RestartedReplicas(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = ReplicaTable()
        self.balancer = Balancer(
            replicas=self.table,
            gate=new_gate(self.table),
            failure_domain='north',
            rng=random.Random(1),
        )
        self.engine_pool = EnginePool(slots=2, kv_tokens=10_000)
        self.queue = StageQueue(service='engine', spec=SPEC)
        self.table.listeners.append(self.pass_on_replicas)
        self.table.put(FIRST)

    def pass_on_replicas(self) -> None:
        """Pass on which replicas there are, as the scheduler does."""
        usable = self.table.usable('engine')
        self.engine_pool.set_replicas(usable, self.table.replicas)
        self.queue.set_replicas(usable, self.table.replicas)

    def record_state(self) -> None:
        """Record failures, a run and a booking for the replica."""
        for _ in range(5):
            self.balancer.stats_of(FIRST).on_failure(1.0)
        item = job('j', prompt=PROMPT)
        choice = self.engine_pool.choose(item, 1.0)
        assert choice is not None
        self.engine_pool.start_run(choice, item, 1.0)
        self.engine_pool.on_run_ended('i', 'j', failed=True, now=1.0)
        self.queue.book_result('i', 'handle', 1000, 1.0)

    def check_is_new(self, *, is_new: bool) -> None:
        """Check whether no state is held for the replica."""
        self.assertEqual(is_new, self.balancer.stats_of(FIRST).ejected_until == 0.0)
        self.assertEqual(is_new, self.engine_pool.engines['i'].failures == 0)
        self.assertEqual(is_new, not self.queue.replicas['i'].bookings)

    def test_state_of_the_earlier_incarnation_is_dropped(self) -> None:
        self.record_state()
        self.check_is_new(is_new=False)
        self.table.put(AGAIN)
        self.check_is_new(is_new=True)

    def test_state_is_dropped_within_a_batch_too(self) -> None:
        self.record_state()
        with self.table.batch():
            self.table.put(AGAIN)
        self.check_is_new(is_new=True)

    def test_a_heartbeat_of_the_same_incarnation_drops_nothing(self) -> None:
        self.record_state()
        self.table.put(FIRST._replace(draining=False, cold=True))
        self.check_is_new(is_new=False)

    def test_a_late_entry_of_the_earlier_incarnation_changes_nothing(self) -> None:
        self.table.put(AGAIN)
        self.record_state()
        self.table.put(FIRST._replace(draining=True))
        self.assertEqual(AGAIN, self.table.replicas['i'])
        self.check_is_new(is_new=False)

    def test_a_drain_ends_with_its_incarnation(self) -> None:
        self.table.put(FIRST._replace(draining=True))
        self.assertEqual([], self.table.usable('engine'))
        self.table.put(AGAIN)
        self.assertEqual([AGAIN], self.table.usable('engine'))

    def test_of_two_entries_with_one_address_the_first_holds_it(self) -> None:
        self.table.put(FIRST._replace(id='other', service='nowhere'))
        self.assertEqual('i', self.table.by_address['a:1'].id)
