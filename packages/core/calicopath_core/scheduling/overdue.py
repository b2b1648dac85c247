"""Monitor overdue calls to tell slow replicas from lost answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.backends.base import BackendError, MayHaveRun
from calicopath_core.fleet.notices import ReplicaExcluded

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.interfaces import (
        PieceCall,
        PieceResult,
        SchedulerObserver,
        StageCaller,
    )

OVERDUE_FACTOR = 1.3
REPORT_LAG_S = 0.15
"""A call is checked after this multiple of its expected duration plus the lag of reports, which
show the state of a replica some 100 ms before."""

IDLE_RECHECK_S = 0.15
"""Delay before an idle report is confirmed: a single report may be older than the call."""

BUSY_RECHECK_FACTOR = 2.0
"""A busy replica is checked again when the call has taken this many times as long."""

IDLE_REPORTS_REQUIRED = 2
"""Consecutive idle reports after which an answer counts as lost."""

REPORT_TIMEOUT_S = 0.3
"""Timeout of a replica's report; the users' replicas answer within a few ms."""


class AnswerLost(MayHaveRun):
    """Report that a replica has finished a call but its answer did not arrive."""


class CallMonitor:
    """Make calls to stages, and query the replicas of overdue ones."""

    def __init__(self, *, clock: Clock, caller: StageCaller, observer: SchedulerObserver) -> None:
        self.clock = clock
        self.caller = caller
        self.observer = observer

    async def run(
        self, replica: Replica, calls: list[PieceCall], expected_s: float, limit_s: float
    ) -> list[PieceResult]:
        """Make a call that should take `expected_s`, and return its results.

        Raises `BackendError` if the call fails or its answer is lost, and `TimeoutError` after
        `limit_s`.
        """
        started_at = self.clock.monotonic()
        answer = asyncio.ensure_future(self.caller.run(replica, calls))
        try:
            next_check_s = expected_s * OVERDUE_FACTOR + REPORT_LAG_S
            idle_reports = 0
            while True:
                spent_s = self.clock.monotonic() - started_at
                await asyncio.wait({answer}, timeout=max(0.0, min(next_check_s, limit_s) - spent_s))
                if answer.done():
                    return answer.result()
                spent_s = self.clock.monotonic() - started_at
                if spent_s >= limit_s:
                    raise TimeoutError(f'call to {replica.id} took over {limit_s:.3f} s')
                idle_reports = idle_reports + 1 if await self.is_idle(replica) else 0
                if idle_reports >= IDLE_REPORTS_REQUIRED and not answer.done():
                    raise AnswerLost(
                        f'{replica.id} reports no work but its answer to the call did not arrive'
                    )
                next_check_s = (
                    spent_s + IDLE_RECHECK_S if idle_reports else spent_s * BUSY_RECHECK_FACTOR
                )
        finally:
            answer.cancel()

    async def is_idle(self, replica: Replica) -> bool:
        """Tell whether a replica reports that it has no work; `False` if the query fails."""
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                return (await self.caller.report(replica)).idle
        except ReplicaExcluded:
            return False
        except (BackendError, TimeoutError) as error:
            self.observer.on_report_failed(replica, error)
            return False
