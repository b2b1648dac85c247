"""Test what is decided about a new job whose stages get more work than they can do."""

from __future__ import annotations

from typing import Any

import testtools

from calicopath_core.scheduling.arrivals import ArrivalRates
from calicopath_core.scheduling.overload import (
    MAX_RETURN_SHARE,
    MIN_RETURN_S,
    NewJob,
    OverloadAdmission,
    StageCapacity,
    Verdict,
)
from calicopath_core.scheduling.reservations import STEP_S, Reservation, Reservations
from calicopath_core.scheduling.tests.work import job as any_job
from calicopath_core.scheduling.tests.work import phase

CHAIN = (phase('look'), phase('rank', (0,), count=6))
STAGES = {'look': StageCapacity(100.0, 0.3), 'rank': StageCapacity(600.0, 0.3)}
NOW = 50.0


class Decision(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reservations = Reservations()
        self.arrivals = ArrivalRates()
        self.decisions = OverloadAdmission(reservations=self.reservations, arrivals=self.arrivals)
        self.observe(60.0)

    def observe(self, rate: float, priority: int = 1, for_s: float = 5.0) -> None:
        """Observe the arrival of jobs at a rate per second until now."""
        for number in range(round(rate * for_s)):
            place = any_job('x', *CHAIN, priority=priority).place
            self.arrivals.add(place, NOW - for_s + number / rate)

    def job(self, rank_ahead: int, **changes: Any) -> NewJob:
        """Return a job that may wait for 1 s, behind some pieces of its second stage."""
        found = NewJob(
            id='j',
            content='content',
            priority=1,
            objective_s=2.0,
            deadline_s=9.0,
            phases=CHAIN,
            engine_s=0.4,
            ahead={'rank': rank_ahead},
            may_return=True,
        )
        return found._replace(**changes)

    def verdict(self, job: NewJob) -> Verdict:
        return self.decisions.decide(job, STAGES, NOW).verdict

    def test_a_job_that_fits_is_in_time(self) -> None:
        """Refusing a job that would be in time costs its caller half of the answer's worth."""
        self.assertEqual(Verdict.ADMIT, self.verdict(self.job(0)))
        self.assertEqual(Verdict.ADMIT, self.verdict(self.job(600)))

    def test_a_job_that_may_be_in_time_is_not_refused(self) -> None:
        """Estimates err; refusing a job that would be in time costs its caller half its worth."""
        self.assertEqual(Verdict.ADMIT, self.verdict(self.job(950)))
        self.assertEqual(0, self.reservations.count)

    def test_work_ahead_of_a_later_stage_is_done_meanwhile(self) -> None:
        """Adding the wait for every stage to the job's own time refused jobs that were in time."""
        alone = self.decisions.decide(self.job(0), STAGES, NOW)
        behind = self.decisions.decide(self.job(180), STAGES, NOW)
        self.assertEqual(1.0, alone.expected_s)
        self.assertEqual(alone.expected_s, behind.expected_s)

    def test_a_job_that_does_not_fit_returns_when_it_does(self) -> None:
        """A caller who is told a time at which it would be late again has lost its only retry."""
        decision = self.decisions.decide(self.job(980), STAGES, NOW)
        self.assertEqual(Verdict.RETURN, decision.verdict)
        self.assertGreaterEqual(decision.return_in_s, MIN_RETURN_S)
        self.assertLessEqual(decision.return_in_s, MAX_RETURN_SHARE * 9.0)
        ahead_then = 980 + 6 - (600.0 - 6 * 60.0) * decision.return_in_s
        self.assertLess(1.0 + ahead_then / 600.0 - 0.3, 2.0)
        self.assertEqual(1, self.reservations.count)

    def test_capacity_that_new_requests_need_is_not_reserved(self) -> None:
        """In a long overload, sending each caller away once lets all earn half of their worth."""
        self.observe(60.0)
        self.assertEqual(Verdict.LATE, self.verdict(self.job(980)))
        self.assertEqual(0, self.reservations.count)

    def test_after_a_cluster_a_job_does_not_wait_as_late(self) -> None:
        """Urgent jobs with little slack would yield to less urgent ones while nothing is scarce."""
        self.assertEqual(Verdict.ADMIT, self.verdict(self.job(1500)))

    def test_more_urgent_requests_take_capacity(self) -> None:
        """Capacity that urgent requests will use would be promised, and the promise broken."""
        self.observe(60.0, priority=0)
        self.assertEqual(Verdict.LATE, self.verdict(self.job(980)))

    def test_less_urgent_requests_take_none(self) -> None:
        """The requests that go behind a returning caller would keep it from being told a time."""
        self.observe(60.0, priority=2)
        self.assertEqual(Verdict.RETURN, self.verdict(self.job(980)))

    def test_promises_are_kept_when_later_jobs_are_judged(self) -> None:
        """New jobs would be admitted into the capacity of callers who are about to return."""
        for number in range(50):
            promise = Reservation(f'r{number}', NOW + 0.3, {'rank': 12})
            self.reservations.make(promise, NOW)
        self.assertNotEqual(Verdict.ADMIT, self.verdict(self.job(600)))

    def test_nobody_is_refused_once_the_free_capacity_is_promised(self) -> None:
        """Promising the same capacity to many makes all of them late when they return."""
        found = [self.verdict(self.job(980, id=f'j{number}')) for number in range(400)]
        self.assertEqual(Verdict.RETURN, found[0])
        self.assertEqual(Verdict.ADMIT, found[-1])
        promised = sum(self.reservations.pieces.get(('rank', step), 0) for step in range(400))
        self.assertLess(promised, (600.0 - 360.0) * 0.3 * 9.0)

    def test_callers_do_not_return_all_at_once(self) -> None:
        """A burst of returning callers would make each other late."""
        for number in range(60):
            job = self.job(980, id=f'j{number}')
            self.decisions.decide(job, STAGES, NOW)
        per_step = [
            count for (name, _), count in self.reservations.pieces.items() if name == 'rank'
        ]
        self.assertGreater(len(per_step), 1)
        self.assertLessEqual(max(per_step), (600.0 - 6 * 57.0) * STEP_S)

    def test_a_refusal_must_help_somebody(self) -> None:
        """Without other requests, refusing a late job only costs its caller."""
        self.decisions.arrivals = ArrivalRates()
        self.assertEqual(Verdict.ADMIT, self.verdict(self.job(980)))

    def test_a_job_that_must_not_be_refused_waits(self) -> None:
        """A refusal after the request may have run would break the promise that it has not."""
        self.assertEqual(Verdict.ADMIT, self.verdict(self.job(980, may_return=False)))

    def test_a_job_that_is_late_on_its_own_does_not_return(self) -> None:
        """It would be late again after its return."""
        self.assertEqual(Verdict.ADMIT, self.verdict(self.job(980, objective_s=0.9)))

    def test_a_caller_without_time_to_wait_does_not_return(self) -> None:
        """Callers wait for at most a third of the time that they have left."""
        self.assertEqual(Verdict.ADMIT, self.verdict(self.job(980, deadline_s=1.3)))

    def test_a_stage_without_replicas_promises_nothing(self) -> None:
        """A division by zero or a negative wait would admit or refuse everybody."""
        stages = {**STAGES, 'rank': StageCapacity(0.0, 0.3)}
        found = self.decisions.decide(self.job(10), stages, NOW)
        self.assertEqual(Verdict.LATE, found.verdict)
