"""Tell operators which replicas a box does not call, why, and since when."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from calicopath_core.fleet.notices import Bar

if TYPE_CHECKING:
    from calicopath_core.fleet.replicas import Replica
    from calicopathd.gateway.box import GatewayBox

STORE = 'store'


class BarredReplica(msgspec.Struct, frozen=True):
    """Say why a box does not call a replica.

    `since` and `until` are in seconds since 1970, 0 where the box does not know; `source` says who
    has told: the replica itself (`own`), another box, or the `store`.
    """

    replica: str
    service: str
    bar: str
    source: str
    since: float
    until: float


def barred_replicas(box: GatewayBox) -> list[BarredReplica]:
    """Return the replicas that a box knows and does not call, by service and name."""
    found = []
    for replica in box.replicas.replicas.values():
        bar = box.gate.bar_of(replica)
        if bar is not None:
            found.append(describe(box, replica, bar))
    return sorted(found, key=lambda item: (item.service, item.replica))


def describe(box: GatewayBox, replica: Replica, bar: Bar) -> BarredReplica:
    """Return why a replica is not called, with what is known of that."""
    since_1970 = box.clock.wall() - box.clock.monotonic()
    since = until = 0.0
    source = STORE
    if bar is Bar.LEAVING:
        word = box.leaving_replicas.words[replica.id]
        since, source = word.at + since_1970, word.source
    elif bar is Bar.BACKOFF:
        backoff = box.gate.backoffs.held[replica.id]
        since, until = backoff.since + since_1970, backoff.until + since_1970
        source = 'own'
    return BarredReplica(replica.id, replica.service, bar.value, source, since, until)
