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

LEAST_SHUN_S = 0.1
MAX_SHUN_S = 2.0
"""How long an engine that turned a call away without a wish is chosen last; doubled each time."""

TRIAL_S = 0.3
"""How long the first run after that is waited for before others are placed there: an engine turns
a run away within some ms, and gives a first event within about this time."""

FORGET_S = 10.0
"""How long after it an engine's first run still goes alone."""


class Shun:
    """Hold why one engine is chosen last; times are monotonic seconds."""

    def __init__(self) -> None:
        self.until = 0.0
        self.turned_away = 0
        self.turned_away_at = -math.inf
        self.trial_until = -math.inf


class FleetBackoffs:
    """Hold the wishes of engines by box, and what they mean for the others."""

    def __init__(self) -> None:
        self.by_box: dict[str, dict[str, float]] = {}
        self.shuns: dict[str, Shun] = {}

    def note(self, box: str, lefts: Mapping[str, float], now: float) -> None:
        """Take in for how many seconds a box must leave some engines alone."""
        if not lefts:
            return
        held = self.by_box.setdefault(box, {})
        for replica, left_s in lefts.items():
            until = now + left_s
            held[replica] = max(held.get(replica, 0.0), until)
            shun = self.shuns.setdefault(replica, Shun())
            shun.until = max(shun.until, until)

    def bars(self, box: str, replica: str, now: float) -> bool:
        """Tell whether an engine wants nothing from a box now."""
        held = self.by_box.get(box)
        return held is not None and held.get(replica, 0.0) > now

    def left_s(self, box: str, replica: str, now: float) -> float:
        """Return for how long a box must leave an engine alone."""
        return max(0.0, self.by_box.get(box, {}).get(replica, 0.0) - now)

    def of_box(self, box: str, now: float) -> dict[str, float]:
        """Return for how many seconds a box must leave which engines alone."""
        held = self.by_box.get(box, {})
        return {name: until - now for name, until in held.items() if until > now}

    def first_back_s(self, box: str, replicas: Iterable[str], now: float) -> float:
        """Return when a box may have a run at the first of some engines, 0 for now or none."""
        if box not in self.by_box:
            return 0.0
        return min((self.left_s(box, name, now) for name in replicas), default=0.0)

    def is_shunned(self, replica: str, now: float) -> bool:
        """Tell whether an engine has turned calls away of late, whoever sent them."""
        shun = self.shuns.get(replica)
        return shun is not None and shun.until > now

    def in_trial(self, replica: str, now: float) -> bool:
        """Tell whether the first run after an engine had turned calls away is still awaited."""
        shun = self.shuns.get(replica)
        return shun is not None and shun.trial_until > now

    def on_placed(self, replica: str, now: float) -> None:
        """Note a run that is placed; after a while of turning away it goes alone."""
        shun = self.shuns.get(replica)
        if shun is not None:
            shun.trial_until = now + TRIAL_S

    def on_started(self, replica: str, placed_at: float, now: float) -> None:
        """Note a run that has begun: the engine takes calls again, if it was asked since."""
        shun = self.shuns.get(replica)
        if shun is not None and shun.until <= now and placed_at >= shun.turned_away_at:
            del self.shuns[replica]

    def on_turned_away(self, replica: str, now: float) -> None:
        """Note a run that was turned away, for which the engine need not have asked anything."""
        shun = self.shuns.setdefault(replica, Shun())
        shun.turned_away += 1
        shun.turned_away_at = now
        shun_s = min(MAX_SHUN_S, LEAST_SHUN_S * 2 ** (shun.turned_away - 1))
        shun.until = max(shun.until, now + shun_s)
        shun.trial_until = -math.inf

    def expire(self, now: float) -> None:
        """Forget what is over."""
        for box, held in list(self.by_box.items()):
            self.by_box[box] = {name: until for name, until in held.items() if until > now}
            if not self.by_box[box]:
                del self.by_box[box]
        old = [name for name, shun in self.shuns.items() if shun.until + FORGET_S <= now]
        for name in old:
            del self.shuns[name]
