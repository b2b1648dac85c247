"""Hold what a scheduler knows of one stage replica: calls at work, room for results, failures."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from calicopath_core.fleet.deployment import StageSpec
    from calicopath_core.fleet.replicas import Replica

USABLE_ROOM_RATIO = 0.95
"""The part of a replica's room that is planned for: results are about the size that is stated."""

OTHER_BOOKING_S = 1.5
"""How long room that others have booked is believed to be taken: what a dead scheduler left lives
for 4 s at most, what one that leaves has made is freed within two calls."""

SLOWNESS_SMOOTHING = 0.5
SLOW_FACTOR = 1.8
"""A replica whose calls take this many times what is stated is only used when the others can't
keep up: waiting for another one's call to end and using that is as quick at twice the time."""

OVERDUE_FACTOR = 1.3
"""A call that takes this many times what is stated is not waited for any longer."""

SLOWNESS_EXPIRY_S = 3.0
"""How long a replica is thought slow without being tried."""


class Booking(NamedTuple):
    """Hold room for one result until it is freed or has run out, in monotonic seconds."""

    size: int
    until: float


class StageReplica:
    """Hold what this scheduler knows of one replica: calls at work, room, failures."""

    def __init__(self, *, replica: Replica) -> None:
        self.replica = replica
        self.open_calls = 0
        self.bookings: dict[str, Booking] = {}
        self.booked_bytes = 0
        self.reserved_bytes = 0
        self.consecutive_failures = 0
        self.consecutive_declines = 0
        self.unavailable_until = 0.0
        self.no_room_until = 0.0
        self.other_bytes = 0.0
        self.other_until = 0.0
        self.free_at = 0.0
        self.due_at = 0.0
        self.slowness = 1.0
        self.slowness_measured_at = 0.0

    def record_duration(self, took_s: float, expected_s: float, now: float) -> None:
        """Note how long a call took against what is stated."""
        self.slowness += SLOWNESS_SMOOTHING * (took_s / expected_s - self.slowness)
        self.slowness_measured_at = now

    def busy_for_s(self, now: float) -> float:
        """Return the seconds until the call at work should be done."""
        return max(0.0, self.free_at - now) if self.open_calls else 0.0

    def is_overdue(self, now: float) -> bool:
        """Tell whether a call takes longer than it should: the replica may be slow or gone."""
        return self.open_calls > 0 and now > self.due_at

    def is_slow(self, now: float) -> bool:
        """Tell whether calls take much longer here; after a while that is tried again."""
        return self.slowness > SLOW_FACTOR and now - self.slowness_measured_at < SLOWNESS_EXPIRY_S

    def room_left(self, spec: StageSpec, now: float) -> float:
        """Return the bytes free for results, as far as known; none after it said so itself."""
        if now < self.no_room_until:
            return 0.0
        other = self.other_bytes if now < self.other_until else 0.0
        return (
            spec.result_capacity_bytes * USABLE_ROOM_RATIO
            - self.booked_bytes
            - self.reserved_bytes
            - other
        )

    def update_free_bytes(self, free_bytes: float, spec: StageSpec, now: float) -> None:
        """Note the room that the replica tells of: what is missing, others have booked."""
        own_bytes = self.booked_bytes + self.reserved_bytes
        self.other_bytes = max(0.0, spec.result_capacity_bytes - free_bytes - own_bytes)
        self.other_until = now + OTHER_BOOKING_S

    def free(self, handle: str) -> None:
        """Give the room of a result back; a replica that had none for another may now have it."""
        booking = self.bookings.pop(handle, None)
        if booking is not None:
            self.booked_bytes -= booking.size
            self.no_room_until = 0.0

    def expire(self, now: float) -> None:
        """Give the room of results back that have run out."""
        for handle, booking in list(self.bookings.items()):
            if booking.until <= now:
                self.free(handle)
