"""Know, at the box that places, which engines want nothing from which boxes.

An engine that turns a call away is free again at once and looks the least loaded of all: without
this three engines of nine drew 96 of 154 jobs while they turned all away. What it has asked one box
is an order for what that box sends, and a reason to prefer other engines for everybody else.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MIN_AVOIDANCE_S = 0.1
MAX_AVOIDANCE_S = 2.0
"""How long an engine that turned a call away without a wish is chosen last; doubled each time."""

TRIAL_TIMEOUT_S = 0.3
"""How long the first run after that is waited for before others are placed there: an engine turns
a run away within some ms, and gives a first event within about this time."""

AVOIDANCE_MEMORY_S = 10.0
"""How long after it an engine's first run still goes alone."""


class Avoidance:
    """Hold why one engine is chosen last; times are monotonic seconds."""

    def __init__(self) -> None:
        self.until = 0.0
        self.turned_away_count = 0
        self.turned_away_at = -math.inf
        self.trial_until = -math.inf


class FleetBackoffs:
    """Hold the wishes of engines by box, and what they mean for the others."""

    def __init__(self) -> None:
        self.by_box: dict[str, dict[str, float]] = {}
        self.avoidances: dict[str, Avoidance] = {}

    def note(self, box: str, remaining_s: Mapping[str, float], now: float) -> None:
        """Take in for how many seconds a box must leave some engines alone."""
        if not remaining_s:
            return
        held = self.by_box.setdefault(box, {})
        for replica, left_s in remaining_s.items():
            until = now + left_s
            held[replica] = max(held.get(replica, 0.0), until)
            avoidance = self.avoidances.setdefault(replica, Avoidance())
            avoidance.until = max(avoidance.until, until)

    def is_backing_off(self, box: str, replica: str, now: float) -> bool:
        """Tell whether an engine wants nothing from a box now."""
        held = self.by_box.get(box)
        return held is not None and held.get(replica, 0.0) > now

    def remaining_s(self, box: str, replica: str, now: float) -> float:
        """Return for how long a box must leave an engine alone."""
        return max(0.0, self.by_box.get(box, {}).get(replica, 0.0) - now)

    def of_box(self, box: str, now: float) -> dict[str, float]:
        """Return for how many seconds a box must leave which engines alone."""
        held = self.by_box.get(box, {})
        return {name: until - now for name, until in held.items() if until > now}

    def min_remaining_s(self, box: str, replicas: Iterable[str], now: float) -> float:
        """Return when a box may have a run at the first of some engines, 0 for now or none."""
        if box not in self.by_box:
            return 0.0
        return min((self.remaining_s(box, name, now) for name in replicas), default=0.0)

    def is_avoided(self, replica: str, now: float) -> bool:
        """Tell whether an engine has turned calls away of late, whoever sent them."""
        avoidance = self.avoidances.get(replica)
        return avoidance is not None and avoidance.until > now

    def in_trial(self, replica: str, now: float) -> bool:
        """Tell whether the first run after an engine had turned calls away is still awaited."""
        avoidance = self.avoidances.get(replica)
        return avoidance is not None and avoidance.trial_until > now

    def on_placed(self, replica: str, now: float) -> None:
        """Note a run that is placed; after a while of turning away it goes alone."""
        avoidance = self.avoidances.get(replica)
        if avoidance is not None:
            avoidance.trial_until = now + TRIAL_TIMEOUT_S

    def on_started(self, replica: str, placed_at: float, now: float) -> None:
        """Note a run that has begun: the engine takes calls again, if it was asked since."""
        avoidance = self.avoidances.get(replica)
        if (
            avoidance is not None
            and avoidance.until <= now
            and placed_at >= avoidance.turned_away_at
        ):
            del self.avoidances[replica]

    def on_turned_away(self, replica: str, now: float) -> None:
        """Note a run that was turned away, for which the engine need not have asked anything."""
        avoidance = self.avoidances.setdefault(replica, Avoidance())
        avoidance.turned_away_count += 1
        avoidance.turned_away_at = now
        avoidance_s = min(MAX_AVOIDANCE_S, MIN_AVOIDANCE_S * 2 ** (avoidance.turned_away_count - 1))
        avoidance.until = max(avoidance.until, now + avoidance_s)
        avoidance.trial_until = -math.inf

    def expire(self, now: float) -> None:
        """Forget what is over."""
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
