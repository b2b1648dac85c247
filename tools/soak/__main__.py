"""Play seeds one after the other; exit 0 only if none showed a problem."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from typing import Annotated

import typer

from tools.soak.run import Plan, Soak, Verdict
from tools.soak.schedule import FaultKind

HELP_SEEDS = 'Seeds to play, separated by commas; fresh ones are drawn beside them.'
HELP_FRESH = 'How many fresh seeds to draw and play.'
HELP_SECONDS = 'How long faults come, in seconds.'
HELP_ONLY = 'Play only the steps of this kind, for example box-partition.'
HELP_TIMED = 'Check bounds in time too; a busy machine may break those by itself.'

MAX_PROBLEMS_SHOWN = 10

KEPT_SEEDS: tuple[int, ...] = (57,)
"""Seeds that once showed a fault, each with a line on its cause in docs/design/soak.md."""


def report(verdict: Verdict) -> None:
    """Print what a seed showed."""
    outcomes = Counter(
        ('whole' if record.is_complete else 'cut') if record.status == 200 else str(record.status)
        for record in verdict.records
    )
    word = 'FAILED' if verdict.problems else 'ok'
    counts = ', '.join(f'{name}: {count}' for name, count in sorted(outcomes.items()))
    print(f'{word} seed {verdict.plan.seed}: {len(verdict.steps)} steps; {counts}', flush=True)
    for problem in verdict.problems[:MAX_PROBLEMS_SHOWN]:
        print(f'  {problem}')
    if verdict.problems:
        print(f'  {len(verdict.problems)} problems; logs in {verdict.log_folder}', flush=True)


def main(
    seeds: Annotated[str, typer.Option(help=HELP_SEEDS)] = '',
    fresh: Annotated[int, typer.Option(help=HELP_FRESH)] = 0,
    kept: Annotated[bool, typer.Option(help='Play the seeds that once showed a fault.')] = False,
    seconds: Annotated[float, typer.Option(help=HELP_SECONDS)] = 10.0,
    boxes: Annotated[int, typer.Option(help='Processes of the program.')] = 4,
    callers: Annotated[int, typer.Option(help='Callers at once.')] = 16,
    timed: Annotated[bool, typer.Option(help=HELP_TIMED)] = False,
    only: Annotated[str, typer.Option(help=HELP_ONLY)] = '',
) -> None:
    """Play seeds and print a line for each."""
    all_seeds = [int(item) for item in seeds.split(',') if item]
    all_seeds += list(KEPT_SEEDS) if kept else []
    all_seeds += [secrets.randbelow(10**9) for _ in range(fresh)]
    failed = 0
    for seed in all_seeds:
        plan = Plan(seed, seconds, boxes, callers, timed, FaultKind(only) if only else None)
        verdict = asyncio.run(Soak(plan=plan).run())
        report(verdict)
        failed += bool(verdict.problems)
    print(f'{len(all_seeds) - failed} passed, {failed} failed')
    raise typer.Exit(1 if failed else 0)


if __name__ == '__main__':
    typer.run(main)
