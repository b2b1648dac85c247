"""Break each mechanism in a scratch copy and check that its test fails; `make mutants` runs it.

A test that still passes proves nothing about the mechanism: that is a failure here.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

from testkit.processes import ROOT
from tools.mutants.catalogue import MUTANTS

if TYPE_CHECKING:
    from tools.mutants.mutant import Mutant

WORKERS = 4
PACKAGES = ('core', 'clients', 'daemon', 'cli')

IGNORED_PATTERNS = ('.git', '.venv', '__pycache__', '.*_cache', '.hypothesis', 'journal', 'target')
"""What no test reads is not copied."""


def survives(mutant: Mutant) -> bool:
    """Break one mechanism in a copy and return whether its test passes all the same."""
    with tempfile.TemporaryDirectory(prefix='mutant-') as folder:
        copy = Path(folder) / 'tree'
        ignore = shutil.ignore_patterns(*IGNORED_PATTERNS)
        shutil.copytree(ROOT, copy, ignore=ignore)
        target = copy / mutant.file
        text = target.read_text()
        if text.count(mutant.old) != 1:
            raise SystemExit(f'{mutant.file}: {mutant.old!r} is not there exactly once')
        target.write_text(text.replace(mutant.old, mutant.new))
        paths = ':'.join(
            str(copy / part)
            for part in ('', 'platform', *(f'packages/{name}' for name in PACKAGES))
        )
        result = subprocess.run(
            [sys.executable, '-m', 'pytest', '-q', '-x', mutant.test],
            cwd=copy,
            env={'PYTHONPATH': paths, 'PATH': '/usr/bin:/bin'},
            capture_output=True,
            check=False,
        )
    if result.returncode not in (0, 1):
        raise SystemExit(f'{mutant.test}: {result.stdout.decode()[-500:]}')
    return result.returncode == 0


def main() -> int:
    """Try every mutant and return the exit code."""
    with ThreadPoolExecutor(WORKERS) as pool:
        survivors = list(pool.map(survives, MUTANTS))
    for mutant, survived in zip(MUTANTS, survivors, strict=True):
        verdict = 'SURVIVED' if survived else 'caught'
        print(f'{verdict}: {mutant.promise}: {mutant.file}: {mutant.new!r} by {mutant.test}')
    print(f'{survivors.count(False)} passed, {survivors.count(True)} failed')
    return 1 if any(survivors) else 0


if __name__ == '__main__':
    sys.exit(main())
