"""List the changes that let streams go on at another software version, or not at all."""

from __future__ import annotations

from tools.mutants.mutant import CORE, Mutant

TESTS = 'packages/daemon/calicopathd/gateway/tests/versions_tests.py'
KEEPING_TESTS = f'{CORE}/versions/tests/keeping_tests.py'

VERSION_MUTANTS = (
    Mutant(
        'versions',
        f'{CORE}/scheduling/engines.py',
        'return [item for item in allowed if item.replica.version == place.version]',
        'return allowed',
        f'{CORE}/scheduling/tests/engines_tests.py::Versions',
    ),
    Mutant(
        'versions',
        f'{CORE}/scheduling/engines.py',
        'return [item for item in allowed if self.is_declared(item)]',
        'return allowed',
        f'{CORE}/scheduling/tests/engines_tests.py::Versions',
    ),
    Mutant(
        'versions',
        f'{CORE}/exchanges/streams.py',
        'if self.begun_by not in (None, replica.version):',
        'if False:',
        f'{TESTS}::Continued',
    ),
    Mutant(
        'versions',
        f'{CORE}/exchanges/streams.py',
        'self.begun_by = attempt.replica.version',
        'self.begun_by = self.context.replicas.replicas[attempt.replica.id].version',
        f'{TESTS}::ChangedEntries',
    ),
    Mutant(
        'versions',
        f'{CORE}/exchanges/streams.py',
        'raise RefusedExchange(STATUS_UNAVAILABLE, VERSION_UNKNOWN)',
        'return',
        f'{TESTS}::Continued',
    ),
    Mutant(
        'versions',
        f'{CORE}/versions/directory.py',
        'if self.ledger.put(key, service, version, self.clock.monotonic()):',
        'if False:',
        f'{TESTS}::EndedBoxes',
    ),
    Mutant(
        'versions',
        f'{CORE}/versions/directory.py',
        'for address in {self.scheduler_address(), *self.holders}:',
        'for address in {self.scheduler_address()}:',
        f'{CORE}/versions/tests/directory_tests.py::News',
    ),
    Mutant(
        'versions',
        f'{CORE}/versions/directory.py',
        'self.gathers_until = self.clock.monotonic() + GATHER_S',
        'pass',
        f'{CORE}/versions/tests/directory_tests.py::Lookups',
    ),
    Mutant(
        'versions',
        f'{CORE}/versions/keeping.py',
        'if len(declared) == 1 and declared <= listed:',
        'if declared and declared <= listed:',
        f'{KEEPING_TESTS}::Declared',
    ),
    Mutant(
        'versions',
        f'{CORE}/versions/keeping.py',
        'self.ledger.merge(stored.groups, self.clock.monotonic())',
        'pass',
        f'{KEEPING_TESTS}::Records',
    ),
    Mutant(
        'versions',
        f'{CORE}/versions/keeping.py',
        'self.last_listed_at.clear()',
        'pass',
        f'{KEEPING_TESTS}::Declared',
    ),
    Mutant(
        'versions',
        f'{CORE}/versions/ledger.py',
        "return digest_of(part.encode() for part in (service, workspace or '', call_id))",
        'return digest_of(part.encode() for part in (service, call_id))',
        f'{TESTS}::Continued',
    ),
    Mutant(
        'versions',
        f'{CORE}/execution/generation.py',
        'progress.version = slot.endpoint.version',
        'pass',
        f'{CORE}/execution/tests/answers_tests.py::WholeAnswers',
    ),
    Mutant(
        'versions',
        f'{CORE}/scheduling/engines.py',
        'return wait.must_wait(now)',
        'return False',
        f'{TESTS}::UndeclaredVersions',
    ),
    Mutant(
        'versions',
        f'{CORE}/versions/declaring.py',
        'self.expired = True',
        'pass',
        f'{KEEPING_TESTS}::Waiting',
    ),
    Mutant(
        'versions',
        f'{CORE}/versions/keeping.py',
        'self.declaration_wait.give_up()',
        'pass',
        f'{TESTS}::UndeclaredVersions',
    ),
    Mutant(
        'versions',
        f'{CORE}/versions/keeping.py',
        'return versions.get(service, frozenset()) | versions.get(ANY_SERVICE, frozenset())',
        'return versions.get(service, frozenset())',
        f'{KEEPING_TESTS}::Unreadable',
    ),
)
