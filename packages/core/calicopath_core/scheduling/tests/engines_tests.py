"""Test the choice of engines by load, cached prompt parts and location of results."""

from __future__ import annotations

from typing import Any

import testtools

from calicopath_core.fleet.pace import REPORT_TTL_S, PaceEstimates
from calicopath_core.scheduling.engines import (
    BASE_EJECTION_S,
    PREFIX_CACHE_TTL_S,
    CachedPart,
    EngineChoice,
    EnginePool,
)
from calicopath_core.scheduling.prompt_speed import PREFILL_S_PER_TOKEN
from calicopath_core.scheduling.tests.work import job, phase, prompt, replica, result
from calicopath_core.versions.declaring import MAX_WAIT_S, DeclarationWait


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


class Speeds(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pace = PaceEstimates()
        self.pool = EnginePool(slots=64, kv_tokens=100_000, pace=self.pace)
        self.pool.set_replicas([replica(name, 'a', 'engine') for name in ('e0', 'e1', 'e2')])

    def run_alone(self, name: str, number: int, tokens: int, took_s: float) -> None:
        """Run a prompt alone on an engine and report its first event after `took_s`."""
        now = number * 0.25
        item = job(f'{name}-{number}', prompt=prompt((f'{name}-{number}', tokens)))
        self.pool.start_run(EngineChoice(self.pool.engines[name], 0.0), item, now)
        self.pool.on_run_started(name, item.id, now, now + took_s)
        self.pool.on_run_ended(name, item.id, failed=False, now=now + took_s)

    def run_prompts(self, tokens_per_ms: float, slowdowns: dict[str, float]) -> None:
        """Run prompts of many lengths on every engine; `slowdowns` are by engine."""
        for number in range(250):
            for name in self.pool.engines:
                tokens = 200 + (number * 337) % 5000
                slowdown = slowdowns.get(name, 1.0)
                self.run_alone(
                    name, number, tokens, 0.05 + slowdown * tokens / tokens_per_ms / 1000
                )

    def test_the_speed_of_the_service_and_of_a_slower_engine_are_told_apart(self) -> None:
        """Guards against one slow engine that makes all look slow, or is not told from them."""
        self.run_prompts(92.1, {'e1': 1.3})
        self.assertAlmostEqual(1.0, self.pool.prompt_speed.s_per_token * 92_100, delta=0.1)
        factors = [self.pace.factor(name, 62.5) for name in ('e0', 'e1', 'e2')]
        self.assertEqual([1.0, 1.0], [factors[0], factors[2]])
        self.assertAlmostEqual(1.3, factors[1], delta=0.1)

    def test_engines_as_fast_as_the_constant_are_chosen_as_before(self) -> None:
        """Guards against other engine choices where engines are as fast as the constant says."""
        self.run_prompts(32.4, {})
        self.assertEqual(PREFILL_S_PER_TOKEN, self.pool.prompt_speed.s_per_token)
        self.assertEqual({1.0}, {self.pace.factor(name, 62.5) for name in self.pool.engines})

    def test_waiting_behind_other_prompts_is_not_taken_for_slow_reading(self) -> None:
        """Guards against learning from runs that wait, by which engines look slow under load."""
        for number in range(100):
            for part in range(4):
                item = job(f'j{number}-{part}', prompt=prompt((f'p{number}-{part}', 3000)))
                choice = EngineChoice(self.pool.engines['e0'], 0.0)
                self.pool.start_run(choice, item, float(number))
            for part in range(4):
                began, first_at = float(number), number + 0.1 * (part + 1) + 0.07 - 0.1 + 0.0926
                self.pool.on_run_started('e0', f'j{number}-{part}', began, first_at)
                self.pool.on_run_ended('e0', f'j{number}-{part}', failed=False, now=first_at)
        self.assertLess(self.pool.prompt_speed.samples, 101)
        self.assertEqual(PREFILL_S_PER_TOKEN, self.pool.prompt_speed.s_per_token)
        self.assertEqual(1.0, self.pace.factor('e0', 100.0))

    def test_a_slower_engine_gets_work_in_proportion(self) -> None:
        """Guards against equal shares, by which the slower engine's callers wait longer."""
        for number in range(200):
            self.pace.on_observed('e1', 0.13, 0.1, number * 0.01)
        placed = dict.fromkeys(self.pool.engines, 0)
        for number in range(180):
            item = job(f'j{number}', prompt=prompt((f'p{number}', 1000)), objective_s=100.0)
            choice = self.pool.choose(item, 2.0)
            assert choice is not None
            self.pool.start_run(choice, item, 2.0)
            placed[choice.engine.replica.id] += 1
        self.assertAlmostEqual(1.27, placed['e0'] / placed['e1'], delta=0.08)
        self.assertAlmostEqual(placed['e0'], placed['e2'], delta=2)

    def test_an_engine_in_a_slow_moment_gets_new_work_only_while_it_lasts(self) -> None:
        """Guards against placing prompts on engines that say that work takes long just now."""
        self.pace.on_report('e0', 2.5, 0.0)
        self.pace.on_report('e1', 2.5, 0.0)
        chosen = [self.choose(f'j{number}', 0.0) for number in range(2)]
        self.assertEqual(['e2', 'e2'], chosen)
        later = {self.choose(f'k{number}', REPORT_TTL_S) for number in range(4)}
        self.assertEqual({'e0', 'e1'}, later)

    def choose(self, name: str, now: float) -> str:
        """Place a job with a short prompt and return its engine."""
        item = job(name, prompt=prompt((name, 2000)))
        choice = self.pool.choose(item, now)
        assert choice is not None
        self.pool.start_run(choice, item, now)
        return choice.engine.replica.id


class Versions(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = EnginePool(slots=2, kv_tokens=10_000)
        self.pool.set_replicas(
            replica(name, 'a', 'engine')._replace(version=version)
            for name, version in (('old', 'v1'), ('new', 'v2'), ('newest', 'v3'))
        )

    def engines_for(self, item: Any) -> set[str]:
        """Return the engines that may run a job."""
        return {engine.replica.id for engine in self.pool.engines_for(item)}

    def test_a_stream_goes_on_at_its_version_only(self) -> None:
        self.assertEqual({'new'}, self.engines_for(job('one', version='v2')))
        self.assertEqual(set(), self.engines_for(job('one', version='v2', exclude=('new',))))
        self.assertFalse(self.pool.has_engine_for(job('one', version='gone')))

    def test_a_new_stream_begins_at_a_declared_version(self) -> None:
        self.assertEqual({'old', 'new', 'newest'}, self.engines_for(job('one')))
        self.pool.declared_versions = frozenset({'v1', 'v2'})
        self.assertEqual({'old', 'new'}, self.engines_for(job('one')))
        self.assertEqual(set(), self.engines_for(job('one', exclude=('old', 'new'))))

    def test_a_new_stream_begins_anywhere_if_no_engine_has_a_declared_version(self) -> None:
        self.pool.declared_versions = frozenset({'gone'})
        self.assertEqual({'old', 'new', 'newest'}, self.engines_for(job('one')))

    def test_a_new_stream_waits_for_a_declaration_and_one_that_has_begun_does_not(self) -> None:
        waits = []
        wait = self.pool.declaration_wait = DeclarationWait(on_wait=lambda: waits.append(1))
        for declared in (None, frozenset({'gone'})):
            self.pool.declared_versions = declared
            self.assertIsNone(self.pool.choose(job('one'), 100.0))
            self.assertTrue(self.pool.has_engine_for(job('one')))
            self.assertIsNotNone(self.pool.choose(job('one', version='v2'), 100.0))
        self.assertEqual([1], waits)
        self.pool.declared_versions = frozenset({'v2'})
        found = self.pool.choose(job('one'), 100.0)
        self.assertEqual('new', found.engine.replica.id if found else None)
        self.pool.declared_versions = None
        self.assertIsNotNone(self.pool.choose(job('one'), 100.0 + MAX_WAIT_S))
        self.assertTrue(wait.expired)
