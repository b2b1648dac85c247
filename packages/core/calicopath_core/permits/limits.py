"""Hold the rate limits that replicas advertise in answers, for all boxes together.

A limit applies to one incarnation of a replica and holds until an answer advertises none. After
that the rate of calls is increased gradually.
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
"""How long after a box learns of a limit calls still go without a permit: calls placed before the
scheduler knew of the limit are already on their way."""

REORDER_WINDOW_S = 0.3
"""How long after a limit was advertised an answer without one does not end it, since answers may be
reordered."""

TIE_WINDOW_S = 0.1
"""Reports that different boxes heard within this time may arrive in either order, and an end of the
limit takes precedence. If the limit has not ended, the next answer advertises it again, whereas
nobody calls a replica that seems to accept nothing."""

MIN_PER_S = 0.2
"""Minimum rate, also if a replica advertises less or 0: without calls nobody would learn that the
limit has ended."""

RAMP_UP_S = 3.0
RAMP_UP_DOUBLING_S = 0.5
MIN_RAMP_UP_PER_S = 1.0
"""How calls resume after a limit has ended: the rate starts at least at this minimum and doubles at
this interval, for this time."""

ENDED_RETENTION_S = 30.0
"""How long the end of a limit is sent to boxes that may have missed it."""

CONTROL_CALL_SHARE = 0.25
MIN_CONTROL_CALLS_PER_S = 0.25
"""The rate of control calls, as a share of the limit and in addition to it. Control calls carry no
new work: they query the state of stage replicas and release results."""

MAX_LIMITS = 20_000
"""Maximum number of limits, 0.5 KB each: more than the 12,000 replicas that the system is designed
for."""


class LimitState(NamedTuple):
    """Describe the limit of one incarnation of a replica, or that it no longer advertises one."""

    started_ms: float
    per_s: float
    ended: bool


class AdvertisedLimit:
    """Hold a replica's limit; times are monotonic seconds.

    `since` is when this box first learned of it, `heard_at` when any box last heard its state from
    the replica.
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
        """Return the rate in requests per second while the limit is advertised."""
        return max(self.state.per_s, MIN_PER_S)

    def rate(self, now: float) -> float:
        """Return the rate in requests per second that applies now."""
        if not self.state.ended:
            return self.per_s
        steps = (now - self.heard_at) / RAMP_UP_DOUBLING_S
        return float(max(self.per_s, MIN_RAMP_UP_PER_S) * 2.0**steps)

    def is_ramped_up(self, now: float) -> bool:
        """Tell whether the limit ended so long ago that calls are no longer held back."""
        return self.state.ended and now >= self.heard_at + RAMP_UP_S


def supersedes(state: LimitState, heard_at: float, known: AdvertisedLimit) -> bool:
    """Tell whether a report takes precedence over the known state of the same incarnation."""
    if state.ended:
        return heard_at > known.heard_at - TIE_WINDOW_S
    if known.state.ended:
        return heard_at > known.heard_at + TIE_WINDOW_S
    return heard_at > known.heard_at


class AdvertisedLimits:
    """Hold limits by replica; `on_changed` is called for what other boxes should know.

    `listeners` are called when a limit changes, whichever box heard it.
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
        """Return a replica's limit, also while the rate rises after its end, or `None`."""
        found = self.by_replica.get(replica.id)
        if found is None or replica.started_ms > found.state.started_ms:
            return None
        return None if found.is_ramped_up(self.clock.monotonic()) else found

    def rate_of(self, replica: Replica) -> float | None:
        """Return the requests per second that all boxes may send, `None` without a limit."""
        found = self.limit_of(replica)
        return found.rate(self.clock.monotonic()) if found is not None else None

    def requires_permit(self, replica: Replica) -> bool:
        """Tell whether a call to a replica needs a permit."""
        found = self.limit_of(replica)
        if found is None or found.state.ended:
            return False
        return self.clock.monotonic() - found.since >= ENFORCEMENT_DELAY_S

    def on_notice(self, replica: Replica, notice: Notice) -> None:
        """Apply the limit that an answer advertises, or the end of a limit."""
        now = self.clock.monotonic()
        known = self.limit_of(replica)
        if notice.limit_per_s is not None:
            started_ms = max(
                replica.started_ms, known.state.started_ms if known is not None else 0.0
            )
            state = LimitState(started_ms, notice.limit_per_s, ended=False)
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
        """Merge a report from another box; return whether it was new."""
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
        """Replace the known state of a replica's limit, and notify listeners and the observer."""
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
        """Count a call to a replica with a limit."""
        found = self.limit_of(replica)
        if found is not None:
            found.sent += 1

    def control_call_available_in_s(self, replica: Replica) -> float:
        """Return the seconds until a control call may be sent to a replica, 0 for now."""
        found = self.limit_of(replica)
        return (
            found.control_calls.available_in_s(self.clock.monotonic()) if found is not None else 0.0
        )

    def take_control_call(self, replica: Replica) -> bool:
        """Count a control call if one is allowed now; return whether it is."""
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
        """Remove the limits of unknown replicas, and those that ended long ago."""
        oldest = self.clock.monotonic() - ENDED_RETENTION_S
        for name, item in list(self.by_replica.items()):
            if name not in known or (item.state.ended and item.heard_at < oldest):
                del self.by_replica[name]
                self.cached_digest = None

    def digest(self) -> str:
        """Return a digest that is equal at boxes that know the same limits, '' for none."""
        if self.cached_digest is None:
            named = [
                f'{k}={v.state.per_s}' for k, v in self.by_replica.items() if not v.state.ended
            ]
            self.cached_digest = digest_of(sorted(named))
        return self.cached_digest
