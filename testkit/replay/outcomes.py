"""Evaluate the outcomes of the requests of a replay."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from testkit.replay.load import Arrival

WINDOW_S = 2.0

EARLY_REFUSAL_SHARE = 0.25
"""A refusal within this share of the objective is early: the objective then counts from the
retry."""


class Outcome(NamedTuple):
    """Hold one request's outcome; `answered_s` counts from its first attempt (`None`: failed).

    `retry_answered_s` counts from the last attempt of a request that was refused early, and is
    `None` for requests that were not, or were not answered.
    """

    arrival: Arrival
    answered_s: float | None
    refusals: int
    retry_answered_s: float | None = None

    @property
    def in_time(self) -> bool:
        """Tell whether the answer began within the objective of the attempt that counts."""
        took_s = self.answered_s if self.retry_answered_s is None else self.retry_answered_s
        return took_s is not None and took_s <= self.arrival.kind.objective_s

    @property
    def worth(self) -> float:
        """Return the worth of the answer: the mean of full and late for one in time on a retry."""
        kind = self.arrival.kind
        if self.in_time and self.retry_answered_s is not None:
            return (kind.worth + kind.late_worth) / 2
        if self.in_time:
            return kind.worth
        return kind.late_worth if self.answered_s is not None else 0.0


class Figures(NamedTuple):
    """Hold the figures of one replay; shares are earned worth divided by possible worth.

    `in_time` is the share of requests answered in time, at the first attempt or on a retry after an
    early refusal. Bytes and tokens are totals. `others` are the shares by kind of the workspaces
    that do not flood, `all_others` that of all their kinds together, `max_cold_starts` is the most
    runs that one cold engine got within a second. `undecided` requests reached their deadline
    without an answer, `unanswered` ones were refused by their own boxes, `rejected` are the
    scheduler's rejections by reason, and `calls_by_second` the stage calls begun in each second.
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
    undecided: int = 0
    unanswered: int = 0
    rejected: dict[str, int] = {}
    calls_by_second: tuple[int, ...] = ()
    in_time: float = 0.0
    all_others: float = 0.0


def worth_share(outcomes: list[Outcome]) -> float:
    """Return the earned worth divided by the possible worth."""
    owed = sum(item.arrival.kind.worth for item in outcomes)
    return sum(item.worth for item in outcomes) / owed if owed else 1.0


def in_time_share(outcomes: list[Outcome]) -> float:
    """Return the share of requests that were answered in time."""
    return sum(item.in_time for item in outcomes) / max(1, len(outcomes))


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


def count_by_second(times: list[float]) -> tuple[int, ...]:
    """Return how many of some times lie in each second."""
    counts = Counter(int(at) for at in times)
    return tuple(counts[second] for second in range(max(counts, default=-1) + 1))
