"""List what breaks the keeping of limits that replicas name, and the tests that must fail."""

from __future__ import annotations

from tools.mutants.mutant import CORE, Mutant

GATE = f'{CORE}/fleet/tests/gate_tests.py::Limits'
ISSUER = f'{CORE}/permits/tests/issuer_tests.py'
LIMITS = f'{CORE}/permits/tests/limits_tests.py'
FLEET = 'packages/daemon/calicopathd/gateway/tests/limit_tests.py'

LIMIT_MUTANTS = (
    Mutant(
        'limits are read',
        f'{CORE}/fleet/gate.py',
        'self.limits.on_notice(replica, notice)',
        'pass',
        f'{FLEET}::Kept',
    ),
    Mutant(
        'no call without a permit',
        f'{CORE}/fleet/gate.py',
        'return permitted or not self.limits.requires_permit(replica)',
        'return True',
        GATE,
    ),
    Mutant(
        'calls without new work count',
        f'{CORE}/fleet/gate.py',
        'return self.limits.take_control_call(replica)',
        'return True',
        GATE,
    ),
    Mutant(
        'each box the whole limit',
        f'{CORE}/permits/client.py',
        '        self.send(self.issuer_address(), request)\n        try:',
        '        self.send(self.own_address, request)\n        try:',
        f'{FLEET}::Kept',
    ),
    Mutant(
        'an idle bucket gathers nothing',
        f'{CORE}/permits/buckets.py',
        'self.next_at = max(self.next_at, now) + 1 / per_s',
        'self.next_at = self.next_at + 1 / per_s',
        f'{ISSUER}::Limits',
    ),
    Mutant(
        'one that takes up begins empty',
        f'{CORE}/permits/issuer.py',
        'bucket.empty(per_s, now)',
        'pass',
        f'{ISSUER}::Limits',
    ),
    Mutant(
        'one that takes up lends a part',
        f'{CORE}/permits/issuer.py',
        '(CONTESTED_SHARE if contested else 1.0)',
        '1.0',
        f'{ISSUER}::Limits',
    ),
    Mutant(
        'the more urgent first',
        f'{CORE}/permits/issuer.py',
        'self.waiting.sort(key=lambda item: (item.priority, item.serial))',
        'pass',
        f'{ISSUER}::PermitRequests',
    ),
    Mutant(
        'what waits is asked of the next lender',
        f'{CORE}/permits/client.py',
        'if not item.answer.done():\n                wait_s',
        'if False:\n                wait_s',
        f'{ISSUER}::PermitRequests',
    ),
    Mutant(
        'engines that limit',
        f'{CORE}/scheduling/engines.py',
        'return self.permits.available_in_s(engine.replica) <= 0',
        'return True',
        f'{FLEET}::Kept',
    ),
    Mutant(
        'stages that limit',
        f'{CORE}/scheduling/stages.py',
        '            and self.permits.available_in_s(item.replica) <= 0\n',
        '',
        f'{CORE}/scheduling/tests/limited_stages_tests.py::LimitedStages',
    ),
    Mutant(
        'what exceeds limits is refused at once',
        f'{CORE}/scheduling/rejections.py',
        "        self.reject(job, 'limited', self.admission.retry_after_s(job, wait_s, now))\n"
        '        return False',
        '        return True',
        f'{FLEET}::Served',
    ),
    Mutant(
        'a box that starts is told of limits',
        'packages/daemon/calicopathd/gateway/notices.py',
        'self.limit_sharing.on_digest(ping.address, ping.limits)',
        'pass',
        f'{FLEET}::Views',
    ),
    Mutant(
        'a run placed without a permit asks for one',
        f'{CORE}/exchanges/streams.py',
        'elif self.context.gate.limits.requires_permit(replica):',
        'elif False:',
        f'{FLEET}::Views',
    ),
    Mutant(
        'the end of a limit counts in a tie',
        f'{CORE}/permits/limits.py',
        'return heard_at > known.heard_at - TIE_WINDOW_S',
        'return heard_at > known.heard_at + TIE_WINDOW_S',
        f'{LIMITS}::OtherBoxes',
    ),
    Mutant(
        'an overtaken answer ends no limit',
        f'{CORE}/permits/limits.py',
        'or now - known.heard_at < REORDER_WINDOW_S',
        '',
        f'{LIMITS}::Answers',
    ),
    Mutant(
        'calls come back gradually',
        f'{CORE}/permits/limits.py',
        'return self.state.ended and now >= self.heard_at + RAMP_UP_S',
        'return self.state.ended',
        f'{LIMITS}::Answers',
    ),
)
