"""Decide at the door whether a job can be made in time, and when it should come back."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.scheduling.stages import TYPICAL_FILL_RATIO

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.stages import StageQueue

FIRST_TOKEN_LATENCY_S = 0.1
"""What an engine takes from the end of the prompt to the first event, and the way there."""

MIN_RETRY_AFTER_S = 0.4
MAX_RETRY_SHARE = 0.3
"""When a refused caller should come back: after what is missing, within this share of its time
left; the users' clients wait at most a third of it."""

RETRY_JITTER_SHARE = 0.5
"""By how much of the wait returns are spread."""

CRC32_RANGE = 2**32
MIN_PIECES_PER_S = 0.1
"""Pieces a second that a stage is taken to make at least, where all its replicas are gone."""

BIAS_SMOOTHING = 0.05
MIN_BIAS, MAX_BIAS = 0.6, 2.0
"""How the estimate follows what is measured, and how far."""


class AdmissionDecision(NamedTuple):
    """Hold whether a job is let in, what it is expected to take, and when to come back."""

    admitted: bool
    expected_s: float
    retry_after_s: float = 0.0


class Admission:
    """Estimate what jobs take from the work that goes before them."""

    def __init__(self) -> None:
        self.bias = 1.0

    def decide(
        self,
        job: Job,
        others: Iterable[Job],
        queues: Mapping[str, StageQueue],
        engine_s: float,
        now: float,
    ) -> AdmissionDecision:
        """Say whether a job is let in: if it can be made before its deadline, late or not.

        Those that will be late give way to those in time, so that they cost these little. To turn
        away what is expected to be late by a quarter loses 0.02 to 0.03 of the mean worth of days
        with faults where stages are scarce, since most of those who come back are late.
        """
        stages_duration_s = self.stages_duration_s(job, others, queues, now)
        expected_s = stages_duration_s * self.bias + engine_s + FIRST_TOKEN_LATENCY_S
        job.expected_stages_s = stages_duration_s
        left_s = job.deadline_at - now
        if job.resumed or not job.place.phases or expected_s <= left_s:
            return AdmissionDecision(True, expected_s)
        return AdmissionDecision(
            False, expected_s, self.retry_after_s(job, expected_s - left_s, now)
        )

    def backlog_wait_s(
        self, job: Job, others: Iterable[Job], queues: Mapping[str, StageQueue], now: float
    ) -> float:
        """Return in how many seconds what waits before a job will have been made."""
        ahead = backlog(job, others, now)
        services = {phase.service for phase in job.place.phases} & queues.keys() & ahead.keys()
        waits = [
            ahead[name] / max(MIN_PIECES_PER_S, queues[name].pieces_per_s()) for name in services
        ]
        return max(waits, default=0.0)

    def retry_after_s(self, job: Job, wait_s: float, now: float) -> float:
        """Return when a refused caller should come back: when there is room, each a little apart.

        Callers that were refused together would come back as one burst, and be refused again.
        """
        max_wait_s = max(MIN_RETRY_AFTER_S, MAX_RETRY_SHARE * (job.deadline_at - now))
        jitter = zlib.crc32(job.id.encode()) / CRC32_RANGE
        return min(max_wait_s, max(MIN_RETRY_AFTER_S, wait_s) * (1 + RETRY_JITTER_SHARE * jitter))

    def stages_duration_s(
        self, job: Job, others: Iterable[Job], queues: Mapping[str, StageQueue], now: float
    ) -> float:
        """Return what a job's stages take: the longest chain, behind the slowest backlog."""
        ahead = backlog(job, others, now)
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
        """Correct the estimate by what a job's stages have taken."""
        if job.expected_stages_s > 0:
            self.bias += BIAS_SMOOTHING * (took_s / job.expected_stages_s - self.bias)
            self.set_bias(self.bias)

    def set_bias(self, bias: float) -> None:
        """Go by a correction within its bounds."""
        self.bias = min(MAX_BIAS, max(MIN_BIAS, bias))


def backlog(job: Job, others: Iterable[Job], now: float) -> dict[str, int]:
    """Return the pieces by service that go before a job's and are in no call yet.

    Jobs that are late give way to those in time. Were they counted, new jobs would be turned away
    for the sake of late ones, and a backlog would keep itself alive long after its cause.
    """
    pieces_by_service: dict[str, int] = {}
    for other in others:
        if other is job or other.placed_on is not None or outranks(job, other):
            continue
        if other.is_late(now):
            continue
        for number, phase in enumerate(other.place.phases):
            pieces = other.undispatched[number]
            if pieces:
                pieces_by_service[phase.service] = pieces_by_service.get(phase.service, 0) + pieces
    return pieces_by_service


def outranks(job: Job, other: Job) -> bool:
    """Tell whether a new job's pieces go before those of another."""
    if other.resumed or job.is_over_allowance:
        return (
            not other.resumed
            and other.is_over_allowance
            and job.effective_priority < other.effective_priority
        )
    return other.is_over_allowance or job.effective_priority < other.effective_priority
