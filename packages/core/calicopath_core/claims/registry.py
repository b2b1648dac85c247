"""Claim keys, record answers and give back what provably never started."""

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
    """Say that the key is ours: its call may leave, once."""

    key: ClaimKey
    nonce: str


class Taken(NamedTuple):
    """Say that the key was claimed before; `claim` is empty if it was dropped by age."""

    claim: StoredClaim | None


class ClaimRegistry:
    """Turn claims into operations on their groups."""

    def __init__(
        self, *, local: LocalExecutor, executor: ClaimExecutor, new_nonce: Callable[[], str]
    ) -> None:
        self.local = local
        self.executor = executor
        self.new_nonce = new_nonce

    async def claim(self, key: ClaimKey, body: str, timeout_s: float) -> Granted | Taken:
        """Claim a key; raise `StoreUnavailable` if that did not work in time.

        When it raises, the call must not be made. A claim that lands all the same is undone.
        """
        nonce = self.new_nonce()
        result = await self.execute(key, ClaimOp(key, nonce, body), timeout_s, persistent=False)
        return Granted(key, nonce) if result.granted else Taken(result.claim)

    async def record(
        self, granted: Granted, answer: dict[str, Any] | None, timeout_s: float
    ) -> None:
        """Keep the answer for whoever asks again; one that is too large is only marked."""
        if answer is not None and len(msgspec.json.encode(answer)) > MAX_ANSWER_BYTES:
            answer = None
        op = RecordOp(granted.key, granted.nonce, answer)
        await self.execute(granted.key, op, timeout_s, persistent=True)

    async def release(self, granted: Granted, timeout_s: float) -> None:
        """Give a key back whose call provably never started."""
        op = ReleaseOp(granted.key, granted.nonce)
        await self.execute(granted.key, op, timeout_s, persistent=True)

    async def execute(
        self, key: ClaimKey, op: Op, timeout_s: float, *, persistent: bool
    ) -> OpResult:
        """Wait for an operation; giving up cancels it if it was not sent yet."""
        group = self.local.group(key)
        try:
            async with asyncio.timeout(timeout_s):
                return await self.executor.execute(group, op, persistent=persistent)
        except TimeoutError:
            raise StoreUnavailable('the object store did not answer in time') from None
