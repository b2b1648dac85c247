"""Count what callers got in a replay."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from testkit.replay.load import Arrival

WINDOW_S = 2.0


class Outcome(NamedTuple):
    """Hold how one request ended: `answered_s` after its first try, or nothing; refusals."""

    arrival: Arrival
    answered_s: float | None
    refusals: int

    @property
    def in_time(self) -> bool:
        """Tell whether the answer began within the objective."""
        return self.answered_s is not None and self.answered_s <= self.arrival.kind.objective_s

    @property
    def worth(self) -> float:
        """Return what the answer was worth, from the caller's first try on."""
        kind = self.arrival.kind
        if self.in_time:
            return kind.worth
        return kind.late_worth if self.answered_s is not None else 0.0


class Figures(NamedTuple):
    """Hold the figures of one replay; shares are of worth owed, bytes and tokens are totals.

    `others` are the shares by kind of the workspaces that do not flood, `max_cold_starts` the most
    runs that reached one cold engine within a second.
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


def worth_share(outcomes: list[Outcome]) -> float:
    """Return the worth earned of that owed."""
    owed = sum(item.arrival.kind.worth for item in outcomes)
    return sum(item.worth for item in outcomes) / owed if owed else 1.0


def worth_by_kind(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the share earned of each kind."""
    names = {item.arrival.kind.name for item in outcomes}
    return {
        name: worth_share([item for item in outcomes if item.arrival.kind.name == name])
        for name in sorted(names)
    }


def worth_by_workspace(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the share earned of each workspace."""
    names = {item.arrival.workspace for item in outcomes}
    return {
        name: worth_share([item for item in outcomes if item.arrival.workspace == name])
        for name in sorted(names)
    }


def min_window_share(outcomes: list[Outcome]) -> float:
    """Return the least share earned of the requests sent within a window."""
    last = max((item.arrival.at for item in outcomes), default=0.0)
    starts = [number * WINDOW_S / 2 for number in range(int(last / WINDOW_S) * 2)]
    windows = [
        [item for item in outcomes if start <= item.arrival.at < start + WINDOW_S]
        for start in starts
    ]
    return min((worth_share(window) for window in windows if window), default=1.0)
