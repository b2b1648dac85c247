"""Share which version began which stream with the scheduler and some other boxes, and look it up.

The scheduler answers queries. Copies at other boxes, which each box chooses by a hash of the names,
survive a crash of the scheduler together with the box: all boxes send what they hold to a new
scheduler.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.exchanges.content import digest_of
from calicopath_core.versions.ledger import StreamLedger, stream_key
from calicopath_core.versions.messages import (
    BegunStreams,
    StreamNews,
    VersionAnswer,
    VersionQuery,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    import msgspec

    from calicopath_core.clock import Clock
    from calicopath_core.scheduling.election import BoxAddress

FLUSH_DELAY_S = 0.02
"""How long records wait to be sent together; a stream whose box dies meanwhile can't be resumed."""

REPEAT_INTERVAL_S = 1.0
"""How often a box sends all records of its own streams again: a message may be lost with a
connection, and a box that has restarted holds none."""

COPIES = 2
"""Boxes that hold copies beside the scheduler. Of three boxes that crash at once, the scheduler
among them, one holder survives unless the other two are just those of the third's streams."""

GATHER_S = 1.0
"""How long a new scheduler, or a box that has just started, does not deny that there is a record:
until then the other boxes notice the change and send theirs. Queries are repeated meanwhile."""

QUERY_TIMEOUT_S = 0.25
"""How long an answer to a query may take before the query is repeated; the scheduler may have
changed."""

MAX_QUERIES = 4
"""Queries for one lookup: a scheduler that has just crashed is replaced in the time that they take,
and callers leave after a gap of 2 s."""


def choose_holders(own: BoxAddress, boxes: Iterable[BoxAddress]) -> list[str]:
    """Return the addresses of the boxes that hold copies of a box's records.

    Boxes in other failure domains come first.
    """
    others = [box for box in boxes if box.name != own.name]

    def preference(box: BoxAddress) -> tuple[bool, str]:
        is_near = box.failure_domain == own.failure_domain
        return is_near, digest_of((own.name.encode(), box.name.encode()))

    return [box.address for box in sorted(others, key=preference)[:COPIES]]


class FoundVersion(NamedTuple):
    """Hold the version that began a stream and what shows it."""

    version: str
    source: str


class VersionDirectory:
    """Record this box's streams, and look up those that other boxes began.

    Copies go to the scheduler, whose address `scheduler_address` returns, and to `holders`. Queries
    go to the scheduler, where `resolve` answers those that the ledger cannot answer.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: StreamLedger,
        own_address: str,
        scheduler_address: Callable[[], str],
        send: Callable[[str, msgspec.Struct], None],
        resolve: Callable[[str, str], Awaitable[FoundVersion | None]],
    ) -> None:
        self.clock = clock
        self.ledger = ledger
        self.own_address = own_address
        self.holders: list[str] = []
        self.gathers_until: float | None = None
        self.repeat_at = 0.0
        self.scheduler_address = scheduler_address
        self.send = send
        self.resolve = resolve
        self.own_keys: dict[str, None] = {}
        self.new_keys: dict[str, None] = {}
        self.answered_keys: list[str] = []
        self.flush_is_due = False
        self.query_numbers = itertools.count(1)
        self.queries: dict[int, asyncio.Future[VersionAnswer]] = {}
        self.answer_tasks: set[asyncio.Task[None]] = set()
        self.on_new_record: Callable[[], None] = lambda: None

    def on_begun(self, service: str, workspace: str | None, call_id: str, version: str) -> None:
        """Record that a replica of a version has sent the first event of a caller's attempt."""
        key = stream_key(service, workspace, call_id)
        if self.ledger.put(key, service, version, self.clock.monotonic()):
            self.own_keys[key] = self.new_keys[key] = None
            self.on_new_record()
            self.flush_soon()

    def on_answered(self, service: str, workspace: str | None, call_id: str) -> None:
        """Drop the record of an attempt that was answered whole."""
        key = stream_key(service, workspace, call_id)
        self.own_keys.pop(key, None)
        self.ledger.drop([key])
        if key in self.new_keys:
            del self.new_keys[key]
            return
        self.answered_keys.append(key)
        self.flush_soon()

    def flush_soon(self) -> None:
        """Send what is new in a moment, together with what comes meanwhile."""
        if not self.flush_is_due:
            self.flush_is_due = True
            asyncio.get_running_loop().call_later(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Send new records and answered streams to the scheduler and the holders."""
        self.flush_is_due = False
        keys, self.new_keys = self.new_keys, {}
        answered, self.answered_keys = self.answered_keys, []
        self.send_news(self.groups_of(keys), tuple(answered))

    def send_news(self, begun: tuple[BegunStreams, ...], answered: tuple[str, ...]) -> None:
        """Send records and answered streams to the scheduler and the holders, if there are any."""
        if not begun and not answered:
            return
        for address in {self.scheduler_address(), *self.holders}:
            if address != self.own_address:
                self.send(address, StreamNews(begun=begun, answered=answered))

    def on_scheduler_changed(self, address: str) -> None:
        """Send a new scheduler all records held here, or wait for those of the others."""
        if address == self.own_address:
            self.gathers_until = self.clock.monotonic() + GATHER_S
            return
        begun = self.ledger.groups(self.clock.monotonic())
        if begun:
            self.send(address, StreamNews(begun=begun))

    def groups_of(self, keys: Iterable[str]) -> tuple[BegunStreams, ...]:
        """Return the records of some streams, by service and version."""
        found: dict[tuple[str, str], list[str]] = {}
        for key in keys:
            record = self.ledger.records.get(key)
            if record is not None:
                found.setdefault((record.service, record.version), []).append(key)
        return tuple(
            BegunStreams(service, version, tuple(group))
            for (service, version), group in found.items()
        )

    def repeat_if_due(self) -> None:
        """Send the records of all own streams again, once an interval."""
        now = self.clock.monotonic()
        if self.gathers_until is None:
            # A box that starts takes itself for the scheduler until it hears of the others.
            self.gathers_until = now + GATHER_S
        if now < self.repeat_at:
            return
        self.repeat_at = now + REPEAT_INTERVAL_S
        self.ledger.expire(now)
        self.own_keys = {key: None for key in self.own_keys if key in self.ledger.records}
        self.send_news(self.groups_of(self.own_keys), ())

    async def find(
        self, service: str, workspace: str | None, call_id: str | None, left_s: float
    ) -> FoundVersion | None:
        """Return the version that began a stream, `None` if nobody knows it.

        `call_id` is that of the caller's attempt that received the first event.
        """
        key = stream_key(service, workspace, call_id) if call_id else ''
        now = self.clock.monotonic()
        version = self.ledger.find(key, now)
        if version is not None:
            return FoundVersion(version, 'own')
        until = now + left_s
        for _ in range(MAX_QUERIES):
            timeout_s = min(QUERY_TIMEOUT_S, until - self.clock.monotonic())
            answer = await self.query(service, key, timeout_s)
            if answer is not None:
                break
        else:
            return None
        if answer.version is None:
            return None
        return FoundVersion(answer.version, answer.source)

    async def query(self, service: str, key: str, timeout_s: float) -> VersionAnswer | None:
        """Ask the scheduler once; return `None` without an answer in time."""
        number = next(self.query_numbers)
        answer: asyncio.Future[VersionAnswer] = asyncio.get_running_loop().create_future()
        self.queries[number] = answer
        query = VersionQuery(number=number, reply_to=self.own_address, service=service, key=key)
        try:
            self.send(self.scheduler_address(), query)
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self.queries[number]

    def on_news(self, message: StreamNews) -> None:
        """Keep copies of the records of another box."""
        is_new = self.ledger.merge(message.begun, self.clock.monotonic())
        self.ledger.drop(message.answered)
        if is_new:
            self.on_new_record()

    def on_query(self, message: VersionQuery) -> None:
        """Answer another box, after a look into the store if there is no record here."""
        version = self.ledger.find(message.key, self.clock.monotonic())
        if version is not None:
            self.answer(message, FoundVersion(version, 'peers'))
            return
        task = asyncio.get_running_loop().create_task(self.resolve_and_answer(message))
        self.answer_tasks.add(task)
        task.add_done_callback(self.answer_tasks.discard)

    async def resolve_and_answer(self, message: VersionQuery) -> None:
        """Answer a query by what the store shows, or not at all while records are still coming."""
        found = await self.resolve(message.service, message.key)
        if found is not None or self.has_gathered():
            self.answer(message, found)

    def has_gathered(self) -> bool:
        """Tell whether the other boxes have had time to send their records."""
        return self.gathers_until is not None and self.clock.monotonic() >= self.gathers_until

    def answer(self, message: VersionQuery, found: FoundVersion | None) -> None:
        """Send the answer to a query."""
        answer = VersionAnswer(number=message.number, version=None)
        if found is not None:
            answer = VersionAnswer(
                number=message.number, version=found.version, source=found.source
            )
        self.send(message.reply_to, answer)

    def on_answer(self, message: VersionAnswer) -> None:
        """Accept the answer to a query; one that comes too late is ignored."""
        waiting = self.queries.get(message.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(message)
