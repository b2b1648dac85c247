"""Play deployments on the users' bench and list the days that fell below a stored baseline.

`python -m tools.regression --bench PATH SITE...` plays each site's standard days a few times with
the bench at PATH, takes the median of each day, and compares it with `tools/regression.json`.
`--store` writes the medians there instead, with the journal entries that they come from.
"""

from __future__ import annotations

import argparse
import json
import re
import statistics
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

from testkit.processes import ROOT

BASELINE = ROOT / 'tools' / 'regression.json'
DEFAULT_RUNS = 3
NOISE_MARGIN = 0.03
"""How far a day's worth differs between two plays of the same code, by the bench's own page."""

DAY_LINE = re.compile(
    r'^(?P<day>[a-z]+-[0-9a-f]+) +\S+ +(?P<score>[0-9.]+) +(?P<worth>-?[0-9.]+) +[0-9.]+ '
)
SNAPSHOT_LINE = re.compile(r'^snapshot (?P<id>[0-9a-f]+)')
GATE_LINE = re.compile(r'^GATE (?P<verdict>passed|failed)')
DRAWN_DAY_PREFIX = 'fresh-'


class BenchRun(NamedTuple):
    """Hold what one play of a site gave: worth by day, the gate and the journal's entry."""

    days: dict[str, float]
    gate: str
    journal_entry: str


class Regression(NamedTuple):
    """Name a day that fell below its baseline."""

    site: str
    day: str
    baseline: float
    current: float


def parse_run(text: str) -> BenchRun:
    """Return what the bench printed of one play; days drawn for it alone are left out."""
    days: dict[str, float] = {}
    gate, entry = 'unknown', ''
    for line in text.splitlines():
        if found := DAY_LINE.match(line):
            if not found['day'].startswith(DRAWN_DAY_PREFIX):
                days[found['day']] = float(found['worth'])
        elif found := GATE_LINE.match(line):
            gate = found['verdict']
        elif found := SNAPSHOT_LINE.match(line):
            entry = found['id']
    return BenchRun(days, gate, entry)


def median_by_day(runs: list[BenchRun]) -> dict[str, float]:
    """Return each day's median worth."""
    names = sorted({day for play in runs for day in play.days})
    return {
        name: statistics.median(play.days[name] for play in runs if name in play.days)
        for name in names
    }


def find_regressions(
    site: str, current: dict[str, float], baseline: dict[str, float]
) -> list[Regression]:
    """Return the days that fell by more than noise, and those that were not played."""
    found = []
    for day, worth in baseline.items():
        played = current.get(day, 0.0)
        if worth - played > NOISE_MARGIN:
            found.append(Regression(site, day, worth, played))
    return found


def run_bench(bench: Path, site: Path, number: int, jobs: int) -> BenchRun:
    """Play a site's standard days once."""
    reason = f'Regression, play {number}'
    command = [str(bench), 'score', str(site), '--jobs', str(jobs), '--why', reason]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return parse_run(done.stdout)


def load_baseline() -> dict[str, Any]:
    """Return the baseline, empty if there is none."""
    found: dict[str, Any] = json.loads(BASELINE.read_text()) if BASELINE.exists() else {}
    return found


def parse_arguments() -> argparse.Namespace:
    """Return the command's arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('sites', nargs='+', type=Path, help='site files of the bench')
    parser.add_argument('--bench', required=True, type=Path, help="the bench's program")
    parser.add_argument('--plays', type=int, default=DEFAULT_RUNS)
    parser.add_argument('--jobs', type=int, default=2, help='days at once')
    parser.add_argument('--store', action='store_true', help='write the baseline')
    return parser.parse_args()


def main() -> int:
    """Run the command; return 1 if a day fell or a gate failed."""
    options = parse_arguments()
    baseline = load_baseline()
    failed = False
    for site in options.sites:
        plays = [run_bench(options.bench, site, n + 1, options.jobs) for n in range(options.plays)]
        now = median_by_day(plays)
        entries = [item.journal_entry for item in plays]
        gates = [item.gate for item in plays]
        print(f'{site.stem}: {now}; gates {gates}; entries {entries}')
        if options.store:
            baseline[site.stem] = {'days': now, 'entries': entries}
            continue
        before = baseline.get(site.stem, {}).get('days', {})
        found = find_regressions(site.stem, now, before)
        for item in found:
            print(f'fell: {item.site} {item.day} from {item.baseline:.3f} to {item.current:.3f}')
        failed = failed or bool(found) or not before or set(gates) != {'passed'}
    if options.store:
        BASELINE.write_text(json.dumps(baseline, indent=2, sort_keys=True) + '\n')
    return int(failed)


if __name__ == '__main__':
    sys.exit(main())
