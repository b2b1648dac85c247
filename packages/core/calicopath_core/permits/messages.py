"""Define what a box asks of the one that lends permits; times are spans in seconds."""

from __future__ import annotations

import msgspec


class PermitRequest(msgspec.Struct, frozen=True, tag='pa'):
    """Ask for a permit to call one of some replicas, the best first.

    `number` is the asking box's own; a permit is waited for up to `wait_s`, `priority` 0 first.
    """

    number: int
    address: str
    replicas: tuple[str, ...]
    wait_s: float
    priority: int


class PermitAnswer(msgspec.Struct, frozen=True, tag='pe'):
    """Lend a permit for one replica, or none: then one may come in `opens_in_s`."""

    number: int
    replica: str
    available_in_s: float = msgspec.field(name='opens_in_s')


PERMIT_MESSAGES = (PermitRequest, PermitAnswer)
