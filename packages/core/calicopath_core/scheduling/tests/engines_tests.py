"""Test the choice of engines by load, cached prompt parts and location of results."""

from __future__ import annotations

from typing import Any

import testtools

from calicopath_core.scheduling.engines import (
    BASE_EJECTION_S,
    PREFIX_CACHE_TTL_S,
    CachedPart,
    EngineChoice,
    EnginePool,
)
from calicopath_core.scheduling.tests.work import job, phase, prompt, replica, result


class Choice(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = EnginePool(slots=2, kv_tokens=10_000)
        self.pool.set_replicas([replica('e1', 'a', 'engine'), replica('e2', 'b', 'engine')])

    def place(self, item: Any, now: float = 0.0) -> str:
        """Place a job and return its engine."""
        choice = self.pool.choose(item, now)
        assert choice is not None
        self.pool.start_run(choice, item, now)
        return choice.engine.replica.id

    def test_work_is_spread_by_what_waits(self) -> None:
        heavy = job('heavy', prompt=prompt(('x', 9000)))
        first = self.place(heavy)
        others = [self.place(job(f'light-{n}', prompt=prompt((f'y{n}', 100)))) for n in range(2)]
        self.assertNotIn(first, others)

    def test_a_part_that_an_engine_keeps_is_read_there_again(self) -> None:
        first = self.place(job('one', prompt=prompt(('shared', 4000), ('a', 10))))
        self.pool.on_run_started(first, 'one', 0.0, 0.0)
        self.assertEqual(first, self.place(job('two', prompt=prompt(('shared', 4000), ('b', 10)))))

    def test_what_was_not_used_for_long_draws_nobody(self) -> None:
        first = self.place(job('one', prompt=prompt(('shared', 4000), ('a', 10))))
        engine = self.pool.engines[first]
        self.assertTrue(engine.has_cached('m/shared', PREFIX_CACHE_TTL_S - 0.1))
        self.assertFalse(engine.has_cached('m/shared', PREFIX_CACHE_TTL_S))

    def test_large_results_draw_the_job_to_their_failure_domain(self) -> None:
        item = job('one', phase(size=3_000_000))
        item.results[0][0] = result('h', failure_domain='b', size=3_000_000)
        self.assertEqual('e2', self.place(item))

    def test_time_goes_before_prices_when_there_is_little(self) -> None:
        keeper = self.place(job('first', prompt=prompt(('shared', 4000), ('a', 10))))
        self.pool.on_run_ended(keeper, 'first', failed=False, now=0.0)
        busy = job('busy', prompt=prompt(('b', 12_000)))
        choice = EngineChoice(self.pool.engines[keeper], 0.0)
        self.pool.start_run(choice, busy, 0.0)
        self.pool.engines[keeper].cached_parts['m/shared'] = CachedPart(4000, 0.0)
        asked = prompt(('shared', 4000), ('c', 10))
        calm = self.pool.choose(job('calm', prompt=asked, objective_s=20.0), 0.0)
        hurried = self.pool.choose(job('hurried', prompt=asked, objective_s=0.3), 0.0)
        assert calm is not None
        assert hurried is not None
        self.assertEqual(keeper, calm.engine.replica.id)
        self.assertNotEqual(keeper, hurried.engine.replica.id)

    def test_full_engines_and_those_that_failed_the_request_are_left_out(self) -> None:
        for number in range(4):
            self.place(job(f'j{number}'))
        self.assertIsNone(self.pool.choose(job('fifth'), 0.0))
        self.pool.on_run_ended('e1', 'j0', failed=False, now=0.0)
        self.pool.on_run_ended('e1', 'j1', failed=False, now=0.0)
        self.pool.on_run_ended('e1', 'j2', failed=False, now=0.0)
        self.pool.on_run_ended('e1', 'j3', failed=False, now=0.0)
        self.assertIsNone(self.pool.choose(job('sixth', exclude=('e1',)), 0.0))

    def test_an_engine_that_fails_is_left_alone_and_forgets(self) -> None:
        first = self.place(job('one', prompt=prompt(('shared', 4000), ('a', 10))))
        self.pool.on_run_ended(first, 'one', failed=True, now=1.0)
        again = job('two', prompt=prompt(('shared', 4000), ('b', 10)))
        self.assertNotEqual(first, self.place(again, now=1.0))
        self.assertEqual(1.0 + BASE_EJECTION_S, self.pool.engines[first].ejected_until)
        self.assertFalse(self.pool.engines[first].has_cached('m/shared', 1.0))

    def test_runs_whose_end_is_never_reported_expire(self) -> None:
        self.place(job('one'))
        self.pool.expire_lost_runs(1000.0)
        self.assertEqual({}, self.pool.loads())

    def test_what_a_leaving_scheduler_has_placed_counts_for_a_while(self) -> None:
        self.pool.on_foreign_load('b1:7', 'e1', 3.0, 0.0)
        self.assertEqual('e2', self.place(job('one')))
        self.pool.expire_lost_runs(3.1)
        self.assertNotIn('e1', self.pool.loads())

    def test_parts_beyond_its_memory_give_way(self) -> None:
        for number in range(4):
            item = job(f'j{number}', prompt=prompt((f'p{number}', 4000)))
            self.pool.start_run(self.pool.choose(item, 0.0), item, 0.0)  # type: ignore[arg-type]
            self.pool.on_run_ended('e1', f'j{number}', failed=False, now=0.0)
            self.pool.on_run_ended('e2', f'j{number}', failed=False, now=0.0)
        kept = [engine.cached_tokens for engine in self.pool.engines.values()]
        self.assertLessEqual(max(kept), 10_000)
