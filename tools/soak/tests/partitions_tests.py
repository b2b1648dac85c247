"""Test which partitions count as badly served."""

from __future__ import annotations

import testtools

from tools.soak.partitions import BoxPeriod, find_unserved_callers
from tools.soak.records import RequestKind, RequestRecord
from tools.soak.schedule import FaultKind, LinkMode, Step

PERIOD = BoxPeriod(0, 10.0, 20.0)


def record(box: int, started_at: float, status: int) -> RequestRecord:
    """Return a request that was answered at once."""
    return RequestRecord(
        'c', RequestKind.SAFE, box, 1, started_at, started_at, status, True, True, b'', ()
    )


class UnservedCallers(testtools.TestCase):
    def find(
        self,
        cut: list[int],
        others: list[int],
        *,
        at: float = 14.0,
        disturbed: bool = False,
        boxes: int = 2,
    ) -> list[str]:
        """Return the problems of some statuses at a partitioned box and at another one."""
        records = [record(0, at, status) for status in cut]
        records += [record(1, at, status) for status in others]
        faults = [BoxPeriod(0, 9.0, 12.0)] if disturbed else []
        return find_unserved_callers(records, [PERIOD], faults, [], boxes)

    def test_a_box_that_refuses_what_others_serve_is_a_problem(self) -> None:
        self.assertEqual(1, len(self.find([503] * 20 + [200] * 20, [200] * 40)))

    def test_a_box_that_serves_two_thirds_as_often_is_none(self) -> None:
        self.assertEqual([], self.find([503] * 13 + [200] * 27, [200] * 40))
        self.assertEqual([], self.find([503] * 20 + [200] * 20, [503] * 10 + [200] * 30))

    def test_few_failures_and_the_first_seconds_do_not_count(self) -> None:
        self.assertEqual([], self.find([503] * 10, [200] * 40))
        self.assertEqual([], self.find([503] * 40, [200] * 40, at=12.9))

    def test_another_fault_around_a_request_excuses_it(self) -> None:
        step = Step(10.0, FaultKind.REPLICA_LIMITS, 0, 2.0, LinkMode.PASS)
        records = [record(0, 14.0, 503)] * 40 + [record(1, 14.0, 200)] * 40
        self.assertEqual([], find_unserved_callers(records, [PERIOD], [], [step], 2))
        partition = step._replace(kind=FaultKind.BOX_PARTITION)
        self.assertEqual(1, len(find_unserved_callers(records, [PERIOD], [], [partition], 2)))

    def test_a_time_in_which_no_box_reaches_replicas_does_not_count(self) -> None:
        self.assertEqual([], self.find([503] * 40, [200] * 40, boxes=1))

    def test_a_box_that_was_stopped_meanwhile_does_not_count(self) -> None:
        self.assertEqual([], self.find([503] * 40, [200] * 40, disturbed=True))
