"""Make sure that a request marked not repeatable runs at most once, on any box.

A key is claimed by conditional update before its call leaves; a claim that exists is never
run again by anyone but its holder. Claims are grouped into shards, and one update carries all
that wait for a shard. Old claims are dropped by raising the shard's threshold: every key whose
own time is not above the threshold counts as claimed. This is the pruned multistamp of Adya and
Liskov, "Lazy Consistency Using Loosely Synchronized Clocks", section 5.3: dropping too much, or
a clock that is wrong, costs refusals and never safety.
"""

from __future__ import annotations

import asyncio
import enum
import hashlib
import uuid
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, NotRequired, TypedDict

import msgspec

from calicopath_core.store.base import (
    ABSENT,
    StoreError,
    StoreUnavailable,
    VersionConflict,
    WriteUnknown,
)
from calicopath_core.structure.keys import CLAIM_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.clock import Clock
    from calicopath_core.store.base import ObjectStore

DEFAULT_SHARDS = 16
RETENTION_S = 24 * 3600.0
MAX_SHARD_BYTES = 256 * 1024
MAX_ANSWER_BYTES = 4 * 1024
MAX_FUTURE_S = 3600.0
"""How far ahead of this box's clock a key's own time may be."""

RETRY_S = 0.05
MAX_WAITING = 10_000
"""Operations that may wait for one shard; beyond it claims are refused."""

UUID7_VERSION = 7
UUID7_TIME_SHIFT = 80


class ClaimError(StoreError):
    """Report that a key cannot be claimed."""


class InvalidKey(ClaimError):
    """Report that an idempotency key is not one that calicopath takes."""


class ClaimState(enum.StrEnum):
    """Say how far a claim's holder has got, as far as the store knows."""

    STARTED = 'started'
    ANSWERED = 'answered'


class StoredClaim(TypedDict):
    """Hold one claim; `time_ms` is the key's own time, `body` a digest of the request."""

    nonce: str
    body: str
    state: str
    time_ms: int
    answer: NotRequired[dict[str, Any] | None]


class ShardValue(TypedDict):
    """Hold the claims of one shard; keys up to `threshold_ms` all count as claimed."""

    threshold_ms: int
    claims: dict[str, StoredClaim]


class Granted(NamedTuple):
    """Say that the key is ours: its call may leave, once."""

    key: ClaimKey
    nonce: str


class Taken(NamedTuple):
    """Say that the key was claimed before; `claim` is empty if it was dropped by age."""

    claim: StoredClaim | None


class ClaimKey(NamedTuple):
    """Identify a request across boxes; `time_ms` is the time within the caller's key."""

    workspace: str
    pipeline: str
    key: str
    time_ms: int

    def __str__(self) -> str:
        """Return the form under which the claim is kept."""
        return f'{self.workspace}/{self.pipeline}/{self.key}'


def parse_key(workspace: str, pipeline: str, key: str, now_s: float) -> ClaimKey:
    """Read an idempotency key, which must be a UUID of version 7 (RFC 9562).

    Such a key carries the time at which the caller made it; the threshold is compared to it.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        raise InvalidKey('the idempotency key must be a UUID of version 7') from None
    if parsed.version != UUID7_VERSION:
        raise InvalidKey('the idempotency key must be a UUID of version 7')
    time_ms = parsed.int >> UUID7_TIME_SHIFT
    if time_ms > (now_s + MAX_FUTURE_S) * 1000:
        raise InvalidKey('the time in the idempotency key lies in the future')
    return ClaimKey(workspace, pipeline, str(parsed), time_ms)


def body_digest(body: bytes) -> str:
    """Return the digest by which a key used with another body is recognised."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


class Operation:
    """Change one shard: `change` edits the value in place and returns the result.

    An operation may be tried many times on newer and newer values, so it must give the same
    result when its own earlier try turns out to have taken effect.
    """

    def __init__(
        self,
        *,
        change: Callable[[ShardValue], Any],
        future: asyncio.Future[Any],
        undo: Callable[[ShardValue], Any] | None = None,
        persistent: bool = False,
    ) -> None:
        self.change = change
        self.future = future
        self.undo = undo
        self.persistent = persistent
        self.sent = False

    @property
    def wanted(self) -> bool:
        """Tell whether the operation must still be carried out.

        One that must be undone if an earlier try took effect is wanted until that is known.
        """
        if self.persistent or not self.future.done():
            return True
        return self.sent and self.undo is not None


class ShardWriter:
    """Carry out the operations on one shard, many in one conditional update."""

    def __init__(
        self, *, key: str, store: ObjectStore, clock: Clock, retention_s: float, max_bytes: int
    ) -> None:
        self.key = key
        self.store = store
        self.clock = clock
        self.retention_s = retention_s
        self.max_bytes = max_bytes
        self.waiting: deque[Operation] = deque()
        self.version: int | None = None
        self.value = ShardValue(threshold_ms=0, claims={})
        self.task: asyncio.Task[None] | None = None
        self.writes = 0
        self.conflicts = 0

    def submit(
        self,
        change: Callable[[ShardValue], Any],
        undo: Callable[[ShardValue], Any] | None = None,
        *,
        persistent: bool = False,
    ) -> asyncio.Future[Any]:
        """Queue an operation and make sure that it is carried out."""
        if len(self.waiting) >= MAX_WAITING:
            raise StoreUnavailable('too many claims wait for the object store')
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        operation = Operation(change=change, future=future, undo=undo, persistent=persistent)
        self.waiting.append(operation)
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.drain())
        return future

    async def drain(self) -> None:
        """Carry out operations until none waits."""
        while self.waiting:
            batch = self.take_batch()
            try:
                results = await self.write(batch)
            except VersionConflict:
                self.conflicts += 1
                self.retry(batch)
            except WriteUnknown:
                # It may have taken effect: the same operations on a fresh value will tell.
                self.version = None
                self.retry(batch)
                await asyncio.sleep(RETRY_S)
            except StoreUnavailable as error:
                self.fail(batch, error)
                await asyncio.sleep(RETRY_S)
            else:
                self.finish(batch, results)

    def take_batch(self) -> list[Operation]:
        """Take all waiting operations that are still wanted."""
        batch = [item for item in self.waiting if item.wanted]
        self.waiting.clear()
        return batch

    def retry(self, batch: list[Operation]) -> None:
        """Put operations back in front, in their order."""
        self.version = None
        self.waiting.extendleft(reversed(batch))

    def fail(self, batch: list[Operation], error: StoreUnavailable) -> None:
        """Tell those who wait; keep what must still be carried out when the store is back."""
        self.version = None
        for item in batch:
            if not item.future.done() and not item.sent:
                item.future.set_exception(error)
        self.waiting.extendleft(item for item in reversed(batch) if item.wanted)

    async def write(self, batch: list[Operation]) -> list[Any]:
        """Apply operations to the newest value known and write it if anything changed."""
        fresh = self.version is None
        if fresh:
            await self.read()
        value, results = self.evaluate(batch)
        if value == self.value and not fresh:
            # What looks taken may have been answered or released by another box since.
            await self.read()
            value, results = self.evaluate(batch)
        if value == self.value:
            return results
        self.prune(value)
        for item in batch:
            item.sent = True
        assert self.version is not None
        self.writes += 1
        stored = await self.store.put(self.key, dict(value), self.version)
        self.value = value
        self.version = stored.version
        return results

    def evaluate(self, batch: list[Operation]) -> tuple[ShardValue, list[Any]]:
        """Return the shard as the operations leave it, and their results."""
        value = ShardValue(
            threshold_ms=self.value['threshold_ms'], claims=dict(self.value['claims'])
        )
        return value, [item.change(value) for item in batch]

    async def read(self) -> None:
        """Read the shard from the store."""
        stored = await self.store.get(self.key)
        self.value = ShardValue(threshold_ms=0, claims={})
        self.version = ABSENT
        if stored is not None:
            self.value = msgspec.convert(stored.value, ShardValue)
            self.version = stored.version

    def finish(self, batch: list[Operation], results: list[Any]) -> None:
        """Hand out results; a claim granted to somebody who has given up is undone."""
        for item, result in zip(batch, results, strict=True):
            if not item.future.done():
                item.future.set_result(result)
            elif item.undo is not None and isinstance(result, Granted):
                self.submit(item.undo, persistent=True)

    def prune(self, value: ShardValue) -> None:
        """Drop claims by age, and the oldest ones of a shard that has grown too large."""
        oldest_ms = (self.clock.wall() - self.retention_s) * 1000
        dropped = [item['time_ms'] for item in value['claims'].values()]
        dropped = [time_ms for time_ms in dropped if time_ms <= oldest_ms]
        if dropped:
            raise_threshold(value, max(dropped))
        while len(msgspec.json.encode(value)) > self.max_bytes:
            times = sorted(item['time_ms'] for item in value['claims'].values())
            raise_threshold(value, times[len(times) // 4])


def raise_threshold(value: ShardValue, threshold_ms: int) -> None:
    """Drop every claim up to a time; its key and all older ones count as claimed from now on."""
    value['threshold_ms'] = max(value['threshold_ms'], threshold_ms)
    value['claims'] = {
        key: claim
        for key, claim in value['claims'].items()
        if claim['time_ms'] > value['threshold_ms']
    }


class ClaimRegistry:
    """Claim keys, record answers and give back what provably never started."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Clock,
        new_nonce: Callable[[], str],
        shards: int = DEFAULT_SHARDS,
        retention_s: float = RETENTION_S,
        max_shard_bytes: int = MAX_SHARD_BYTES,
    ) -> None:
        self.new_nonce = new_nonce
        self.clock = clock
        self.writers = [
            ShardWriter(
                key=f'{CLAIM_PREFIX}{index:04d}',
                store=store,
                clock=clock,
                retention_s=retention_s,
                max_bytes=max_shard_bytes,
            )
            for index in range(shards)
        ]

    def writer(self, key: ClaimKey) -> ShardWriter:
        """Return the writer of the shard that holds `key`."""
        digest = hashlib.blake2b(str(key).encode(), digest_size=8).digest()
        return self.writers[int.from_bytes(digest, 'big') % len(self.writers)]

    def known(self, key: ClaimKey) -> StoredClaim | None:
        """Return a claim that this box has already seen, without asking the store."""
        return self.writer(key).value['claims'].get(str(key))

    async def claim(self, key: ClaimKey, body: str, timeout_s: float) -> Granted | Taken:
        """Claim a key; raise `StoreUnavailable` if that did not work in time.

        When it raises, the call must not be made. A claim that lands all the same is undone.
        """
        nonce = self.new_nonce()
        granted = Granted(key, nonce)

        def change(value: ShardValue) -> Granted | Taken:
            held = value['claims'].get(str(key))
            if held is not None:
                return granted if held['nonce'] == nonce else Taken(held)
            if key.time_ms <= value['threshold_ms']:
                return Taken(None)
            value['claims'][str(key)] = StoredClaim(
                nonce=nonce, body=body, state=ClaimState.STARTED.value, time_ms=key.time_ms
            )
            return granted

        future = self.writer(key).submit(change, undo=release_change(granted))
        result: Granted | Taken = await self.wait(future, timeout_s)
        return result

    async def release(self, granted: Granted, timeout_s: float) -> None:
        """Give a key back whose call provably never started."""
        change = release_change(granted)
        await self.wait(self.writer(granted.key).submit(change, persistent=True), timeout_s)

    async def record(
        self, granted: Granted, answer: dict[str, Any] | None, timeout_s: float
    ) -> None:
        """Keep the answer for whoever asks again; one that is too large is only marked."""
        if answer is not None and len(msgspec.json.encode(answer)) > MAX_ANSWER_BYTES:
            answer = None

        def change(value: ShardValue) -> None:
            held = value['claims'].get(str(granted.key))
            if held is None or held['nonce'] != granted.nonce:
                return
            value['claims'][str(granted.key)] = StoredClaim(
                nonce=granted.nonce,
                body=held['body'],
                state=ClaimState.ANSWERED.value,
                time_ms=held['time_ms'],
                answer=answer,
            )

        await self.wait(self.writer(granted.key).submit(change, persistent=True), timeout_s)

    async def wait(self, future: asyncio.Future[Any], timeout_s: float) -> Any:
        """Wait for an operation; giving up cancels it if it was not sent yet."""
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise StoreUnavailable('the object store did not answer in time') from None


def release_change(granted: Granted) -> Callable[[ShardValue], None]:
    """Return the change that gives a key back if it is still held under our nonce."""

    def change(value: ShardValue) -> None:
        held = value['claims'].get(str(granted.key))
        if held is not None and held['nonce'] == granted.nonce:
            del value['claims'][str(granted.key)]

    return change
