"""Decide which statuses are answers (RFC 9110, section 15)."""

from __future__ import annotations

import enum

FIRST_INTERIM_STATUS = 100
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
LAST_FINAL_STATUS = 599


class StatusKind(enum.Enum):
    """Name what a status says: the answer comes later, this is it, or neither."""

    INTERIM = 'interim'
    FINAL = 'final'
    INVALID = 'invalid'


def status_kind(status: int) -> StatusKind:
    """Return the kind of a status; no call asks to switch protocols."""
    if FIRST_FINAL_STATUS <= status <= LAST_FINAL_STATUS:
        return StatusKind.FINAL
    if FIRST_INTERIM_STATUS <= status < FIRST_FINAL_STATUS and status != SWITCHING_PROTOCOLS:
        return StatusKind.INTERIM
    return StatusKind.INVALID
