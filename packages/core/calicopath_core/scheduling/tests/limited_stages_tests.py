"""Test that stage calls and throughput estimates respect the limits of replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools

from calicopath_core.permits.issuer import UnlimitedIssuer
from calicopath_core.scheduling.stages import MAX_BATCH_DELAY_S
from calicopath_core.scheduling.tests.work import job, phase, queue, replica, wait

if TYPE_CHECKING:
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.stages import StageQueue

LATER = MAX_BATCH_DELAY_S + 0.01


class OneLimited(UnlimitedIssuer):
    """Limit the replica `limited` to one call a second, the next in half a second."""

    def rate_of(self, replica: Replica) -> float | None:
        """Return the limit of `limited`, and `None` for other replicas."""
        return 1.0 if replica.id == 'limited' else None

    def available_in_s(self, replica: Replica) -> float:
        """Return the seconds until a replica may be called."""
        return 0.5 if replica.id == 'limited' else 0.0


class LimitedStages(testtools.TestCase):
    def stage(self, *names: str) -> StageQueue:
        """Return a stage whose replica `limited`, if it is among them, has a limit."""
        found = queue(*(replica(name) for name in names))
        found.permits = OneLimited()
        return found

    def test_a_replica_without_a_permit_gets_no_call(self) -> None:
        target = self.stage('limited')
        wait(target, job('one', phase(count=4)))
        self.assertIsNone(target.next_batch(LATER))

    def test_another_one_gets_it(self) -> None:
        target = self.stage('limited', 'other')
        wait(target, job('one', phase(count=4)))
        batch = target.next_batch(LATER)
        self.assertEqual('other', batch.target.replica.id if batch is not None else None)

    def test_what_is_expected_of_a_stage_goes_by_its_limits(self) -> None:
        free, limited = self.stage('other'), self.stage('limited')
        self.assertEqual(0.5, limited.opens_in_s())
        self.assertLess(limited.pieces_per_s(), free.pieces_per_s())
        self.assertEqual(1.0, limited.calls_per_s(limited.replicas.values(), 4))
