"""Judge what happens beside answers without end and cut watches."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path
from typing import TYPE_CHECKING

from calicopath_platform.tests.soak_replicas import MEMORY_MB
from tools.soak.records import RequestKind
from tools.soak.schedule import FaultKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tools.soak.boxes import BoxProcess
    from tools.soak.records import Arrival, RequestRecord
    from tools.soak.schedule import Step

REPEATABLE_KINDS = frozenset(
    {RequestKind.SAFE, RequestKind.CONFIG_PROBE, RequestKind.STAGED_STREAM}
)
SAMPLE_INTERVAL_S = 0.1
MAX_REMOVAL_S = 2.0
"""Longest time after the store has acknowledged a removal in which a request may reach a replica,
by the users' rules."""

SCHEDULING_MARGIN_S = 0.3
"""How much later a busy machine may note what reached a replica in time."""


class BoxMemory:
    """Sample how much memory each box takes, in bytes."""

    def __init__(self) -> None:
        self.most: dict[int, int] = {}

    async def sample(self, boxes: list[BoxProcess]) -> None:
        """Sample all boxes until cancelled."""
        while True:
            for box in boxes:
                used = resident_bytes(box)
                self.most[box.number] = max(used, self.most.get(box.number, 0))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def find_large_boxes(self) -> list[str]:
        """Check that no box ever took more than its memory limit."""
        return [
            f'box {number} took {used // 1_000_000} MB of {MEMORY_MB}'
            for number, used in sorted(self.most.items())
            if used > MEMORY_MB * 1_000_000
        ]


def resident_bytes(box: BoxProcess) -> int:
    """Return the resident memory of a box, 0 if it does not run."""
    if box.process is None or box.process.returncode is not None:
        return 0
    with contextlib.suppress(OSError, ValueError, IndexError):
        pages = Path(f'/proc/{box.process.pid}/statm').read_text(encoding='ascii').split()[1]
        return int(pages) * os.sysconf('SC_PAGE_SIZE')
    return 0


def find_unserved_beside_endless(
    records: Iterable[RequestRecord], steps: list[Step], only: FaultKind | None
) -> list[str]:
    """Check that requests which may be repeated are answered beside answers without end.

    This is judged only where nothing else goes wrong: then one replica at most sends such.
    """
    if only is not FaultKind.ENDLESS or not steps:
        return []
    began_at = min(step.at_s for step in steps)
    return [
        f'{record.call_id}: {record.status} beside an answer without end'
        for record in records
        if record.kind in REPEATABLE_KINDS
        and record.started_at >= began_at
        and not (record.status == 200 and record.is_complete)
    ]


def find_arrivals_after_removal(
    arrivals: Iterable[Arrival], removed_at: dict[str, float], only: FaultKind | None
) -> list[str]:
    """Check that removed replicas get nothing more in time, amid series of cut watches."""
    if only is not FaultKind.WATCH_CUTS:
        return []
    problems = []
    for item in arrivals:
        since_s = item.at - removed_at.get(item.replica, item.at)
        if since_s > MAX_REMOVAL_S + SCHEDULING_MARGIN_S:
            call = item.call_id or 'a call of a stage'
            problems.append(f'{call}: reached {item.replica} {since_s:.2f} s after it left')
    return problems
