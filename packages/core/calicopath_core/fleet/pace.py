"""Estimate how fast each replica works now, relative to its service.

The estimate responds to two load patterns: machines that are slower than others of their service
for good, and machines shared with other work, on which everything takes longer for some hundred
milliseconds. It combines what replicas report with how long observed work took.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

REPORT_TTL_S = 0.6
"""Time over which the weight of a report falls to 0. Slow moments last about 600 ms, so a report
that is `age` old still holds with a probability of `1 - age / 600 ms`."""

MIN_PACE, MAX_PACE = 1 / 4, 4.0
"""Range of each part of the estimate. A replica that reports a wrong pace, or whose observations
mislead, can attract or lose work by no more than this factor."""

USUAL_REPORT_STEP = 0.005
"""Relative step by which the usual report follows the reports, so that it becomes their median. A
slow moment of 600 ms with 50 reports a second moves it by less than 0.17."""

PRIOR_SAMPLES = 5.0
"""Weight of the prior factor of 1.0, in observations."""

MAX_SAMPLE_RATIO = 1.5
"""Observations are capped at this multiple of the present estimate, and at its inverse. With the
prior, one outlier then stays within the dead band and decides nothing."""

MAX_SAMPLE_WEIGHT = 2.0
"""Longer work counts more because delays that do not depend on its length matter less, but no
observation counts more than this multiple of the mean, so that none decides alone."""

SAMPLE_WEIGHT = 0.98
"""Factor on the weight of earlier observations for each new one: about 50 count."""

EVIDENCE_TTL_S = 30.0
"""Time constant with which observations lose weight. A replica that gets no work because it was
slow is then tried again."""

DEAD_BAND = 0.1
"""Lasting deviations up to this are taken for noise. Replicas that are as fast as configured are
then chosen exactly as without the estimate."""

SLOW_FROM, RECOVERED_BELOW = 1.2, 1.1
"""Lasting factors at which a replica is reported as slow, and as recovered."""

MIN_SAMPLES_TO_REPORT = 10.0
"""Weight of observations needed to report a replica as slow."""

RECENT_WEIGHT = 0.5
RECENT_TTL_S = 3.0
"""Weight of the newest observation in the recent factor, and how long after the last one that
factor holds; then the replica is tried again."""

STEADY_TTL_S = 1.0
"""How long the lasting factor is kept without an observation. It is needed for each engine at each
placement, and fades far more slowly."""

MIN_EXPECTED_S, MAX_EXPECTED_S = 1e-6, 3600.0
MAX_RATIO = 100.0
"""Observations with an expected duration out of this range are ignored, and larger ratios are cut,
so that no sum overflows."""

MAX_REPLICAS = 16_384
"""Most replicas with an estimate. The design size is 12,000 replicas."""


class PaceObserver(ABC):
    """Receive the changes of replicas' lasting speed, for logs and metrics."""

    @abstractmethod
    def on_replica_slow(self, replica_id: str, factor: float) -> None:
        """Record a replica whose work lastingly takes `factor` times as long as expected."""

    @abstractmethod
    def on_replica_recovered(self, replica_id: str, slow_for_s: float) -> None:
        """Record that a replica reported as slow is as fast as the others again."""


class NoPaceObserver(PaceObserver):
    """Ignore all changes."""

    def on_replica_slow(self, replica_id: str, factor: float) -> None:
        """Ignore the change."""

    def on_replica_recovered(self, replica_id: str, slow_for_s: float) -> None:
        """Ignore the change."""


class ReplicaPace:
    """Hold the estimate of one replica; times are monotonic seconds.

    `took_s` and `expected_s` are sums of observed and of expected durations with fading weights,
    and `samples` is the sum of the weights.
    """

    __slots__ = (
        'expected_s',
        'observed_at',
        'recent',
        'recent_at',
        'reported',
        'reported_at',
        'samples',
        'slow_since',
        'steady',
        'steady_until',
        'took_s',
        'usual_report',
    )

    def __init__(self) -> None:
        self.reported = 1.0
        self.reported_at = -math.inf
        self.usual_report = 1.0
        self.took_s = 0.0
        self.expected_s = 0.0
        self.samples = 0.0
        self.observed_at = 0.0
        self.recent = 1.0
        self.recent_at = -math.inf
        self.slow_since: float | None = None
        self.steady = 1.0
        self.steady_until = -math.inf

    def on_report(self, pace: float, now: float) -> None:
        """Record a reported pace, and let the usual report follow it."""
        self.reported, self.reported_at = pace, now
        step = 1 + USUAL_REPORT_STEP
        if pace > self.usual_report * step:
            self.usual_report = min(MAX_PACE, self.usual_report * step)
        elif pace < self.usual_report / step:
            self.usual_report = max(MIN_PACE, self.usual_report / step)

    def momentary(self, now: float) -> float:
        """Return the factor of the present moment, at least 1.0.

        Only a pace slower than usual counts. A replica that reports its usual pace is thus as
        attractive as one without a report, and does not draw all new work.
        """
        weight = 1 - max(0.0, now - self.reported_at) / REPORT_TTL_S
        if weight <= 0:
            return 1.0
        excess = min(MAX_PACE, self.reported / self.usual_report) - 1
        return 1 + max(0.0, excess) * weight

    def delay_s(self, work_s: float, now: float) -> float:
        """Return the seconds by which work that begins now is delayed by a reported slow moment.

        A moment that still holds ends on average after half the time that it may last. Longer work
        is not slowed down after that.
        """
        left_s = REPORT_TTL_S - max(0.0, now - self.reported_at)
        if left_s <= 0:
            return 0.0
        ratio = min(MAX_PACE, max(1.0, self.reported / self.usual_report))
        within_s = left_s / 2 * (1 - 1 / ratio)
        return left_s / REPORT_TTL_S * min(work_s * (ratio - 1), within_s)

    def fade(self, now: float) -> float:
        """Return the factor on the weight of observations for the time since the last one."""
        return math.exp(-max(0.0, now - self.observed_at) / EVIDENCE_TTL_S)

    def lasting(self, now: float) -> float:
        """Return the lasting factor from observations, without the dead band."""
        if not self.samples:
            return 1.0
        prior_s = PRIOR_SAMPLES * self.expected_s / self.samples
        fade = self.fade(now)
        factor = (prior_s + fade * self.took_s) / (prior_s + fade * self.expected_s)
        return min(MAX_PACE, max(MIN_PACE, factor))

    def steady_factor(self, now: float) -> float:
        """Return the lasting factor, 1.0 within the dead band."""
        if now >= self.steady_until:
            lasting = self.lasting(now)
            self.steady = 1.0 if abs(lasting - 1) <= DEAD_BAND else lasting
            self.steady_until = now + STEADY_TTL_S
        return self.steady

    def factor(self, now: float) -> float:
        """Return the lasting factor times that of the present moment."""
        steady = self.steady_factor(now)
        if now - self.reported_at >= REPORT_TTL_S:
            return steady
        return min(MAX_PACE, steady * self.momentary(now))

    def on_observed(self, took_s: float, expected_s: float, now: float) -> None:
        """Add an observation, of which the part due to the present moment is left out."""
        ratio = min(MAX_RATIO, took_s / expected_s)
        self.recent += RECENT_WEIGHT * (ratio - self.recent)
        self.recent_at = now
        lasting = self.lasting(now)
        adjusted = ratio / self.momentary(now)
        capped = min(lasting * MAX_SAMPLE_RATIO, max(lasting / MAX_SAMPLE_RATIO, adjusted))
        if self.samples:
            expected_s = min(expected_s, MAX_SAMPLE_WEIGHT * self.expected_s / self.samples)
        weight = SAMPLE_WEIGHT * self.fade(now)
        self.samples = self.samples * weight + 1
        self.took_s = self.took_s * weight + capped * expected_s
        self.expected_s = self.expected_s * weight + expected_s
        self.observed_at = now
        self.steady_until = -math.inf


class PaceEstimates:
    """Estimate the pace of replicas; times are monotonic seconds, 1.0 means as usual.

    The state of at most `MAX_REPLICAS` replicas is kept, and lost with this object: a new
    scheduler starts from 1.0 for all replicas.
    """

    def __init__(self, *, observer: PaceObserver | None = None) -> None:
        self.observer = observer or NoPaceObserver()
        self.paces: dict[str, ReplicaPace] = {}

    def on_report(self, replica_id: str, pace: float, now: float) -> None:
        """Record that work takes `pace` times as long as usual at a replica at this moment."""
        if not math.isfinite(pace) or pace <= 0:
            return
        item = self.pace_of(replica_id)
        if item is not None:
            item.on_report(pace, now)

    def on_observed(self, replica_id: str, took_s: float, expected_s: float, now: float) -> None:
        """Record that work took `took_s` where a replica of usual pace takes `expected_s`."""
        if not (0 <= took_s < math.inf and MIN_EXPECTED_S <= expected_s <= MAX_EXPECTED_S):
            return
        item = self.pace_of(replica_id)
        if item is not None:
            item.on_observed(took_s, expected_s, now)
            self.report_change(replica_id, item, now)

    def factor(self, replica_id: str, now: float) -> float:
        """Return the factor on the expected duration of new work at a replica."""
        item = self.paces.get(replica_id)
        return 1.0 if item is None else item.factor(now)

    def duration_s(self, replica_id: str, work_s: float, now: float) -> float:
        """Return the expected duration of new work that takes `work_s` at a usual replica.

        Unlike `factor`, it takes into account that slow moments end while long work runs.
        """
        item = self.paces.get(replica_id)
        if item is None:
            return work_s
        lasting_s = work_s * item.steady_factor(now)
        return lasting_s + item.delay_s(lasting_s, now)

    def lasting(self, replica_id: str, now: float) -> float:
        """Return the part of the factor that comes from observations, without the dead band."""
        item = self.paces.get(replica_id)
        return 1.0 if item is None else item.lasting(now)

    def momentary(self, replica_id: str, now: float) -> float:
        """Return the part of the factor that comes from reports, at least 1.0."""
        item = self.paces.get(replica_id)
        return 1.0 if item is None else item.momentary(now)

    def recent(self, replica_id: str, now: float) -> float:
        """Return the mean ratio of the last few observations, 1.0 once they have expired."""
        item = self.paces.get(replica_id)
        if item is None or now - item.recent_at >= RECENT_TTL_S:
            return 1.0
        return item.recent

    def keep_only(self, known: Container[str]) -> None:
        """Forget the replicas that are no longer known."""
        for replica_id in [name for name in self.paces if name not in known]:
            del self.paces[replica_id]

    def pace_of(self, replica_id: str) -> ReplicaPace | None:
        """Return a replica's estimate, created on first use, or `None` if there are too many."""
        item = self.paces.get(replica_id)
        if item is None and len(self.paces) < MAX_REPLICAS:
            item = self.paces[replica_id] = ReplicaPace()
        return item

    def report_change(self, replica_id: str, item: ReplicaPace, now: float) -> None:
        """Report a replica that has become lastingly slow, or has recovered."""
        lasting = item.lasting(now)
        if item.slow_since is None:
            if lasting >= SLOW_FROM and item.samples >= MIN_SAMPLES_TO_REPORT:
                item.slow_since = now
                self.observer.on_replica_slow(replica_id, lasting)
        elif lasting < RECOVERED_BELOW:
            slow_for_s = now - item.slow_since
            item.slow_since = None
            self.observer.on_replica_recovered(replica_id, slow_for_s)
