"""Test the reports of workspaces over their share, and the shares in a replayed flood."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools

from calicopath_core.scheduling.fairness import LEARNING_PERIOD_S, Allowances
from calicopath_core.scheduling.shares import QUIET_S, ShareMonitor, WorkspaceShare
from testkit.replay.fleet import contended_fleet
from testkit.replay.plain import OURS, VARIANTS
from testkit.replay.watching import CountingObserver
from testkit.replay.world import replay

if TYPE_CHECKING:
    from calicopath_core.scheduling.shares import UsualRate

COST_S = 0.1
LARGEST = 'workspace-0'


class RecordingObserver(CountingObserver):
    """Record what is reported of shares."""

    def __init__(self) -> None:
        super().__init__()
        self.charged: list[bool] = []
        self.exceeded: list[tuple[str, WorkspaceShare]] = []
        self.kept: list[tuple[str, float, int]] = []

    def on_charged(self, is_over: bool) -> None:
        """Record a charge."""
        self.charged.append(is_over)

    def on_over_share(self, workspace: str, share: WorkspaceShare) -> None:
        """Record the start of a period over the share."""
        self.exceeded.append((workspace, share))

    def on_within_share(self, workspace: str, lasted_s: float, requests: int) -> None:
        """Record the end of a period over the share."""
        self.kept.append((workspace, lasted_s, requests))


class Reports(testtools.TestCase):
    """A flood would otherwise write a line for each of its requests, or never report its end."""

    def setUp(self) -> None:
        super().setUp()
        self.observer = RecordingObserver()
        self.monitor = ShareMonitor(rule=Allowances(), observer=self.observer)
        self.now = 0.0
        self.send(LEARNING_PERIOD_S + 10, small=2, other=10)

    def send(self, for_s: float, **per_s: int) -> None:
        """Charge evenly spaced requests of workspaces."""
        for second in range(int(for_s)):
            for name, count in per_s.items():
                for number in range(count):
                    self.monitor.charge(name, COST_S, self.now + second + number / count)
            self.monitor.check(self.now + second + 1)
        self.now += for_s

    def test_a_flood_is_reported_once_with_its_use_and_its_share(self) -> None:
        self.send(10.0, small=20, other=10)
        (found,) = self.observer.exceeded
        self.assertEqual('small', found[0])
        self.assertGreater(found[1].used, found[1].allowed)
        self.assertEqual([], self.observer.kept)

    def test_its_end_is_reported_with_the_requests_beyond_the_share(self) -> None:
        self.send(10.0, small=20, other=10)
        self.send(QUIET_S + 2, other=10)
        ((name, lasted_s, requests),) = self.observer.kept
        self.assertEqual('small', name)
        self.assertGreater(lasted_s, 1.0)
        self.assertEqual(sum(self.observer.charged), requests)
        self.assertEqual({}, self.monitor.over)

    def test_usual_load_is_not_reported(self) -> None:
        self.send(10.0, small=2, other=10)
        self.assertEqual([], self.observer.exceeded)
        self.assertFalse(any(self.observer.charged))


class Failover(testtools.TestCase):
    """A new scheduler knows no past, so everybody could look like a flood to it."""

    def share_over(self, rates: tuple[UsualRate, ...]) -> float:
        """Return the share over allowance of a flood's requests at a new scheduler."""
        rule = Allowances()
        if rates:
            rule.restore(rates, 100.0)
        over = [
            rule.charge(name, COST_S, 100.0 + step * 0.05) and name == 'flood'
            for step in range(int(LEARNING_PERIOD_S / 0.05) - 1)
            for name in ('flood', 'other')
        ]
        return sum(over) / len(over)

    def test_a_successor_without_shares_treats_nobody_as_over_its_share(self) -> None:
        self.assertEqual(0.0, self.share_over(()))

    def test_a_successor_with_shares_recognises_the_flood_at_once(self) -> None:
        rule = Allowances()
        for step in range(400):
            rule.charge('other', COST_S, step * 0.05)
            if step % 10 == 0:
                rule.charge('flood', COST_S, step * 0.05)
        self.assertGreater(self.share_over(rule.usual_rates(20.0)), 0.2)


class Flood(testtools.TestCase):
    """One of 16 workspaces at 7.5 times its rate would make the requests of all others late."""

    def test_the_others_and_the_largest_earn_more_than_without_shares(self) -> None:
        plain = next(item for item in VARIANTS if item.name == 'no allowances')
        ours, before = (
            replay('clusters-flood', 1, variant, contended_fleet()) for variant in (OURS, plain)
        )
        self.assertGreater(ours.others['middle'], before.others['middle'])
        self.assertGreaterEqual(ours.others['urgent'], before.others['urgent'])
        self.assertGreater(ours.by_workspace[LARGEST], before.by_workspace[LARGEST])
        self.assertGreater(ours.worth, before.worth - 0.02)
