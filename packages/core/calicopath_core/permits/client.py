"""Ask the box that lends permits, and hold those that it has lent."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.permits.messages import PermitRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import msgspec

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.permits.messages import PermitAnswer

PERMIT_TTL_S = 1.0
"""How long a permit may be used: a connection may have to be opened first."""

ANSWER_TIMEOUT_S = 0.2
"""How much longer than it lets an ask wait the box that lends may take to answer."""

MIN_UNAVAILABLE_S = 0.02
MAX_UNAVAILABLE_S = 0.5
"""How long a replica is not asked for again, while there are others, after an answer that there is
no permit: until one is due, but a limit may end before that."""


class Permit(NamedTuple):
    """Name the replica that may be called, or none; then one may be in `opens_in_s`."""

    replica: str
    available_in_s: float = 0.0


class PendingRequest(NamedTuple):
    """Hold an ask that has no answer yet; `until` is when it is given up, in monotonic seconds."""

    request: PermitRequest
    until: float
    answer: asyncio.Future[Permit]


class PermitClient:
    """Hold this box's permits and asks; `holder` names the address of the box that lends."""

    def __init__(
        self,
        *,
        clock: Clock,
        own_address: str,
        issuer_address: Callable[[], str],
        send: Callable[[str, msgspec.Struct], None],
    ) -> None:
        self.clock = clock
        self.own_address = own_address
        self.issuer_address = issuer_address
        self.send = send
        self.numbers = itertools.count(1)
        self.granted: dict[str, deque[float]] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.unavailable_until: dict[str, float] = {}
        self.unused = 0

    def add_permit(self, replica: str) -> None:
        """Hold a permit for a replica."""
        until = self.clock.monotonic() + PERMIT_TTL_S
        self.granted.setdefault(replica, deque()).append(until)

    def use_permit(self, replica: str) -> bool:
        """Use a permit for a replica up; tell whether there was one."""
        held = self.granted.get(replica, deque())
        now = self.clock.monotonic()
        while held and held[0] < now:
            held.popleft()
            self.unused += 1
        if not held:
            self.granted.pop(replica, None)
            return False
        held.popleft()
        return True

    def available_in_s(self, replica: str) -> float:
        """Return when it makes sense to ask for a replica again, 0 for now."""
        return max(0.0, self.unavailable_until.get(replica, 0.0) - self.clock.monotonic())

    async def request_permit(
        self, replicas: Iterable[Replica], *, wait_s: float, priority: int
    ) -> Permit:
        """Return a permit for one of some replicas, the best first, or when one may come."""
        names = tuple(item.id for item in replicas)
        request = PermitRequest(next(self.numbers), self.own_address, names, wait_s, priority)
        limit_s = wait_s + ANSWER_TIMEOUT_S
        answer: asyncio.Future[Permit] = asyncio.get_running_loop().create_future()
        self.pending[request.number] = PendingRequest(
            request, self.clock.monotonic() + limit_s, answer
        )
        self.send(self.issuer_address(), request)
        try:
            async with asyncio.timeout(limit_s):
                permit = await answer
        except TimeoutError:
            permit = Permit('', ANSWER_TIMEOUT_S)
        finally:
            del self.pending[request.number]
        if not permit.replica:
            closed_s = min(MAX_UNAVAILABLE_S, max(MIN_UNAVAILABLE_S, permit.available_in_s))
            until = self.clock.monotonic() + closed_s
            self.unavailable_until.update(dict.fromkeys(names, until))
        return permit

    def on_answer(self, message: PermitAnswer) -> None:
        """Take an answer in."""
        found = self.pending.get(message.number)
        if found is None or found.answer.done():
            return
        if message.replica:
            self.add_permit(message.replica)
        found.answer.set_result(Permit(message.replica, message.available_in_s))

    def on_issuer_changed(self) -> None:
        """Ask the box that lends now for what the former one has not answered."""
        now = self.clock.monotonic()
        for item in self.pending.values():
            if not item.answer.done():
                wait_s = max(0.0, item.until - ANSWER_TIMEOUT_S - now)
                request = PermitRequest(
                    item.request.number,
                    self.own_address,
                    item.request.replicas,
                    wait_s,
                    item.request.priority,
                )
                self.send(self.issuer_address(), request)

    def on_limits_changed(self) -> None:
        """Ask anew: what was answered went by other limits."""
        self.unavailable_until.clear()

    def refuse_pending(self) -> None:
        """End the wait of every ask, since this box has to end."""
        for item in self.pending.values():
            if not item.answer.done():
                item.answer.set_result(Permit('', ANSWER_TIMEOUT_S))

    def expire(self) -> None:
        """Forget what is over."""
        now = self.clock.monotonic()
        self.unavailable_until = {
            name: at for name, at in self.unavailable_until.items() if at > now
        }
        for name, held in list(self.granted.items()):
            if held[-1] < now:
                self.unused += len(held)
                del self.granted[name]
