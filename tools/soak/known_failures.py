"""Read which seeds are listed as known failures, with the options that they are played with."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from pathlib import Path

COMMAND = re.compile(r'python -m tools\.soak((?: --[a-z]+(?: \w[\w.,-]*)?)+)')
OPTION = re.compile(r'--([a-z]+)(?: ([\w.,-]+))?')
DEFAULT_SECONDS = 10.0


class KnownFailure(NamedTuple):
    """Identify a seed by what decides its steps; `only` is empty if all kinds are played."""

    seed: int
    seconds: float
    only: str


def read_known_failures(path: Path) -> frozenset[KnownFailure]:
    """Return the seeds of the commands that begin the lines of a list of known failures."""
    found: set[KnownFailure] = set()
    for line in path.read_text().splitlines():
        command = COMMAND.match(line)
        if command is not None:
            found |= failures_of(command[1])
    return frozenset(found)


def failures_of(options_text: str) -> set[KnownFailure]:
    """Return the seeds that a command's options name; a punctuation mark may follow a value."""
    options = {name: value.rstrip('.,') for name, value in OPTION.findall(options_text)}
    seconds = float(options.get('seconds', DEFAULT_SECONDS))
    seeds = [int(seed) for seed in options.get('seeds', '').split(',') if seed]
    return {KnownFailure(seed, seconds, options.get('only', '')) for seed in seeds}
