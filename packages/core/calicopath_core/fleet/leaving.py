"""Track replicas that announced in answers that they leave, and incarnations that were replaced.

A departure applies to one incarnation of a replica. A later incarnation ends it; an entry in the
store that still says `ready` does not, whatever its age, since a replica never cancels a departure.
An incarnation is over once another replica answers at its address, because no address is reused
before.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.notices import NoticeObserver
    from calicopath_core.fleet.replicas import Replica

RETENTION_S = 600.0
"""How long the departure of a replica without an entry is kept: an entry that lapsed during a store
outage is written again once the store is back."""

SHARING_PERIOD_S = 30.0
"""How long boxes share a departure: by then the store has the entry, or has been away for so long
that every box has received the report."""

MAX_DEPARTURES = 20_000
"""Maximum number of departures, 0.2 KB each: more than the 12,000 replicas that the system is
designed for."""

OWN = 'own'
REPLACED_SUFFIX = '!'
"""Marks a replaced incarnation in digests, to distinguish it from one that leaves."""


class Departure(NamedTuple):
    """Describe the departure of one incarnation of a replica.

    `heard_at` is when it was reported, in monotonic seconds, `source` is `own` or the box that
    reported it. `lost_address` is the address at which another replica answers, empty for a replica
    that only leaves.
    """

    started_ms: float
    heard_at: float
    source: str
    lost_address: str = ''


class LeavingReplicas:
    """Hold departures by replica; `listeners` are called when the callable replicas change."""

    def __init__(self, *, clock: Clock, observer: NoticeObserver) -> None:
        self.clock = clock
        self.observer = observer
        self.departures: dict[str, Departure] = {}
        self.listeners: list[Callable[[], None]] = []
        self.cached_digest: str | None = None

    def record(
        self,
        replica: str,
        started_ms: float,
        age_s: float = 0.0,
        source: str = OWN,
        lost_address: str = '',
    ) -> bool:
        """Record that an incarnation is leaving or replaced; return whether this is new."""
        departure = Departure(started_ms, self.clock.monotonic() - age_s, source, lost_address)
        if not self.add_if_new(replica, departure):
            return False
        for listener in self.listeners:
            listener()
        return True

    def add_if_new(self, replica: str, departure: Departure) -> bool:
        """Store a departure unless it is known already; return whether it is new."""
        known = self.departures.get(replica)
        if known is not None and (known.started_ms, bool(known.lost_address)) >= (
            departure.started_ms,
            bool(departure.lost_address),
        ):
            return False
        if len(self.departures) >= MAX_DEPARTURES:
            self.forget(min(self.departures, key=lambda name: self.departures[name].heard_at))
        self.departures[replica] = departure
        self.cached_digest = None
        notify = self.observer.on_replaced if departure.lost_address else self.observer.on_leaving
        notify(replica, departure.source)
        return True

    def is_leaving(self, replica: Replica) -> bool:
        """Tell whether the incarnation in a replica's entry has announced that it leaves."""
        item = self.departures.get(replica.id)
        return item is not None and not item.lost_address and replica.started_ms <= item.started_ms

    def is_replaced(self, replica: Replica) -> bool:
        """Tell whether another replica answers at the address of the incarnation in an entry."""
        item = self.departures.get(replica.id)
        if item is None or item.lost_address != replica.address:
            return False
        return replica.started_ms <= item.started_ms

    def expire(self, known: Container[str]) -> None:
        """Remove old departures of replicas that are no longer known."""
        oldest = self.clock.monotonic() - RETENTION_S
        old = [
            name
            for name, item in self.departures.items()
            if item.heard_at < oldest and name not in known
        ]
        for name in old:
            self.forget(name)
        self.cached_digest = None

    def forget(self, replica: str) -> None:
        """Remove a replica's departure."""
        del self.departures[replica]
        self.cached_digest = None

    def shared_replicas(self) -> list[str]:
        """Return the replicas whose departures are recent enough to share, sorted."""
        since = self.clock.monotonic() - SHARING_PERIOD_S
        return sorted(name for name, item in self.departures.items() if item.heard_at >= since)

    def digest_entry(self, replica: str) -> str:
        """Return the text that stands for a replica's departure in digests."""
        return replica + REPLACED_SUFFIX if self.departures[replica].lost_address else replica

    def digest(self) -> str:
        """Return a digest that is equal at boxes that share the same departures, '' for none."""
        if self.cached_digest is None:
            self.cached_digest = digest_of(
                self.digest_entry(name) for name in self.shared_replicas()
            )
        return self.cached_digest


def digest_of(names: Iterable[str]) -> str:
    """Return a short digest of some names, '' for none."""
    text = ' '.join(names)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest() if text else ''
