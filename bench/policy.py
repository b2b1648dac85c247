"""Compare policies over all scenarios in simulation; `make bench` runs it.

The same seed gives the same figures.
"""

from __future__ import annotations

import argparse
import itertools
import multiprocessing
import sys
from pathlib import Path
from typing import NamedTuple

import msgspec

from bench.deployments import DEPLOYMENTS, POKANA, RAVI
from bench.results import Measures, Summary, measure, summarise
from bench.scenarios import DURATION_S, SCENARIOS, Scenario, run_scenario
from bench.simulation import World
from bench.variants import VARIANTS
from calicopathd.logs import set_up_logs
from testkit.virtual import run_virtual

TARGET_DEPLOYMENTS = (RAVI.name, POKANA.name)
"""Names of the deployments whose results are compared with targets."""

SEEDS = 5
WORKERS = 6
COLUMNS = (
    'attainment',
    'high',
    'low',
    'goodput',
    'first_token_p95_ms',
    'token_p95_ms',
    'cost_ms',
    'thrown_away',
    'refused',
    'refused_after_ms',
    'failed',
    'spread',
)
HEADERS = (
    'attain',
    'high',
    'low',
    'goodput',
    'first95',
    'gap95',
    'cost ms',
    'thrown',
    'refused',
    'ref. ms',
    'failed',
    'spread',
)


class RunSpec(NamedTuple):
    """Identify one run by its deployment, scenario, variant and seed."""

    deployment: str
    scenario: str
    variant: str
    seed: int


class Row(NamedTuple):
    """Hold the summaries by measure of one deployment, scenario and variant over all seeds."""

    deployment: str
    scenario: str
    variant: str
    measures: dict[str, Summary]


def find_scenario(name: str) -> Scenario:
    """Return the scenario of a name."""
    return next(item for item in SCENARIOS if item.name == name)


def execute_run(spec: RunSpec) -> Measures:
    """Simulate one run in this process, with only errors logged."""
    set_up_logs(level='ERROR', json=True, box='bench')
    return run_virtual(simulate(spec))


async def simulate(spec: RunSpec) -> Measures:
    """Run the scenario in a new world and return its measures."""
    world = World(
        deployment=DEPLOYMENTS[spec.deployment], variant=VARIANTS[spec.variant], seed=spec.seed
    )
    await run_scenario(world, find_scenario(spec.scenario))
    return measure(world, DURATION_S)


def run_all(specs: list[RunSpec], workers: int) -> dict[RunSpec, Measures]:
    """Execute runs on worker processes, or in this process for one worker."""
    if workers == 1:
        return {spec: execute_run(spec) for spec in specs}
    with multiprocessing.get_context('spawn').Pool(workers) as pool:
        return dict(zip(specs, pool.map(execute_run, specs, chunksize=1), strict=True))


def summary_rows(results: dict[RunSpec, Measures]) -> list[Row]:
    """Return one row for each deployment, scenario and variant, in the order of the runs."""
    keys = list(dict.fromkeys(spec[:3] for spec in results))
    return [
        Row(*key, summarise([measures for spec, measures in results.items() if spec[:3] == key]))
        for key in keys
    ]


def format_cell(name: str, value: float) -> str:
    """Return a figure as text: shares in percent, times in milliseconds."""
    if name.endswith('_ms'):
        return f'{value:.0f}'
    return f'{100 * value:.1f}'


def print_rows(rows: list[Row]) -> None:
    """Print the medians of all columns, and the range of the attainment."""
    print(f'{"deployment":16}{"scenario":18}{"variant":14}', *(f'{name:>8}' for name in HEADERS))
    for row in rows:
        cells = [format_cell(name, row.measures[name].median) for name in COLUMNS]
        low, _, high = row.measures['attainment']
        print(
            f'{row.deployment:16}{row.scenario:18}{row.variant:14}',
            *(f'{cell:>8}' for cell in cells),
            f'  [{100 * low:.1f}..{100 * high:.1f}]',
        )


def missed_targets(rows: list[Row]) -> list[str]:
    """Return a line for each target that our policy misses on a target deployment."""
    by_run = {(row.deployment, row.scenario, row.variant): row.measures for row in rows}
    missed = []
    for (deployment, scenario, variant), measures in by_run.items():
        naive = by_run.get((deployment, scenario, 'naive'))
        if variant != 'calicopath' or naive is None or deployment not in TARGET_DEPLOYMENTS:
            continue
        healthy = by_run[deployment, 'steady', 'calicopath']
        label = f'{deployment} {scenario}'
        missed += scenario_misses(label, scenario, measures, naive, healthy)
    return missed


def scenario_misses(
    label: str,
    scenario: str,
    ours: dict[str, Summary],
    naive: dict[str, Summary],
    healthy: dict[str, Summary],
) -> list[str]:
    """Return a line for each target that the medians of one scenario miss."""
    missed = []

    def check_target(name: str, value: float, bound: float, *, at_least: bool) -> None:
        if (value < bound) if at_least else (value > bound):
            missed.append(f'{label}: {name} {value:.3f}, target {bound:.3f}')

    attained = ours['attainment'].median
    check_target('attainment against naive', attained, naive['attainment'].median, at_least=True)
    check_target('thrown away', ours['thrown_away'].median, 0.05, at_least=False)
    if scenario == 'overload':
        check_target('goodput', ours['goodput'].median, 0.9, at_least=True)
    if scenario == 'slow-replica':
        check_target('attainment', attained, healthy['attainment'].median - 0.02, at_least=True)
    if scenario == 'steady':
        check_target('cost', ours['cost_ms'].median, naive['cost_ms'].median, at_least=False)
    return missed


def plot(rows: list[Row], path: Path) -> None:
    """Draw a bar chart per deployment of the median attainment by scenario and variant."""
    import matplotlib

    matplotlib.use('Agg')
    import matplotlib.pyplot as plt

    deployments = list(dict.fromkeys(row.deployment for row in rows))
    figure, axes = plt.subplots(len(deployments), 1, figsize=(11, 4 * len(deployments)))
    for axis, deployment in zip(axes if len(deployments) > 1 else [axes], deployments, strict=True):
        chosen = [row for row in rows if row.deployment == deployment]
        variants = list(dict.fromkeys(row.variant for row in chosen))
        scenarios = list(dict.fromkeys(row.scenario for row in chosen))
        width = 0.8 / len(variants)
        for index, variant in enumerate(variants):
            values = [
                next(
                    row.measures['attainment'].median
                    for row in chosen
                    if (row.scenario, row.variant) == (scenario, variant)
                )
                for scenario in scenarios
            ]
            positions = [place + index * width for place in range(len(scenarios))]
            axis.bar(positions, values, width, label=variant)
        axis.set_xticks(range(len(scenarios)), scenarios, rotation=25, ha='right')
        axis.set_ylabel('attainment')
        axis.set_title(deployment)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)


def parse_flags() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--variants', default='naive,calicopath')
    parser.add_argument('--scenarios', default=','.join(item.name for item in SCENARIOS))
    parser.add_argument('--deployments', default=','.join(TARGET_DEPLOYMENTS))
    parser.add_argument('--seeds', type=int, default=SEEDS)
    parser.add_argument('--workers', type=int, default=WORKERS)
    parser.add_argument('--json', type=Path, help='file for all summaries')
    parser.add_argument('--plot', type=Path, help='file for a picture of the attainment')
    return parser.parse_args()


def main() -> int:
    """Execute the selected runs, and print their figures and the missed targets."""
    flags = parse_flags()
    names = itertools.product(
        flags.deployments.split(','), flags.scenarios.split(','), flags.variants.split(',')
    )
    specs = [RunSpec(*name, seed) for name in names for seed in range(1, flags.seeds + 1)]
    rows = summary_rows(run_all(specs, flags.workers))
    print_rows(rows)
    if flags.json:
        flags.json.write_bytes(msgspec.json.encode([row._asdict() for row in rows]))
    if flags.plot:
        plot(rows, flags.plot)
    missed = missed_targets(rows) if 'steady' in flags.scenarios else []
    print(f'targets missed: {len(missed)}')
    for line in missed:
        print(f'  {line}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
