"""List what breaks blocking by parts of prompts and lent connections, and tests that must fail."""

from __future__ import annotations

from tools.mutants.mutant import CORE, Mutant

GATEWAY = 'packages/daemon/calicopathd/gateway/tests'
CAUSES = f'{CORE}/crashes/tests/causes_tests.py::Causes'
PARTS = f'{GATEWAY}/prompt_parts_tests.py::PromptParts'
SHARES = f'{CORE}/fleet/tests/connection_shares_tests.py::Lending'
ENDED = 'packages/clients/calicopath_clients/tests/ended_answers_tests.py'

CRASH_PART_MUTANTS = (
    Mutant(
        'crashes count for the parts of prompts',
        f'{CORE}/crashes/guard.py',
        '(*keys.common, *keys.parts)',
        'keys.common',
        PARTS,
    ),
    Mutant(
        'parts that come together are blocked together',
        f'{CORE}/crashes/causes.py',
        'if {replica_of(name) for name in crash_ids & other_ids} == replicas',
        'if False',
        CAUSES,
    ),
    Mutant(
        'an explained crash counts for no other part',
        f'{CORE}/crashes/causes.py',
        'explained |= evidence.parts[key].crashed_replicas()',
        'explained |= set(evidence.parts[key].crashes)',
        CAUSES,
    ),
    Mutant(
        'parts answered shortly before need more crashes',
        f'{CORE}/crashes/causes.py',
        'limit = CRASH_LIMIT if is_new else RECENTLY_SOUND_CRASH_LIMIT',
        'limit = CRASH_LIMIT',
        CAUSES,
    ),
    Mutant(
        'an answer that begins clears its parts',
        f'{CORE}/crashes/ledger.py',
        'changed = [key for key in keys if self.on_part_answered(key, now)]',
        'changed = []',
        CAUSES,
    ),
    Mutant(
        'boxes say what they have seen answered',
        f'{CORE}/crashes/ledger.py',
        'and self.on_part_answered(key, self.sound_parts.last_answered_at(key, now))',
        'and False',
        CAUSES,
    ),
    Mutant(
        'a blocked part explains the crashes of requests beside it',
        f'{CORE}/crashes/ledger.py',
        'return suspect.crashed_replicas() <= explained',
        'return False',
        CAUSES,
    ),
    Mutant(
        'a popular part explains no crash of a request beside it',
        f'{CORE}/crashes/ledger.py',
        'if not self.suspects[item.key].was_recently_sound',
        'if True',
        CAUSES,
    ),
    Mutant(
        'crashes of one replica do not displace those of others',
        f'{CORE}/crashes/suspects.py',
        'if len(same_replica) > self.max_crashes_per_replica:',
        'if False:',
        CAUSES,
    ),
    Mutant(
        'a crash is not the end of an answer',
        f'{CORE}/exchanges/endings.py',
        '    if not runs and (repeatable or not has_left):',
        '    if False:',
        f'{GATEWAY}/unframed_tests.py::Unframed',
    ),
    Mutant(
        'a closed connection is no empty answer',
        'packages/clients/calicopath_clients/http1/connections.py',
        'if current.status < FIRST_ERROR_STATUS and not self.has_body:',
        'if False:',
        f'{ENDED}::BrokenAfterTheHead',
    ),
    Mutant(
        'documents are parts',
        f'{CORE}/execution/run.py',
        'return request_fingerprint(pipeline, body, parts=digests)',
        'return request_fingerprint(pipeline, body)',
        f'{CORE}/execution/tests/crashing_tests.py::Crashing',
    ),
    Mutant(
        'connections are not lent twice',
        f'{CORE}/fleet/connection_shares.py',
        'granted = max(0, min(wanted, pool - lent, fair_share(pool, demands, box)))',
        'granted = max(0, min(wanted, fair_share(pool, demands, box)))',
        SHARES,
    ),
    Mutant(
        'a lease counts from the question',
        f'{CORE}/fleet/connection_shares.py',
        'expires_at = asked_at + LEASE_S',
        'expires_at = self.clock.monotonic() + LEASE_S',
        SHARES,
    ),
    Mutant(
        'a new scheduler lends once earlier leases are over',
        f'{CORE}/fleet/connection_shares.py',
        'self.lends_from = self.clock.monotonic() + LEASE_S',
        'self.lends_from = self.clock.monotonic()',
        SHARES,
    ),
    Mutant(
        'connections follow their use',
        'packages/daemon/calicopathd/gateway/peers.py',
        'lent = self.connection_lender.lend(message.box, message.connections)',
        'lent: dict[str, int] = {}',
        f'{GATEWAY}/connections_tests.py::MostConnections',
    ),
)
