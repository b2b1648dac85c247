"""Hold ways of choosing an endpoint that were measured and not kept."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.routing.selectors import Selector

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from calicopath_core.routing.replicas import Replica
    from testkit.fake_endpoints import FakeFleet

POLL_S = 0.5
MAX_AGE_S = 2.0


class RandomSelector(Selector):
    """Choose at random."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng

    def choose(self, candidates: Sequence[Replica], affinity: str | None) -> Replica:
        """Return any candidate."""
        return self.rng.choice(candidates)


class Report(NamedTuple):
    """Hold what an endpoint said of its load, and our own calls when it was read."""

    load: int
    own: int
    read_at: float


class ReportedLoads:
    """Read every endpoint's load now and then, as it was `lag_s` ago."""

    def __init__(self, *, fleet: FakeFleet, lag_s: float) -> None:
        self.fleet = fleet
        self.lag_s = lag_s
        self.history: dict[str, list[tuple[float, int]]] = {}
        self.reports: dict[str, Report] = {}
        self.gap = False

    async def run(self, own: dict[str, Replica]) -> None:
        """Poll until cancelled; every other read is left out while `gap` is on."""
        reads = 0
        while True:
            reads += 1
            now = asyncio.get_running_loop().time()
            for name, item in self.fleet.endpoints.items():
                waiting = sum(not future.done() for _, _, future in item.waiting)
                self.history.setdefault(name, []).append((now, item.running + waiting))
                old = [load for at, load in self.history[name] if at <= now - self.lag_s]
                if old and name in own and not (self.gap and reads % 2):
                    self.reports[name] = Report(old[-1], own[name].in_flight, now)
            await asyncio.sleep(POLL_S)


class LeastLoadedSelector(Selector):
    """Choose the least load reported; boxes that trust the same late report herd."""

    def __init__(self, *, rng: random.Random, loads: ReportedLoads) -> None:
        self.rng = rng
        self.loads = loads

    def choose(self, candidates: Sequence[Replica], affinity: str | None) -> Replica:
        """Return the candidate with the least reported load."""
        return min(candidates, key=lambda replica: (self.load(replica), self.rng.random()))

    def load(self, replica: Replica) -> float:
        """Return the load as reported."""
        report = self.loads.reports.get(replica.name)
        return float(report.load if report else replica.in_flight)


class TwoChoicesSelector(LeastLoadedSelector):
    """Draw two candidates and take the less loaded, correcting the report by our own calls."""

    def choose(self, candidates: Sequence[Replica], affinity: str | None) -> Replica:
        """Return the better of two candidates."""
        drawn = self.rng.sample(list(candidates), min(2, len(candidates)))
        return min(drawn, key=self.load)

    def load(self, replica: Replica) -> float:
        """Return our calls and an ageing estimate of the other boxes'."""
        report = self.loads.reports.get(replica.name)
        if report is None:
            return replica.slowness.value * replica.in_flight
        age = asyncio.get_running_loop().time() - report.read_at
        others = max(0, report.load - report.own) * max(0.0, 1.0 - age / MAX_AGE_S)
        return replica.slowness.value * (replica.in_flight + others + 1)
