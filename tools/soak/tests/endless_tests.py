"""Test what the soak finds beside answers without end and cut watches."""

from __future__ import annotations

import testtools

from tools.soak.endless import (
    BoxMemory,
    find_arrivals_after_removal,
    find_unserved_beside_endless,
)
from tools.soak.overload import has_disturbed_service
from tools.soak.records import Arrival, RequestKind, RequestRecord
from tools.soak.schedule import REPLICAS_PER_SERVICE, FaultKind, LinkMode, Step


def step(kind: FaultKind, target: int = 0) -> Step:
    """Return a step from second 1 to second 3."""
    return Step(1.0, kind, target, 2.0, LinkMode.PASS)


class Endless(testtools.TestCase):
    def unserved(self, status: int, kind: RequestKind, only: FaultKind | None) -> int:
        """Return how many problems one request gives that began amid an answer without end."""
        whole = status == 200
        record = RequestRecord('c-1', kind, 0, 1, 2.0, 3.0, status, whole, whole, b'', ())
        return len(find_unserved_beside_endless([record], [step(FaultKind.ENDLESS)], only))

    def test_what_may_be_repeated_has_to_be_answered(self) -> None:
        self.assertEqual(1, self.unserved(504, RequestKind.SAFE, FaultKind.ENDLESS))
        self.assertEqual(0, self.unserved(502, RequestKind.UNSAFE, FaultKind.ENDLESS))
        self.assertEqual(0, self.unserved(504, RequestKind.SAFE, None))

    def test_arrivals_long_after_a_removal_are_found(self) -> None:
        removed_at = {'i-1': 10.0}
        for at, count in ((9.0, 0), (12.2, 0), (12.4, 1)):
            arrivals = [Arrival('c-1', 'i-1', at), Arrival('c-2', 'i-2', at)]
            found = find_arrivals_after_removal(arrivals, removed_at, FaultKind.WATCH_CUTS)
            self.assertEqual(count, len(found), str(at))

    def test_a_box_beyond_its_memory_limit_is_found(self) -> None:
        memory = BoxMemory()
        memory.most = {0: 290_000_000, 1: 310_000_000}
        self.assertEqual(1, len(memory.find_large_boxes()))

    def test_a_service_whose_replicas_all_send_without_end_is_disturbed(self) -> None:
        steps = [step(FaultKind.ENDLESS, 3 * place) for place in range(REPLICAS_PER_SERVICE)]
        self.assertTrue(has_disturbed_service(steps, 2.0, 4.0))
        self.assertFalse(has_disturbed_service(steps[1:], 2.0, 4.0))
