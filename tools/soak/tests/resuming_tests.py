"""Test the checks of streams that go on at other boxes."""

from __future__ import annotations

import testtools

from tools.soak.records import RequestKind, RequestRecord
from tools.soak.resuming import find_lost_streams, find_mixed_versions, is_broken_stream
from tools.soak.schedule import FaultKind
from tools.soak.tests.checks_tests import seen

WHOLE_IDS = (1, 2, 3)


def attempt(call_id: str, versions: tuple[str, ...], resumed: str = '') -> RequestRecord:
    """Return an attempt at a stream that brought an event of each of the versions."""
    return seen(
        RequestKind.STAGED_STREAM,
        call_id=call_id,
        is_complete=False,
        event_ids=WHOLE_IDS[: len(versions)],
        event_versions=versions,
        resumed_call_id=resumed,
    )


class Resuming(testtools.TestCase):
    def test_versions_are_compared_over_all_attempts(self) -> None:
        one = [attempt('a', ('v1', 'v1')), attempt('a.1', ('v1',), 'a'), attempt('b', ('v2',))]
        self.assertEqual([], find_mixed_versions(one))
        two = [attempt('a', ('v1', 'v1')), attempt('a.1', ('v2',), 'a')]
        self.assertEqual(['a: events of versions v1, v2'], find_mixed_versions(two))

    def test_versions_are_compared_within_an_attempt(self) -> None:
        self.assertEqual(1, len(find_mixed_versions([attempt('a', ('v1', 'v2'))])))

    def test_streams_that_do_not_go_on_are_lost(self) -> None:
        first = [attempt(f's{number}', ('v1',)) for number in range(12)]
        refused = [attempt(f's{number}.1', (), f's{number}') for number in range(12)]
        resumed = [attempt(f's{number}.1', ('v1',), f's{number}') for number in range(6)]
        only = FaultKind.KILL_BOXES
        self.assertEqual(1, len(find_lost_streams([*first, *refused], only)))
        self.assertEqual([], find_lost_streams([*first, *refused, *resumed], only))
        self.assertEqual([], find_lost_streams([*first, *refused], None))

    def test_only_streams_that_may_be_resumed_are_taken_up(self) -> None:
        self.assertTrue(is_broken_stream(attempt('a', ('v1',))))
        self.assertFalse(is_broken_stream(attempt('a', ())))
        self.assertFalse(is_broken_stream(seen(RequestKind.STAGED_STREAM)))
        letter = seen(RequestKind.UNREPEATABLE_STREAM, is_complete=False)
        self.assertFalse(is_broken_stream(letter))
