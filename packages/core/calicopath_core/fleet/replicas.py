"""Keep the replicas that announce themselves in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

HOLD_S = 1.5
"""How long an entry that goes around a disruption of the store stays in use. An entry that was
dropped by mistake comes back within about 2 s; one that left serves for the drain time, 2 s or
more, after the store took its removal."""

DISRUPTED_S = 6.0
"""How long after a disruption of the store the removal of an entry is doubted."""


class Replica(NamedTuple):
    """Describe a replica: `id` is one incarnation, `address` is `host:port`."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool


class ReplicaTable:
    """Hold the replicas known, with the removals that are still doubted."""

    def __init__(self) -> None:
        self.replicas: dict[str, Replica] = {}
        self.leaving_at: dict[str, float] = {}
        self.disrupted_at: float | None = None
        self.listeners: list[Callable[[], None]] = []
        self.by_service: dict[str, list[Replica]] = {}

    def on_disrupted(self, now: float) -> None:
        """Note that the store could not be read."""
        self.disrupted_at = now

    def doubted(self, now: float) -> bool:
        """Tell whether removals may be by mistake."""
        return self.disrupted_at is not None and now - self.disrupted_at < DISRUPTED_S

    def put(self, replica: Replica) -> None:
        """Take in a replica's entry."""
        self.leaving_at.pop(replica.id, None)
        if self.replicas.get(replica.id) != replica:
            self.replicas[replica.id] = replica
            self.changed()

    def remove(self, replica_id: str, now: float) -> None:
        """Take an entry's removal in: at once, or after a while if it is doubted."""
        if replica_id not in self.replicas or replica_id in self.leaving_at:
            return
        if self.doubted(now) and not self.replicas[replica_id].draining:
            self.leaving_at[replica_id] = now + HOLD_S
            return
        del self.replicas[replica_id]
        self.changed()

    def replace(self, replicas: Iterable[Replica], now: float) -> None:
        """Take in a whole list."""
        listed = {replica.id: replica for replica in replicas}
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
        """Index anew and tell the listeners."""
        self.by_service = {}
        for replica in self.replicas.values():
            if not replica.draining:
                self.by_service.setdefault(replica.service, []).append(replica)
        for listener in self.listeners:
            listener()

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that take new work."""
        return self.by_service.get(service, [])

    def is_usable(self, replica: Replica) -> bool:
        """Tell whether a replica still takes new work."""
        found = self.replicas.get(replica.id)
        return found is not None and not found.draining
