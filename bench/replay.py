"""Compare the scheduler with plain forms of its mechanisms on named patterns of load.

`python -m bench.replay` prints a table of medians and spreads over seeds; `--cost` prints what a
decision costs by the number of boxes; `--picture FILE` draws attainment as an SVG.
"""

from __future__ import annotations

import argparse
import multiprocessing
import statistics
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from testkit.replay.fleet import USUAL_BOXES, fleet_of, shifted_fleet
from testkit.replay.load import PATTERNS
from testkit.replay.plain import VARIANTS
from testkit.replay.world import replay

if TYPE_CHECKING:
    from collections.abc import Callable

    from testkit.replay.outcomes import Figures

SEEDS = (1, 2, 3)
COST_BOXES = (30, 110, 195, 333)
BAR_WIDTH, BAR_HEIGHT, LABEL_WIDTH = 400, 14, 220
COLOURS = ('#20639b', '#3caea3', '#f6d55c', '#ed553b')


class Job(NamedTuple):
    """Name one replay."""

    pattern: str
    variant: str
    seed: int
    boxes: int
    shifted: bool = False


class Column(NamedTuple):
    """Name one figure of the table and how it is read."""

    name: str
    read: Callable[[Figures], float]
    form: str


COLUMNS = (
    Column('worth', lambda item: item.worth, '.3f'),
    Column('worst 2 s', lambda item: item.worst_window, '.3f'),
    Column('least urgent kind, others', lambda item: item.others['patient'], '.3f'),
    Column('least workspace', lambda item: min(item.by_workspace.values()), '.3f'),
    Column('refused', lambda item: float(item.refused), '.0f'),
    Column('read again, 1,000 tokens', lambda item: item.reread_tokens / 1000, '.0f'),
    Column('between zones, MB', lambda item: item.cross_domain_bytes / 1e6, '.0f'),
)


def run_job(job: Job) -> Figures:
    """Run one replay."""
    variant = next(item for item in VARIANTS if item.name == job.variant)
    fleet = shifted_fleet() if job.shifted else fleet_of(job.boxes)
    return replay(job.pattern, job.seed, variant, fleet)


def run_all(jobs: list[Job], workers: int) -> dict[Job, Figures]:
    """Run replays on several processes."""
    with multiprocessing.get_context('spawn').Pool(workers) as pool:
        return dict(zip(jobs, pool.map(run_job, jobs, chunksize=1), strict=True))


def cell(column: Column, found: list[Figures]) -> str:
    """Return a median with its least and greatest value."""
    values = [column.read(item) for item in found]
    middle, least, most = statistics.median(values), min(values), max(values)
    return f'{middle:{column.form}} ({least:{column.form}} to {most:{column.form}})'


def table(results: dict[Job, Figures], patterns: list[str], variants: list[str]) -> str:
    """Return the comparison as text."""
    names = ['pattern', 'variant', *(column.name for column in COLUMNS)]
    lines = [f'| {" | ".join(names)} |', f'|{" --- |" * len(names)}']
    for pattern in patterns:
        for variant in variants:
            found = [
                figures
                for job, figures in results.items()
                if (job.pattern, job.variant) == (pattern, variant)
            ]
            cells = [cell(column, found) for column in COLUMNS]
            lines.append(f'| {pattern} | {variant} | {" | ".join(cells)} |')
    return '\n'.join(lines)


def cost_table(results: dict[Job, Figures]) -> str:
    """Return what a job costs its scheduler, by boxes."""
    lines = ['| boxes | ms of processor time a job |', '| --- | --- |']
    for boxes in COST_BOXES:
        values = [figures.cost_ms for job, figures in results.items() if job.boxes == boxes]
        lines.append(
            f'| {boxes} | {statistics.median(values):.2f} '
            f'({min(values):.2f} to {max(values):.2f}) |'
        )
    return '\n'.join(lines)


def picture(results: dict[Job, Figures], patterns: list[str], variants: list[str]) -> str:
    """Return bars of the worth earned, a group a pattern."""
    parts = []
    row = 0
    for pattern in patterns:
        for number, variant in enumerate(variants):
            values = [
                figures.worth
                for job, figures in results.items()
                if (job.pattern, job.variant) == (pattern, variant)
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


def arguments() -> argparse.Namespace:
    """Return the command's arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--patterns', default=','.join(PATTERNS), help='names, by commas')
    parser.add_argument('--variants', default='ours', help='names, by commas, or all')
    parser.add_argument('--shifted', action='store_true', help='on the fleet of the shifted work')
    parser.add_argument('--boxes', type=int, default=USUAL_BOXES)
    parser.add_argument('--workers', type=int, default=2)
    parser.add_argument('--cost', action='store_true', help='only what a decision costs')
    parser.add_argument('--picture', type=Path, help='where to draw the worth earned')
    return parser.parse_args()


def main() -> None:
    """Run the command."""
    options = arguments()
    if options.cost:
        jobs = [Job('burst-all', 'ours', seed, boxes) for boxes in COST_BOXES for seed in SEEDS]
        print(cost_table(run_all(jobs, options.workers)))
        return
    patterns = options.patterns.split(',')
    names = [item.name for item in VARIANTS]
    variants = names if options.variants == 'all' else options.variants.split(',')
    jobs = [
        Job(pattern, variant, seed, options.boxes, options.shifted)
        for pattern in patterns
        for variant in variants
        for seed in SEEDS
    ]
    results = run_all(jobs, options.workers)
    print(table(results, patterns, variants))
    if options.picture is not None:
        options.picture.write_text(picture(results, patterns, variants))


if __name__ == '__main__':
    main()
