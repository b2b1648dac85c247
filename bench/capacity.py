"""Print the measured costs behind docs/CAPACITY.md and their sum at the design size."""

from __future__ import annotations

import argparse
import multiprocessing
from typing import TYPE_CHECKING, Any

from bench.claiming import ClaimFigures, measure_claims
from bench.daemons import DaemonFigures, measure_daemons
from bench.slopes import Measurement, measure_all
from bench.spreading import SpreadFigures, measure_fleet
from calicopath_core.claims.executors import GroupingConfig

if TYPE_CHECKING:
    from collections.abc import Sequence

BOXES = 1700
REPLICAS_PER_MODEL = 12_000 // 14
WORKSPACES = 6400
PIPELINES_PER_WORKSPACE = 3
ENDPOINTS = 12_000
CHANGES_PER_S = 56_000 / 86_400
PEAK_FACTOR = 5
FLEET_SIZES = (8, 32, 128, 400)
DAEMON_COUNTS = (1, 2, 4, 8)
CURRENT_GROUPING = GroupingConfig()
LARGE_GROUPING = GroupingConfig(shards=64, slot_s=1, write_interval_s=0.2)
CLAIM_RUNS = (
    (8, 50.0, CURRENT_GROUPING, False),
    (8, 50.0, CURRENT_GROUPING, True),
    (8, 200.0, CURRENT_GROUPING, False),
    (8, 200.0, CURRENT_GROUPING, True),
    (64, 900.0, CURRENT_GROUPING, False),
    (64, 900.0, CURRENT_GROUPING, True),
    (64, 900.0, LARGE_GROUPING, True),
)
HEARTBEATS_PER_S = 3
TICKS_PER_S = 20
PUSHES_PER_CHANGE = 4


def print_table(title: str, rows: Sequence[Any]) -> None:
    """Print named tuples of one type as a table, with the field names as headings."""
    print(f'\n{title}')
    print('  '.join(f'{name:>14}' for name in rows[0]._fields))
    for row in rows:
        print(
            '  '.join(
                f'{value:14.3f}' if isinstance(value, float) else f'{value:14}' for value in row
            )
        )


def print_measurements(measurements: list[Measurement]) -> dict[str, float]:
    """Print measurements and return their values by name."""
    print('\nslopes of one box')
    for measurement in measurements:
        print(f'{measurement.name:58} {measurement.value:12.1f} {measurement.unit}')
    return {measurement.name: measurement.value for measurement in measurements}


def print_box_cost(values: dict[str, float]) -> None:
    """Print the control cost of one box at the design size, scaled from the measured costs."""
    objects = ENDPOINTS + WORKSPACES * PIPELINES_PER_WORKSPACE + 22
    peak_changes_per_s = CHANGES_PER_S * PEAK_FACTOR
    heartbeat_us = values[f'time to receive a heartbeat, {BOXES} boxes']
    change_us = values['time of a changed endpoint, with push']
    costs_us = {
        'send heartbeats': values[f'time to send heartbeats, {BOXES} boxes'],
        'receive heartbeats': HEARTBEATS_PER_S * heartbeat_us,
        'choose the role': values[f'time to choose the role, {BOXES} boxes'],
        'ticks': TICKS_PER_S * values['time of an idle tick'],
        'changes at the peak': peak_changes_per_s * change_us,
        'pushes received again': peak_changes_per_s * (PUSHES_PER_CHANGE - 1) * heartbeat_us,
    }
    print(
        f'\none box at the design size: {BOXES} boxes, {objects} objects, '
        f'peak {peak_changes_per_s:.1f} changes/s'
    )
    for name, cost_us in costs_us.items():
        print(f'  {name:28} {cost_us / 1e4:8.3f}% of a core')
    print(f'  {"sum":28} {sum(costs_us.values()) / 1e4:8.3f}% of a core')
    heartbeat_bytes = HEARTBEATS_PER_S * values['size of a heartbeat']
    push_bytes = peak_changes_per_s * PUSHES_PER_CHANGE * values['size of a push of one object']
    print(f'  sent: heartbeats {heartbeat_bytes / 1e3:.1f}, pushes {push_bytes / 1e3:.1f} KB/s')
    print(f'  configuration {objects * values["memory an object"] / 1e6:.1f} MB')
    whole_mb = objects * values['size of an object on the wire'] / 1e6
    load_s = objects * values['time to load an object'] / 1e6
    print(f'  reading everything: {whole_mb:.1f} MB and {load_s:.2f} s of processor time')


def main() -> None:
    """Run all capacity measurements and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--without-daemons', action='store_true')
    flags = parser.parse_args()
    objects = (WORKSPACES, PIPELINES_PER_WORKSPACE, ENDPOINTS)
    values = print_measurements(measure_all(objects, BOXES, REPLICAS_PER_MODEL))
    print_box_cost(values)
    with multiprocessing.get_context('spawn').Pool(4) as pool:
        spreads: list[SpreadFigures] = pool.map(measure_fleet, FLEET_SIZES, chunksize=1)
        claims: list[ClaimFigures] = pool.starmap(measure_claims, CLAIM_RUNS, chunksize=1)
    print_table('spreading, many boxes in one process on virtual time', spreads)
    print_table('claims, on virtual time', claims)
    if not flags.without_daemons:
        daemons: list[DaemonFigures] = [measure_daemons(count) for count in DAEMON_COUNTS]
        print_table('real daemons', daemons)


if __name__ == '__main__':
    main()
