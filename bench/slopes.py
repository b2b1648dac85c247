"""Measure the control cost of one box by operation, on this machine."""

from __future__ import annotations

import asyncio
import gc
import random
import time
import tracemalloc
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from calicopath_core.limits.concurrency import FixedLimit
from calicopath_core.membership.buckets import BucketIndex
from calicopath_core.membership.gossip import Gossip
from calicopath_core.membership.members import MemberTable
from calicopath_core.membership.messages import MemberInfo
from calicopath_core.membership.transport import PeerTransport
from calicopath_core.routing.pools import ServicePool
from calicopath_core.routing.registry import PoolRegistry
from calicopath_core.routing.selectors import ExpectedCompletionSelector
from calicopath_core.routing.subset import SubsetChooser
from calicopath_core.store.view import ConfigView, ViewUpdate
from calicopath_core.structure.endpoints import Endpoint
from calicopath_core.structure.stages import StageKind
from testkit.virtual import VirtualClock, run_virtual
from testkit.world import TEMPLATES, endpoint_spec, pipeline_spec

if TYPE_CHECKING:
    from collections.abc import Callable

FAILURE_DOMAINS = 26
MODEL_COUNT = 14


class Measurement(NamedTuple):
    """Hold one figure with its printed name and unit."""

    name: str
    value: float
    unit: str


class CapturingTransport(PeerTransport):
    """Record messages instead of sending them."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, address: str, data: bytes) -> None:
        """Record a message."""
        self.sent.append(data)

    def listen(self, handler: Callable[[bytes], None]) -> None:
        """Ignore the handler, since no message arrives."""

    def drop_connection(self, address: str) -> None:
        """Do nothing, since there is no connection."""


def new_member(number: int) -> MemberInfo:
    """Return the member information of one box of a large fleet."""
    return MemberInfo(
        f'box-{number:05d}',
        f'domain-{number % FAILURE_DOMAINS}',
        f'10.0.0.{number % 250}:7700',
        1,
        1,
        False,
    )


def new_endpoint(number: int) -> Endpoint:
    """Return one engine endpoint of a large fleet."""
    return Endpoint(
        f'model-{number % MODEL_COUNT}-{number:05d}',
        f'model-{number % MODEL_COUNT}',
        StageKind.ENGINE,
        f'http://10.1.{number // 250}.{number % 250 + 1}:8000',
        f'domain-{number // MODEL_COUNT % FAILURE_DOMAINS}',
        16,
    )


def new_updates(workspaces: int, pipelines: int, endpoints: int) -> list[ViewUpdate]:
    """Return the updates that load a configuration of a given size."""
    updates = [ViewUpdate(f'config/templates/{name}', 1, spec) for name, spec in TEMPLATES.items()]
    for number in range(endpoints):
        item = new_endpoint(number)
        updates.append(ViewUpdate(f'config/endpoints/{item.name}', 1, endpoint_spec(item)))
    for number in range(workspaces):
        for index in range(pipelines):
            spec = {**pipeline_spec('answer', workspace=f'w{number}'), 'name': f'p{index}'}
            updates.append(ViewUpdate(f'config/pipelines/w{number}/p{index}', 1, spec))
    return updates


class ControlState:
    """Hold the control state that the daemon keeps on one box."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.view = ConfigView()
        self.transport = CapturingTransport()
        self.members = MemberTable(own=new_member(0))
        self.gossip = Gossip(
            view=self.view,
            members=self.members,
            transport=self.transport,
            clock=self.clock,
            rng=random.Random(1),
            is_ready=lambda: True,
        )
        self.pools = PoolRegistry(
            view=self.view,
            subset=SubsetChooser(box='box-00000', failure_domain='domain-0'),
            new_pool=self.new_pool,
        )

    def new_pool(self, service: str) -> ServicePool:
        """Return a pool with a fixed limit for each endpoint."""
        return ServicePool(
            service=service,
            clock=self.clock,
            selector=ExpectedCompletionSelector(rng=random.Random(1)),
            new_limit=lambda item: FixedLimit(limit=item.concurrency),
        )


def cpu_time_s(call: Callable[[], Any], repeats: int) -> float:
    """Return the mean processor seconds of a call, after one call as warm-up."""
    call()
    started = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - started) / repeats


async def measure_state(objects: tuple[int, int, int]) -> list[Measurement]:
    """Measure the memory, wire size and load time of a configuration per object."""
    updates = new_updates(*objects)
    gc.collect()
    tracemalloc.start()
    control = ControlState()
    own_copies = msgspec.json.decode(msgspec.json.encode(updates), type=list[ViewUpdate])
    control.view.apply_all(own_copies)
    del own_copies
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    count = len(updates)
    load_s = time.process_time()
    ControlState().view.apply_all(updates)
    load_s = time.process_time() - load_s
    wire_bytes = len(msgspec.json.encode([update._asdict() for update in updates]))
    return [
        Measurement('objects measured', count, ''),
        Measurement('memory an object', held_bytes / count, 'B'),
        Measurement('size of an object on the wire', wire_bytes / count, 'B'),
        Measurement('time to load an object', 1e6 * load_s / count, 'us'),
    ]


async def measure_changes(objects: tuple[int, int, int]) -> list[Measurement]:
    """Measure the cost of one change at a box that holds a large configuration."""
    control = ControlState()
    updates = new_updates(*objects)
    control.view.apply_all(updates)
    control.gossip.push_updates()
    for number in range(1, 200):
        control.members.on_heard(new_member(number), 0.0, direct=True)
    versions = iter(range(2, 10**9))

    def change(index: int) -> None:
        update = updates[index]
        control.view.apply(ViewUpdate(update.key, next(versions), update.spec))
        control.gossip.push_updates()

    endpoint_s = cpu_time_s(lambda: change(len(TEMPLATES)), 300)
    pipeline_s = cpu_time_s(lambda: change(len(updates) - 1), 300)
    return [
        Measurement('time of a changed endpoint, with push', 1e6 * endpoint_s, 'us'),
        Measurement('time of a changed pipeline, with push', 1e6 * pipeline_s, 'us'),
        Measurement('size of a push of one object', len(control.transport.sent[-1]), 'B'),
    ]


async def measure_members(count: int) -> list[Measurement]:
    """Measure the cost of heartbeats and of the role's choice in a fleet of `count` boxes."""
    control = ControlState()
    for number in range(1, count):
        control.members.on_heard(new_member(number), 0.0, direct=True)
    control.transport.sent.clear()
    send_s = cpu_time_s(lambda: control.gossip.send_heartbeats(0.0), 50)
    heartbeat = control.transport.sent[-1]
    receive_s = cpu_time_s(lambda: control.gossip.on_data(heartbeat), 500)
    relay_s = cpu_time_s(lambda: control.members.is_relay(0.0), 50)
    return [
        Measurement(f'time to send heartbeats, {count} boxes', 1e6 * send_s, 'us'),
        Measurement(f'time to receive a heartbeat, {count} boxes', 1e6 * receive_s, 'us'),
        Measurement(f'time to choose the role, {count} boxes', 1e6 * relay_s, 'us'),
        Measurement('size of a heartbeat', len(heartbeat), 'B'),
        Measurement(
            'time of an idle tick', 1e6 * cpu_time_s(control.gossip.push_updates, 1000), 'us'
        ),
    ]


async def measure_bucket_comparison() -> list[Measurement]:
    """Measure the first step of a repair between two boxes, the comparison of buckets."""
    view = ConfigView()
    index = BucketIndex(view=view)
    view.apply_all([ViewUpdate(f'config/k{n}', 1, {}) for n in range(10_000)])
    other = list(index.digests)
    return [
        Measurement(
            'time to compare buckets', 1e6 * cpu_time_s(lambda: index.differing(other), 500), 'us'
        )
    ]


async def measure_subset(replicas_per_model: int, boxes: int) -> list[Measurement]:
    """Measure how evenly subsets cover the replicas and how much one departure moves."""
    endpoints = [
        item
        for item in map(new_endpoint, range(replicas_per_model * MODEL_COUNT))
        if item.service == 'model-0'
    ]
    counts: dict[str, int] = dict.fromkeys((item.name for item in endpoints), 0)
    moved_places = 0
    for number in range(boxes):
        chooser = SubsetChooser(
            box=f'box-{number}', failure_domain=f'domain-{number % FAILURE_DOMAINS}'
        )
        chosen = {item.name for item in chooser.choose(endpoints)}
        for name in chosen:
            counts[name] += 1
        moved_places += len({item.name for item in chooser.choose(endpoints[1:])} - chosen)
    mean = sum(counts.values()) / len(counts)
    chooser = SubsetChooser(box='box-0', failure_domain='domain-0')
    return [
        Measurement('boxes a replica, mean', mean, ''),
        Measurement('boxes a replica, least', min(counts.values()), ''),
        Measurement('boxes a replica, most', max(counts.values()), ''),
        Measurement('places moved over all boxes when one replica leaves', moved_places, ''),
        Measurement(
            'time to choose a subset', 1e6 * cpu_time_s(lambda: chooser.choose(endpoints), 20), 'us'
        ),
    ]


def measure_all(
    objects: tuple[int, int, int], boxes: int, replicas_per_model: int
) -> list[Measurement]:
    """Return the results of all measurements."""

    async def measure() -> list[Measurement]:
        measurements = await measure_state(objects)
        measurements += await measure_changes(objects)
        for count in (boxes // 16, boxes // 4, boxes):
            measurements += await measure_members(count)
        measurements += await measure_bucket_comparison()
        measurements += await measure_subset(replicas_per_model, boxes)
        await asyncio.sleep(0)
        return measurements

    return run_virtual(measure())
