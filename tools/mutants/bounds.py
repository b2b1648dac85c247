"""List the changes that let peers send bytes without end."""

from __future__ import annotations

from tools.mutants.mutant import CORE, Mutant

CLIENTS = 'packages/clients/calicopath_clients'
GATEWAY = 'packages/daemon/calicopathd/gateway'
PLATFORM = 'platform/calicopath_platform'
CALLS = f'{PLATFORM}/tests/endless_tests.py::Calls'
REQUESTS = f'{GATEWAY}/tests/endless_requests_tests.py::EndlessRequests'

BOUND_MUTANTS = (
    Mutant(
        'heads and framing are bounded',
        f'{CLIENTS}/http1/bounds.py',
        "            return ExceededBound('head or framing', MAX_FRAMING_BYTES)",
        '            return None',
        f'{CALLS}::test_heads_of_exchanges_end',
    ),
    Mutant(
        'bodies are bounded',
        f'{CLIENTS}/http1/bounds.py',
        "            return ExceededBound('body', self.max_body_bytes)",
        '            pass',
        f'{CALLS}::test_stage_calls_end',
    ),
    Mutant(
        'skipped answers are bounded',
        f'{CLIENTS}/http1/bounds.py',
        '        if self.skipped_bytes > MAX_SKIPPED_BYTES:',
        '        if False:',
        f'{CALLS}::test_stage_calls_end',
    ),
    Mutant(
        'reports are small',
        f'{PLATFORM}/replicas.py',
        'MAX_CONTROL_ANSWER_BYTES = 64 * 1024',
        'MAX_CONTROL_ANSWER_BYTES = 1 << 40',
        f'{CALLS}::test_reports_end',
    ),
    Mutant(
        'answers of the store are bounded',
        f'{PLATFORM}/store.py',
        'MAX_ANSWER_BYTES = 8 * 1024 * 1024',
        'MAX_ANSWER_BYTES = 1 << 40',
        f'{CALLS}::test_store_calls_end',
    ),
    Mutant(
        'changes too many for an answer are listed',
        f'{CORE}/fleet/feed.py',
        'self.must_list = self.must_list or isinstance(error, StoreAnswerTooLarge)',
        'pass',
        f'{CORE}/fleet/tests/restored_feed_tests.py::Feeding',
    ),
    Mutant(
        'the answers that a box holds share a bound',
        f'{CORE}/exchanges/buffers.py',
        '        while self.size > self.max_bytes:',
        '        while False:',
        f'{CORE}/exchanges/tests/buffers_tests.py::Buffers',
    ),
    Mutant(
        'the longest answer makes way',
        f'{CORE}/exchanges/buffers.py',
        'max(self.open_buffers, key=lambda item: item.weighted_size).drop()',
        'min(self.open_buffers, key=lambda item: item.weighted_size).drop()',
        f'{CORE}/exchanges/tests/buffers_tests.py::Buffers',
    ),
    Mutant(
        'a second slow replica is left too',
        f'{CORE}/exchanges/plain.py',
        '            while await self.is_slow(self.attempts[-1]):',
        '            while len(self.attempts) < 2 and await self.is_slow(self.attempts[-1]):',
        f'{GATEWAY}/tests/exchanges_tests.py::SlowReplicas',
    ),
    Mutant(
        'nothing waits for an ejected replica',
        f'{CORE}/scheduling/stages.py',
        'not (item.is_slow(now) or item.is_ejected(now))',
        'not item.is_slow(now)',
        f'{CORE}/scheduling/tests/stages_tests.py::Failing',
    ),
    Mutant(
        'bytes of a request that are no body are bounded',
        f'{GATEWAY}/connection.py',
        '        if self.framing_bytes > limit and not self.refused:',
        '        if False:',
        REQUESTS,
    ),
    Mutant(
        'a refused request is not read on',
        f'{GATEWAY}/connection.py',
        '            self.stop_reading()',
        '            pass',
        REQUESTS,
    ),
    Mutant(
        'interim heads of the own interface are bounded',
        f'{CLIENTS}/sessions.py',
        '            if heads > MAX_HEADS:',
        '            if False:',
        f'{CLIENTS}/tests/endless_tests.py::EndlessAnswers::test_calls_of_stages_end',
    ),
)
