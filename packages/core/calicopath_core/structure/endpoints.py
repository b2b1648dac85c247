"""Describe the endpoints that answer stage calls."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from calicopath_core.structure.stages import StageKind


class EndpointState(enum.StrEnum):
    """Name the state that an operator has set for an endpoint."""

    ACTIVE = 'active'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class Endpoint(NamedTuple):
    """Describe one endpoint; `concurrency` is the number of calls it serves at once.

    `version` is that of its software; parts of one generation by two versions do not fit together.
    """

    name: str
    service: str
    kind: StageKind
    address: str
    failure_domain: str
    concurrency: int
    state: EndpointState = EndpointState.ACTIVE
    version: str = ''
