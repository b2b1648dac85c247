"""List the changes that end answers too soon, or take foreign or cut ones for whole."""

from __future__ import annotations

from tools.mutants.mutant import CORE, Mutant

TESTS = 'packages/daemon/calicopathd/gateway/tests'
CLIENTS = 'packages/clients/calicopath_clients/http1'
PLATFORM_TESTS = 'platform/calicopath_platform/tests'
UNDERWAY = f'{TESTS}/underway_answers_tests.py::UnderwayAnswers'
SURPLUS = f'{PLATFORM_TESTS}/surplus_tests.py::Surplus'
ENDINGS = f'{PLATFORM_TESTS}/endings_tests.py::Endings'

UNDERWAY_MUTANTS = (
    Mutant(
        'silence ends no answer',
        f'{CORE}/exchanges/streams.py',
        '                await attempt.suspect(error)',
        '                raise error',
        UNDERWAY,
    ),
    Mutant(
        'a silent answer is read on while another engine is asked',
        f'{CORE}/exchanges/streams.py',
        '            other = opening.result() if opening.done() else None',
        '            attempt.close()\n'
        '            other = opening.result() if opening.done() else None',
        UNDERWAY,
    ),
    Mutant(
        'what has arrived is read before a deadline is over',
        f'{CORE}/waiting.py',
        'async with asyncio.timeout(None) as limit:',
        'async with asyncio.timeout(max(0.0, due_at - clock.monotonic())) as limit:',
        f'{CORE}/tests/waiting_tests.py::StandingStill',
    ),
    Mutant(
        'a slow answer is waited for',
        f'{CORE}/exchanges/plain.py',
        '            return await self.first_answer()',
        '            return self.tasks[-1].result()',
        UNDERWAY,
    ),
    Mutant(
        'a begun stream may use more retries',
        f'{CORE}/exchanges/budget.py',
        'ratio = BEGUN_BUDGET_RATIO if has_begun else USABLE_BUDGET_RATIO',
        'ratio = USABLE_BUDGET_RATIO',
        UNDERWAY,
    ),
    Mutant(
        'a replica without an entry has left',
        f'{CORE}/exchanges/endings.py',
        'return replica.id not in context.replicas.replicas',
        'return False',
        UNDERWAY,
    ),
    Mutant(
        'a second connection tells whether a process runs',
        f'{CLIENTS}/liveness.py',
        'return not self.is_lost',
        'return True',
        ENDINGS,
    ),
    Mutant(
        'sockets are read after the watch',
        f'{CLIENTS}/liveness.py',
        '        await asyncio.sleep(READ_PASS_S)\n        return not self.is_lost',
        '        return not self.is_lost',
        ENDINGS,
    ),
    Mutant(
        'a replica is known by its identifier',
        'platform/calicopath_platform/replicas.py',
        'return answer.head.status != names.STATUS_MISDIRECTED and named in (None, replica.id)',
        'return True',
        ENDINGS,
    ),
    Mutant(
        'an answer repeats the identifier of its call',
        f'{CLIENTS}/identities.py',
        'return found == self.chosen if found else not self.echoes',
        'return True',
        SURPLUS,
    ),
    Mutant(
        'a result is received once',
        'platform/calicopath_platform/replicas.py',
        'if item.handle in received:',
        'if False:',
        SURPLUS,
    ),
    Mutant(
        'a short failure is no outage',
        f'{CORE}/fleet/availability.py',
        'return is_failing and self.away_s(now) >= MIN_AWAY_HEARTBEATS * self.heartbeat_s',
        'return is_failing',
        f'{TESTS}/removal_tests.py::Removals',
    ),
    Mutant(
        'an answered call ends a time without answers',
        f'{CORE}/fleet/availability.py',
        'since = max(since, self.answered_at)',
        'pass',
        f'{TESTS}/cut_watches_tests.py::CutWatches',
    ),
    Mutant(
        'outages shortly after one another count together',
        f'{CORE}/fleet/availability.py',
        'away_s = sum(gap.length_s for gap in self.gaps)',
        'away_s = 0.0',
        f'{TESTS}/cut_watches_tests.py::Lapses',
    ),
    Mutant(
        'a probe of the store does not wait',
        f'{CORE}/fleet/feed.py',
        'PROBE_WAIT_S = 0.001',
        'PROBE_WAIT_S = 1.0',
        f'{TESTS}/cut_watches_tests.py::CutWatches',
    ),
    Mutant(
        'a watch that is cut again and again gives way to polls',
        f'{CORE}/fleet/feed.py',
        'if self.cut_watches > MAX_CUT_WATCHES:',
        'if False:',
        f'{TESTS}/cut_watches_tests.py::CutWatches',
    ),
    Mutant(
        'a relay may be first to reach a store that was away',
        f'{CORE}/fleet/feed.py',
        'if self.failing_since is not None:\n            self.availability.report',
        'if False:\n            self.availability.report',
        f'{TESTS}/cut_watches_tests.py::Lapses',
    ),
    Mutant(
        'an unsent answer keeps a stopping box',
        'packages/daemon/calicopathd/gateway/connection.py',
        'return self.incoming is not None or unsent > 0',
        'return self.incoming is not None',
        f'{TESTS}/server_tests.py::Answers',
    ),
    Mutant(
        'a slow endpoint is left only for another one',
        f'{CORE}/execution/attempts.py',
        '    if len(tried) >= context.policy.max_attempts or context.retry_budget.is_empty:\n'
        '        return False',
        '    if tried:\n        return True',
        f'{CORE}/execution/tests/underway_tests.py::UnderwayCalls',
    ),
)
