"""Compare strategies that keep the calls of all boxes within a limit that a replica advertises.

One box issues all permits, every box gets an even share, or a few boxes do.
"""

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

WINDOW_S = 4.0
WARM_UP_S = 5.0
MEASURED_S = 60.0
ONE_WAY_DELAY_S = 0.001
"""Network delay in one direction between two boxes."""

MAX_WAIT_S = 1.0
"""The longest time that a request waits for a permit."""

OVERLOAD_FACTOR = 3.0
"""Request rate as a multiple of the limits of all replicas."""

FEW_BOXES = 4
HELP_BOXES = 'Fleet sizes in boxes, separated by commas.'
HELP_LIMITS = 'Limits of a replica in requests per second, separated by commas.'
HELP_REPLICAS = 'Number of replicas, all with the same limit.'
HELP_HOT = 'Send all requests to one box.'


class Figures(NamedTuple):
    """Hold the figures of one strategy.

    `max_calls` is the most calls to one replica within `WINDOW_S`, `tolerated_calls` the number
    that a replica tolerates in it, and `utilization` the share of the limits that was used.
    Messages and bytes are sent and received by the busiest box.
    """

    strategy: str
    max_calls: int
    tolerated_calls: float
    utilization: float
    mean_wait_ms: float
    max_messages_per_s: float
    max_bytes_per_s: float


class LimitStrategy(ABC):
    """Decide which of several replicas with a limit a box may call."""

    @abstractmethod
    async def acquire(self, box: int) -> str:
        """Wait for a replica that may be called and return it, or an empty string."""


class SingleIssuer(LimitStrategy):
    """Let one box issue the permits of all, requested by messages."""

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
                clock=clock,
                own_address=f'{n}',
                issuer_address=lambda: '0',
                send=self.deliver_request,
            )
            for n in range(boxes)
        ]
        self.issuer = LimitIssuer(
            clock=clock,
            limits=limits,
            replicas=table,
            share=lambda: 1.0,
            send=self.deliver_answer,
            own_client=self.clients[0],
            observer=mock.Mock(spec=PermitObserver),
        )

    async def acquire(self, box: int) -> str:
        """Return a replica for which a permit was granted within `MAX_WAIT_S`."""
        permit = await self.clients[box].request_permit(
            self.replicas, wait_s=MAX_WAIT_S, priority=0
        )
        return permit.replica

    def count_message(self, *addresses: str, message: msgspec.Struct) -> None:
        """Count the size of a message at its sender and its receiver."""
        for address in addresses:
            self.traffic.setdefault(address, []).append(len(encode(message)))

    def deliver_request(self, address: str, message: msgspec.Struct) -> None:
        """Deliver a permit request to the issuer after the network delay."""
        assert isinstance(message, PermitRequest)
        self.count_message(message.address, address, message=message)
        asyncio.get_running_loop().call_later(ONE_WAY_DELAY_S, self.issuer.on_request, message)

    def deliver_answer(self, address: str, message: msgspec.Struct) -> None:
        """Deliver an answer of the issuer to a box after the network delay."""
        assert isinstance(message, PermitAnswer)
        self.count_message('0', address, message=message)
        client = self.clients[int(address)]
        asyncio.get_running_loop().call_later(ONE_WAY_DELAY_S, client.on_answer, message)


class EvenShares(LimitStrategy):
    """Give the first `sharing_boxes` boxes an even share of each limit, without messages.

    Each box spaces its calls evenly, from a random first time.
    """

    def __init__(
        self,
        *,
        boxes: int,
        replicas: Sequence[Replica],
        per_s: float,
        seed: int,
        sharing_boxes: int,
    ) -> None:
        rng = random.Random(seed)
        self.share_per_s = per_s / sharing_boxes
        self.sharing_boxes = sharing_boxes
        self.boxes = boxes
        now = asyncio.get_running_loop().time()
        self.buckets = [
            {
                item.id: PermitBucket(next_at=now + rng.random() / self.share_per_s)
                for item in replicas
            }
            for _ in range(sharing_boxes)
        ]

    async def acquire(self, box: int) -> str:
        """Return the replica whose share is available first, if within `MAX_WAIT_S`."""
        if box >= self.sharing_boxes:
            return ''
        now = asyncio.get_running_loop().time()
        name, bucket = min(self.buckets[box].items(), key=lambda item: item[1].next_at)
        wait_s = bucket.next_at - now
        if wait_s > MAX_WAIT_S:
            return ''
        bucket.take(self.share_per_s, now)
        await asyncio.sleep(max(0.0, wait_s))
        return name


def new_strategy(
    name: str, *, boxes: int, replicas: Sequence[Replica], per_s: float
) -> LimitStrategy:
    """Return the strategy of a printed name."""
    if name == 'one lender':
        return SingleIssuer(boxes=boxes, replicas=replicas, per_s=per_s)
    sharing_boxes = boxes if name == 'shares' else min(boxes, FEW_BOXES)
    return EvenShares(
        boxes=boxes, replicas=replicas, per_s=per_s, seed=1, sharing_boxes=sharing_boxes
    )


async def simulate(
    name: str, boxes: int, replica_count: int, per_s: float, *, from_one_box: bool
) -> Figures:
    """Request more calls than the limits allow and return the figures."""
    replicas = [
        Replica(f'i-{n}', 'desk', f'i-{n}:1', 'north', 6, False) for n in range(replica_count)
    ]
    strategy = new_strategy(name, boxes=boxes, replicas=replicas, per_s=per_s)
    loop = asyncio.get_running_loop()
    rng = random.Random(2)
    calls: list[tuple[float, str]] = []
    waits_s: list[float] = []

    async def request(box: int) -> None:
        requested_at = loop.time()
        replica = await strategy.acquire(box)
        if replica:
            calls.append((loop.time(), replica))
            waits_s.append(loop.time() - requested_at)

    tasks = []
    while loop.time() < WARM_UP_S + MEASURED_S:
        tasks.append(asyncio.create_task(request(0 if from_one_box else rng.randrange(boxes))))
        await asyncio.sleep(rng.expovariate(OVERLOAD_FACTOR * per_s * replica_count))
    await asyncio.gather(*tasks)
    measured_calls = [item for item in calls if WARM_UP_S <= item[0] < WARM_UP_S + MEASURED_S]
    call_times_by_replica = [
        [window_start for window_start, name in measured_calls if name == item.id]
        for item in replicas
    ]
    max_calls = max(
        sum(window_start <= called_at < window_start + WINDOW_S for called_at in times)
        for times in call_times_by_replica
        for window_start in times or [0]
    )
    message_sizes = getattr(strategy, 'traffic', {}).values()
    return Figures(
        strategy=name,
        max_calls=max_calls,
        tolerated_calls=1.5 * WINDOW_S * per_s + 5,
        utilization=len(measured_calls) / (per_s * replica_count * MEASURED_S),
        mean_wait_ms=1000 * statistics.fmean(waits_s) if waits_s else 0.0,
        max_messages_per_s=max((len(item) for item in message_sizes), default=0)
        / (WARM_UP_S + MEASURED_S),
        max_bytes_per_s=max((sum(item) for item in message_sizes), default=0)
        / (WARM_UP_S + MEASURED_S),
    )


def main(
    boxes: Annotated[str, typer.Option(help=HELP_BOXES)] = '8,60,195,300',
    limits: Annotated[str, typer.Option(help=HELP_LIMITS)] = '0.5,1,4,20',
    replicas: Annotated[int, typer.Option(help=HELP_REPLICAS)] = 4,
    hot: Annotated[bool, typer.Option(help=HELP_HOT)] = False,
) -> None:
    """Print a row for each strategy, fleet size and limit."""
    print('| way | boxes | limit | most in 4 s | borne | used | wait ms | messages/s | bytes/s |')
    print('| --- | --- | --- | --- | --- | --- | --- | --- | --- |')
    for size in (int(item) for item in boxes.split(',')):
        for per_s in (float(item) for item in limits.split(',')):
            for name in ('one lender', 'shares', 'few boxes'):
                figures = run_virtual(simulate(name, size, replicas, per_s, from_one_box=hot))
                print(
                    f'| {name} | {size} | {per_s:g} | {figures.max_calls} '
                    f'| {figures.tolerated_calls:g} '
                    f'| {figures.utilization:.2f} | {figures.mean_wait_ms:.0f} '
                    f'| {figures.max_messages_per_s:.0f} '
                    f'| {figures.max_bytes_per_s:.0f} |',
                    flush=True,
                )


if __name__ == '__main__':
    typer.run(main)
