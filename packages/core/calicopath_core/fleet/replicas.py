"""Keep the replicas that announce themselves in the platform's store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

BACK_S = 2.0
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
    zone: str
    slots: int
    draining: bool
    cold: bool = False
    born: float = 0.0


class ReplicaTable:
    """Hold the replicas known, with the removals that are still doubted."""

    def __init__(self) -> None:
        self.replicas: dict[str, Replica] = {}
        self.leaving_at: dict[str, float] = {}
        self.disrupted_at: float | None = None
        self.listeners: list[Callable[[], None]] = []
        self.by_service: dict[str, list[Replica]] = {}
        self.by_address: dict[str, Replica] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.batches = 0
        self.stale = False

    @contextlib.contextmanager
    def batch(self) -> Iterator[None]:
        """Take many entries in as one change: the index and the listeners cost as much as one."""
        self.batches += 1
        try:
            yield
        finally:
            self.batches -= 1
            if self.stale and not self.batches:
                self.changed()

    def on_disrupted(self, now: float) -> None:
        """Note that the store could not be read until some time."""
        self.disrupted_at = now if self.disrupted_at is None else max(now, self.disrupted_at)

    def doubted_until(self, now: float) -> float:
        """Return until when a removal that is seen now may be by mistake; `now` if it can't be."""
        return now if self.disrupted_at is None else max(now, self.disrupted_at + BACK_S)

    def put(self, replica: Replica) -> None:
        """Take in a replica's entry."""
        known = self.replicas.get(replica.id)
        if known is not None and replica.born < known.born:
            return
        self.leaving_at.pop(replica.id, None)
        if known is not None and replica.born > known.born:
            self.end_life(replica.id)
        if known != replica:
            self.replicas[replica.id] = replica
            self.changed()

    def end_life(self, replica_id: str) -> None:
        """Have everything forgotten that is held for a replica that has started again.

        Whatever is kept by a replica's identifier goes when the table no longer holds it.
        """
        del self.replicas[replica_id]
        self.publish()

    def remove(self, replica_id: str, now: float) -> None:
        """Take an entry's removal in: at once, or after a while if it is doubted."""
        if replica_id not in self.replicas or replica_id in self.leaving_at:
            return
        until = self.doubted_until(now)
        if until > now and not self.replicas[replica_id].draining:
            self.leaving_at[replica_id] = until
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
        due = [name for name, at in self.leaving_at.items() if at <= now]
        for name in due:
            del self.leaving_at[name]
            self.replicas.pop(name, None)
        if due:
            self.changed()
        return due

    def changed(self) -> None:
        """Index anew and tell the listeners, or do so at the end of a batch."""
        self.stale = self.batches > 0
        if not self.stale:
            self.publish()

    def publish(self) -> None:
        """Index anew and tell the listeners, within a batch too."""
        self.by_service = {}
        self.by_address = {}
        for replica in self.replicas.values():
            # The entry that was there first holds an address that another one claims.
            self.by_address.setdefault(replica.address, replica)
        for replica in self.replicas.values():
            if self.takes_work(replica):
                self.by_service.setdefault(replica.service, []).append(replica)
        for listener in self.listeners:
            listener()

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Take in which zones are taken out: their replicas get no new work, from any caller."""
        if zones != self.evacuated:
            self.evacuated = zones
            self.changed()

    def takes_work(self, replica: Replica) -> bool:
        """Tell whether a replica may be sent new work, as far as this box knows."""
        return not replica.draining and replica.zone not in self.evacuated

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that take new work."""
        return self.by_service.get(service, [])

    def is_usable(self, replica: Replica) -> bool:
        """Tell whether a replica still takes new work."""
        found = self.replicas.get(replica.id)
        return found is not None and self.takes_work(found)
