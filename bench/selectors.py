"""Define endpoint selectors that the bench compares with the one in use."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.routing.selectors import Selector

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from calicopath_core.routing.replicas import Replica
    from testkit.fake_endpoints import FakeFleet

POLL_INTERVAL_S = 0.5
MAX_REPORT_AGE_S = 2.0


class RandomSelector(Selector):
    """Choose a candidate at random."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng

    def choose(self, candidates: Sequence[Replica], affinity: str | None) -> Replica:
        """Return a random candidate."""
        return self.rng.choice(candidates)


class LoadReport(NamedTuple):
    """Hold an endpoint's reported load, and this box's calls in flight at `read_at`."""

    load: int
    own_calls: int
    read_at: float


class ReportedLoads:
    """Poll the load of every endpoint, as it was `lag_s` ago."""

    def __init__(self, *, fleet: FakeFleet, lag_s: float) -> None:
        self.fleet = fleet
        self.lag_s = lag_s
        self.history: dict[str, list[tuple[float, int]]] = {}
        self.reports: dict[str, LoadReport] = {}
        self.drops_every_other = False

    async def run(self, replicas: dict[str, Replica]) -> None:
        """Poll until cancelled; skip every other poll while `drops_every_other` is set."""
        reads = 0
        while True:
            reads += 1
            now = asyncio.get_running_loop().time()
            for name, item in self.fleet.endpoints.items():
                waiting = sum(not future.done() for _, _, future in item.waiting)
                self.history.setdefault(name, []).append((now, item.running + waiting))
                old = [load for at, load in self.history[name] if at <= now - self.lag_s]
                if old and name in replicas and not (self.drops_every_other and reads % 2):
                    self.reports[name] = LoadReport(old[-1], replicas[name].in_flight, now)
            await asyncio.sleep(POLL_INTERVAL_S)


class LeastLoadedSelector(Selector):
    """Choose the least reported load.

    Boxes that use the same late report choose the same endpoint and overload it.
    """

    def __init__(self, *, rng: random.Random, loads: ReportedLoads) -> None:
        self.rng = rng
        self.reported_loads = loads

    def choose(self, candidates: Sequence[Replica], affinity: str | None) -> Replica:
        """Return the candidate with the least reported load, at random among equals."""
        return min(candidates, key=lambda replica: (self.load_of(replica), self.rng.random()))

    def load_of(self, replica: Replica) -> float:
        """Return the reported load, or this box's calls in flight without a report."""
        report = self.reported_loads.reports.get(replica.name)
        return float(report.load if report else replica.in_flight)


class TwoChoicesSelector(LeastLoadedSelector):
    """Choose the less loaded of two random candidates, by reports and this box's own calls."""

    def choose(self, candidates: Sequence[Replica], affinity: str | None) -> Replica:
        """Return the less loaded of two random candidates."""
        drawn = self.rng.sample(list(candidates), min(2, len(candidates)))
        return min(drawn, key=self.load_of)

    def load_of(self, replica: Replica) -> float:
        """Return the calls of this box and an estimate of the others', scaled by slowness.

        The estimate falls to 0 as the report reaches `MAX_REPORT_AGE_S`.
        """
        report = self.reported_loads.reports.get(replica.name)
        if report is None:
            return replica.slowness.value * replica.in_flight
        age = asyncio.get_running_loop().time() - report.read_at
        others = max(0, report.load - report.own_calls) * max(0.0, 1.0 - age / MAX_REPORT_AGE_S)
        return replica.slowness.value * (replica.in_flight + others + 1)
