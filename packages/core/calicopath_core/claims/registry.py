"""Claim keys, record answers, and release keys whose calls provably never started."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from calicopath_core.claims.operations import (
    ClaimOp,
    Op,
    OpResult,
    RecordOp,
    ReleaseOp,
    StoredClaim,
)
from calicopath_core.store.base import StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.claims.executors import ClaimExecutor, LocalExecutor
    from calicopath_core.claims.keys import ClaimKey

MAX_ANSWER_BYTES = 4 * 1024


class Granted(NamedTuple):
    """Tell that the key is claimed under `nonce`: its call may be sent once."""

    key: ClaimKey
    nonce: str


class Taken(NamedTuple):
    """Tell that the key was claimed before; `claim` is `None` if that claim was pruned."""

    claim: StoredClaim | None


class ClaimRegistry:
    """Execute claims, answers and releases as operations on groups."""

    def __init__(
        self, *, local: LocalExecutor, executor: ClaimExecutor, new_nonce: Callable[[], str]
    ) -> None:
        self.local = local
        self.executor = executor
        self.new_nonce = new_nonce

    async def claim(self, key: ClaimKey, body: str, timeout_s: float) -> Granted | Taken:
        """Claim a key; raise `StoreUnavailable` if that fails or times out.

        After an error the call must not be sent. A claim that takes effect later is released.
        """
        nonce = self.new_nonce()
        result = await self.execute(key, ClaimOp(key, nonce, body), timeout_s, persistent=False)
        return Granted(key, nonce) if result.granted else Taken(result.claim)

    async def record(
        self, granted: Granted, answer: dict[str, Any] | None, timeout_s: float
    ) -> None:
        """Record the answer for later requests with the same key.

        Of an answer over `MAX_ANSWER_BYTES`, only the fact that it was given is recorded.
        """
        if answer is not None and len(msgspec.json.encode(answer)) > MAX_ANSWER_BYTES:
            answer = None
        op = RecordOp(granted.key, granted.nonce, answer)
        await self.execute(granted.key, op, timeout_s, persistent=True)

    async def release(self, granted: Granted, timeout_s: float) -> None:
        """Release a key whose call provably never started."""
        op = ReleaseOp(granted.key, granted.nonce)
        await self.execute(granted.key, op, timeout_s, persistent=True)

    async def execute(
        self, key: ClaimKey, op: Op, timeout_s: float, *, persistent: bool
    ) -> OpResult:
        """Execute an operation; a timeout cancels it unless it is persistent or already written."""
        group = self.local.group(key)
        try:
            async with asyncio.timeout(timeout_s):
                return await self.executor.execute(group, op, persistent=persistent)
        except TimeoutError:
            raise StoreUnavailable('the object store did not answer in time') from None
