"""Admit or refuse jobs by their expected duration, and say when a refused caller should retry."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.scheduling.stages import TYPICAL_FILL_RATIO

if TYPE_CHECKING:
    from collections.abc import Mapping

    from calicopath_core.scheduling.backlog import Backlog, JobClass
    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.stages import StageQueue

FIRST_TOKEN_LATENCY_S = 0.1
"""Time from the end of an engine's prompt processing to the arrival of the first event."""

MIN_RETRY_AFTER_S = 0.4
MAX_RETRY_SHARE = 0.3
"""Maximum retry delay of a refused caller, as a share of its time left; the users' clients wait at
most a third of it."""

RETRY_JITTER_SHARE = 0.5
"""Jitter added to the retry delay, as a share of it."""

CRC32_RANGE = 2**32
MIN_PIECES_PER_S = 0.1
"""Minimum rate assumed for a stage whose replicas are all gone."""

BIAS_SMOOTHING = 0.05
MIN_BIAS, MAX_BIAS = 0.6, 2.0
"""Weight of the newest observation in the estimate's correction factor, and the bounds of the
factor."""


class AdmissionDecision(NamedTuple):
    """Hold whether a job is admitted, its expected duration, and the retry delay if refused."""

    admitted: bool
    expected_s: float
    retry_after_s: float = 0.0


class Admission:
    """Estimate how long jobs take from the work queued ahead of them.

    `bias` is the factor that corrects the estimated duration of the stages.
    """

    def __init__(self) -> None:
        self.bias = 1.0

    def decide(
        self,
        job: Job,
        backlog: Backlog,
        queues: Mapping[str, StageQueue],
        engine_s: float,
        now: float,
    ) -> AdmissionDecision:
        """Admit a job if it can finish before its deadline, even if it misses its objective.

        Jobs that will miss their objective give way to those that will meet it, so admitting them
        costs the latter little. Refusing jobs expected to be late by a quarter loses 0.02 to 0.03
        of the mean worth of days with faults where stages are scarce, since most of the callers
        that retry are late.
        """
        stages_duration_s = self.stages_duration_s(job, backlog, queues, now)
        expected_s = stages_duration_s * self.bias + engine_s + FIRST_TOKEN_LATENCY_S
        job.expected_stages_s = stages_duration_s
        left_s = job.deadline_at - now
        if job.resumed or not job.place.phases or expected_s <= left_s:
            return AdmissionDecision(True, expected_s)
        return AdmissionDecision(
            False, expected_s, self.retry_after_s(job, expected_s - left_s, now)
        )

    def backlog_wait_s(
        self, job: Job, backlog: Backlog, queues: Mapping[str, StageQueue], now: float
    ) -> float:
        """Return the seconds until the work queued ahead of a job will be done."""
        ahead = backlog.pieces_ahead(job, now)
        services = {phase.service for phase in job.place.phases} & queues.keys() & ahead.keys()
        waits = [
            ahead[name] / max(MIN_PIECES_PER_S, queues[name].pieces_per_s()) for name in services
        ]
        return max(waits, default=0.0)

    def retry_after_s(self, job: Job, wait_s: float, now: float) -> float:
        """Return the retry delay of a refused caller: the wait for capacity plus jitter.

        Callers refused together would otherwise return as one burst and be refused again.
        """
        max_wait_s = max(MIN_RETRY_AFTER_S, MAX_RETRY_SHARE * (job.deadline_at - now))
        jitter = zlib.crc32(job.id.encode()) / CRC32_RANGE
        return min(max_wait_s, max(MIN_RETRY_AFTER_S, wait_s) * (1 + RETRY_JITTER_SHARE * jitter))

    def stages_duration_s(
        self, job: Job, backlog: Backlog, queues: Mapping[str, StageQueue], now: float
    ) -> float:
        """Return how long a job's stages take: the longest chain behind the slowest backlog."""
        ahead = backlog.pieces_ahead(job, now)
        waits = [0.0]
        done_at: dict[int, float] = {}
        for number, phase in enumerate(job.place.phases):
            queue = queues.get(phase.service)
            begin_s = max((done_at[need] for need in phase.needs), default=0.0)
            if queue is not None:
                begin_s = max(begin_s, queue.opens_in_s())
            if queue is None or phase.pieces == 0:
                done_at[number] = begin_s
                continue
            pieces = max(phase.pieces, round(queue.spec.batch * TYPICAL_FILL_RATIO))
            done_at[number] = begin_s + queue.expected_call_s(min(pieces, queue.spec.batch))
            waits.append(
                (ahead.get(phase.service, 0) + phase.pieces)
                / max(MIN_PIECES_PER_S, queue.pieces_per_s())
            )
        return max(done_at.values(), default=0.0) + max(waits)

    def learn(self, job: Job, took_s: float) -> None:
        """Correct the bias by the time that a job's stages took."""
        if job.expected_stages_s > 0:
            self.bias += BIAS_SMOOTHING * (took_s / job.expected_stages_s - self.bias)
            self.set_bias(self.bias)

    def set_bias(self, bias: float) -> None:
        """Set the bias within its bounds."""
        self.bias = min(MAX_BIAS, max(MIN_BIAS, bias))


def outranks(job: Job, other: Job | JobClass) -> bool:
    """Tell whether a new job's pieces go before those of another job, or of a class of jobs."""
    if other.resumed or job.is_over_allowance:
        return (
            not other.resumed
            and other.is_over_allowance
            and job.effective_priority < other.effective_priority
        )
    return other.is_over_allowance or job.effective_priority < other.effective_priority
