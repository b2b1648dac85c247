"""List what breaks the keeping of what replicas say of themselves, and the tests that must fail."""

from __future__ import annotations

from tools.mutants.mutant import CORE, Mutant

GATEWAY = 'packages/daemon/calicopathd/gateway/tests'
GATE = f'{CORE}/fleet/tests/gate_tests.py'
LEAVING = f'{GATEWAY}/leaving_tests.py::Leaving'
KNOWLEDGE = f'{GATEWAY}/notice_knowledge_tests.py'
PLACING = f'{CORE}/scheduling/tests/backoffs_tests.py::Backoffs'
WIRE = 'platform/calicopath_platform/tests/notices_tests.py'

NOTICE_MUTANTS = (
    Mutant(
        'the word that a replica leaves',
        f'{CORE}/fleet/replicas.py',
        'return Exclusion.LEAVING if self.is_leaving(found) else None',
        'return None',
        LEAVING,
    ),
    Mutant(
        'the word is of one life',
        f'{CORE}/fleet/leaving.py',
        'return item is not None and not item.lost_address '
        'and replica.started_ms <= item.started_ms',
        'return item is not None',
        f'{GATE}::Leaving',
    ),
    Mutant(
        'the word outlasts a lapsed entry',
        f'{CORE}/fleet/leaving.py',
        'if item.heard_at < oldest and name not in known',
        'if name not in known',
        f'{GATE}::Leaving',
    ),
    Mutant(
        'all boxes know the word',
        f'{CORE}/fleet/gate.py',
        'self.on_leaving(replica.id)',
        'pass',
        f'{KNOWLEDGE}::Leaving',
    ),
    Mutant(
        'all boxes know the word',
        'packages/daemon/calicopathd/gateway/notices.py',
        'self.leaving_sharing.on_digest(ping.address, ping.replicas)',
        'pass',
        f'{KNOWLEDGE}::Leaving',
    ),
    Mutant(
        'one that leaves and ends has not crashed',
        f'{CORE}/crashes/probes.py',
        'if self.replicas.is_leaving(known or self.replica):',
        'if known is not None and known.draining:',
        f'{GATE}::Leaving',
    ),
    Mutant(
        'the last word before a call',
        f'{CORE}/fleet/gate.py',
        'raise ReplicaExcluded(replica, exclusion)',
        'pass',
        f'{GATE}::Backoffs',
    ),
    Mutant(
        'the longest wish holds',
        f'{CORE}/fleet/backoffs.py',
        'known.until = max(known.until, until)',
        'known.until = until',
        f'{GATE}::Backoffs',
    ),
    Mutant(
        'calls come back gradually',
        f'{CORE}/fleet/backoffs.py',
        'found.trial_until = self.clock.monotonic() + TRIAL_CALL_WAIT_S',
        'pass',
        f'{GATE}::Backoffs',
    ),
    Mutant(
        'runs come back gradually',
        f'{CORE}/scheduling/backoffs.py',
        'return avoidance is not None and avoidance.trial_until > now',
        'return False',
        PLACING,
    ),
    Mutant(
        'a box is given no engine that wants nothing from it',
        f'{CORE}/scheduling/backoffs.py',
        'return held is not None and held.get(replica, 0.0) > now',
        'return False',
        PLACING,
    ),
    Mutant(
        'an engine that turns away draws nothing',
        f'{CORE}/scheduling/backoffs.py',
        'return avoidance is not None and avoidance.until > now',
        'return False',
        PLACING,
    ),
    Mutant(
        'what waits is judged anew',
        f'{CORE}/scheduling/scheduler.py',
        '        self.engine_pools.backoffs.note(message.address, message.backoffs, now)\n'
        '        self.rejections.reject_backing_off(now)',
        '        self.engine_pools.backoffs.note(message.address, message.backoffs, now)',
        PLACING,
    ),
    Mutant(
        'the next scheduler is told',
        'packages/daemon/calicopathd/gateway/box.py',
        'self.send_backoffs(self.gate.remaining_backoffs(service))',
        'pass',
        f'{KNOWLEDGE}::Backoffs',
    ),
    Mutant(
        'stages that want nothing',
        f'{CORE}/scheduling/stages.py',
        'if self.backoff_left_s(item.replica) <= 0]',
        'if item]',
        f'{CORE}/scheduling/tests/stages_tests.py::Failing',
    ),
    Mutant(
        'plain services that want nothing',
        f'{CORE}/fleet/gate.py',
        'return [item for item in found if self.available_in_s(item) <= 0]',
        'return found',
        f'{GATE}::Backoffs',
    ),
    Mutant(
        'every answer is read',
        'platform/calicopath_platform/replicas.py',
        'self.interceptor.on_notice(replica, decode_notice(call.head))',
        'pass',
        f'{WIRE}::Answers',
    ),
)
