"""Report to operators which replicas a box excludes or rate-limits, and why."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from calicopath_core.fleet.notices import Exclusion
from calicopath_core.permits.limits import RAMP_UP_S

if TYPE_CHECKING:
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.permits.limits import AdvertisedLimit
    from calicopathd.gateway.box import GatewayBox

STORE = 'store'


class ExcludedReplica(msgspec.Struct, frozen=True):
    """Describe why a box does not call a replica, or the rate limit that applies to it.

    `since` and `until` are in seconds since 1970, 0 if unknown. `source` is where the information
    came from: the replica itself (`own`), the address of another box, or the `store`. `per_s` is
    the advertised limit in requests per second over all boxes; `sent` counts the requests that
    this box has sent since the limit was advertised.
    """

    replica: str
    service: str
    bar: str
    source: str
    since: float
    until: float
    per_s: float | None = None
    sent: int = 0


def excluded_replicas(box: GatewayBox) -> list[ExcludedReplica]:
    """Return the excluded and rate-limited replicas, sorted by service and name."""
    found = []
    for replica in box.replicas.replicas.values():
        exclusion = box.gate.exclusion_of(replica)
        if exclusion is not None:
            found.append(describe_exclusion(box, replica, exclusion))
        limit = box.notices.limits.limit_of(replica)
        if limit is not None:
            found.append(describe_limit(box, replica, limit))
    return sorted(found, key=lambda item: (item.service, item.replica))


def describe_limit(box: GatewayBox, replica: Replica, limit: AdvertisedLimit) -> ExcludedReplica:
    """Return the advertised limit of a replica."""
    now = box.clock.monotonic()
    since_1970 = box.clock.wall() - now
    return ExcludedReplica(
        replica=replica.id,
        service=replica.service,
        bar=Exclusion.LIMIT.value,
        source=limit.source,
        since=limit.since + since_1970,
        until=limit.heard_at + RAMP_UP_S + since_1970 if limit.state.ended else 0.0,
        per_s=limit.rate(now),
        sent=limit.sent,
    )


def describe_exclusion(box: GatewayBox, replica: Replica, exclusion: Exclusion) -> ExcludedReplica:
    """Return why a replica is not called, with times and source as far as known."""
    since_1970 = box.clock.wall() - box.clock.monotonic()
    since = until = 0.0
    source = STORE
    departure = box.notices.leaving.departures.get(replica.id)
    if departure is not None and exclusion in (Exclusion.LEAVING, Exclusion.GONE):
        since, source = departure.heard_at + since_1970, departure.source
    elif exclusion is Exclusion.BACKOFF:
        backoff = box.gate.backoffs.by_replica[replica.id]
        since, until = backoff.since + since_1970, backoff.until + since_1970
        source = 'own'
    return ExcludedReplica(replica.id, replica.service, exclusion.value, source, since, until)
