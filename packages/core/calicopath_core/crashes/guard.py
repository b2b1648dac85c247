"""Find out whether a replica has ended under a request, and keep it from others if so."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.backends.base import ConnectionBroken
from calicopath_core.crashes.suspects import (
    Crash,
    SuspectKey,
    add_request,
    keys_of,
    new_crash_id,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from calicopath_core.crashes.fate import CrashProbe
    from calicopath_core.crashes.ledger import CrashLedger
    from calicopath_core.crashes.sharing import CrashSharing


class CrashGuard:
    """Judge failed attempts of one box and say which requests may be sent on."""

    def __init__(self, *, ledger: CrashLedger, sharing: CrashSharing) -> None:
        self.ledger = ledger
        self.sharing = sharing
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def blocks_any(self) -> bool:
        """Tell whether there is any request that is not sent on."""
        return bool(self.ledger.blocked)

    def is_suspect(self, content: str, service: str) -> bool:
        """Tell whether replicas of a service have ended under a request since it last survived."""
        return self.ledger.is_suspect(keys_of(content, service).exact)

    def blocked_s(self, content: str, services: Iterable[str]) -> float | None:
        """Return how long a request is not sent on yet, nothing if it may be."""
        return self.ledger.blocked_s(content, services)

    def send_evidence(self, address: str, content: str, services: Iterable[str]) -> None:
        """Tell a box what blocks a request."""
        request_keys = {key for service in services for key in keys_of(content, service).all}
        keys = [key for key in self.ledger.blocked if key in request_keys]
        self.sharing.send(address, self.sharing.news_for(keys))

    async def on_failed(
        self,
        contents: Iterable[str],
        service: str,
        probe: CrashProbe,
        error: Exception,
        *,
        run_started_at: float,
        answered: bool,
    ) -> None:
        """Note whether a replica has ended under requests that it ran.

        They had been sent to it at `began`, in monotonic seconds; `answered` says that something
        of their answers had come, which is seldom so of what ends it.

        A connection that broke is no proof: answers are lost and connections reset while their
        replica lives. What can't be seen at once is watched while the requests go on; a replica
        that is silent may be without power.
        """
        crash = Crash(self.ledger.clock.monotonic(), run_started_at)
        crash_id = new_crash_id(probe.name, self.ledger.clock.wall())
        crash_ids: dict[SuspectKey, str] = {}
        for content in contents:
            keys = keys_of(content, service)
            crash_ids[keys.exact] = crash_id
            if not answered:
                crash_ids.update(
                    dict.fromkeys(keys.common, add_request(crash_id, keys.exact.content))
                )
        if isinstance(error, ConnectionBroken) and await probe.has_crashed():
            self.record_crash(crash_ids, crash)
            return
        task = asyncio.get_running_loop().create_task(
            self.record_if_confirmed(crash_ids, crash, probe)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def record_if_confirmed(
        self, crash_ids: dict[SuspectKey, str], crash: Crash, probe: CrashProbe
    ) -> None:
        """Note the end of a replica that shows later."""
        if await probe.confirm_crash():
            self.record_crash(crash_ids, crash)

    def record_crash(self, crash_ids: dict[SuspectKey, str], crash: Crash) -> None:
        """Note the end of a replica that was at work on some requests, and tell of it."""
        changed = [key for key, name in crash_ids.items() if self.ledger.on_crash(key, name, crash)]
        if changed:
            self.sharing.report(changed)

    def on_survived(self, content: str, service: str) -> None:
        """Note that a replica has run a request to its end."""
        keys = keys_of(content, service).all
        cleared = [key for key in keys if self.ledger.on_survived(key)]
        if cleared:
            self.sharing.report(cleared)

    def release(self, content: str, *, who: str) -> list[SuspectKey]:
        """Let a request go as an operator asks, at every service; return where it was blocked."""
        services = {key.service for key in self.ledger.blocked}
        matching = {key for service in services for key in keys_of(content, service).all}
        matching |= {SuspectKey(content, service) for service in services}
        keys = [key for key in self.ledger.blocked if key in matching]
        for key in keys:
            self.ledger.on_survived(key, f'operator {who}')
        self.sharing.report(keys)
        return keys
