"""Track from all store calls of a box whether entries may have lapsed while the store was away.

The failure of one call says little: a sound store may cut a waiting watch, and limits its callers.
Replicas renew their entries by calls of their own, so entries lapse only if the store answers
nobody for several heartbeats.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_GAP_S = 0.4
"""Shortest time without any answer that counts towards an outage."""

MIN_AWAY_HEARTBEATS = 1.5
"""How many heartbeats the store must be away before entries may have lapsed: less than the two that
remain of three if a replica renewed its entry one heartbeat before."""

HEARTBEATS_TO_LAPSE = 3.0
"""After how many heartbeats without renewal an entry lapses."""


class Gap:
    """Hold a past time without answers, in monotonic seconds."""

    def __init__(self, *, began_at: float, ended_at: float) -> None:
        self.ended_at = ended_at
        self.length_s = ended_at - began_at


class StoreAvailability:
    """Record when the store answered any call of this box, or of a relay.

    `heartbeat_s` is how often replicas renew their entries. `on_disrupted` is called with the time
    until which entries may have lapsed. Times are monotonic seconds.
    """

    def __init__(self, *, heartbeat_s: float, on_disrupted: Callable[[float], None]) -> None:
        self.heartbeat_s = heartbeat_s
        self.on_disrupted = on_disrupted
        self.answered_at: float | None = None
        self.unanswered_since: float | None = None
        self.gaps: deque[Gap] = deque()
        self.outage_ended_at: float | None = None

    def on_answer(self, at: float) -> None:
        """Record that the store answered a call."""
        if self.answered_at is not None and at <= self.answered_at:
            return
        since = self.unanswered_since
        if since is not None and since <= at:
            if self.is_away(at):
                self.outage_ended_at = at
                self.on_disrupted(at)
            if at - since >= MIN_GAP_S:
                self.gaps.append(Gap(began_at=since, ended_at=at))
            self.unanswered_since = None
        self.answered_at = at

    def on_failure(self, since: float) -> None:
        """Record that a call that the store should have answered after `since` has failed."""
        if self.answered_at is not None:
            since = max(since, self.answered_at)
        if self.unanswered_since is None or since < self.unanswered_since:
            self.unanswered_since = since

    def report_if_away(self, now: float) -> None:
        """Report a disruption if the store is still away."""
        if self.is_away(now):
            self.on_disrupted(now)

    def steady_s(self, now: float) -> float:
        """Return how long ago the last outage ended, infinite if there was none."""
        return math.inf if self.outage_ended_at is None else now - self.outage_ended_at

    def answers(self, now: float) -> bool:
        """Tell whether the store has answered a call of this box a moment ago."""
        return self.unanswered_since is None or now - self.unanswered_since < MIN_GAP_S

    def away_s(self, now: float) -> float:
        """Return for how long the store was away in the time after which an entry lapses.

        Replicas may miss a short time of answers between two outages, so both count together.
        """
        while self.gaps and self.gaps[0].ended_at < now - HEARTBEATS_TO_LAPSE * self.heartbeat_s:
            self.gaps.popleft()
        away_s = sum(gap.length_s for gap in self.gaps)
        if self.unanswered_since is not None and now - self.unanswered_since >= MIN_GAP_S:
            away_s += now - self.unanswered_since
        return away_s

    def is_away(self, now: float) -> bool:
        """Tell whether calls fail, and have failed for so long that entries may have lapsed."""
        is_failing = self.unanswered_since is not None
        return is_failing and self.away_s(now) >= MIN_AWAY_HEARTBEATS * self.heartbeat_s
