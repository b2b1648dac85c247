"""Detect replicas that crash during a request, and block requests that crash replicas."""

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

    from calicopath_core.crashes.ledger import CrashLedger
    from calicopath_core.crashes.probes import CrashProbe
    from calicopath_core.crashes.sharing import CrashSharing


class CrashGuard:
    """Check failed attempts on one box for crashes, and report which requests are blocked."""

    def __init__(self, *, ledger: CrashLedger, sharing: CrashSharing) -> None:
        self.ledger = ledger
        self.sharing = sharing
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def blocks_any(self) -> bool:
        """Return whether any request is blocked."""
        return bool(self.ledger.blocked)

    def is_suspect(self, content: str, service: str) -> bool:
        """Return whether replicas crashed during a request since its last completed run."""
        return self.ledger.is_suspect(keys_of(content, service).exact)

    def blocked_s(self, content: str, services: Iterable[str]) -> float | None:
        """Return the seconds for which a request is still blocked, or `None` if it is not."""
        return self.ledger.blocked_s(content, services)

    def send_evidence(self, address: str, content: str, services: Iterable[str]) -> None:
        """Send a box the evidence for which a request is blocked."""
        blocks = self.ledger.blocks_of(content, services)
        keys = {key for item in blocks for key in item.keys}
        self.sharing.send(address, self.sharing.news_for(sorted(keys)))

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
        """Check whether a replica crashed during requests that it ran, and record the crash if so.

        `run_started_at` is when the requests were sent, in monotonic seconds. `answered` tells
        that part of their responses had arrived; a request that crashes a replica rarely gets that
        far, so the crash then does not count for common keys.

        A broken connection is no proof of a crash: responses are lost and connections reset while
        the replica runs. If a crash cannot be confirmed at once, a background task goes on checking
        while the requests are retried; a replica that does not respond may have lost power.
        """
        crash = Crash(self.ledger.clock.monotonic(), run_started_at)
        crash_id = new_crash_id(probe.name, self.ledger.clock.wall())
        crash_ids: dict[SuspectKey, str] = {}
        for content in contents:
            keys = keys_of(content, service)
            crash_ids[keys.exact] = crash_id
            if not answered:
                crash_ids.update(
                    dict.fromkeys(
                        (*keys.common, *keys.parts), add_request(crash_id, keys.exact.content)
                    )
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
        """Record a crash if it is confirmed within some seconds."""
        if await probe.confirm_crash():
            self.record_crash(crash_ids, crash)

    def record_crash(self, crash_ids: dict[SuspectKey, str], crash: Crash) -> None:
        """Record a crash during some requests, and share the evidence if it is new."""
        changed = self.ledger.on_crashes(crash_ids, crash)
        if changed:
            self.sharing.report(changed)

    def on_answer_began(self, content: str, service: str) -> None:
        """Record that the answer to a request has begun: no part of its prompt crashes replicas."""
        changed = self.ledger.on_answer_began(content, service)
        if changed:
            self.sharing.report(changed)

    def on_survived(self, content: str, service: str) -> None:
        """Record a completed run of a request."""
        keys = keys_of(content, service).completed
        cleared = [key for key in keys if self.ledger.on_survived(key)]
        if cleared:
            self.sharing.report(cleared)

    def release(self, content: str, *, who: str) -> list[SuspectKey]:
        """Unblock a request at every service for operator `who`; return its blocked keys."""
        services = {key.service for key in self.ledger.blocked}
        matching = {key for service in services for key in keys_of(content, service).all}
        matching |= {SuspectKey(content, service) for service in services}
        blocks = [item for item in self.ledger.blocked.values() if item.keys & matching]
        keys = sorted({key for item in blocks for key in item.keys})
        for key in keys:
            self.ledger.on_survived(key, f'operator {who}')
        self.sharing.report(keys)
        return keys
