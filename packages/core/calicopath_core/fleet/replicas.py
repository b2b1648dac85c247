"""Keep a table of the replicas that are registered in the platform's store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.notices import Exclusion

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from calicopath_core.fleet.leaving import LeavingReplicas

RETURN_GRACE_S = 2.0
"""How long after an outage of the store an entry that lapsed meanwhile may take to reappear, as
documented for users; an entry still missing after that is removed. During this time a box is also
not held to the drain time for changes that it could not read."""


class Replica(NamedTuple):
    """Describe a replica: `id` names the instance, `address` is `host:port`.

    `cold` means that it is warming up and accepts less load than usual. `started_ms` is when this
    incarnation was started, in milliseconds since 1970, 0 if unknown. `version` is that of its
    software, empty if unknown; versions have no order.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold: bool = False
    started_ms: float = 0.0
    version: str = ''


class ReplicaTable:
    """Index the known replicas, and delay removals that may result from a store outage.

    `leaving` holds the replicas that announced in answers that they leave, whatever their entries
    say. `on_draining` is called for each replica whose entry starts or stops reporting that it
    drains. A replica never cancels a drain within one incarnation, so an entry that does is
    outdated. `on_removal_held` is called with a replica whose removal is delayed and for how long,
    in seconds.
    """

    def __init__(
        self,
        *,
        leaving: LeavingReplicas | None = None,
        on_draining: Callable[[Replica], None] = lambda replica: None,
        on_removal_held: Callable[[Replica, float], None] = lambda replica, held_s: None,
    ) -> None:
        self.leaving = leaving
        self.on_draining = on_draining
        self.on_removal_held = on_removal_held
        if leaving is not None:
            leaving.listeners.append(self.changed)
        self.replicas: dict[str, Replica] = {}
        self.pending_removals: dict[str, float] = {}
        self.disrupted_at: float | None = None
        self.listeners: list[Callable[[], None]] = []
        self.by_service: dict[str, list[Replica]] = {}
        self.by_address: dict[str, Replica] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.batch_depth = 0
        self.index_is_stale = False

    @contextlib.contextmanager
    def batch(self) -> Iterator[None]:
        """Apply many changes as one: the index is rebuilt and listeners are called once."""
        self.batch_depth += 1
        try:
            yield
        finally:
            self.batch_depth -= 1
            if self.index_is_stale and not self.batch_depth:
                self.changed()

    def on_disrupted(self, now: float) -> None:
        """Record that the store could not be read until `now`."""
        self.disrupted_at = now if self.disrupted_at is None else max(now, self.disrupted_at)

    def removal_due_at(self, now: float) -> float:
        """Return when a removal seen now takes effect: later than `now` soon after an outage."""
        return now if self.disrupted_at is None else max(now, self.disrupted_at + RETURN_GRACE_S)

    def put(self, replica: Replica) -> None:
        """Add or update a replica, unless the entry is of an earlier incarnation."""
        known = self.replicas.get(replica.id)
        if known is not None and replica.started_ms < known.started_ms:
            return
        self.pending_removals.pop(replica.id, None)
        if known is not None and replica.started_ms > known.started_ms:
            self.forget_incarnation(replica.id)
        elif known is not None and replica.draining != known.draining:
            self.on_draining(replica)
            replica = replica._replace(draining=True)
        if known != replica:
            self.replicas[replica.id] = replica
            self.changed()

    def forget_incarnation(self, replica_id: str) -> None:
        """Remove a replica that has restarted, so that all state kept for it is dropped.

        Listeners drop their state for an identifier once the table no longer holds it.
        """
        del self.replicas[replica_id]
        self.rebuild_index()

    def remove(self, replica_id: str, now: float) -> None:
        """Remove a replica: at once, or after a delay if a store outage may be the cause."""
        if replica_id not in self.replicas or replica_id in self.pending_removals:
            return
        until = self.removal_due_at(now)
        if until > now and not self.is_leaving_or_replaced(self.replicas[replica_id]):
            self.pending_removals[replica_id] = until
            self.on_removal_held(self.replicas[replica_id], until - now)
            return
        del self.replicas[replica_id]
        self.changed()

    def replace(self, replicas: Iterable[Replica], now: float) -> None:
        """Replace all entries by a complete list."""
        listed = {replica.id: replica for replica in replicas}
        with self.batch():
            for replica in listed.values():
                self.put(replica)
            for replica_id in list(self.replicas):
                if replica_id not in listed:
                    self.remove(replica_id, now)

    def expire(self, now: float) -> list[str]:
        """Remove the entries whose delay has ended and return their identifiers."""
        due = [name for name, at in self.pending_removals.items() if at <= now]
        for name in due:
            del self.pending_removals[name]
            self.replicas.pop(name, None)
        if due:
            self.changed()
        return due

    def changed(self) -> None:
        """Rebuild the index and call the listeners, or defer this to the end of a batch."""
        self.index_is_stale = self.batch_depth > 0
        if not self.index_is_stale:
            self.rebuild_index()

    def rebuild_index(self) -> None:
        """Rebuild the index and call the listeners, even within a batch."""
        self.by_service = {}
        self.by_address = {}
        for replica in self.replicas.values():
            # If two entries claim an address, the older entry keeps it.
            self.by_address.setdefault(replica.address, replica)
        for replica in self.replicas.values():
            if self.exclusion_of(replica) is None:
                self.by_service.setdefault(replica.service, []).append(replica)
        for listener in self.listeners:
            listener()

    def set_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Set which failure domains are evacuated: no caller gives their replicas new work."""
        if failure_domains != self.evacuated:
            self.evacuated = failure_domains
            self.changed()

    def is_leaving(self, replica: Replica) -> bool:
        """Tell whether a replica has announced, in its entry or in an answer, that it leaves."""
        return replica.draining or (self.leaving is not None and self.leaving.is_leaving(replica))

    def is_replaced(self, replica: Replica) -> bool:
        """Tell whether another replica has answered at a replica's address."""
        return self.leaving is not None and self.leaving.is_replaced(replica)

    def is_leaving_or_replaced(self, replica: Replica) -> bool:
        """Tell whether a replica is leaving or replaced, so that its removal is expected."""
        return self.is_leaving(replica) or self.is_replaced(replica)

    def exclusion_of(self, replica: Replica) -> Exclusion | None:
        """Return why a replica gets no new work from any box, or `None`, as far as known here."""
        found = self.replicas.get(replica.id)
        if found is None or found.started_ms > replica.started_ms or self.is_replaced(found):
            return Exclusion.GONE
        if found.draining:
            return Exclusion.DRAINING
        if found.failure_domain in self.evacuated:
            return Exclusion.EVACUATED
        # A replica's own answers announce that it leaves up to 15 s before its entry does during a
        # store outage; an entry that says `ready` does not cancel that.
        return Exclusion.LEAVING if self.is_leaving(found) else None

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that accept new work."""
        return self.by_service.get(service, [])
