"""Read the processor time and memory of processes, and compute percentiles."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def cpu_seconds(pid: int) -> float:
    """Return the user and system time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def percentile_ms(values_s: Sequence[float], fraction: float) -> float:
    """Return a percentile in milliseconds of values in seconds, 0 for no values."""
    ordered_s = sorted(values_s)
    if not ordered_s:
        return 0.0
    return 1000 * ordered_s[min(len(ordered_s) - 1, int(fraction * len(ordered_s)))]
