"""Track at the scheduler which engines asked which boxes to back off.

An engine that turns a call away is free again at once and looks the least loaded of all: without
this module, three engines of nine drew 96 of 154 jobs while they turned all of them away. A backoff
that an engine asked of a box binds what that box sends, and is a reason to prefer other engines for
all other boxes.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MIN_AVOIDANCE_S = 0.1
MAX_AVOIDANCE_S = 2.0
"""How long an engine that turned a call away without asking for a backoff is chosen last; the time
doubles with each such call, up to the maximum."""

TRIAL_TIMEOUT_S = 0.3
"""How long the first run after an avoidance is awaited before others are placed on the engine: an
engine turns a run away within a few ms, and sends a first event within about this time."""

AVOIDANCE_MEMORY_S = 10.0
"""How long after an avoidance the engine's first run is still placed alone."""


class Avoidance:
    """Hold why one engine is chosen last; times are monotonic seconds."""

    def __init__(self) -> None:
        self.until = 0.0
        self.turned_away_count = 0
        self.turned_away_at = -math.inf
        self.trial_until = -math.inf


class FleetBackoffs:
    """Hold the backoffs that engines asked of boxes, and which engines all boxes avoid for them."""

    def __init__(self) -> None:
        self.by_box: dict[str, dict[str, float]] = {}
        self.avoidances: dict[str, Avoidance] = {}

    def note(self, box: str, remaining_s: Mapping[str, float], now: float) -> None:
        """Record for how many seconds a box must not call some engines."""
        if not remaining_s:
            return
        held = self.by_box.setdefault(box, {})
        for replica, left_s in remaining_s.items():
            until = now + left_s
            held[replica] = max(held.get(replica, 0.0), until)
            avoidance = self.avoidances.setdefault(replica, Avoidance())
            avoidance.until = max(avoidance.until, until)

    def is_backing_off(self, box: str, replica: str, now: float) -> bool:
        """Tell whether a box must not call an engine now."""
        held = self.by_box.get(box)
        return held is not None and held.get(replica, 0.0) > now

    def remaining_s(self, box: str, replica: str, now: float) -> float:
        """Return for how many seconds a box must not call an engine."""
        return max(0.0, self.by_box.get(box, {}).get(replica, 0.0) - now)

    def of_box(self, box: str, now: float) -> dict[str, float]:
        """Return the engines that a box must not call, with the seconds that remain."""
        held = self.by_box.get(box, {})
        return {name: until - now for name, until in held.items() if until > now}

    def min_remaining_s(self, box: str, replicas: Iterable[str], now: float) -> float:
        """Return the seconds until a box may call the first of some engines, 0 for now or none."""
        if box not in self.by_box:
            return 0.0
        return min((self.remaining_s(box, name, now) for name in replicas), default=0.0)

    def is_avoided(self, replica: str, now: float) -> bool:
        """Tell whether an engine has turned calls of any box away recently."""
        avoidance = self.avoidances.get(replica)
        return avoidance is not None and avoidance.until > now

    def in_trial(self, replica: str, now: float) -> bool:
        """Tell whether the first run on an engine since it turned calls away is still awaited."""
        avoidance = self.avoidances.get(replica)
        return avoidance is not None and avoidance.trial_until > now

    def on_placed(self, replica: str, now: float) -> None:
        """Record a placed run; on an engine that turned calls away it starts a trial."""
        avoidance = self.avoidances.get(replica)
        if avoidance is not None:
            avoidance.trial_until = now + TRIAL_TIMEOUT_S

    def on_started(self, replica: str, placed_at: float, now: float) -> None:
        """Record that a run started; the engine accepts calls again if the run was placed since."""
        avoidance = self.avoidances.get(replica)
        if (
            avoidance is not None
            and avoidance.until <= now
            and placed_at >= avoidance.turned_away_at
        ):
            del self.avoidances[replica]

    def on_turned_away(self, replica: str, now: float) -> None:
        """Record a run that was turned away, with or without a request to back off."""
        avoidance = self.avoidances.setdefault(replica, Avoidance())
        avoidance.turned_away_count += 1
        avoidance.turned_away_at = now
        avoidance_s = min(MAX_AVOIDANCE_S, MIN_AVOIDANCE_S * 2 ** (avoidance.turned_away_count - 1))
        avoidance.until = max(avoidance.until, now + avoidance_s)
        avoidance.trial_until = -math.inf

    def expire(self, now: float) -> None:
        """Drop backoffs and avoidances that are over."""
        for box, held in list(self.by_box.items()):
            self.by_box[box] = {name: until for name, until in held.items() if until > now}
            if not self.by_box[box]:
                del self.by_box[box]
        expired = [
            name
            for name, avoidance in self.avoidances.items()
            if avoidance.until + AVOIDANCE_MEMORY_S <= now
        ]
        for name in expired:
            del self.avoidances[name]
