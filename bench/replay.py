"""Compare the scheduler with variants that simplify its mechanisms, on named load patterns.

`python -m bench.replay` prints a table of medians and ranges over seeds; `--cost` prints the
processor time per job by the number of boxes, and per decision by the number of waiting jobs;
`--picture FILE` draws the worth as an SVG. With `--share`, decisions take time, and the table shows
what the scheduler was too busy for.
"""

from __future__ import annotations

import argparse
import multiprocessing
import statistics
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.scheduling.shedding import BUSY_REASON
from testkit.replay.crowd import measure_cpu_ms, measure_decisions
from testkit.replay.fleet import FLEETS, USUAL_BOXES, fleet_of
from testkit.replay.load import CLUSTERED_PATTERNS, LENGTH_S, PATTERNS
from testkit.replay.plain import VARIANTS as PLAIN_VARIANTS
from testkit.replay.processor import MeasuredCost
from testkit.replay.shares import SHARE_VARIANTS
from testkit.replay.world import replay
from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    from testkit.replay.outcomes import Figures

SEEDS = (1, 2, 3)
COMPETING_FLEETS = ('contended', 'contended-moments', 'uneven')
VARIANTS = (*PLAIN_VARIANTS, *SHARE_VARIANTS)
COST_BOXES = (30, 86, 110, 195, 333)
COST_WAITING_JOBS = (50, 500, 5000)
DECISION_BOXES = 86
"""Boxes of the fleet on which single decisions are timed; at 85 boxes, a scheduler stopped deciding
in a burst."""

DECISION_REPEATS = 25
BAR_WIDTH, BAR_HEIGHT, LABEL_WIDTH = 400, 14, 220
COLOURS = ('#20639b', '#3caea3', '#f6d55c', '#ed553b')


class RunSpec(NamedTuple):
    """Identify one replay; `boxes` is the size of the usual fleet, others have their own.

    With a `share`, decisions take the measured processor time on that share of a core.
    """

    pattern: str
    variant: str
    seed: int
    boxes: int
    fleet: str = 'usual'
    share: float | None = None


class Column(NamedTuple):
    """Hold a column's heading, its value in a run's figures, and its number format."""

    name: str
    value_of: Callable[[Figures], float]
    format_spec: str


COLUMNS = (
    Column('worth', lambda item: item.worth, '.3f'),
    Column('worst 2 s', lambda item: item.worst_window, '.3f'),
    Column('least urgent kind, others', lambda item: item.others['patient'], '.3f'),
    Column('least workspace', lambda item: min(item.by_workspace.values()), '.3f'),
    Column('others', lambda item: item.all_others, '.3f'),
    Column('largest workspace', lambda item: item.by_workspace['workspace-0'], '.3f'),
    Column('refused', lambda item: float(item.refused), '.0f'),
    Column('read again, 1,000 tokens', lambda item: item.reread_tokens / 1000, '.0f'),
    Column('between zones, MB', lambda item: item.cross_domain_bytes / 1e6, '.0f'),
)
SHARE_COLUMNS = (
    Column('shed', lambda item: float(item.rejected.get(BUSY_REASON, 0)), '.0f'),
    Column('refused by boxes', lambda item: float(item.unanswered), '.0f'),
    Column('undecided', lambda item: float(item.undecided), '.0f'),
    Column('fewest stage calls a second', lambda item: float(fewest_calls(item)), '.0f'),
)


def fewest_calls(figures: Figures) -> int:
    """Return the fewest stage calls in a second, without the first and the last one."""
    return min(figures.calls_by_second[1 : int(LENGTH_S)], default=0)


def execute_run(spec: RunSpec) -> Figures:
    """Run one replay in this process."""
    variant = next(item for item in VARIANTS if item.name == spec.variant)
    fleet = fleet_of(spec.boxes) if spec.fleet == 'usual' else FLEETS[spec.fleet]()
    return replay(spec.pattern, spec.seed, variant, fleet, spec.share, MeasuredCost())


def run_all(specs: list[RunSpec], workers: int) -> dict[RunSpec, Figures]:
    """Run replays on worker processes."""
    with multiprocessing.get_context('spawn').Pool(workers) as pool:
        return dict(zip(specs, pool.map(execute_run, specs, chunksize=1), strict=True))


def format_cell(column: Column, runs: list[Figures]) -> str:
    """Return the median, minimum and maximum of a column over the seeds."""
    values = [column.value_of(item) for item in runs]
    median, least, most = statistics.median(values), min(values), max(values)
    return (
        f'{median:{column.format_spec}} '
        f'({least:{column.format_spec}} to {most:{column.format_spec}})'
    )


def comparison_table(
    results: dict[RunSpec, Figures], patterns: list[str], variants: list[str]
) -> str:
    """Return the comparison as a Markdown table."""
    has_share = any(spec.share is not None for spec in results)
    columns = (*COLUMNS, *SHARE_COLUMNS) if has_share else COLUMNS
    names = ['pattern', 'variant', *(column.name for column in columns)]
    lines = [f'| {" | ".join(names)} |', f'|{" --- |" * len(names)}']
    for pattern in patterns:
        for variant in variants:
            runs = [
                figures
                for spec, figures in results.items()
                if (spec.pattern, spec.variant) == (pattern, variant)
            ]
            cells = [format_cell(column, runs) for column in columns]
            lines.append(f'| {pattern} | {variant} | {" | ".join(cells)} |')
    return '\n'.join(lines)


def cost_table(results: dict[RunSpec, Figures]) -> str:
    """Return a Markdown table of the scheduler's processor time per job by boxes."""
    lines = ['| boxes | ms of processor time a job |', '| --- | --- |']
    for boxes in COST_BOXES:
        values = [figures.cost_ms for spec, figures in results.items() if spec.boxes == boxes]
        lines.append(
            f'| {boxes} | {statistics.median(values):.2f} '
            f'({min(values):.2f} to {max(values):.2f}) |'
        )
    return '\n'.join(lines)


def decision_table(boxes: int) -> str:
    """Return a Markdown table of the processor time per decision by waiting jobs."""
    measured = {
        waiting: run_virtual(
            measure_decisions(fleet_of(boxes), waiting, DECISION_REPEATS, measure_cpu_ms)
        )
        for waiting in COST_WAITING_JOBS
    }
    kinds = list(measured[COST_WAITING_JOBS[0]])
    lines = [
        f'| waiting jobs, {boxes} boxes | {" | ".join(f"{kind}, ms" for kind in kinds)} |',
        f'|{" --- |" * (len(kinds) + 1)}',
    ]
    for waiting, times in measured.items():
        lines.append(f'| {waiting} | {" | ".join(f"{times[kind]:.3f}" for kind in kinds)} |')
    return '\n'.join(lines)


def draw_bars(results: dict[RunSpec, Figures], patterns: list[str], variants: list[str]) -> str:
    """Return an SVG bar chart of the median worth, with a group of bars per pattern."""
    parts = []
    row = 0
    for pattern in patterns:
        for number, variant in enumerate(variants):
            values = [
                figures.worth
                for spec, figures in results.items()
                if (spec.pattern, spec.variant) == (pattern, variant)
            ]
            worth = statistics.median(values)
            top = row * BAR_HEIGHT
            width = worth * BAR_WIDTH
            parts.append(
                f'<text x="0" y="{top + 11}" font-size="10">{pattern}, {variant}</text>'
                f'<rect x="{LABEL_WIDTH}" y="{top + 2}" width="{width:.1f}" '
                f'height="{BAR_HEIGHT - 4}" fill="{COLOURS[number % len(COLOURS)]}"/>'
                f'<text x="{LABEL_WIDTH + width + 4:.1f}" y="{top + 11}" font-size="10">'
                f'{worth:.3f}</text>'
            )
            row += 1
        row += 1
    size = f'width="{LABEL_WIDTH + BAR_WIDTH + 60}" height="{row * BAR_HEIGHT}"'
    return f'<svg xmlns="http://www.w3.org/2000/svg" {size}>{"".join(parts)}</svg>\n'


def parse_flags() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--patterns',
        help='names, separated by commas; by default those of the fleet: '
        + ', '.join([*PATTERNS, *CLUSTERED_PATTERNS]),
    )
    parser.add_argument('--variants', default='ours', help='names, separated by commas, or all')
    parser.add_argument('--fleet', choices=FLEETS, default='usual')
    parser.add_argument(
        '--shifted',
        action='store_const',
        const='shifted',
        dest='fleet',
        help='use the fleet of the shifted work, as --fleet shifted',
    )
    parser.add_argument('--boxes', type=int, default=USUAL_BOXES)
    parser.add_argument('--share', type=float, help="share of a core of the scheduler's box")
    parser.add_argument('--workers', type=int, default=2)
    parser.add_argument('--cost', action='store_true', help='measure only the cost of a decision')
    parser.add_argument('--picture', type=Path, help='SVG file for a chart of the worth')
    return parser.parse_args()


def main() -> None:
    """Run the selected replays and print a table."""
    options = parse_flags()
    if options.cost:
        specs = [
            RunSpec('burst-all', 'ours', seed, boxes) for boxes in COST_BOXES for seed in SEEDS
        ]
        print(cost_table(run_all(specs, options.workers)))
        print()
        print(decision_table(DECISION_BOXES))
        return
    usual_patterns = CLUSTERED_PATTERNS if options.fleet in COMPETING_FLEETS else PATTERNS
    patterns = options.patterns.split(',') if options.patterns else list(usual_patterns)
    names = [item.name for item in VARIANTS]
    variants = names if options.variants == 'all' else options.variants.split(',')
    specs = [
        RunSpec(pattern, variant, seed, options.boxes, options.fleet, options.share)
        for pattern in patterns
        for variant in variants
        for seed in SEEDS
    ]
    results = run_all(specs, options.workers)
    print(comparison_table(results, patterns, variants))
    if options.picture is not None:
        options.picture.write_text(draw_bars(results, patterns, variants))


if __name__ == '__main__':
    main()
