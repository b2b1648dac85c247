"""Test the allowances of workspaces, alone and in a replayed flood."""

from __future__ import annotations

import testtools

from calicopath_core.scheduling.admission import outranks
from calicopath_core.scheduling.fairness import LEARNING_PERIOD_S, USUAL_WINDOW_S, Allowances
from calicopath_core.scheduling.pacing import Pacing
from calicopath_core.scheduling.tests.work import held_by, job, phase, queue, replica, result
from calicopath_core.scheduling.waiting import rank
from testkit.replay.fleet import fleet_of
from testkit.replay.load import FLOODING_WORKSPACE
from testkit.replay.plain import OURS, VARIANTS
from testkit.replay.world import replay

COST_S = 0.1
STEP_S = 0.05


class Allowance(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.allowances = Allowances()
        self.now = 0.0

    def charge_rates(self, for_s: float, **rates: float) -> dict[str, float]:
        """Charge requests at rates per second; return each workspace's share over allowance."""
        asked = dict.fromkeys(rates, 0)
        over = dict.fromkeys(rates, 0)
        due = dict.fromkeys(rates, 0.0)
        until = self.now + for_s
        while self.now < until:
            self.now += STEP_S
            for name, rate in rates.items():
                due[name] += rate * STEP_S
                while due[name] >= 1:
                    due[name] -= 1
                    asked[name] += 1
                    over[name] += self.allowances.charge(name, COST_S, self.now)
        return {name: over[name] / max(1, asked[name]) for name in rates}

    def test_a_flood_is_beyond_and_what_others_ask_is_not(self) -> None:
        self.charge_rates(20.0, large=10.0, small=2.0, other=5.0)
        found = self.charge_rates(10.0, large=10.0, small=15.0, other=5.0)
        self.assertGreater(found['small'], 0.5)
        self.assertEqual((0.0, 0.0), (found['large'], found['other']))

    def test_a_large_workspace_is_no_flood(self) -> None:
        found = self.charge_rates(30.0, large=40.0, small=1.0, other=2.0)
        self.assertEqual(0.0, max(found.values()))

    def test_a_burst_of_everybody_floods_nobody(self) -> None:
        self.charge_rates(20.0, large=10.0, small=2.0, other=5.0)
        found = self.charge_rates(6.0, large=25.0, small=5.0, other=12.5)
        self.assertEqual(0.0, max(found.values()))

    def test_a_workspace_that_has_grown_for_good_is_served_like_others(self) -> None:
        self.charge_rates(20.0, grown=2.0, other=10.0)
        self.charge_rates(5 * USUAL_WINDOW_S, grown=8.0, other=10.0)
        self.assertEqual(0.0, self.charge_rates(10.0, grown=8.0, other=10.0)['grown'])

    def test_nothing_is_beyond_while_the_past_is_not_known(self) -> None:
        found = self.charge_rates(LEARNING_PERIOD_S - 1, one=20.0, other=1.0)
        self.assertEqual(0.0, max(found.values()))

    def test_the_next_scheduler_goes_by_what_was_usual(self) -> None:
        self.charge_rates(20.0, small=2.0, other=10.0)
        taken = self.allowances.usual_rates(self.now)
        self.allowances = Allowances()
        self.allowances.restore(taken, self.now)
        found = self.charge_rates(6.0, small=15.0, other=10.0)
        self.assertGreater(found['small'], 0.5)
        self.assertEqual(0.0, found['other'])


class Place(testtools.TestCase):
    def test_it_goes_after_what_is_allowed_and_before_what_is_late(self) -> None:
        jobs = {
            'allowed': job('allowed', phase(), priority=2),
            'beyond': job('beyond', phase(), priority=0, objective_s=1.0, is_over_allowance=True),
            'late': job('late', phase(), priority=0, objective_s=-1.0),
        }
        ranked = sorted(jobs, key=lambda name: rank(jobs[name].pieces[0][0], 0.0))
        self.assertEqual(['allowed', 'beyond', 'late'], ranked)

    def test_it_does_not_delay_the_admission_of_allowed_jobs(self) -> None:
        allowed = job('allowed', phase(), priority=2)
        over = job('beyond', phase(), priority=0, is_over_allowance=True)
        self.assertTrue(outranks(allowed, over))
        self.assertFalse(outranks(over, allowed))

    def test_its_begun_work_holds_nobody_else_back(self) -> None:
        queues = {'look': queue(replica('r')), 'rank': queue(replica('s'))}
        chain = (phase('look'), phase('rank', (0,), count=4))
        begun = [job(f'begun-{number}', *chain, is_over_allowance=True) for number in range(8)]
        for item in begun:
            item.results[0][0] = result('h')
        fresh = [job('allowed', *chain), job('beyond', *chain, is_over_allowance=True)]
        self.assertEqual({'beyond'}, held_by(Pacing(), [*begun, *fresh], queues))


class Flood(testtools.TestCase):
    def test_others_keep_more_of_what_they_ask_and_the_flooder_gets_what_is_left(self) -> None:
        plain = next(item for item in VARIANTS if item.name == 'no allowances')
        fleet = fleet_of(60)
        ours, before = (replay('flood', 1, variant, fleet) for variant in (OURS, plain))
        self.assertGreater(ours.others['patient'], before.others['patient'] + 0.08)
        self.assertGreater(ours.others['urgent'], before.others['urgent'] - 0.01)
        self.assertGreater(ours.by_workspace[FLOODING_WORKSPACE], 0.8)
        self.assertGreater(ours.worth, before.worth - 0.02)
