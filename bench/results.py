"""Compute the users' measures from the request records of a run."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, NamedTuple

from bench.simulation import DEADLINE_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bench.simulation import RequestRecord, World

HIGH_PRIORITY = 7
LOW_PRIORITY = 4


class Measures(NamedTuple):
    """Hold the measures of one run; shares are between 0 and 1.

    `attainment` is the share of requests answered in time, `high` and `low` that of high and low
    priority. `goodput` is the rate of requests answered in time, as a share of the capacity.
    `cost_ms` is the endpoints' busy time per request answered in time, `drafting_ms` that of
    generation alone. `thrown_away` is the share of busy time spent on other requests. `spread` is
    the difference between the attainments of the best and the worst served workspace.
    """

    requests: int
    attainment: float
    high: float
    low: float
    goodput: float
    first_token_p95_ms: float
    token_p95_ms: float
    cost_ms: float
    drafting_ms: float
    thrown_away: float
    refused: float
    refused_after_ms: float
    failed: float
    spread: float


def attained_share(records: Sequence[RequestRecord]) -> float:
    """Return the share of requests answered in time, 1 for no requests."""
    return sum(is_answered_in_time(record) for record in records) / len(records) if records else 1.0


def is_answered_in_time(record: RequestRecord) -> bool:
    """Tell whether a request was completely answered within its deadline."""
    return record.outcome == 'answered' and record.duration_s <= DEADLINE_S


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return a percentile, 0 for no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def measure(world: World, duration_s: float) -> Measures:
    """Return the measures of a run whose requests arrived over `duration_s`."""
    records = world.records
    in_time = [record for record in records if is_answered_in_time(record)]
    not_in_time = [record for record in records if not is_answered_in_time(record)]
    refused = [record for record in records if record.outcome == 'refused']
    failed = [record for record in records if record.outcome == 'failed']
    busy_s = sum(sum(record.busy_s.values()) for record in records)
    wasted_s = sum(sum(record.busy_s.values()) for record in not_in_time)
    drafting_s = sum(record.busy_s.get('drafting', 0.0) for record in records)
    workspaces = {record.workspace for record in records}
    shares = [
        attained_share([item for item in records if item.workspace == name]) for name in workspaces
    ]
    in_time_count = max(1, len(in_time))
    return Measures(
        requests=len(records),
        attainment=attained_share(records),
        high=attained_share([item for item in records if item.priority >= HIGH_PRIORITY]),
        low=attained_share([item for item in records if item.priority <= LOW_PRIORITY]),
        goodput=len(in_time) / duration_s / world.deployment.capacity_per_s,
        first_token_p95_ms=1000
        * percentile(
            (item.first_token_s for item in in_time if item.first_token_s is not None), 0.95
        ),
        token_p95_ms=1000
        * percentile((item.token_gap_s for item in in_time if item.token_gap_s is not None), 0.95),
        cost_ms=1000 * busy_s / in_time_count,
        drafting_ms=1000 * drafting_s / in_time_count,
        thrown_away=wasted_s / busy_s if busy_s else 0.0,
        refused=len(refused) / max(1, len(records)),
        refused_after_ms=1000 * percentile((item.duration_s for item in refused), 0.5),
        failed=len(failed) / max(1, len(records)),
        spread=max(shares) - min(shares),
    )


class Summary(NamedTuple):
    """Hold minimum, median and maximum of a measure over the seeds."""

    low: float
    median: float
    high: float


def summarise(runs: Sequence[Measures]) -> dict[str, Summary]:
    """Return the summary over the runs by the name of the measure."""
    return {
        name: Summary(min(values), statistics.median(values), max(values))
        for name, values in zip(Measures._fields, zip(*runs, strict=True), strict=True)
    }
