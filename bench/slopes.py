"""Measure what one box's control work costs, piece by piece, on this machine."""

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

DOMAINS = 26
MODELS = 14


class Slope(NamedTuple):
    """Hold one measured figure with its unit."""

    name: str
    value: float
    unit: str


class CapturingTransport(PeerTransport):
    """Keep what is sent, send nothing."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, address: str, data: bytes) -> None:
        """Keep a message."""
        self.sent.append(data)

    def listen(self, handler: Callable[[bytes], None]) -> None:
        """Ignore the handler."""

    def drop_connection(self, address: str) -> None:
        """Do nothing: there is no connection."""


def member(number: int) -> MemberInfo:
    """Return a box of a large fleet."""
    return MemberInfo(
        f'box-{number:05d}',
        f'domain-{number % DOMAINS}',
        f'10.0.0.{number % 250}:7700',
        1,
        1,
        False,
    )


def endpoint(number: int) -> Endpoint:
    """Return a replica of a large fleet."""
    return Endpoint(
        f'model-{number % MODELS}-{number:05d}',
        f'model-{number % MODELS}',
        StageKind.ENGINE,
        f'http://10.1.{number // 250}.{number % 250 + 1}:8000',
        f'domain-{number // MODELS % DOMAINS}',
        16,
    )


def updates(workspaces: int, pipelines: int, endpoints: int) -> list[ViewUpdate]:
    """Return a large configuration."""
    found = [ViewUpdate(f'config/templates/{name}', 1, spec) for name, spec in TEMPLATES.items()]
    for number in range(endpoints):
        item = endpoint(number)
        found.append(ViewUpdate(f'config/endpoints/{item.name}', 1, endpoint_spec(item)))
    for number in range(workspaces):
        for which in range(pipelines):
            spec = {**pipeline_spec('answer', workspace=f'w{number}'), 'name': f'p{which}'}
            found.append(ViewUpdate(f'config/pipelines/w{number}/p{which}', 1, spec))
    return found


class Control:
    """Hold the control state of one box, as the daemon does."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.view = ConfigView()
        self.transport = CapturingTransport()
        self.members = MemberTable(own=member(0))
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
        """Return a pool."""
        return ServicePool(
            service=service,
            clock=self.clock,
            selector=ExpectedCompletionSelector(rng=random.Random(1)),
            new_limit=lambda item: FixedLimit(limit=item.concurrency),
        )


def timed(work: Callable[[], Any], times: int) -> float:
    """Return the processor seconds that one call takes."""
    work()
    started = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - started) / times


async def measure_state(objects: tuple[int, int, int]) -> list[Slope]:
    """Measure memory and time of a whole configuration."""
    found = updates(*objects)
    gc.collect()
    tracemalloc.start()
    control = Control()
    own_copies = msgspec.json.decode(msgspec.json.encode(found), type=list[ViewUpdate])
    control.view.apply_all(own_copies)
    del own_copies
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    count = len(found)
    loading = time.process_time()
    Control().view.apply_all(found)
    loading = time.process_time() - loading
    size = len(msgspec.json.encode([update._asdict() for update in found]))
    return [
        Slope('objects measured', count, ''),
        Slope('memory an object', held / count, 'B'),
        Slope('size of an object on the wire', size / count, 'B'),
        Slope('time to load an object', 1e6 * loading / count, 'us'),
    ]


async def measure_changes(objects: tuple[int, int, int]) -> list[Slope]:
    """Measure what one change costs a box that holds a large configuration."""
    control = Control()
    found = updates(*objects)
    control.view.apply_all(found)
    control.gossip.push_updates()
    for number in range(1, 200):
        control.members.on_heard(member(number), 0.0, direct=True)
    versions = iter(range(2, 10**9))

    def change(index: int) -> None:
        update = found[index]
        control.view.apply(ViewUpdate(update.key, next(versions), update.spec))
        control.gossip.push_updates()

    endpoint_s = timed(lambda: change(len(TEMPLATES)), 300)
    pipeline_s = timed(lambda: change(len(found) - 1), 300)
    return [
        Slope('time of a changed endpoint, with push', 1e6 * endpoint_s, 'us'),
        Slope('time of a changed pipeline, with push', 1e6 * pipeline_s, 'us'),
        Slope('size of a push of one object', len(control.transport.sent[-1]), 'B'),
    ]


async def measure_members(count: int) -> list[Slope]:
    """Measure what heartbeats cost a box that knows so many others."""
    control = Control()
    for number in range(1, count):
        control.members.on_heard(member(number), 0.0, direct=True)
    control.transport.sent.clear()
    send_s = timed(lambda: control.gossip.send_heartbeats(0.0), 50)
    heartbeat = control.transport.sent[-1]
    receive_s = timed(lambda: control.gossip.on_data(heartbeat), 500)
    relay_s = timed(lambda: control.members.is_relay(0.0), 50)
    return [
        Slope(f'time to send heartbeats, {count} boxes', 1e6 * send_s, 'us'),
        Slope(f'time to receive a heartbeat, {count} boxes', 1e6 * receive_s, 'us'),
        Slope(f'time to choose the role, {count} boxes', 1e6 * relay_s, 'us'),
        Slope('size of a heartbeat', len(heartbeat), 'B'),
        Slope('time of an idle tick', 1e6 * timed(control.gossip.push_updates, 1000), 'us'),
    ]


async def measure_index() -> list[Slope]:
    """Measure a repair's first step."""
    view = ConfigView()
    index = BucketIndex(view=view)
    view.apply_all([ViewUpdate(f'config/k{n}', 1, {}) for n in range(10_000)])
    other = list(index.digests)
    return [
        Slope('time to compare buckets', 1e6 * timed(lambda: index.differing(other), 500), 'us')
    ]


async def measure_subset(replicas: int, boxes: int) -> list[Slope]:
    """Measure how even subsets are and how much a change moves."""
    every = [item for item in map(endpoint, range(replicas * MODELS)) if item.service == 'model-0']
    counts: dict[str, int] = dict.fromkeys((item.name for item in every), 0)
    moved = 0
    for number in range(boxes):
        chooser = SubsetChooser(box=f'box-{number}', failure_domain=f'domain-{number % DOMAINS}')
        chosen = {item.name for item in chooser.choose(every)}
        for name in chosen:
            counts[name] += 1
        moved += len({item.name for item in chooser.choose(every[1:])} - chosen)
    mean = sum(counts.values()) / len(counts)
    chooser = SubsetChooser(box='box-0', failure_domain='domain-0')
    return [
        Slope('boxes a replica, mean', mean, ''),
        Slope('boxes a replica, least', min(counts.values()), ''),
        Slope('boxes a replica, most', max(counts.values()), ''),
        Slope('places moved over all boxes when one replica leaves', moved, ''),
        Slope('time to choose a subset', 1e6 * timed(lambda: chooser.choose(every), 20), 'us'),
    ]


def measure_all(objects: tuple[int, int, int], boxes: int, replicas: int) -> list[Slope]:
    """Return every slope."""

    async def everything() -> list[Slope]:
        found = await measure_state(objects)
        found += await measure_changes(objects)
        for count in (boxes // 16, boxes // 4, boxes):
            found += await measure_members(count)
        found += await measure_index()
        found += await measure_subset(replicas, boxes)
        await asyncio.sleep(0)
        return found

    return run_virtual(everything())
