"""Ask the box that lends permits, and hold those that it has lent."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.permits.messages import PermitAsk

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import msgspec

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.permits.messages import PermitAnswer

PERMIT_LIFE_S = 1.0
"""How long a permit may be used: a connection may have to be opened first."""

ANSWER_S = 0.2
"""How much longer than it lets an ask wait the box that lends may take to answer."""

LEAST_CLOSED_S = 0.02
MAX_CLOSED_S = 0.5
"""How long a replica is not asked for again, while there are others, after an answer that there is
no permit: until one is due, but a limit may end before that."""


class Permit(NamedTuple):
    """Name the replica that may be called, or none; then one may be in `opens_in_s`."""

    replica: str
    opens_in_s: float = 0.0


class Open(NamedTuple):
    """Hold an ask that has no answer yet; `until` is when it is given up, in monotonic seconds."""

    ask: PermitAsk
    until: float
    answer: asyncio.Future[Permit]


class PermitClient:
    """Hold this box's permits and asks; `holder` names the address of the box that lends."""

    def __init__(
        self,
        *,
        clock: Clock,
        own_address: str,
        holder: Callable[[], str],
        send: Callable[[str, msgspec.Struct], None],
    ) -> None:
        self.clock = clock
        self.own_address = own_address
        self.holder = holder
        self.send = send
        self.numbers = itertools.count(1)
        self.lent: dict[str, deque[float]] = {}
        self.open: dict[int, Open] = {}
        self.closed_until: dict[str, float] = {}
        self.unused = 0

    def lend(self, replica: str) -> None:
        """Hold a permit for a replica."""
        until = self.clock.monotonic() + PERMIT_LIFE_S
        self.lent.setdefault(replica, deque()).append(until)

    def use(self, replica: str) -> bool:
        """Use a permit for a replica up; tell whether there was one."""
        held = self.lent.get(replica, deque())
        now = self.clock.monotonic()
        while held and held[0] < now:
            held.popleft()
            self.unused += 1
        if not held:
            self.lent.pop(replica, None)
            return False
        held.popleft()
        return True

    def opens_in_s(self, replica: str) -> float:
        """Return when it makes sense to ask for a replica again, 0 for now."""
        return max(0.0, self.closed_until.get(replica, 0.0) - self.clock.monotonic())

    async def ask(self, replicas: Iterable[Replica], *, wait_s: float, priority: int) -> Permit:
        """Return a permit for one of some replicas, the best first, or when one may come."""
        names = tuple(item.id for item in replicas)
        ask = PermitAsk(next(self.numbers), self.own_address, names, wait_s, priority)
        limit_s = wait_s + ANSWER_S
        answer: asyncio.Future[Permit] = asyncio.get_running_loop().create_future()
        self.open[ask.number] = Open(ask, self.clock.monotonic() + limit_s, answer)
        self.send(self.holder(), ask)
        try:
            async with asyncio.timeout(limit_s):
                permit = await answer
        except TimeoutError:
            permit = Permit('', ANSWER_S)
        finally:
            del self.open[ask.number]
        if not permit.replica:
            closed_s = min(MAX_CLOSED_S, max(LEAST_CLOSED_S, permit.opens_in_s))
            until = self.clock.monotonic() + closed_s
            self.closed_until.update(dict.fromkeys(names, until))
        return permit

    def on_answer(self, message: PermitAnswer) -> None:
        """Take an answer in."""
        found = self.open.get(message.number)
        if found is None or found.answer.done():
            return
        if message.replica:
            self.lend(message.replica)
        found.answer.set_result(Permit(message.replica, message.opens_in_s))

    def on_holder(self) -> None:
        """Ask the box that lends now for what the former one has not answered."""
        now = self.clock.monotonic()
        for item in self.open.values():
            if not item.answer.done():
                wait_s = max(0.0, item.until - ANSWER_S - now)
                ask = PermitAsk(
                    item.ask.number, self.own_address, item.ask.replicas, wait_s, item.ask.priority
                )
                self.send(self.holder(), ask)

    def on_limits_changed(self) -> None:
        """Ask anew: what was answered went by other limits."""
        self.closed_until.clear()

    def refuse_waiting(self) -> None:
        """End the wait of every ask, since this box has to end."""
        for item in self.open.values():
            if not item.answer.done():
                item.answer.set_result(Permit('', ANSWER_S))

    def expire(self) -> None:
        """Forget what is over."""
        now = self.clock.monotonic()
        self.closed_until = {name: at for name, at in self.closed_until.items() if at > now}
        for name, held in list(self.lent.items()):
            if held[-1] < now:
                self.unused += len(held)
                del self.lent[name]
