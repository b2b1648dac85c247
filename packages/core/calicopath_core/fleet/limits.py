"""Hold how many requests a second replicas take from all boxes together, by their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.fleet.leaving import OWN

if TYPE_CHECKING:
    from collections.abc import Container

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.notices import Notice, NoticeObserver
    from calicopath_core.fleet.replicas import Replica


class NamedLimit:
    """Hold the limit of one life of a replica; times are monotonic seconds."""

    def __init__(self, *, born: float, per_s: float, since: float, source: str) -> None:
        self.born = born
        self.per_s = per_s
        self.since = since
        self.heard_at = since
        self.source = source
        self.sent = 0


class NamedLimits:
    """Hold limits by replica."""

    def __init__(self, *, clock: Clock, observer: NoticeObserver) -> None:
        self.clock = clock
        self.observer = observer
        self.held: dict[str, NamedLimit] = {}

    def of(self, replica: Replica) -> NamedLimit | None:
        """Return the limit that a replica has named in this life."""
        found = self.held.get(replica.id)
        return found if found is not None and replica.born <= found.born else None

    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Take in what an answer names, or that it names nothing any more."""
        now = self.clock.monotonic()
        known = self.of(replica)
        if notice.limit_per_s is None:
            if known is not None and notice.ran:
                self.end(replica.id, OWN)
            return
        if known is None or known.per_s != notice.limit_per_s:
            self.observer.on_limit(replica, notice.limit_per_s, OWN)
        if known is None:
            known = NamedLimit(born=replica.born, per_s=0.0, since=now, source=OWN)
            self.held[replica.id] = known
        known.per_s = notice.limit_per_s
        known.heard_at = now

    def on_sent(self, replica: Replica) -> None:
        """Count a call to a replica that limits."""
        found = self.of(replica)
        if found is not None:
            found.sent += 1

    def end(self, replica: str, source: str) -> None:
        """Forget a limit that is named no more."""
        found = self.held.pop(replica)
        held_s = self.clock.monotonic() - found.since
        self.observer.on_limit_ended(replica, held_s, found.sent, source)

    def expire(self, known: Container[str]) -> None:
        """Forget the limits of replicas that are gone."""
        for name in [name for name in self.held if name not in known]:
            del self.held[name]
