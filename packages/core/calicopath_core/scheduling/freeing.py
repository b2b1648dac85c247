"""Free results at their producers, so that these have space for others."""

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
"""How long freed results are collected, so that a producer gets one call for several."""


class ResultFreeing:
    """Collect results to be freed by producer, and call `on_freed` once they are.

    Their space counts as free only then: a call on another connection may overtake the one that
    frees them, and would find the space still taken. Nothing is sent to an evacuated failure
    domain: its results expire by themselves, and their space counts as taken until then. Calls to a
    producer that backs off this box wait for `backoff_left_s`.
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
        """Mark results as freed, and free each of them once, soon."""
        for result in results:
            if result.freed:
                continue
            result.freed = True
            self.pending.setdefault(result.producer, []).append(result.handle)
        if self.pending and self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(FREE_BATCH_DELAY_S, self.send)

    def send(self) -> None:
        """Free the collected results with one call per producer."""
        self.timer = None
        deferred: dict[str, list[str]] = {}
        longest_backoff_s = 0.0
        for producer, handles in self.pending.items():
            replica = self.replicas.replicas.get(producer)
            if replica is None or replica.failure_domain in self.replicas.evacuated:
                continue
            if (left_s := self.backoff_left_s(replica)) > 0:
                deferred[producer] = handles
                longest_backoff_s = max(longest_backoff_s, left_s)
                continue
            self.spawn(self.free(replica, handles))
        self.pending = deferred
        if deferred:
            self.timer = asyncio.get_running_loop().call_later(
                longest_backoff_s + FREE_BATCH_DELAY_S, self.send
            )

    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Free results at a producer; if this fails they expire by themselves."""
        try:
            await self.caller.free(replica, handles)
        except BackendError as error:
            self.observer.on_free_failed(replica.address, len(handles), error)
            return
        self.on_freed(replica.id, handles)
