"""Give results up at their makers, so that these have room for others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from calicopath_core.backends.base import BackendError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from calicopath_core.fleet.replicas import Replica, ReplicaTable
    from calicopath_core.scheduling.interfaces import SchedulerObserver, StageCaller
    from calicopath_core.scheduling.jobs import Result

FREE_BATCH_DELAY_S = 0.01
"""How long results that are given up are gathered, so that a maker gets one call for several."""


class ResultFreeing:
    """Hold the results to be given up, by maker; `on_freed` learns of those that are gone.

    Their room counts as free only then: a call on another connection may overtake the one that
    gives them up, and would find the room still taken. Nothing is sent to a failure domain that is
    taken out: its results run out by themselves, and their room counts as taken until then. Nor is
    anything sent to a maker that wants nothing from this box, before `back_s`.
    """

    def __init__(
        self,
        *,
        replicas: ReplicaTable,
        caller: StageCaller,
        observer: SchedulerObserver,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        on_freed: Callable[[str, list[str]], None],
        backoff_left_s: Callable[[Replica], float] = lambda replica: 0.0,
    ) -> None:
        self.backoff_left_s = backoff_left_s
        self.replicas = replicas
        self.caller = caller
        self.observer = observer
        self.spawn = spawn
        self.on_freed = on_freed
        self.pending: dict[str, list[str]] = {}
        self.timer: asyncio.TimerHandle | None = None

    def add(self, results: list[Result]) -> None:
        """Have results given up soon, each once."""
        for result in results:
            if result.freed:
                continue
            result.freed = True
            self.pending.setdefault(result.producer, []).append(result.handle)
        if self.pending and self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(FREE_BATCH_DELAY_S, self.send)

    def send(self) -> None:
        """Send what is to be given up, one call a maker."""
        self.timer = None
        deferred: dict[str, list[str]] = {}
        longest_backoff_s = 0.0
        for maker, handles in self.pending.items():
            replica = self.replicas.replicas.get(maker)
            if replica is None or replica.failure_domain in self.replicas.evacuated:
                continue
            if (left_s := self.backoff_left_s(replica)) > 0:
                deferred[maker] = handles
                longest_backoff_s = max(longest_backoff_s, left_s)
                continue
            self.spawn(self.free(replica, handles))
        self.pending = deferred
        if deferred:
            self.timer = asyncio.get_running_loop().call_later(
                longest_backoff_s + FREE_BATCH_DELAY_S, self.send
            )

    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Give results up; if that fails they run out by themselves."""
        try:
            await self.caller.free(replica, handles)
        except BackendError as error:
            self.observer.on_free_failed(replica.address, len(handles), error)
            return
        self.on_freed(replica.id, handles)
