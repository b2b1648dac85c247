"""Test what a replay counts for requests that were refused first."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools

from testkit.replay.fleet import MIDDLE, fleet_of
from testkit.replay.load import PATTERNS, LoadGenerator
from testkit.replay.outcomes import Outcome, in_time_share

if TYPE_CHECKING:
    from testkit.replay.load import Arrival


class Worth(testtools.TestCase):
    def arrival(self) -> Arrival:
        generator = LoadGenerator(fleet=fleet_of(6), pattern=PATTERNS['steady'], seed=1)
        return generator.arrival(0.0, MIDDLE, 'w')

    def outcome(self, answered_s: float | None, retry_s: float | None = None) -> Outcome:
        refusals = int(retry_s is not None)
        return Outcome(self.arrival(), answered_s, refusals, retry_s)

    def test_without_a_refusal_the_first_attempt_counts(self) -> None:
        """A request that is late must not count as in time."""
        found = [self.outcome(item).worth for item in (MIDDLE.objective_s, 5.0, None)]
        self.assertEqual([MIDDLE.worth, MIDDLE.late_worth, 0.0], found)

    def test_after_an_early_refusal_the_retry_counts_for_the_mean(self) -> None:
        """Counted from the first attempt, a caller who was told to return is late or gets full."""
        half = (MIDDLE.worth + MIDDLE.late_worth) / 2
        self.assertEqual(half, self.outcome(MIDDLE.objective_s + 1.5, MIDDLE.objective_s).worth)
        self.assertEqual(half, self.outcome(2.0, 1.0).worth)
        self.assertEqual(MIDDLE.late_worth, self.outcome(5.0, MIDDLE.objective_s + 0.1).worth)

    def test_the_share_in_time_counts_retries_by_their_own_time(self) -> None:
        """The share in time would show a promise that was kept as broken."""
        found = [self.outcome(5.0, 1.0), self.outcome(5.0), self.outcome(1.0), self.outcome(None)]
        self.assertEqual(0.5, in_time_share(found))
