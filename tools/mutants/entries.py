"""Break how objects of other writers are read, and what odd answers, resets and stops do."""

from __future__ import annotations

from tools.mutants.mutant import Mutant

PLATFORM = 'platform/calicopath_platform'
ENTRIES = f'{PLATFORM}/tests/entries_tests.py'
FOREIGN = f'{PLATFORM}/tests/foreign_entries_tests.py'
STATUSES = f'{PLATFORM}/tests/statuses_tests.py'
STOPS = f'{PLATFORM}/tests/planned_stop_tests.py'
RESETS = 'packages/clients/calicopath_clients/tests/reset_tests.py'

ENTRY_MUTANTS = (
    Mutant(
        'entries',
        f'{PLATFORM}/addresses.py',
        "PORT = re.compile(r'[1-9][0-9]{0,4}')",
        "PORT = re.compile(r'[0-9]+')",
        f'{ENTRIES}::Fields',
    ),
    Mutant(
        'entries',
        f'{PLATFORM}/addresses.py',
        'if ip.is_unspecified or ip.is_multicast or ip.is_reserved:',
        'if False:',
        f'{ENTRIES}::Fields',
    ),
    Mutant(
        'entries',
        f'{PLATFORM}/objects.py',
        'validate_address(wire.address, max_port=MAX_PORT - FORWARD_PORT_OFFSET)',
        'pass',
        f'{FOREIGN}::StartBesideForeignEntries',
    ),
    Mutant(
        'entries',
        f'{PLATFORM}/objects.py',
        'found[service] = UNKNOWN_VERSIONS',
        'pass',
        f'{PLATFORM}/tests/store_tests.py::Store',
    ),
    Mutant(
        'entries',
        f'{PLATFORM}/envelopes.py',
        "deleted = event and values.get((b'deleted',)) == b'true'",
        'deleted = False',
        f'{ENTRIES}::UndecodableObjects',
    ),
    Mutant(
        'entries',
        f'{PLATFORM}/unreadable.py',
        'if self.reasons.get(key) == reason:',
        'if False:',
        f'{FOREIGN}::StartBesideForeignEntries',
    ),
    Mutant(
        'statuses',
        'packages/clients/calicopath_clients/http1/connections.py',
        'if kind is StatusKind.INVALID:',
        'if False:',
        f'{STATUSES}::InvalidStatuses',
    ),
    Mutant(
        'statuses',
        'packages/clients/calicopath_clients/http1/statuses.py',
        'if FIRST_INTERIM_STATUS <= status < FIRST_FINAL_STATUS and status != SWITCHING_PROTOCOLS:',
        'if status < FIRST_FINAL_STATUS:',
        f'{STATUSES}::InvalidStatuses',
    ),
    Mutant(
        'planned stop',
        'packages/daemon/calicopathd/gateway/run.py',
        'self.box.refuses_new = True',
        'pass',
        f'{STOPS}::PlannedStop',
    ),
    Mutant(
        'planned stop',
        'packages/daemon/calicopathd/gateway/server.py',
        'connection.task.cancel(BOX_STOPS)',
        'pass',
        f'{STOPS}::PlannedStop',
    ),
    Mutant(
        'planned stop',
        'packages/core/calicopath_core/exchanges/executor.py',
        '    if state.sends:\n        return RefusedExchange(STATUS_GATEWAY_TIMEOUT, LEAVING)',
        '    pass',
        f'{STOPS}::PlannedStop',
    ),
    Mutant(
        'resets',
        'packages/clients/calicopath_clients/http1/pool.py',
        'if connection.is_lost:',
        'if False:',
        f'{RESETS}::Resets',
    ),
    Mutant(
        'resets',
        'packages/clients/calicopath_clients/http1/pool.py',
        '            except NewConnectionEnded:',
        '            except ZeroDivisionError:',
        f'{RESETS}::Resets',
    ),
)
