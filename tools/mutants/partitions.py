"""List the changes that break how boxes serve which reach no replica, and brittle replicas."""

from __future__ import annotations

from tools.mutants.mutant import CORE, Mutant

CONNECTORS = 'packages/clients/calicopath_clients/http1/connectors.py'
CONNECTOR_TESTS = 'packages/clients/calicopath_clients/tests/connectors_tests.py::Paths'
FORWARDING = 'packages/daemon/calicopathd/gateway/forwarding.py'
FORWARDING_TESTS = 'packages/daemon/calicopathd/gateway/tests/forwarding_tests.py'
FLEET_TESTS = (
    'packages/daemon/calicopathd/gateway/tests/partitioned_fleet_tests.py::PartitionedFleets'
)
BRITTLE_TESTS = 'packages/daemon/calicopathd/gateway/tests/brittle_tests.py::BrittleReplicas'

PARTITION_MUTANTS = (
    Mutant(
        'partitions',
        CONNECTORS,
        'yield partial(self.open_through, forwarder, address)',
        'pass',
        CONNECTOR_TESTS,
    ),
    Mutant(
        'partitions',
        CONNECTORS,
        'timeout=STAGGER_S if has_more else None,',
        'timeout=None,',
        CONNECTOR_TESTS,
    ),
    Mutant(
        'partitions',
        CONNECTORS,
        'at_once=2 if rechecks else 1',
        'at_once=1',
        CONNECTOR_TESTS,
    ),
    Mutant(
        'partitions',
        FORWARDING,
        'self.box.transport.write(END_OF_STREAM)',
        'pass',
        f'{FORWARDING_TESTS}::ForwardedAnswers',
    ),
    Mutant(
        'partitions',
        'packages/clients/calicopath_clients/http1/tunnels.py',
        'self.connection.connection_lost(error)',
        'self.connection.eof_received()',
        f'{FORWARDING_TESTS}::ForwardedAnswers',
    ),
    Mutant(
        'partitions',
        FORWARDING,
        'and not self.reachability.is_partitioned',
        'and True',
        f'{FORWARDING_TESTS}::UnforwardedConnections',
    ),
    Mutant(
        'partitions',
        FORWARDING,
        'connection.forbid_reuse()',
        'pass',
        f'{FORWARDING_TESTS}::LeavingForwarder',
    ),
    Mutant(
        'partitions',
        f'{CORE}/crashes/probes.py',
        'return refused and await self.reaches_another()',
        'return refused',
        f'{CORE}/crashes/tests/probes_tests.py::Crashes',
    ),
    Mutant(
        'partitions',
        f'{CORE}/exchanges/stream_attempts.py',
        'failed = is_at_fault and not self.context.is_partitioned()',
        'failed = is_at_fault',
        FLEET_TESTS,
    ),
    Mutant(
        'partitions',
        f'{CORE}/scheduling/stage_calls.py',
        'if full and self.is_isolated():',
        'if False:',
        FLEET_TESTS,
    ),
    Mutant(
        'brittle replicas',
        f'{CORE}/exchanges/balancer.py',
        'self.stats_of(item).in_flight < share.get(item.id, 0)',
        'item.id in share',
        BRITTLE_TESTS,
    ),
    Mutant(
        'brittle replicas',
        f'{CORE}/fleet/brittle.py',
        'count = min(len(brittle), max(1, slots // max(1, boxes)))',
        'count = len(brittle)',
        BRITTLE_TESTS,
    ),
)
