"""Keep the replicas that announce themselves in the platform's store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.notices import Exclusion

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from calicopath_core.fleet.leaving import LeavingReplicas

RETURN_GRACE_S = 2.0
"""How long after the store's return entries that lapsed while it was away may take to be back, as
the users' pages say; one that is still missing then is gone. In that time, too, a box is not held
to the drain time for what it has not been told of."""


class Replica(NamedTuple):
    """Describe a replica: `id` is one incarnation, `address` is `host:port`.

    `cold` says that it bears less than usual for some seconds, as it has last told; `born` is when
    it was started, in milliseconds since 1970, 0 if it does not tell.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold: bool = False
    started_ms: float = 0.0


class ReplicaTable:
    """Hold the replicas known, with the removals that are still doubted.

    `leaving` are those that have said in answers that they leave, whatever their entries say;
    `on_draining` learns of each replica whose entry says that it drains, and of entries that take
    it back. A replica does not take it back in the same life: such an entry is an older one.
    """

    def __init__(
        self,
        *,
        leaving: LeavingReplicas | None = None,
        on_draining: Callable[[Replica], None] = lambda replica: None,
    ) -> None:
        self.leaving = leaving
        self.on_draining = on_draining
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
        """Take many entries in as one change: the index and the listeners cost as much as one."""
        self.batch_depth += 1
        try:
            yield
        finally:
            self.batch_depth -= 1
            if self.index_is_stale and not self.batch_depth:
                self.changed()

    def on_disrupted(self, now: float) -> None:
        """Note that the store could not be read until some time."""
        self.disrupted_at = now if self.disrupted_at is None else max(now, self.disrupted_at)

    def removal_due_at(self, now: float) -> float:
        """Return until when a removal that is seen now may be by mistake; `now` if it can't be."""
        return now if self.disrupted_at is None else max(now, self.disrupted_at + RETURN_GRACE_S)

    def put(self, replica: Replica) -> None:
        """Take in a replica's entry."""
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
        """Have everything forgotten that is held for a replica that has started again.

        Whatever is kept by a replica's identifier goes when the table no longer holds it.
        """
        del self.replicas[replica_id]
        self.rebuild_index()

    def remove(self, replica_id: str, now: float) -> None:
        """Take an entry's removal in: at once, or after a while if it is doubted."""
        if replica_id not in self.replicas or replica_id in self.pending_removals:
            return
        until = self.removal_due_at(now)
        if until > now and not self.is_leaving_or_replaced(self.replicas[replica_id]):
            self.pending_removals[replica_id] = until
            return
        del self.replicas[replica_id]
        self.changed()

    def replace(self, replicas: Iterable[Replica], now: float) -> None:
        """Take in a whole list."""
        listed = {replica.id: replica for replica in replicas}
        with self.batch():
            for replica in listed.values():
                self.put(replica)
            for replica_id in list(self.replicas):
                if replica_id not in listed:
                    self.remove(replica_id, now)

    def expire(self, now: float) -> list[str]:
        """Drop the entries whose doubt has ended and return their identifiers."""
        due = [name for name, at in self.pending_removals.items() if at <= now]
        for name in due:
            del self.pending_removals[name]
            self.replicas.pop(name, None)
        if due:
            self.changed()
        return due

    def changed(self) -> None:
        """Index anew and tell the listeners, or do so at the end of a batch."""
        self.index_is_stale = self.batch_depth > 0
        if not self.index_is_stale:
            self.rebuild_index()

    def rebuild_index(self) -> None:
        """Index anew and tell the listeners, within a batch too."""
        self.by_service = {}
        self.by_address = {}
        for replica in self.replicas.values():
            # The entry that was there first holds an address that another one claims.
            self.by_address.setdefault(replica.address, replica)
        for replica in self.replicas.values():
            if self.exclusion_of(replica) is None:
                self.by_service.setdefault(replica.service, []).append(replica)
        for listener in self.listeners:
            listener()

    def set_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Take in which failure domains are taken out: their replicas get no new work."""
        if failure_domains != self.evacuated:
            self.evacuated = failure_domains
            self.changed()

    def is_leaving(self, replica: Replica) -> bool:
        """Tell whether a replica has said that it leaves, in its entry or in an answer."""
        return replica.draining or (self.leaving is not None and self.leaving.is_leaving(replica))

    def is_replaced(self, replica: Replica) -> bool:
        """Tell whether another replica has answered at a replica's address."""
        return self.leaving is not None and self.leaving.is_replaced(replica)

    def is_leaving_or_replaced(self, replica: Replica) -> bool:
        """Tell whether a replica is known to end, or to have ended, but for its entry."""
        return self.is_leaving(replica) or self.is_replaced(replica)

    def exclusion_of(self, replica: Replica) -> Exclusion | None:
        """Return why a replica gets no new work from any box, as far as this one knows."""
        found = self.replicas.get(replica.id)
        if found is None or found.started_ms > replica.started_ms or self.is_replaced(found):
            return Exclusion.GONE
        if found.draining:
            return Exclusion.DRAINING
        if found.failure_domain in self.evacuated:
            return Exclusion.EVACUATED
        # A replica's own answers tell that it leaves while the store is away, up to 15 s before
        # its entry does; an entry that says `ready` does not take that back.
        return Exclusion.LEAVING if self.is_leaving(found) else None

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that take new work."""
        return self.by_service.get(service, [])
