"""Hold back calls to replicas that requested a backoff, and resume them gradually.

A backoff applies to one replica and one box, and starts with the answer that requested it. Without
further measures the waiting calls of all boxes would resume at the same instant, so each box adds a
random delay and sends one trial call first.
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
"""Longest backoff that is honored; a replica that asks for more is called again after this."""

MAX_JITTER_S = 0.3
"""Maximum random delay added to a backoff: the time that another box's trial call takes."""

TRIAL_CALL_WAIT_S = 0.3
"""How long a box waits for its trial call before others follow. A replica rejects a call within
some ms; an engine's first event takes about this long."""


class Backoff:
    """Hold the backoff of one replica; times are monotonic seconds."""

    def __init__(self, *, started_ms: float, since: float, until: float) -> None:
        self.started_ms = started_ms
        self.since = since
        self.until = until
        self.rejected_calls = 1
        self.end_reported = False
        self.trial_until = 0.0


class Backoffs:
    """Hold the backoffs that replicas requested from this box, by replica."""

    def __init__(self, *, clock: Clock, observer: NoticeObserver, rng: random.Random) -> None:
        self.clock = clock
        self.observer = observer
        self.rng = rng
        self.by_replica: dict[str, Backoff] = {}

    def record(self, replica: Replica, backoff_s: float) -> None:
        """Record a backoff; it never ends an active backoff of the same incarnation earlier."""
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
        """Return the seconds until a call may be sent to a replica, 0 if it may be sent now."""
        found = self.by_replica.get(replica.id)
        if found is None or replica.started_ms > found.started_ms:
            return 0.0
        now = self.clock.monotonic()
        return max(0.0, found.until - now, found.trial_until - now)

    def earliest_end_in_s(self, replicas: Iterable[Replica]) -> float:
        """Return the seconds until the first of some replicas may be called, 0 without replicas."""
        return min((self.remaining_s(replica) for replica in replicas), default=0.0)

    def on_sent(self, replica: Replica) -> None:
        """Record a sent call: after a backoff it is the trial call, and others wait for it."""
        found = self.by_replica.get(replica.id)
        if found is not None:
            found.trial_until = self.clock.monotonic() + TRIAL_CALL_WAIT_S

    def on_accepted(self, replica: Replica) -> None:
        """End a backoff that is over, since the replica has accepted a call again."""
        found = self.by_replica.get(replica.id)
        if found is not None and found.until <= self.clock.monotonic():
            self.report_end(replica.id, found)
            del self.by_replica[replica.id]

    def remaining_by_replica(self, replicas: Iterable[Replica]) -> dict[str, float]:
        """Return the seconds left of each active backoff among some replicas, by replica."""
        if not self.by_replica:
            return {}
        remaining = {item.id: self.remaining_s(item) for item in replicas}
        return {name: left_s for name, left_s in remaining.items() if left_s > 0}

    def active(self) -> Iterator[tuple[str, Backoff]]:
        """Return the backoffs that have not ended, with their replicas."""
        now = self.clock.monotonic()
        return ((name, item) for name, item in self.by_replica.items() if item.until > now)

    def report_end(self, name: str, backoff: Backoff) -> None:
        """Report the end of a backoff, once."""
        if not backoff.end_reported:
            backoff.end_reported = True
            held_s = backoff.until - backoff.since
            self.observer.on_backoff_ended(name, held_s, backoff.rejected_calls)

    def expire(self) -> None:
        """Report backoffs that have ended, and remove them after the time for a trial call."""
        now = self.clock.monotonic()
        for name, item in list(self.by_replica.items()):
            if item.until <= now:
                self.report_end(name, item)
            if item.until + RETENTION_S <= now:
                del self.by_replica[name]


RETENTION_S = 10.0
"""How long an ended backoff is kept, so that a trial call still precedes other calls."""
