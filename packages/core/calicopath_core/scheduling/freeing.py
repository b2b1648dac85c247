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

GATHER_S = 0.01
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
        back_s: Callable[[Replica], float] = lambda replica: 0.0,
    ) -> None:
        self.back_s = back_s
        self.replicas = replicas
        self.caller = caller
        self.observer = observer
        self.spawn = spawn
        self.on_freed = on_freed
        self.waiting: dict[str, list[str]] = {}
        self.timer: asyncio.TimerHandle | None = None

    def add(self, results: list[Result]) -> None:
        """Have results given up soon, each once."""
        for result in results:
            if result.freed:
                continue
            result.freed = True
            self.waiting.setdefault(result.maker, []).append(result.handle)
        if self.waiting and self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(GATHER_S, self.send)

    def send(self) -> None:
        """Send what is to be given up, one call a maker."""
        self.timer = None
        later: dict[str, list[str]] = {}
        back_s = 0.0
        for maker, handles in self.waiting.items():
            replica = self.replicas.replicas.get(maker)
            if replica is None or replica.failure_domain in self.replicas.evacuated:
                continue
            if (left_s := self.back_s(replica)) > 0:
                later[maker] = handles
                back_s = max(back_s, left_s)
                continue
            self.spawn(self.free(replica, handles))
        self.waiting = later
        if later:
            self.timer = asyncio.get_running_loop().call_later(back_s + GATHER_S, self.send)

    async def free(self, replica: Replica, handles: list[str]) -> None:
        """Give results up; if that fails they run out by themselves."""
        try:
            await self.caller.free(replica, handles)
        except BackendError as error:
            self.observer.on_free_failed(replica.address, len(handles), error)
            return
        self.on_freed(replica.id, handles)
