"""Test what a box records from replicas' answers, and which calls it holds back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.crashes.probes import ReplicaCrashProbe
from calicopath_core.exchanges.messages import ReplicaProber
from calicopath_core.fleet.backoffs import (
    MAX_BACKOFF_S,
    MAX_JITTER_S,
    RETENTION_S,
    TRIAL_CALL_WAIT_S,
)
from calicopath_core.fleet.leaving import MAX_DEPARTURES
from calicopath_core.fleet.leaving import RETENTION_S as WORD_KEEP_S
from calicopath_core.fleet.notices import EMPTY_NOTICE, Exclusion, Notice, ReplicaExcluded
from calicopath_core.fleet.replicas import Replica, ReplicaTable
from calicopath_core.permits.limits import ENFORCEMENT_DELAY_S
from testkit.cases import VirtualCase
from testkit.gates import new_gate

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from calicopath_core.backends.base import ProbeResult
    from calicopath_core.fleet.gate import CallGate

FIRST = Replica('i', 'desk', 'a:1', 'north', 6, False, started_ms=100.0)
AGAIN = FIRST._replace(started_ms=200.0)
OTHER = Replica('j', 'desk', 'b:1', 'north', 6, False, started_ms=100.0)
LEAVES = Notice(leaving=True)


class GateCase(VirtualCase):
    def run_scenario(self, steps: Callable[[CallGate], Awaitable[None]]) -> None:
        """Run a coroutine with a gate in front of two replicas."""

        async def scenario() -> None:
            gate = new_gate()
            for replica in (FIRST, OTHER):
                gate.replicas.put(replica)
            await steps(gate)

        self.run_virtual(scenario())


class Limits(GateCase):
    def test_a_call_of_new_work_needs_a_permit_and_each_permit_is_for_one_call(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(limit_per_s=5.0))
            gate.check_call(FIRST, new_work=True)
            await asyncio.sleep(ENFORCEMENT_DELAY_S)
            gate.permits.add_permit('i')
            gate.check_call(FIRST, new_work=True)
            error = self.assertRaises(ReplicaExcluded, gate.check_call, FIRST, new_work=True)
            self.assertEqual(Exclusion.LIMIT, error.exclusion)
            gate.check_call(OTHER, new_work=True)

        self.run_scenario(work)

    def test_calls_without_new_work_are_held_to_a_part_of_it(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(limit_per_s=4.0))
            gate.check_call(FIRST, new_work=False)
            self.assertRaises(ReplicaExcluded, gate.check_call, FIRST, new_work=False)
            self.assertGreater(gate.control_call_available_in_s(FIRST), 0.5)
            await asyncio.sleep(1.0)
            gate.check_call(FIRST, new_work=False)

        self.run_scenario(work)

    def test_a_pause_holds_beside_a_limit(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(backoff_s=3.0, limit_per_s=4.0, executed=False))
            gate.permits.add_permit('i')
            error = self.assertRaises(ReplicaExcluded, gate.check_call, FIRST, new_work=True)
            self.assertEqual(Exclusion.BACKOFF, error.exclusion)
            self.assertEqual([], gate.limited_replicas('desk'))

        self.run_scenario(work)

    def test_one_that_limits_and_leaves_is_not_called(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(leaving=True, limit_per_s=4.0))
            gate.permits.add_permit('i')
            error = self.assertRaises(ReplicaExcluded, gate.check_call, FIRST, new_work=True)
            self.assertEqual(Exclusion.LEAVING, error.exclusion)
            self.assertEqual([], gate.limited_replicas('desk'))

        self.run_scenario(work)


class Leaving(GateCase):
    def test_a_departure_overrides_every_entry_of_the_same_incarnation(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, LEAVES)
            for entry in (FIRST, FIRST._replace(cold=True)):
                gate.replicas.put(entry)
                self.assertEqual(Exclusion.LEAVING, gate.exclusion_of(entry))
            self.assertEqual([OTHER], gate.usable('desk'))

        self.run_scenario(work)

    def test_a_departure_outlasts_an_entry_that_lapses_and_comes_back(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, LEAVES)
            gate.replicas.remove('i', asyncio.get_running_loop().time())
            await asyncio.sleep(WORD_KEEP_S / 2)
            gate.expire()
            gate.replicas.put(FIRST)
            self.assertEqual(Exclusion.LEAVING, gate.exclusion_of(FIRST))

        self.run_scenario(work)

    def test_a_later_incarnation_is_not_affected_by_an_earlier_departure(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, LEAVES)
            gate.replicas.put(AGAIN)
            self.assertIsNone(gate.exclusion_of(AGAIN))
            gate.on_notice(FIRST, LEAVES)
            self.assertIsNone(gate.exclusion_of(AGAIN))
            gate.on_notice(AGAIN, LEAVES)
            self.assertEqual(Exclusion.LEAVING, gate.exclusion_of(AGAIN))

        self.run_scenario(work)

    def test_a_call_to_an_earlier_incarnation_is_held_back(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.replicas.put(AGAIN)
            self.assertEqual(Exclusion.GONE, gate.exclusion_of(FIRST))

        self.run_scenario(work)

    def test_its_state_may_be_asked_and_results_given_up(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, LEAVES)
            gate.check_call(FIRST, new_work=False)
            self.assertRaises(ReplicaExcluded, gate.check_call, FIRST, new_work=True)

        self.run_scenario(work)

    def test_others_are_told_once(self) -> None:
        async def work(gate: CallGate) -> None:
            for _ in range(3):
                gate.on_notice(FIRST, LEAVES)
            gate.on_leaving.assert_called_once_with('i')  # type: ignore[attr-defined]

        self.run_scenario(work)

    def test_the_removal_of_a_leaving_replica_is_not_delayed(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.replicas.on_disrupted(0.0)
            gate.on_notice(FIRST, LEAVES)
            gate.replicas.remove('i', 0.0)
            gate.replicas.remove('j', 0.0)
            self.assertEqual({'j'}, set(gate.replicas.replicas))

        self.run_scenario(work)

    def test_departures_are_bounded_and_old_ones_of_unknown_replicas_expire(self) -> None:
        async def work(gate: CallGate) -> None:
            for number in range(MAX_DEPARTURES + 10):
                gate.leaving.record(f'r{number}', 0.0)
            self.assertEqual(MAX_DEPARTURES, len(gate.leaving.departures))
            gate.on_notice(FIRST, LEAVES)
            await asyncio.sleep(WORD_KEEP_S + 1)
            gate.expire()
            self.assertEqual({'i'}, set(gate.leaving.departures))

        self.run_scenario(work)

    def test_the_end_of_one_that_said_it_leaves_is_no_crash(self) -> None:
        class Silent(ReplicaProber):
            async def probe(self, replica: Replica, watch_s: float) -> ProbeResult:
                raise AssertionError

        async def work(gate: CallGate) -> None:
            for is_removed in (False, True):
                gate.on_notice(FIRST, LEAVES)
                if is_removed:
                    gate.replicas.remove('i', 0.0)
                probe = ReplicaCrashProbe(prober=Silent(), replicas=gate.replicas, replica=FIRST)
                self.assertFalse(await probe.entry_expires())

        self.run_scenario(work)


class Backoffs(GateCase):
    def test_nothing_is_sent_until_the_backoff_is_over(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(backoff_s=3.0))
            for new_work in (True, False):
                self.assertRaises(ReplicaExcluded, gate.check_call, FIRST, new_work=new_work)
            await asyncio.sleep(2.99)
            self.assertEqual(Exclusion.BACKOFF, gate.exclusion_of(FIRST))
            await asyncio.sleep(0.02 + MAX_JITTER_S)
            self.assertIsNone(gate.exclusion_of(FIRST))

        self.run_scenario(work)

    def test_a_later_shorter_backoff_does_not_end_an_earlier_longer_one(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(backoff_s=3.0))
            await asyncio.sleep(0.1)
            gate.on_notice(FIRST, Notice(backoff_s=0.2))
            await asyncio.sleep(1.0)
            gate.on_notice(FIRST, EMPTY_NOTICE)
            self.assertEqual(Exclusion.BACKOFF, gate.exclusion_of(FIRST))

        self.run_scenario(work)

    def test_it_is_between_one_replica_and_this_box(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(backoff_s=3.0))
            self.assertEqual([OTHER], gate.usable('desk'))
            self.assertIsNone(gate.exclusion_of(OTHER))

        self.run_scenario(work)

    def test_a_later_incarnation_has_no_backoff(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(backoff_s=3.0))
            gate.replicas.put(AGAIN)
            self.assertIsNone(gate.exclusion_of(AGAIN))

        self.run_scenario(work)

    def test_an_excessive_backoff_is_bounded(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(backoff_s=1e12))
            self.assertLessEqual(gate.backoffs.remaining_s(FIRST), MAX_BACKOFF_S + MAX_JITTER_S)

        self.run_scenario(work)

    def test_one_call_goes_first_when_it_is_over(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(backoff_s=1.0))
            await asyncio.sleep(1.0 + MAX_JITTER_S)
            gate.check_call(FIRST, new_work=True)
            self.assertRaises(ReplicaExcluded, gate.check_call, FIRST, new_work=True)
            gate.on_notice(FIRST, EMPTY_NOTICE)
            for _ in range(3):
                gate.check_call(FIRST, new_work=True)

        self.run_scenario(work)

    def test_the_next_follows_where_the_first_gets_no_answer(self) -> None:
        async def work(gate: CallGate) -> None:
            gate.on_notice(FIRST, Notice(backoff_s=1.0))
            await asyncio.sleep(1.0 + MAX_JITTER_S)
            gate.check_call(FIRST, new_work=True)
            await asyncio.sleep(TRIAL_CALL_WAIT_S)
            gate.check_call(FIRST, new_work=True)

        self.run_scenario(work)

    def test_boxes_come_back_at_different_moments(self) -> None:
        async def scenario() -> None:
            gates = [new_gate() for _ in range(20)]
            for number, gate in enumerate(gates):
                gate.backoffs.rng.seed(number)
                gate.on_notice(FIRST, Notice(backoff_s=1.0))
            remaining = [gate.backoffs.remaining_s(FIRST) for gate in gates]
            self.assertGreater(max(remaining) - min(remaining), MAX_JITTER_S / 2)
            self.assertGreaterEqual(min(remaining), 1.0)

        self.run_virtual(scenario())

    def test_its_end_is_told_once_with_how_many_were_turned_away(self) -> None:
        async def work(gate: CallGate) -> None:
            for _ in range(3):
                gate.on_notice(FIRST, Notice(backoff_s=1.0))
            for _ in range(4):
                await asyncio.sleep(0.5)
                gate.expire()
            reported = gate.observer.on_backoff_ended.call_args_list  # type: ignore[attr-defined]
            self.assertEqual([('i', 3)], [(call.args[0], call.args[2]) for call in reported])
            await asyncio.sleep(RETENTION_S + MAX_JITTER_S)
            gate.expire()
            self.assertEqual({}, gate.backoffs.by_replica)

        self.run_scenario(work)


class Tables(VirtualCase):
    def test_a_table_that_hears_no_answers_goes_by_entries_alone(self) -> None:
        table = ReplicaTable()
        table.put(FIRST)
        self.assertIsNone(table.exclusion_of(FIRST))
        table.put(FIRST._replace(draining=True))
        self.assertEqual(Exclusion.DRAINING, table.exclusion_of(FIRST))
        self.assertTrue(table.is_leaving(table.replicas['i']))
