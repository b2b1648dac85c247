"""Print every slope behind docs/CAPACITY.md, and what follows at the size to design for."""

from __future__ import annotations

import argparse
import multiprocessing
from typing import TYPE_CHECKING, Any

from bench.claiming import Claiming, measure_claims
from bench.daemons import Control, measure_daemons
from bench.slopes import Slope, measure_all
from bench.spreading import Spread, measure_fleet
from calicopath_core.claims.executors import GroupingConfig

if TYPE_CHECKING:
    from collections.abc import Sequence

BOXES = 1700
REPLICAS_A_MODEL = 12_000 // 14
WORKSPACES = 6400
PIPELINES_A_WORKSPACE = 3
ENDPOINTS = 12_000
CHANGES_A_SECOND = 56_000 / 86_400
PEAK_FACTOR = 5
FLEETS = (8, 32, 128, 400)
DAEMONS = (1, 2, 4, 8)
TODAY = GroupingConfig()
LARGE = GroupingConfig(shards=64, slot_s=1, write_interval_s=0.2)
CLAIMS = (
    (8, 50.0, TODAY, False),
    (8, 50.0, TODAY, True),
    (8, 200.0, TODAY, False),
    (8, 200.0, TODAY, True),
    (64, 900.0, TODAY, False),
    (64, 900.0, TODAY, True),
    (64, 900.0, LARGE, True),
)
HEARTBEATS_A_SECOND = 3
TICKS_A_SECOND = 20
PUSHES_A_CHANGE = 4


def print_tuples(title: str, rows: Sequence[Any]) -> None:
    """Print named tuples as a table."""
    print(f'\n{title}')
    print('  '.join(f'{name:>14}' for name in rows[0]._fields))
    for row in rows:
        print(
            '  '.join(
                f'{value:14.3f}' if isinstance(value, float) else f'{value:14}' for value in row
            )
        )


def print_slopes(slopes: list[Slope]) -> dict[str, float]:
    """Print slopes and return them by name."""
    print('\nslopes of one box')
    for slope in slopes:
        print(f'{slope.name:58} {slope.value:12.1f} {slope.unit}')
    return {slope.name: slope.value for slope in slopes}


def print_budget(slopes: dict[str, float]) -> None:
    """Print what one box spends on control at the design size: slope times size."""
    objects = ENDPOINTS + WORKSPACES * PIPELINES_A_WORKSPACE + 22
    peak = CHANGES_A_SECOND * PEAK_FACTOR
    heartbeat_us = slopes[f'time to receive a heartbeat, {BOXES} boxes']
    change_us = slopes['time of a changed endpoint, with push']
    parts = {
        'send heartbeats': slopes[f'time to send heartbeats, {BOXES} boxes'],
        'receive heartbeats': HEARTBEATS_A_SECOND * heartbeat_us,
        'choose the role': slopes[f'time to choose the role, {BOXES} boxes'],
        'ticks': TICKS_A_SECOND * slopes['time of an idle tick'],
        'changes at the peak': peak * change_us,
        'pushes received again': peak * (PUSHES_A_CHANGE - 1) * heartbeat_us,
    }
    print(
        f'\none box at the design size: {BOXES} boxes, {objects} objects, peak {peak:.1f} changes/s'
    )
    for name, cost_us in parts.items():
        print(f'  {name:28} {cost_us / 1e4:8.3f}% of a core')
    print(f'  {"sum":28} {sum(parts.values()) / 1e4:8.3f}% of a core')
    heartbeat_bytes = HEARTBEATS_A_SECOND * slopes['size of a heartbeat']
    push_bytes = peak * PUSHES_A_CHANGE * slopes['size of a push of one object']
    print(f'  sent: heartbeats {heartbeat_bytes / 1e3:.1f}, pushes {push_bytes / 1e3:.1f} KB/s')
    print(f'  configuration {objects * slopes["memory an object"] / 1e6:.1f} MB')
    whole_mb = objects * slopes['size of an object on the wire'] / 1e6
    load_s = objects * slopes['time to load an object'] / 1e6
    print(f'  reading everything: {whole_mb:.1f} MB and {load_s:.2f} s of processor time')


def main() -> None:
    """Measure and print everything."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--without-daemons', action='store_true')
    flags = parser.parse_args()
    objects = (WORKSPACES, PIPELINES_A_WORKSPACE, ENDPOINTS)
    slopes = print_slopes(measure_all(objects, BOXES, REPLICAS_A_MODEL))
    print_budget(slopes)
    with multiprocessing.get_context('spawn').Pool(4) as pool:
        spreads: list[Spread] = pool.map(measure_fleet, FLEETS, chunksize=1)
        claims: list[Claiming] = pool.starmap(measure_claims, CLAIMS, chunksize=1)
    print_tuples('spreading, many boxes in one process on virtual time', spreads)
    print_tuples('claims, on virtual time', claims)
    if not flags.without_daemons:
        daemons: list[Control] = [measure_daemons(count) for count in DAEMONS]
        print_tuples('real daemons', daemons)


if __name__ == '__main__':
    main()
