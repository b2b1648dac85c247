"""Record the capacity that is promised to callers who were refused and told when to return.

A reservation is made for one request, identified by its fingerprint, and used once. Reservations
live in the memory of the scheduler; a scheduler that steps down passes the open ones on.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

STEP_S = 0.2
"""Length of a step of the ledger: the fixed part of a stage call, so that the callers of one step
share calls."""

MAX_AHEAD_S = 6.0
"""How far ahead capacity is promised. Callers wait at most a third of the time they have left, and
a decision looks at every step."""

MAX_RESERVATIONS = 1024
"""Maximum number of open reservations of a scheduler. All of them are handed to its successor in
one message, at some 120 bytes each."""

RETENTION_S = 1.0
"""How long after its time a reservation expires. Callers return within some milliseconds of it,
plus their connection to another box; the capacity can't be promised again meanwhile."""

MAX_EARLY_S = 0.3
"""How long before its time a caller may use its reservation; a caller that returns much earlier
would find the capacity in use, and is treated as new."""


class OpenReservation(msgspec.Struct, frozen=True, array_like=True):
    """Pass a reservation on to the next scheduler; it becomes due in `due_in_s` seconds."""

    content: str
    due_in_s: float
    pieces: dict[str, int]


class Reservation(NamedTuple):
    """Hold pieces by service, promised to the request `content` at `due_at` (monotonic seconds)."""

    content: str
    due_at: float
    pieces: Mapping[str, int]

    @property
    def step(self) -> int:
        """Return the number of the step in which the reservation is due."""
        return int(self.due_at / STEP_S)


class Reservations:
    """Hold the open reservations, bounded by `MAX_RESERVATIONS` and `MAX_AHEAD_S`."""

    def __init__(self) -> None:
        self.by_content: dict[str, deque[Reservation]] = {}
        self.by_step: dict[int, list[Reservation]] = {}
        self.pieces: dict[tuple[str, int], int] = {}
        self.count = 0

    @property
    def is_full(self) -> bool:
        """Tell whether no further reservation can be made."""
        return self.count >= MAX_RESERVATIONS

    def make(self, reservation: Reservation, now: float) -> bool:
        """Record a reservation; return whether it is within the bounds."""
        ahead_s = reservation.due_at - now
        if self.is_full or not -RETENTION_S < ahead_s <= MAX_AHEAD_S:
            return False
        self.by_content.setdefault(reservation.content, deque()).append(reservation)
        self.by_step.setdefault(reservation.step, []).append(reservation)
        self.add_pieces(reservation, 1)
        self.count += 1
        return True

    def promised(self, service: str, step: int) -> int:
        """Return the pieces of a service that are promised in a step."""
        return self.pieces.get((service, step), 0)

    def claim(self, content: str, now: float) -> Reservation | None:
        """Use up the earliest reservation of a request that has come back, `None` if it has none.

        Two callers may send requests with the same fingerprint; each uses one reservation.
        """
        waiting = self.by_content.get(content)
        if not waiting or not -MAX_EARLY_S <= now - waiting[0].due_at <= RETENTION_S:
            return None
        reservation = waiting[0]
        self.drop(reservation)
        return reservation

    def expire(self, now: float) -> list[Reservation]:
        """Drop and return the reservations that nobody used within `RETENTION_S` of their time."""
        last_step = int((now - RETENTION_S) / STEP_S) - 1
        # Only steps with open reservations are kept, at most (MAX_AHEAD_S + RETENTION_S) / STEP_S.
        due = [step for step in self.by_step if step <= last_step]
        expired = [item for step in due for item in self.by_step[step]]
        for reservation in expired:
            self.drop(reservation)
        return expired

    def drop(self, reservation: Reservation) -> None:
        """Remove an open reservation."""
        waiting = self.by_content[reservation.content]
        waiting.remove(reservation)
        if not waiting:
            del self.by_content[reservation.content]
        same_step = self.by_step[reservation.step]
        same_step.remove(reservation)
        if not same_step:
            del self.by_step[reservation.step]
        self.add_pieces(reservation, -1)
        self.count -= 1

    def add_pieces(self, reservation: Reservation, sign: int) -> None:
        """Add the pieces of a reservation to its step, or subtract them."""
        for service, count in reservation.pieces.items():
            key = (service, reservation.step)
            pieces = self.pieces.get(key, 0) + sign * count
            if pieces > 0:
                self.pieces[key] = pieces
            else:
                self.pieces.pop(key, None)

    def snapshot(self, now: float) -> tuple[OpenReservation, ...]:
        """Return the open reservations with durations, because the clocks of boxes differ."""
        return tuple(
            OpenReservation(item.content, item.due_at - now, dict(item.pieces))
            for waiting in self.by_content.values()
            for item in waiting
        )

    def pop_all(self, now: float) -> tuple[OpenReservation, ...]:
        """Remove and return the open reservations, for the next scheduler."""
        found = self.snapshot(now)
        self.by_content.clear()
        self.by_step.clear()
        self.pieces.clear()
        self.count = 0
        return found

    def restore(self, items: Iterable[OpenReservation], now: float) -> None:
        """Add the reservations of another scheduler, as far as they are within the bounds."""
        for item in items:
            self.make(Reservation(item.content, now + item.due_in_s, item.pieces), now)
