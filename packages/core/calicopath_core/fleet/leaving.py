"""Hold which replicas have said in their answers that they leave, and whose lives are over.

The word is of one life of a replica: a later life ends it, an entry in the store that still says
`ready` does not, be it older or newer. A replica does not take it back. A life is over once another
replica answers at its address, which is given to no other before.
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
"""How long the word of a replica is kept that has no entry: one that lapsed while the store was
away is written anew once the store is back."""

SHARING_PERIOD_S = 30.0
"""How long boxes tell each other of it: the store has the entry by then, or it is away for so long
that every box has heard."""

MAX_DEPARTURES = 20_000
"""Words kept, 0.2 KB each: more than there are replicas at the size to design for (12,000)."""

OWN = 'own'
REPLACED_SUFFIX = '!'
"""Sets a life that is over apart from one that leaves, in digests."""


class Departure(NamedTuple):
    """Hold which life of a replica leaves, when this was heard (monotonic seconds), from whom.

    `lost_address` is the address at which another answers, empty for one that only leaves.
    """

    started_ms: float
    heard_at: float
    source: str
    lost_address: str = ''


class LeavingReplicas:
    """Hold words by replica; `on_news` is told that what may be called has changed."""

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
        """Note that a life of a replica leaves, or is over; tell whether that is news."""
        departure = Departure(started_ms, self.clock.monotonic() - age_s, source, lost_address)
        if not self.add_if_new(replica, departure):
            return False
        for listener in self.listeners:
            listener()
        return True

    def add_if_new(self, replica: str, departure: Departure) -> bool:
        """Keep a word unless it is known; tell whether that is news."""
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
        tell = self.observer.on_replaced if departure.lost_address else self.observer.on_leaving
        tell(replica, departure.source)
        return True

    def is_leaving(self, replica: Replica) -> bool:
        """Tell whether a replica, in the life that its entry tells of, has said that it leaves."""
        item = self.departures.get(replica.id)
        return item is not None and not item.lost_address and replica.started_ms <= item.started_ms

    def is_replaced(self, replica: Replica) -> bool:
        """Tell whether the life that a replica's entry tells of is over."""
        item = self.departures.get(replica.id)
        if item is None or item.lost_address != replica.address:
            return False
        return replica.started_ms <= item.started_ms

    def expire(self, known: Container[str]) -> None:
        """Forget old words of replicas that are not known any more."""
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
        """Forget a word."""
        del self.departures[replica]
        self.cached_digest = None

    def shared_replicas(self) -> list[str]:
        """Return the replicas of which boxes tell each other, in order."""
        since = self.clock.monotonic() - SHARING_PERIOD_S
        return sorted(name for name, item in self.departures.items() if item.heard_at >= since)

    def digest_entry(self, replica: str) -> str:
        """Return what stands for a word in digests."""
        return replica + REPLACED_SUFFIX if self.departures[replica].lost_address else replica

    def digest(self) -> str:
        """Return what is alike at boxes that share the same; empty for nothing."""
        if self.cached_digest is None:
            self.cached_digest = digest_of(
                self.digest_entry(name) for name in self.shared_replicas()
            )
        return self.cached_digest


def digest_of(names: Iterable[str]) -> str:
    """Return a short digest of some names; empty for none."""
    text = ' '.join(names)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest() if text else ''
