"""Define the messages between boxes and the permit issuer; times are durations in seconds."""

from __future__ import annotations

import msgspec


class PermitRequest(msgspec.Struct, frozen=True, tag='pa'):
    """Request a permit to call one of some replicas, best first.

    `number` identifies the request at its box. It may wait up to `wait_s` for a permit; `priority`
    0 is served first.
    """

    number: int
    address: str
    replicas: tuple[str, ...]
    wait_s: float
    priority: int


class PermitAnswer(msgspec.Struct, frozen=True, tag='pe'):
    """Grant a permit for one replica, '' for none; then one may come in `available_in_s`."""

    number: int
    replica: str
    available_in_s: float = msgspec.field(name='opens_in_s')


PERMIT_MESSAGES = (PermitRequest, PermitAnswer)
