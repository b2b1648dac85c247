"""Request permits from the issuing box, and hold those it granted."""

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
"""How long a permit is valid: the call may have to open a connection first."""

ANSWER_TIMEOUT_S = 0.2
"""How long the issuer may take to answer, beyond the time that the request may wait there."""

MIN_UNAVAILABLE_S = 0.02
MAX_UNAVAILABLE_S = 0.5
"""How long a replica is skipped, if there are others, after an answer without a permit. It is
skipped until a permit is due, within these bounds, since the limit may end earlier."""


class Permit(NamedTuple):
    """Name the replica that may be called, '' for none; then one may come in `available_in_s`."""

    replica: str
    available_in_s: float = 0.0


class PendingRequest(NamedTuple):
    """Hold an unanswered request; `until` is when it times out, in monotonic seconds."""

    request: PermitRequest
    until: float
    answer: asyncio.Future[Permit]


class PermitClient:
    """Hold this box's permits and requests; `issuer_address` returns the issuer's address."""

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
        """Add a permit to call a replica."""
        until = self.clock.monotonic() + PERMIT_TTL_S
        self.granted.setdefault(replica, deque()).append(until)

    def use_permit(self, replica: str) -> bool:
        """Use up a permit for a replica; return whether there was a valid one."""
        held = self.granted.get(replica, deque())
        now = self.clock.monotonic()
        while held and held[0] < now:
            held.popleft()
            self.unused += 1
        if not held:
            self.granted.pop(replica, None)
            return False
        held.popleft()
        if not held:
            del self.granted[replica]
        return True

    def available_in_s(self, replica: str) -> float:
        """Return the seconds until it is useful to request a permit for a replica again."""
        return max(0.0, self.unavailable_until.get(replica, 0.0) - self.clock.monotonic())

    async def request_permit(
        self, replicas: Iterable[Replica], *, wait_s: float, priority: int
    ) -> Permit:
        """Return a permit for one of some replicas, best first, or when one may be available."""
        names = tuple(item.id for item in replicas)
        request = PermitRequest(next(self.numbers), self.own_address, names, wait_s, priority)
        timeout_s = wait_s + ANSWER_TIMEOUT_S
        answer: asyncio.Future[Permit] = asyncio.get_running_loop().create_future()
        self.pending[request.number] = PendingRequest(
            request, self.clock.monotonic() + timeout_s, answer
        )
        self.send(self.issuer_address(), request)
        try:
            async with asyncio.timeout(timeout_s):
                permit = await answer
        except TimeoutError:
            permit = Permit('', ANSWER_TIMEOUT_S)
        finally:
            del self.pending[request.number]
        if not permit.replica:
            unavailable_s = min(MAX_UNAVAILABLE_S, max(MIN_UNAVAILABLE_S, permit.available_in_s))
            until = self.clock.monotonic() + unavailable_s
            self.unavailable_until.update(dict.fromkeys(names, until))
        return permit

    def on_answer(self, message: PermitAnswer) -> None:
        """Handle the issuer's answer."""
        found = self.pending.get(message.number)
        if found is None or found.answer.done():
            return
        if message.replica:
            self.add_permit(message.replica)
        found.answer.set_result(Permit(message.replica, message.available_in_s))

    def on_issuer_changed(self) -> None:
        """Send unanswered requests again to the new issuer."""
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
        """Allow new requests for all replicas: earlier refusals applied to other limits."""
        self.unavailable_until.clear()

    def refuse_pending(self) -> None:
        """Refuse all pending requests, since this box is stopping."""
        for item in self.pending.values():
            if not item.answer.done():
                item.answer.set_result(Permit('', ANSWER_TIMEOUT_S))

    def expire(self) -> None:
        """Remove expired permits, and refusals that no longer apply."""
        now = self.clock.monotonic()
        self.unavailable_until = {
            name: at for name, at in self.unavailable_until.items() if at > now
        }
        for name, held in list(self.granted.items()):
            if held[-1] < now:
                self.unused += len(held)
                del self.granted[name]
