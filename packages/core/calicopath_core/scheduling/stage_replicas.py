"""Track one stage replica: calls in progress, space for results, failures and slowness."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.pace import RECENT_TTL_S, PaceEstimates

if TYPE_CHECKING:
    from calicopath_core.fleet.deployment import StageSpec
    from calicopath_core.fleet.replicas import Replica

USABLE_SPACE_RATIO = 0.95
"""Share of a replica's space that is used: result sizes are only estimates."""

OTHER_BOOKING_S = 1.5
"""How long space booked by other schedulers is assumed to be taken: results of a crashed scheduler
expire within 4 s, those of one that leaves are freed within two calls."""

SLOW_FACTOR = 1.8
"""Ratio of actual to expected duration above which a replica is slow, and is used only when the
others can't keep up: at 2, waiting for another replica's call to end is as fast."""

OVERDUE_FACTOR = 1.3
"""Ratio of elapsed to expected time above which the end of a call is no longer waited for."""

SLOWNESS_EXPIRY_S = RECENT_TTL_S
"""How long after its last call a replica counts as slow; then it is tried again."""


class Booking(NamedTuple):
    """Hold the space of one result until it is freed, or expires at `until` (monotonic seconds)."""

    size: int
    until: float


class StageReplica:
    """Hold this scheduler's state of one replica; times are monotonic seconds.

    `reserved_bytes` is the space for results of calls in progress, `booked_bytes` that of this
    scheduler's results, and `other_bytes` that booked by other schedulers.
    """

    def __init__(self, *, replica: Replica, pace: PaceEstimates | None = None) -> None:
        self.replica = replica
        self.pace = pace or PaceEstimates()
        self.open_calls = 0
        self.bookings: dict[str, Booking] = {}
        self.booked_bytes = 0
        self.reserved_bytes = 0
        self.consecutive_failures = 0
        self.consecutive_declines = 0
        self.unavailable_until = 0.0
        self.no_space_until = 0.0
        self.other_bytes = 0.0
        self.other_until = 0.0
        self.free_at = 0.0
        self.due_at = 0.0

    def record_duration(self, took_s: float, expected_s: float, now: float) -> None:
        """Update the pace from a call's actual duration and that of a replica of usual pace."""
        self.pace.on_observed(self.replica.id, took_s, expected_s, now)

    def busy_for_s(self, now: float) -> float:
        """Return the seconds until the call in progress should end; 0 without one."""
        return max(0.0, self.free_at - now) if self.open_calls else 0.0

    def is_overdue(self, now: float) -> bool:
        """Tell whether a call takes too long: the replica may be slow or gone."""
        return self.open_calls > 0 and now > self.due_at

    def is_ejected(self, now: float) -> bool:
        """Tell whether the replica gets no calls for a while, as its last ones have failed."""
        return self.consecutive_failures > 0 and now < self.unavailable_until

    def is_slow(self, now: float) -> bool:
        """Tell whether recent calls took, or work takes now, much longer than expected."""
        name = self.replica.id
        return max(self.pace.recent(name, now), self.pace.factor(name, now)) > SLOW_FACTOR

    def duration_s(self, work_s: float, now: float) -> float:
        """Return the expected duration of a call that takes `work_s` at a usual replica."""
        return self.pace.duration_s(self.replica.id, work_s, now)

    def free_result_bytes(self, spec: StageSpec, now: float) -> float:
        """Return the estimated free bytes for results; 0 for a while after there was no space."""
        if now < self.no_space_until:
            return 0.0
        other = self.other_bytes if now < self.other_until else 0.0
        return (
            spec.result_capacity_bytes * USABLE_SPACE_RATIO
            - self.booked_bytes
            - self.reserved_bytes
            - other
        )

    def update_free_bytes(self, free_bytes: float, spec: StageSpec, now: float) -> None:
        """Take over the free space that the replica reports, and attribute the rest to others."""
        own_bytes = self.booked_bytes + self.reserved_bytes
        self.other_bytes = max(0.0, spec.result_capacity_bytes - free_bytes - own_bytes)
        self.other_until = now + OTHER_BOOKING_S

    def free(self, handle: str) -> None:
        """Release the space of a result, and use a replica again that had no space."""
        booking = self.bookings.pop(handle, None)
        if booking is not None:
            self.booked_bytes -= booking.size
            self.no_space_until = 0.0

    def expire(self, now: float) -> None:
        """Release the space of results that have expired."""
        for handle, booking in list(self.bookings.items()):
            if booking.until <= now:
                self.free(handle)
