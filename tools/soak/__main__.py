"""Play seeds one after the other; exit 0 only if none showed a problem."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from pathlib import Path  # noqa: TC003  (typer reads the annotations)
from typing import Annotated

import typer

from tools.soak.known_failures import KnownFailure, read_known_failures
from tools.soak.run import Plan, Soak, Verdict
from tools.soak.schedule import FaultKind

HELP_SEEDS = 'Seeds to play, separated by commas; fresh ones are drawn beside them.'
HELP_FRESH = 'How many fresh seeds to draw and play.'
HELP_SECONDS = 'How long faults come, in seconds.'
HELP_ONLY = 'Play only the steps of this kind, for example box-partition.'
HELP_TIMED = 'Check bounds in time too; a busy machine may break those by itself.'

HELP_KNOWN = 'Print failures of the seeds that this file lists, and exit 0 in spite of them.'

MAX_PROBLEMS_SHOWN = 10

KEPT_SEEDS: tuple[int, ...] = (57,)
"""Seeds that once showed a fault, each with a line on its cause in docs/design/soak.md."""


def report(verdict: Verdict, *, is_known: bool) -> None:
    """Print what a seed showed."""
    outcomes = Counter(
        ('whole' if record.is_complete else 'cut') if record.status == 200 else str(record.status)
        for record in verdict.records
    )
    word = 'ok'
    if verdict.problems:
        word = 'KNOWN FAILURE' if is_known else 'FAILED'
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
    known: Annotated[Path | None, typer.Option(help=HELP_KNOWN)] = None,
) -> None:
    """Play seeds and print a line for each."""
    all_seeds = [int(item) for item in seeds.split(',') if item]
    all_seeds += list(KEPT_SEEDS) if kept else []
    all_seeds += [secrets.randbelow(10**9) for _ in range(fresh)]
    known_failures = read_known_failures(known) if known is not None else frozenset()
    failed = failed_as_known = 0
    for seed in all_seeds:
        plan = Plan(seed, seconds, boxes, callers, timed, FaultKind(only) if only else None)
        verdict = asyncio.run(Soak(plan=plan).run())
        is_known = KnownFailure(seed, seconds, only) in known_failures
        report(verdict, is_known=is_known)
        failed += bool(verdict.problems) and not is_known
        failed_as_known += bool(verdict.problems) and is_known
    if failed_as_known:
        print(f'{failed_as_known} of these failed as {known} lists')
    print(f'{len(all_seeds) - failed - failed_as_known} passed, {failed} failed')
    raise typer.Exit(1 if failed else 0)


if __name__ == '__main__':
    typer.run(main)
