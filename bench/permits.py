"""Compare ways to keep a limit of all boxes together: one lender, shares of each box, few boxes."""

from __future__ import annotations

import asyncio
import random
import statistics
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Annotated, NamedTuple
from unittest import mock

import typer

from calicopath_core.fleet.notices import Notice, NoticeObserver
from calicopath_core.fleet.replicas import Replica, ReplicaTable
from calicopath_core.membership.messages import encode
from calicopath_core.permits.buckets import PermitBucket
from calicopath_core.permits.client import PermitClient
from calicopath_core.permits.issuer import LimitIssuer, PermitObserver
from calicopath_core.permits.limits import AdvertisedLimits
from calicopath_core.permits.messages import PermitAnswer, PermitRequest
from testkit.virtual import VirtualClock, run_virtual

if TYPE_CHECKING:
    from collections.abc import Sequence

    import msgspec

SPAN_S = 4.0
WARM_S = 5.0
LENGTH_S = 60.0
DELAY_S = 0.001
"""One way between two boxes."""

WAIT_S = 1.0
"""How long a request may wait for a permit."""

OVERLOAD = 3.0
"""How many times the limit is asked for."""

FEW_BOXES = 4
HELP_BOXES = 'Sizes of fleets, separated by commas.'
HELP_LIMITS = 'Limits in requests a second, separated by commas.'
HELP_REPLICAS = 'Replicas of the service, all limited alike.'
HELP_HOT = 'Have one box get all requests.'


class Figures(NamedTuple):
    """Hold what one way did: the most in 4 s against what is borne, use, waits and messages.

    `most_messages` and `most_bytes` are a second, sent and received by the busiest box.
    """

    way: str
    most: int
    borne: float
    used: float
    wait_ms: float
    most_messages: float
    most_bytes: float


class Way(ABC):
    """Say which of some limited replicas a box may call."""

    @abstractmethod
    async def ask(self, box: int) -> str:
        """Return a replica that may be called, or nothing."""


class Lent(Way):
    """Ask the one box that lends, over messages."""

    def __init__(self, *, boxes: int, replicas: Sequence[Replica], per_s: float) -> None:
        clock = VirtualClock()
        self.replicas = replicas
        self.traffic: dict[str, list[int]] = {}
        table = ReplicaTable()
        table.replace(replicas, 0.0)
        limits = AdvertisedLimits(clock=clock, observer=mock.Mock(spec=NoticeObserver))
        for replica in replicas:
            limits.on_notice(replica, Notice(limit_per_s=per_s))
        self.clients = [
            PermitClient(
                clock=clock, own_address=f'{n}', issuer_address=lambda: '0', send=self.send
            )
            for n in range(boxes)
        ]
        self.holder = LimitIssuer(
            clock=clock,
            limits=limits,
            replicas=table,
            share=lambda: 1.0,
            send=self.answer,
            own_client=self.clients[0],
            observer=mock.Mock(spec=PermitObserver),
        )

    async def ask(self, box: int) -> str:
        """Return a replica for which a permit was lent in time."""
        permit = await self.clients[box].request_permit(self.replicas, wait_s=WAIT_S, priority=0)
        return permit.replica

    def count(self, *addresses: str, message: msgspec.Struct) -> None:
        """Count a message at both ends."""
        for address in addresses:
            self.traffic.setdefault(address, []).append(len(encode(message)))

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Bring an ask to the lender."""
        assert isinstance(message, PermitRequest)
        self.count(message.address, address, message=message)
        asyncio.get_running_loop().call_later(DELAY_S, self.holder.on_request, message)

    def answer(self, address: str, message: msgspec.Struct) -> None:
        """Bring an answer to a box."""
        assert isinstance(message, PermitAnswer)
        self.count('0', address, message=message)
        client = self.clients[int(address)]
        asyncio.get_running_loop().call_later(DELAY_S, client.on_answer, message)


class Shares(Way):
    """Give each of some boxes an even share, spaced, with phases by chance; no messages."""

    def __init__(
        self, *, boxes: int, replicas: Sequence[Replica], per_s: float, seed: int, using: int
    ) -> None:
        rng = random.Random(seed)
        self.rate = per_s / using
        self.using = using
        self.boxes = boxes
        now = asyncio.get_running_loop().time()
        self.buckets = [
            {item.id: PermitBucket(next_at=now + rng.random() / self.rate) for item in replicas}
            for _ in range(using)
        ]

    async def ask(self, box: int) -> str:
        """Return a replica whose share at this box lets a call go within the wait."""
        if box >= self.using:
            return ''
        now = asyncio.get_running_loop().time()
        name, bucket = min(self.buckets[box].items(), key=lambda item: item[1].next_at)
        wait_s = bucket.next_at - now
        if wait_s > WAIT_S:
            return ''
        bucket.take(self.rate, now)
        await asyncio.sleep(max(0.0, wait_s))
        return name


def new_way(name: str, *, boxes: int, replicas: Sequence[Replica], per_s: float) -> Way:
    """Return a way by its name."""
    if name == 'one lender':
        return Lent(boxes=boxes, replicas=replicas, per_s=per_s)
    using = boxes if name == 'shares' else min(boxes, FEW_BOXES)
    return Shares(boxes=boxes, replicas=replicas, per_s=per_s, seed=1, using=using)


async def play(name: str, boxes: int, count: int, per_s: float, *, hot: bool) -> Figures:
    """Ask for more than the limits allow and return what came of it."""
    replicas = [Replica(f'i-{n}', 'desk', f'i-{n}:1', 'north', 6, False) for n in range(count)]
    way = new_way(name, boxes=boxes, replicas=replicas, per_s=per_s)
    loop = asyncio.get_running_loop()
    rng = random.Random(2)
    calls: list[tuple[float, str]] = []
    waits: list[float] = []

    async def request(box: int) -> None:
        asked = loop.time()
        replica = await way.ask(box)
        if replica:
            calls.append((loop.time(), replica))
            waits.append(loop.time() - asked)

    tasks = []
    while loop.time() < WARM_S + LENGTH_S:
        tasks.append(asyncio.create_task(request(0 if hot else rng.randrange(boxes))))
        await asyncio.sleep(rng.expovariate(OVERLOAD * per_s * count))
    await asyncio.gather(*tasks)
    counted = [item for item in calls if WARM_S <= item[0] < WARM_S + LENGTH_S]
    by_replica = [[at for at, name in counted if name == item.id] for item in replicas]
    most = max(
        sum(at <= one < at + SPAN_S for one in times) for times in by_replica for at in times or [0]
    )
    sizes = getattr(way, 'traffic', {}).values()
    return Figures(
        way=name,
        most=most,
        borne=1.5 * SPAN_S * per_s + 5,
        used=len(counted) / (per_s * count * LENGTH_S),
        wait_ms=1000 * statistics.fmean(waits) if waits else 0.0,
        most_messages=max((len(item) for item in sizes), default=0) / (WARM_S + LENGTH_S),
        most_bytes=max((sum(item) for item in sizes), default=0) / (WARM_S + LENGTH_S),
    )


def main(
    boxes: Annotated[str, typer.Option(help=HELP_BOXES)] = '8,60,195,300',
    limits: Annotated[str, typer.Option(help=HELP_LIMITS)] = '0.5,1,4,20',
    replicas: Annotated[int, typer.Option(help=HELP_REPLICAS)] = 4,
    hot: Annotated[bool, typer.Option(help=HELP_HOT)] = False,
) -> None:
    """Print a line for each way, size of fleet and limit."""
    print('| way | boxes | limit | most in 4 s | borne | used | wait ms | messages/s | bytes/s |')
    print('| --- | --- | --- | --- | --- | --- | --- | --- | --- |')
    for size in (int(item) for item in boxes.split(',')):
        for per_s in (float(item) for item in limits.split(',')):
            for name in ('one lender', 'shares', 'few boxes'):
                found = run_virtual(play(name, size, replicas, per_s, hot=hot))
                print(
                    f'| {name} | {size} | {per_s:g} | {found.most} | {found.borne:g} '
                    f'| {found.used:.2f} | {found.wait_ms:.0f} | {found.most_messages:.0f} '
                    f'| {found.most_bytes:.0f} |',
                    flush=True,
                )


if __name__ == '__main__':
    typer.run(main)
