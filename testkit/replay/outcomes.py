"""Evaluate the outcomes of the requests of a replay."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from testkit.replay.load import Arrival

WINDOW_S = 2.0


class Outcome(NamedTuple):
    """Hold one request's outcome; `answered_s` counts from its first attempt (`None`: failed)."""

    arrival: Arrival
    answered_s: float | None
    refusals: int

    @property
    def in_time(self) -> bool:
        """Tell whether the answer began within the objective."""
        return self.answered_s is not None and self.answered_s <= self.arrival.kind.objective_s

    @property
    def worth(self) -> float:
        """Return the worth of the answer, timed from the caller's first attempt."""
        kind = self.arrival.kind
        if self.in_time:
            return kind.worth
        return kind.late_worth if self.answered_s is not None else 0.0


class Figures(NamedTuple):
    """Hold the figures of one replay; shares are earned worth divided by possible worth.

    Bytes and tokens are totals. `others` are the shares by kind of the workspaces that do not
    flood, `all_others` that of all their kinds together, `max_cold_starts` is the most runs that
    one cold engine got within a second.
    """

    worth: float
    worst_window: float
    by_kind: dict[str, float]
    by_workspace: dict[str, float]
    others: dict[str, float]
    refused: int
    reread_tokens: int
    cross_domain_bytes: int
    stage_work_s: float
    calls: int
    rejected_for_space: int
    max_cold_starts: int
    cost_ms: float
    all_others: float = 0.0


def worth_share(outcomes: list[Outcome]) -> float:
    """Return the earned worth divided by the possible worth."""
    owed = sum(item.arrival.kind.worth for item in outcomes)
    return sum(item.worth for item in outcomes) / owed if owed else 1.0


def worth_by_kind(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the share of worth earned for each kind."""
    names = {item.arrival.kind.name for item in outcomes}
    return {
        name: worth_share([item for item in outcomes if item.arrival.kind.name == name])
        for name in sorted(names)
    }


def worth_by_workspace(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the share of worth earned for each workspace."""
    names = {item.arrival.workspace for item in outcomes}
    return {
        name: worth_share([item for item in outcomes if item.arrival.workspace == name])
        for name in sorted(names)
    }


def min_window_share(outcomes: list[Outcome]) -> float:
    """Return the smallest share of worth earned over windows of `WINDOW_S`."""
    last = max((item.arrival.at for item in outcomes), default=0.0)
    starts = [number * WINDOW_S / 2 for number in range(int(last / WINDOW_S) * 2)]
    windows = [
        [item for item in outcomes if start <= item.arrival.at < start + WINDOW_S]
        for start in starts
    ]
    return min((worth_share(window) for window in windows if window), default=1.0)
