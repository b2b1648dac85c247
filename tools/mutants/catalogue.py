"""List for each promise a change that breaks its mechanism, and the test that must fail."""

from __future__ import annotations

from tools.mutants.bounds import BOUND_MUTANTS
from tools.mutants.crash_parts import CRASH_PART_MUTANTS
from tools.mutants.entries import ENTRY_MUTANTS
from tools.mutants.limits import LIMIT_MUTANTS
from tools.mutants.mutant import CORE, Mutant
from tools.mutants.notices import NOTICE_MUTANTS
from tools.mutants.partitions import PARTITION_MUTANTS
from tools.mutants.restored import RESTORED_MUTANTS
from tools.mutants.underway import UNDERWAY_MUTANTS
from tools.mutants.versions import VERSION_MUTANTS

CRASHES = f'{CORE}/crashes/tests/ledger_tests.py'
CRASHING = 'packages/daemon/calicopathd/gateway/tests/crashing_tests.py'
BLOCKED = 'packages/daemon/calicopathd/gateway/tests/blocked_answers_tests.py'
KNOWN = 'packages/daemon/calicopathd/gateway/tests/blocked_known_tests.py'
EVACUATING = 'packages/daemon/calicopathd/gateway/tests/evacuating_tests.py'


MUTANTS = (
    Mutant(
        'own answers',
        f'{CORE}/execution/generation.py',
        'if item.call != call_id:',
        'if False:',
        f'{CORE}/execution/tests/answers_tests.py::OwnAnswers',
    ),
    Mutant(
        'own answers',
        'packages/clients/calicopath_clients/calls.py',
        'if answered_id != call_id:',
        'if False:',
        'packages/clients/calicopath_clients/tests/calls_tests.py::Calls',
    ),
    Mutant(
        'whole answers',
        f'{CORE}/execution/generation.py',
        'if end.total != self.offset:',
        'if False:',
        f'{CORE}/execution/tests/answers_tests.py::WholeAnswers',
    ),
    Mutant(
        'whole answers',
        f'{CORE}/execution/generation.py',
        'offset=progress.offset,',
        'offset=0,',
        f'{CORE}/execution/tests/answers_tests.py::WholeAnswers',
    ),
    Mutant(
        'true refusals',
        f'{CORE}/execution/executor.py',
        'if run.possibly_run_calls == 0 and error.reason in REFUSAL_REASONS:',
        'if error.reason in REFUSAL_REASONS:',
        f'{CORE}/execution/tests/answers_tests.py::TrueRefusals',
    ),
    Mutant(
        'at most once',
        f'{CORE}/claims/operations.py',
        "return OpResult(held['nonce'] == self.nonce, held)",
        "return OpResult(held['state'] == ClaimState.STARTED, held)",
        f'{CORE}/execution/tests/once_tests.py::OnceHistories',
    ),
    Mutant(
        'at most once',
        f'{CORE}/execution/run.py',
        'if not stage.repeatable:\n            return True',
        'if not stage.repeatable:\n            return False',
        f'{CORE}/execution/tests/once_tests.py::OnceHistories',
    ),
    Mutant(
        'at most once',
        f'{CORE}/claims/operations.py',
        "if self.key.time_ms <= value['threshold_ms']:",
        'if False:',
        f'{CORE}/claims/tests/claims_tests.py::Pruning',
    ),
    Mutant(
        'at most once',
        f'{CORE}/execution/executor.py',
        'elif run.possible_side_effects == 0:',
        'else:',
        f'{CORE}/execution/tests/once_tests.py::OnceHistories',
    ),
    Mutant(
        'drained endpoints',
        f'{CORE}/routing/pools.py',
        'if replica.endpoint.state is EndpointState.ACTIVE',
        'if True',
        f'{CORE}/routing/tests/pools_tests.py::Slots',
    ),
    Mutant(
        'configuration never reverts',
        f'{CORE}/store/view.py',
        'if update.version <= held_version:',
        'if update.version == held_version:',
        f'{CORE}/store/tests/view_tests.py::Versions',
    ),
    Mutant(
        'configuration in force',
        f'{CORE}/store/feed.py',
        'group.create_task(self.relist_periodically())',
        'pass',
        f'{CORE}/store/tests/feed_tests.py::Following',
    ),
    Mutant(
        'configuration in force',
        f'{CORE}/membership/roles.py',
        'group.create_task(self.run_direct_reads())',
        'pass',
        f'{CORE}/membership/tests/spreading_tests.py::Spreading',
    ),
    Mutant(
        'configuration in force',
        f'{CORE}/membership/gossip.py',
        'if self.request_recent(message):\n            return',
        'return',
        f'{CORE}/membership/tests/spreading_tests.py::Spreading',
    ),
    Mutant(
        'one record a change',
        f'{CORE}/store/changes.py',
        'await self.archive(current)',
        'pass',
        f'{CORE}/store/tests/changes_tests.py::AuditHistories',
    ),
    Mutant(
        'planned stop',
        'packages/daemon/calicopathd/box/runner.py',
        'lifecycle.refuse()',
        'pass',
        'packages/daemon/calicopathd/http/tests/callers_tests.py::Operations',
    ),
    Mutant(
        'slow callers',
        f'{CORE}/execution/generation.py',
        'timing.waiting_since = clock.monotonic()',
        'pass',
        f'{CORE}/execution/tests/answers_tests.py::SlowCallers',
    ),
    Mutant(
        'slow replicas',
        f'{CORE}/routing/pools.py',
        'replica.on_failure()',
        'pass',
        f'{CORE}/execution/tests/answers_tests.py::SlowReplicas',
    ),
    Mutant(
        'zones taken out',
        f'{CORE}/fleet/replicas.py',
        'if found.failure_domain in self.evacuated:',
        'if False:',
        f'{EVACUATING}::Evacuating',
    ),
    Mutant(
        'zones taken out',
        f'{CORE}/exchanges/streams.py',
        'if replica is None or exclusion is not None:',
        'if replica is None:',
        f'{EVACUATING}::Evacuating',
    ),
    Mutant(
        'zones taken out',
        f'{CORE}/scheduling/freeing.py',
        'if replica is None or replica.failure_domain in self.replicas.evacuated:',
        'if replica is None:',
        f'{EVACUATING}::Evacuating',
    ),
    Mutant(
        'cold replicas',
        f'{CORE}/scheduling/engines.py',
        'if self.start_limit is None or now >= self.exclusive_from:',
        'if True:',
        f'{CORE}/scheduling/tests/starts_tests.py::StartLimits',
    ),
    Mutant(
        'cold replicas',
        f'{CORE}/scheduling/engines.py',
        'if limit is None:',
        'if True:',
        f'{CORE}/scheduling/tests/starts_tests.py::RestoredFailureDomain',
    ),
    Mutant(
        'replicas that end are told from resets',
        f'{CORE}/crashes/guard.py',
        'if isinstance(error, ConnectionBroken) and await probe.has_crashed():',
        'if isinstance(error, ConnectionBroken):',
        f'{BLOCKED}::Innocent',
    ),
    Mutant(
        'one moment is one event',
        f'{CORE}/crashes/suspects.py',
        'crash.at - times[-1] > SIMULTANEOUS_S',
        'crash.at - times[-1] >= 0.0',
        f'{CRASHES}::Counting',
    ),
    Mutant(
        'what survives is cleared',
        f'{CORE}/crashes/suspects.py',
        'self.survived_at = max(self.survived_at, at)',
        'self.survived_at = self.survived_at',
        f'{CRASHES}::Counting',
    ),
    Mutant(
        'every box knows',
        f'{CORE}/membership/sharing.py',
        'if digest == self.digest():',
        'if self.send:',
        f'{CRASHES}::Sharing',
    ),
    Mutant(
        'every box knows',
        f'{CORE}/membership/sharing.py',
        'if news.whole and self.knows_more_than(news):',
        'if False:',
        f'{CRASHES}::Sharing',
    ),
    Mutant(
        'every box knows',
        f'{CORE}/membership/sharing.py',
        'REPEAT_S = 1.0',
        'REPEAT_S = 1e-9',
        f'{CRASHES}::Sharing',
    ),
    Mutant(
        'blocked requests outlast every box',
        f'{CORE}/crashes/keeping.py',
        'self.sharing.report(changed)',
        'self.ledger.suspects.clear()',
        f'{KNOWN}::Known',
    ),
    Mutant(
        'those beside the cause are spared',
        f'{CORE}/scheduling/stages.py',
        'alone = self.runs_alone(group.first.job)',
        'alone = False',
        f'{CRASHING}::Crashing',
    ),
    Mutant(
        'what waits is rejected',
        f'{CORE}/scheduling/scheduler.py',
        '        self.rejections.reject_blocked()',
        '        pass',
        f'{CRASHING}::Crashing',
    ),
    Mutant(
        'the door asks',
        f'{CORE}/exchanges/executor.py',
        '            check_not_blocked(self.context, state)',
        '            pass',
        f'{BLOCKED}::Answered',
    ),
    Mutant(
        'each send asks',
        f'{CORE}/exchanges/streams.py',
        '                check_not_blocked(self.context, self.state)\n'
        '                is_placed = True',
        '                is_placed = True',
        f'{CRASHING}::Crashing',
    ),
    Mutant(
        'what is asked is known by its path',
        f'{CORE}/exchanges/content.py',
        'exchange.path.encode()',
        'exchange.target.encode()',
        f'{CRASHING}::Crashing',
    ),
    Mutant(
        'bodies that differ each time',
        f'{CORE}/crashes/suspects.py',
        'MIN_DISTINCT_REQUESTS = 2',
        'MIN_DISTINCT_REQUESTS = 99',
        f'{CRASHING}::Crashing',
    ),
    Mutant(
        'ends that show late',
        f'{CORE}/crashes/guard.py',
        '        if await probe.confirm_crash():',
        '        if False:',
        f'{CRASHING}::Crashing',
    ),
    *NOTICE_MUTANTS,
    *LIMIT_MUTANTS,
    *RESTORED_MUTANTS,
    *PARTITION_MUTANTS,
    *CRASH_PART_MUTANTS,
    *VERSION_MUTANTS,
    *UNDERWAY_MUTANTS,
    *BOUND_MUTANTS,
    *ENTRY_MUTANTS,
)
