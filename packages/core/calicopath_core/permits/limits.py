"""Hold how many requests a second replicas take from all boxes together, by their answers.

A limit is of one life of a replica. It holds until an answer names none; from then on calls come
back gradually.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.leaving import OWN, digest_of
from calicopath_core.permits.buckets import PermitBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.notices import Notice, NoticeObserver
    from calicopath_core.fleet.replicas import Replica

ENFORCEMENT_DELAY_S = 0.5
"""How long after a box first hears of a limit calls go without a permit: what was placed before the
box that places had heard is under way."""

REORDER_WINDOW_S = 0.3
"""How long after a limit was named an answer without one ends nothing: answers overtake others."""

TIE_WINDOW_S = 0.1
"""Words heard by different boxes within this time may be told in either order: the end of a limit
counts then. If it has not ended the next answer says so; nobody asks a replica that seems closed.
"""

MIN_PER_S = 0.2
"""The rate at which a replica is asked that names less, or 0: without calls nobody would hear that
its limit has ended."""

RAMP_UP_S = 3.0
RAMP_UP_DOUBLING_S = 0.5
MIN_RAMP_UP_PER_S = 1.0
"""How calls come back once no limit is named: the rate is doubled so often, for so long."""

ENDED_RETENTION_S = 30.0
"""How long the end of a limit is told to boxes that may have missed it."""

CONTROL_CALL_SHARE = 0.25
MIN_CONTROL_CALLS_PER_S = 0.25
"""The rate of calls without new work beside the limit, as a share of it: what stages' replicas are
asked for their state, and told to give up."""

MAX_LIMITS = 20_000
"""Limits kept, 0.5 KB each: more than there are replicas at the size to design for (12,000)."""


class LimitState(NamedTuple):
    """Say what was heard of one life of a replica: its limit, or that it named none any more."""

    started_ms: float
    per_s: float
    ended: bool


class AdvertisedLimit:
    """Hold a replica's limit; times are monotonic seconds.

    `since` is when this box first heard of it, `heard_at` when its word was heard by any box.
    """

    def __init__(self, *, state: LimitState, since: float, heard_at: float, source: str) -> None:
        self.state = state
        self.since = since
        self.heard_at = heard_at
        self.source = source
        self.sent = 0
        self.control_calls = PermitBucket(next_at=since)

    @property
    def per_s(self) -> float:
        """Return the requests a second that calls are held to while it is named."""
        return max(self.state.per_s, MIN_PER_S)

    def rate(self, now: float) -> float:
        """Return the requests a second that calls are held to now."""
        if not self.state.ended:
            return self.per_s
        steps = (now - self.heard_at) / RAMP_UP_DOUBLING_S
        return float(max(self.per_s, MIN_RAMP_UP_PER_S) * 2.0**steps)

    def is_ramped_up(self, now: float) -> bool:
        """Tell whether it has ended for so long that nothing is held back any more."""
        return self.state.ended and now >= self.heard_at + RAMP_UP_S


def supersedes(state: LimitState, heard_at: float, known: AdvertisedLimit) -> bool:
    """Tell whether a word counts more than what is known of the same life."""
    if state.ended:
        return heard_at > known.heard_at - TIE_WINDOW_S
    if known.state.ended:
        return heard_at > known.heard_at + TIE_WINDOW_S
    return heard_at > known.heard_at


class AdvertisedLimits:
    """Hold limits by replica; `on_changed` is told what other boxes should know.

    Listeners learn that some limit is another one now, whoever has heard it.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        observer: NoticeObserver,
        on_changed: Callable[[str], None] = lambda replica: None,
    ) -> None:
        self.clock = clock
        self.observer = observer
        self.on_changed = on_changed
        self.by_replica: dict[str, AdvertisedLimit] = {}
        self.listeners: list[Callable[[], None]] = []
        self.cached_digest: str | None = None

    def limit_of(self, replica: Replica) -> AdvertisedLimit | None:
        """Return the limit of a replica's life, also while calls come back after its end."""
        found = self.by_replica.get(replica.id)
        if found is None or replica.started_ms > found.state.started_ms:
            return None
        return None if found.is_ramped_up(self.clock.monotonic()) else found

    def rate_of(self, replica: Replica) -> float | None:
        """Return the requests a second that a replica takes from all boxes, if it is limited."""
        found = self.limit_of(replica)
        return found.rate(self.clock.monotonic()) if found is not None else None

    def requires_permit(self, replica: Replica) -> bool:
        """Tell whether a call to a replica needs a permit."""
        found = self.limit_of(replica)
        if found is None or found.state.ended:
            return False
        return self.clock.monotonic() - found.since >= ENFORCEMENT_DELAY_S

    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Take in what an answer names, or that it names nothing any more."""
        now = self.clock.monotonic()
        known = self.limit_of(replica)
        if notice.limit_per_s is not None:
            born = max(replica.started_ms, known.state.started_ms if known is not None else 0.0)
            state = LimitState(born, notice.limit_per_s, ended=False)
        elif known is None or not notice.executed or now - known.heard_at < REORDER_WINDOW_S:
            return
        else:
            state = known.state._replace(ended=True)
        if known is not None and known.state == state:
            known.heard_at = known.heard_at if state.ended else now
            return
        self.store(replica.id, replica.service, state, now, OWN)
        self.on_changed(replica.id)

    def merge(
        self, replica: str, service: str, state: LimitState, age_s: float, source: str
    ) -> bool:
        """Take in what another box has heard; tell whether that is news."""
        heard_at = self.clock.monotonic() - age_s
        known = self.by_replica.get(replica)
        if known is None and state.ended:
            return False
        if known is not None:
            if known.state == state or state.started_ms < known.state.started_ms:
                return False
            if state.started_ms == known.state.started_ms and not supersedes(
                state, heard_at, known
            ):
                return False
        self.store(replica, service, state, heard_at, source)
        return True

    def store(
        self, replica: str, service: str, state: LimitState, heard_at: float, source: str
    ) -> None:
        """Keep what was heard of a replica in place of what is known."""
        self.cached_digest = None
        now = self.clock.monotonic()
        known = self.by_replica.get(replica)
        if known is None or known.state.ended or known.state.started_ms != state.started_ms:
            if len(self.by_replica) >= MAX_LIMITS:
                del self.by_replica[
                    min(self.by_replica, key=lambda name: self.by_replica[name].heard_at)
                ]
            known = AdvertisedLimit(state=state, since=now, heard_at=heard_at, source=source)
            self.by_replica[replica] = known
        known.state, known.heard_at, known.source = state, heard_at, source
        for listener in self.listeners:
            listener()
        if state.ended:
            self.observer.on_limit_ended(replica, now - known.since, known.sent, source)
        else:
            self.observer.on_limit(replica, service, state.per_s, source)

    def on_sent(self, replica: Replica) -> None:
        """Count a call to a replica that limits."""
        found = self.limit_of(replica)
        if found is not None:
            found.sent += 1

    def control_call_available_in_s(self, replica: Replica) -> float:
        """Return when a call without new work may go to a replica, 0 for now."""
        found = self.limit_of(replica)
        return (
            found.control_calls.available_in_s(self.clock.monotonic()) if found is not None else 0.0
        )

    def take_control_call(self, replica: Replica) -> bool:
        """Count a call without new work if it may go; tell whether it may."""
        found = self.limit_of(replica)
        if found is None:
            return True
        now = self.clock.monotonic()
        if found.control_calls.available_in_s(now) > 0:
            return False
        found.control_calls.take(
            max(MIN_CONTROL_CALLS_PER_S, CONTROL_CALL_SHARE * found.per_s), now
        )
        return True

    def expire(self, known: Container[str]) -> None:
        """Forget the limits of replicas that are gone, and those that ended long ago."""
        oldest = self.clock.monotonic() - ENDED_RETENTION_S
        for name, item in list(self.by_replica.items()):
            if name not in known or (item.state.ended and item.heard_at < oldest):
                del self.by_replica[name]
                self.cached_digest = None

    def digest(self) -> str:
        """Return what is alike at boxes that know the same limits; empty for none."""
        if self.cached_digest is None:
            named = [
                f'{k}={v.state.per_s}' for k, v in self.by_replica.items() if not v.state.ended
            ]
            self.cached_digest = digest_of(sorted(named))
        return self.cached_digest
