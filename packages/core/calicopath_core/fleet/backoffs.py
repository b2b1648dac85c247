"""Hold which replicas want nothing from this box for a while, and bring calls back gradually.

A backoff is between one replica and one box, and counts from the answer that asked for it. When it
ends, calls that have waited would come back in one instant from every box: each box waits a little
longer by chance, and sends one call first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.notices import NoticeObserver
    from calicopath_core.fleet.replicas import Replica

MAX_BACKOFF_S = 600.0
"""The longest backoff that is kept to; a replica that asks for more is called again after this."""

MAX_JITTER_S = 0.3
"""By how much longer a box stays away by chance: as long as the first call of another takes."""

TRIAL_CALL_WAIT_S = 0.3
"""How long the first call after a backoff is waited for before others follow it: answers that turn
a call away come within some ms, an engine's first event within about this time."""


class Backoff:
    """Hold one replica's wish; times are monotonic seconds."""

    def __init__(self, *, started_ms: float, since: float, until: float) -> None:
        self.started_ms = started_ms
        self.since = since
        self.until = until
        self.rejected_calls = 1
        self.end_reported = False
        self.trial_until = 0.0


class Backoffs:
    """Hold the wishes of replicas, by identifier."""

    def __init__(self, *, clock: Clock, observer: NoticeObserver, rng: random.Random) -> None:
        self.clock = clock
        self.observer = observer
        self.rng = rng
        self.by_replica: dict[str, Backoff] = {}

    def record(self, replica: Replica, backoff_s: float) -> None:
        """Note a wish; one that ends earlier than another that holds shortens nothing."""
        now = self.clock.monotonic()
        until = now + min(backoff_s, MAX_BACKOFF_S) + self.rng.uniform(0.0, MAX_JITTER_S)
        known = self.by_replica.get(replica.id)
        if known is not None and known.started_ms == replica.started_ms and known.until > now:
            known.until = max(known.until, until)
            known.rejected_calls += 1
            return
        self.by_replica[replica.id] = Backoff(started_ms=replica.started_ms, since=now, until=until)
        self.observer.on_backoff(replica, backoff_s)

    def remaining_s(self, replica: Replica) -> float:
        """Return for how long nothing may be sent to a replica yet, 0 if something may."""
        found = self.by_replica.get(replica.id)
        if found is None or replica.started_ms > found.started_ms:
            return 0.0
        now = self.clock.monotonic()
        return max(0.0, found.until - now, found.trial_until - now)

    def earliest_end_in_s(self, replicas: Iterable[Replica]) -> float:
        """Return when the first of some replicas may be called, 0 for none."""
        return min((self.remaining_s(replica) for replica in replicas), default=0.0)

    def on_sent(self, replica: Replica) -> None:
        """Note a call; the first one after a backoff is tried alone."""
        found = self.by_replica.get(replica.id)
        if found is not None:
            found.trial_until = self.clock.monotonic() + TRIAL_CALL_WAIT_S

    def on_accepted(self, replica: Replica) -> None:
        """Note that a replica has taken a call: all may follow."""
        found = self.by_replica.get(replica.id)
        if found is not None and found.until <= self.clock.monotonic():
            self.report_end(replica.id, found)
            del self.by_replica[replica.id]

    def remaining_by_replica(self, replicas: Iterable[Replica]) -> dict[str, float]:
        """Return for how long which of some replicas want nothing yet."""
        if not self.by_replica:
            return {}
        lefts = {item.id: self.remaining_s(item) for item in replicas}
        return {name: left_s for name, left_s in lefts.items() if left_s > 0}

    def active(self) -> Iterator[tuple[str, Backoff]]:
        """Yield the wishes that hold."""
        now = self.clock.monotonic()
        return ((name, item) for name, item in self.by_replica.items() if item.until > now)

    def report_end(self, name: str, backoff: Backoff) -> None:
        """Tell once that a backoff is over."""
        if not backoff.end_reported:
            backoff.end_reported = True
            held_s = backoff.until - backoff.since
            self.observer.on_backoff_ended(name, held_s, backoff.rejected_calls)

    def expire(self) -> None:
        """Forget backoffs that are over; they matter no more a trial's time after they ended."""
        now = self.clock.monotonic()
        for name, item in list(self.by_replica.items()):
            if item.until <= now:
                self.report_end(name, item)
            if item.until + RETENTION_S <= now:
                del self.by_replica[name]


RETENTION_S = 10.0
"""How long after its end a backoff is remembered for the first call to go alone."""
