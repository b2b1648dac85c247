"""Hold a running fleet: store, replicas, links and boxes, and do to it what a step says."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from aiohttp import web

from calicopath_platform import names
from calicopath_platform.tests.endless import ENDLESS
from calicopath_platform.tests.soak_replicas import (
    INVALID_RETRY_AFTERS,
    SoakReplica,
    invalid_spec,
    soak_config,
    soak_settings,
)
from calicopath_platform.tests.standins import StoreStandIn
from testkit.partition import Partition
from testkit.ports import free_port_block
from tools.soak import restarts
from tools.soak.boxes import BoxProcess
from tools.soak.links import Link
from tools.soak.partitions import BoxPeriod
from tools.soak.records import BoxStop, Evacuation, LimitPeriod, Run
from tools.soak.schedule import REPLICAS_PER_SERVICE, FaultKind, LinkMode, chosen_replica

if TYPE_CHECKING:
    from tools.soak.schedule import Step

SERVICES = ('engine', 'look', 'desk')
VERSIONS = ('v1', 'v2')
REPLICA_COUNT = len(SERVICES) * REPLICAS_PER_SERVICE
FAILURE_DOMAINS = ('north', 'south')
RESTART_DELAY_S = 0.5
MAX_RUN_BEFORE_CRASH_S = 0.06
"""How long a request runs that ends its replica: an engine has given its head then, or two events.
"""

MAX_PORT_ATTEMPTS = 5
"""How often a box is given other ports when somebody took one before it listened."""

DRAIN_S = 2.0
"""How long a replica serves on after the store has taken that it leaves."""

STORE_DOWN_STATUS = 503
MAX_STORE_DOWN_S = 2.0
MAX_REWRITE_DELAY_S = 1.0
"""How long a store is away that comes back from a copy, and until others write again."""

LIMITS_PER_S = (0.0, 0.5, 1.0, 4.0)
"""What replicas name, in requests a second."""

INVALID_RETRY_AFTER_SHARE = 0.2
"""How many of the wishes make no sense."""


MAX_CUT_INTERVAL_S = 0.12
"""Longest time between two cuts of a series."""

OVERTIME_S = 1.0
"""How much longer than it must a replica serves that leaves amid cut watches."""

PARTITIONS = {
    LinkMode.RESET: Partition.REFUSED,
    LinkMode.SILENT: Partition.HANGING,
    LinkMode.PASS: Partition.NEW_REFUSED,
}


class ReplicaSlot:
    """Hold one place of a replica: its link, and the incarnation that is there."""

    def __init__(self, *, number: int, link: Link) -> None:
        self.number = number
        self.service = SERVICES[number % len(SERVICES)]
        self.failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        self.link = link
        self.incarnation = 0
        self.replica: SoakReplica | None = None
        self.stack = contextlib.AsyncExitStack()
        self.lock = asyncio.Lock()

    def next_version(self) -> str:
        """Return the software version of a new incarnation: both versions serve side by side."""
        return VERSIONS[(self.number // len(SERVICES) + self.incarnation - 1) % len(VERSIONS)]


class World:
    """Own everything that runs; times are seconds since it was made."""

    def __init__(self, *, boxes: int) -> None:
        self.started_at = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix='calicopath-soak-'))
        self.store = StoreStandIn()
        self.store_links: list[Link] = []
        self.slots: list[ReplicaSlot] = []
        self.boxes: list[BoxProcess] = []
        self.box_count = boxes
        self.runs: list[Run] = []
        self.incarnations: list[SoakReplica] = []
        self.handles: dict[str, str] = {}
        self.drained_at: dict[str, float] = {}
        self.removed_at: dict[str, float] = {}
        self.stops: list[BoxStop] = []
        self.evacuations: list[Evacuation] = []
        self.evacuated: set[str] = set()
        self.limit_periods: list[LimitPeriod] = []
        self.partitions: list[BoxPeriod] = []
        self.disturbed: list[BoxPeriod] = []
        self.crash_times: dict[str, list[float]] = {}
        self.part_crash_times: dict[str, list[float]] = {}
        self.crash_tasks: set[asyncio.Task[None]] = set()
        self.config_version = 1
        self.stack = contextlib.AsyncExitStack()

    def now(self) -> float:
        """Return the seconds since the world was made."""
        return time.monotonic() - self.started_at

    async def start(self) -> None:
        """Start store, replicas and boxes."""
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, soak_config(self.config_version))
        runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        store_address = '{}:{}'.format(*runner.addresses[0][:2])
        for number in range(REPLICA_COUNT):
            link = Link(target='')
            await self.stack.enter_async_context(link.served())
            self.slots.append(ReplicaSlot(number=number, link=link))
            await self.start_replica(self.slots[-1])
        for number in range(self.box_count):
            await self.add_box(number, store_address)

    async def add_box(self, number: int, store_address: str) -> None:
        """Start a box that reaches the store over a link of its own."""
        link = Link(target=store_address)
        address = await self.stack.enter_async_context(link.served())
        self.store_links.append(link)
        box = BoxProcess(
            number=number,
            settings_path=self.folder / f'box-{number}.toml',
            log_path=self.folder / f'box-{number}.log',
        )
        self.boxes.append(box)
        for _ in range(MAX_PORT_ATTEMPTS):
            self.assign_ports(box, address)
            await box.start()
            if await box.wait_listening():
                return
        raise RuntimeError(f'box {number} does not listen: {box.log_path.read_text()}')

    def assign_ports(self, box: BoxProcess, store_address: str) -> None:
        """Write a box's settings with ports that were free a moment ago."""
        peers, _, metrics, frontend, ready = free_port_block(5)
        failure_domain = FAILURE_DOMAINS[box.number % len(FAILURE_DOMAINS)]
        ports = (frontend, ready, peers, metrics)
        box.settings_path.write_text(
            soak_settings(f'box-{box.number}', failure_domain, ports, store_address)
        )
        box.frontend = f'127.0.0.1:{frontend}'

    async def start_replica(self, slot: ReplicaSlot, name: str | None = None) -> None:
        """Start a new incarnation, under a name of its own unless one is given, and announce it."""
        slot.incarnation += 1
        # One that starts again under its name has the same software.
        version = slot.replica.version if name and slot.replica is not None else slot.next_version()
        slot.replica = SoakReplica(
            name=name or f'i-{slot.number}-{slot.incarnation}',
            version=version,
            service=slot.service,
            failure_domain=slot.failure_domain,
            clock=self.now,
            runs=self.runs,
            handles=self.handles,
            on_crash_request=partial(self.on_crash, slot, self.crash_times),
            on_crash_part=partial(self.on_crash, slot, self.part_crash_times),
        )
        self.incarnations.append(slot.replica)
        slot.link.target = await slot.stack.enter_async_context(slot.replica.served())
        self.write_entry(slot, 'ready')

    def on_crash(self, slot: ReplicaSlot, times: dict[str, list[float]], cause: str) -> None:
        """Have the replica in a place crash under a request that it is about to run.

        `cause` is the path of the request, or the part of its prompt that crashes replicas.
        """
        assert slot.replica is not None
        crash_times = times.setdefault(cause, [])
        task = asyncio.create_task(self.crash_replica(slot, slot.replica, crash_times))
        self.crash_tasks.add(task)
        task.add_done_callback(self.crash_tasks.discard)

    async def crash_replica(
        self, slot: ReplicaSlot, replica: SoakReplica, crash_times: list[float]
    ) -> None:
        """End a replica with its port, some moments after a request began; its entry lapses."""
        await asyncio.sleep(random.uniform(0.0, MAX_RUN_BEFORE_CRASH_S))
        crash_times.append(self.now())
        if replica.has_crashed:
            return
        replica.has_crashed = True
        slot.link.shut_down()
        replica.crash()
        async with slot.lock:
            # Another may have come in its place while it was about to leave.
            if slot.replica is replica:
                await slot.stack.aclose()
                await asyncio.sleep(RESTART_DELAY_S)
                self.store.delete(names.REPLICA_KIND, replica.name)
                await self.start_replica(slot)
            await slot.link.reopen()

    def write_entry(self, slot: ReplicaSlot, state: str) -> None:
        """Write a replica's entry."""
        assert slot.replica is not None
        spec = {
            'service': slot.service,
            'address': slot.link.address,
            'zone': slot.failure_domain,
            'version': slot.replica.version,
            'slots': 8,
            'state': state,
            'warmupLeftMs': 0,
            'sequence': 1,
            'born': slot.replica.started_ms,
        }
        self.store.put(names.REPLICA_KIND, slot.replica.name, spec)

    async def close(self) -> None:
        """End what runs."""
        for box in self.boxes:
            if box.process is not None and box.process.returncode is None:
                await box.kill()
        for slot in self.slots:
            await slot.stack.aclose()
        await self.stack.aclose()

    async def apply(self, step: Step) -> None:
        """Do what a step says, for as long as it says."""
        match step.kind:
            case FaultKind.KILL_BOX | FaultKind.PAUSE_BOX | FaultKind.STOP_BOX:
                await self.disturb_box(step, self.boxes[step.target])
            case FaultKind.KILL_BOXES:
                await self.kill_boxes(step)
            case FaultKind.BOX_PARTITION:
                await self.partition_box(step, self.boxes[step.target])
            case FaultKind.RELOAD_BOX:
                self.boxes[step.target].send_signal(signal.SIGHUP)
            case FaultKind.STORE_LINK:
                await self.break_link(step, self.store_links[step.target], step.link_mode)
            case FaultKind.REPLICA_LINK:
                await self.break_link(step, self.slots[step.target].link, step.link_mode)
            case FaultKind.STORE_SILENT:
                for link in self.store_links:
                    link.set_mode(LinkMode.SILENT)
                await asyncio.sleep(step.duration_s)
                for link in self.store_links:
                    link.set_mode(LinkMode.PASS)
            case FaultKind.STORE_DOWN:
                self.store.fail_with = STORE_DOWN_STATUS
                await asyncio.sleep(step.duration_s)
                self.store.fail_with = None
            case FaultKind.STORE_LOSES_RESPONSES:
                self.store.lose_answers = True
                await asyncio.sleep(step.duration_s)
                self.store.lose_answers = False
            case FaultKind.STORE_RESTORE:
                await self.restore_store(step)
            case FaultKind.STORE_DROPS_HISTORY:
                self.store.drop_history()
            case (
                FaultKind.REPLICA_CRASH
                | FaultKind.REPLICA_DRAINS
                | FaultKind.REPLICA_RESTARTS
                | FaultKind.REPLICA_LEAVES
            ):
                await self.replace_replica(step, self.slots[step.target])
            case FaultKind.REPLICA_REFUSES:
                await self.refuse_calls(step, self.slots[step.target].replica)
            case FaultKind.REPLICA_LIMITS:
                await self.advertise_limit(step, self.slots[step.target].replica)
            case FaultKind.INVALID_ENTRY:
                await self.write_invalid_entry(step)
            case FaultKind.EVACUATION:
                await self.evacuate(FAILURE_DOMAINS[step.target], step.duration_s)
            case FaultKind.CRASH_REQUEST | FaultKind.CRASH_PART | FaultKind.OVERLOAD:
                # Callers send these; replicas that run a crash request end by themselves.
                pass
            case FaultKind.CONFIG_CHANGE:
                self.change_config()
            case FaultKind.UNDERWAY:
                await self.disturb_answers(step)
            case FaultKind.ENDLESS:
                await self.send_endless_answers(step)
            case FaultKind.WATCH_CUTS:
                await self.cut_watches(step)
            case FaultKind.LEAVE_AT_RESTART:
                await restarts.leave_at_restart(self, step)
            case FaultKind.ODD_STATUS:
                await restarts.send_odd_statuses(self, step)
            case FaultKind.RESTART_BESIDE_ENTRIES:
                # Done where callers are sent, which check that boxes serve.
                pass

    def change_config(self) -> None:
        """Put a configuration with another route."""
        self.config_version += 1
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, soak_config(self.config_version))

    async def disturb_answers(self, step: Step) -> None:
        """Have replicas of a service fall silent, or one leave, while a configuration changes."""
        one = self.slots[chosen_replica(step.target)]
        slots = [slot for slot in self.slots if slot.service == one.service]
        self.change_config()
        if step.link_mode is LinkMode.PASS:
            await self.leave_without_notice(step, one)
            return
        silent = slots if step.link_mode is LinkMode.SILENT else [one]
        for slot in silent:
            if slot.replica is not None:
                slot.replica.silent_until = self.now() + step.duration_s
        await asyncio.sleep(step.duration_s)

    async def send_endless_answers(self, step: Step) -> None:
        """Have one replica answer everything with bytes that do not end."""
        replica = self.slots[chosen_replica(step.target)].replica
        if replica is None:
            return
        replica.endless = ENDLESS[step.target // REPLICA_COUNT % len(ENDLESS)]
        await asyncio.sleep(step.duration_s)
        replica.endless = None

    async def cut_watches(self, step: Step) -> None:
        """Cut the waiting watches in a series, while a replica leaves without notice."""
        rng = random.Random(step.target)
        interval_s = rng.uniform(0.03, MAX_CUT_INTERVAL_S)
        slot = self.slots[chosen_replica(step.target)]
        ends_at = self.now() + step.duration_s
        leaves_at = self.now() + rng.uniform(0.0, step.duration_s)
        leaving: asyncio.Task[None] | None = None
        while self.now() < ends_at:
            self.store.cut_watches()
            await asyncio.sleep(interval_s)
            if leaving is None and self.now() >= leaves_at:
                overtime = step._replace(duration_s=OVERTIME_S)
                leaving = asyncio.create_task(self.leave_without_notice(overtime, slot))
        if leaving is not None:
            await leaving

    async def leave_without_notice(self, step: Step, slot: ReplicaSlot) -> None:
        """Have a replica's entry go, and the replica after it has answered all requests."""
        async with slot.lock:
            leaving = slot.replica
            assert leaving is not None
            self.store.delete(names.REPLICA_KIND, leaving.name)
            self.removed_at[leaving.name] = self.now()
            await asyncio.sleep(DRAIN_S + step.duration_s)
            while not leaving.has_crashed and leaving.runs_in_progress:
                await asyncio.sleep(0.0)
            if not leaving.has_crashed:
                slot.link.shut_down()
                await slot.stack.aclose()
                await asyncio.sleep(RESTART_DELAY_S)
                await self.start_replica(slot)
                await slot.link.reopen()

    async def kill_boxes(self, step: Step) -> None:
        """Kill as many boxes at the same moment as the step's target says."""
        first = int(1000 * step.at_s) % len(self.boxes)
        chosen = [self.boxes[(first + shift) % len(self.boxes)] for shift in range(step.target)]
        kill = step._replace(kind=FaultKind.KILL_BOX)
        await asyncio.gather(*(self.disturb_box(kill, box) for box in chosen))

    async def restore_store(self, step: Step) -> None:
        """Have the store be away and come back in a new era, from a copy as old as the step."""
        snapshot = self.store.snapshot()
        await asyncio.sleep(step.duration_s)
        rng = random.Random(step.at_s)
        down_s, rewrite_delay_s = (
            rng.uniform(0.1, MAX_STORE_DOWN_S),
            rng.uniform(0.0, MAX_REWRITE_DELAY_S),
        )
        await self.store.restore(snapshot, down_s, rewrite_delay_s)

    async def evacuate(self, failure_domain: str, duration_s: float) -> None:
        """Take a failure domain out for a while, unless it is out already."""
        if failure_domain in self.evacuated:
            return
        self.evacuated.add(failure_domain)
        started_at = self.now()
        self.store.put(names.EVACUATION_KIND, failure_domain, {})
        await asyncio.sleep(duration_s)
        self.store.delete(names.EVACUATION_KIND, failure_domain)
        self.evacuations.append(Evacuation(failure_domain, started_at, self.now()))
        self.evacuated.discard(failure_domain)

    async def write_invalid_entry(self, step: Step) -> None:
        """Have another writer's entry, which names no replica, stand among the replicas'."""
        name = f'foreign-{step.at_s}'
        self.store.put(names.REPLICA_KIND, name, invalid_spec(step.target))
        await asyncio.sleep(step.duration_s)
        self.store.delete(names.REPLICA_KIND, name)

    async def refuse_calls(self, step: Step, replica: SoakReplica | None) -> None:
        """Have a replica turn calls away, with a wish that may make no sense."""
        assert replica is not None
        rng = random.Random(step.at_s)
        valid = b'%.2f' % rng.uniform(0.5, step.duration_s + 1.0)
        replica.retry_after = (
            rng.choice(INVALID_RETRY_AFTERS) if rng.random() < INVALID_RETRY_AFTER_SHARE else valid
        )
        await asyncio.sleep(step.duration_s)
        replica.retry_after = None

    async def advertise_limit(self, step: Step, replica: SoakReplica | None) -> None:
        """Have a replica name a limit, unless it does already."""
        assert replica is not None
        if replica.limit is not None:
            return
        per_s = random.Random(step.at_s).choice(LIMITS_PER_S)
        replica.limit, replica.limited_at = per_s, None
        await asyncio.sleep(step.duration_s)
        replica.limit = None
        if replica.limited_at is not None:
            # Another life of that name may have come meanwhile, which names none.
            ended_at = min(self.now(), replica.crashed_at)
            period = LimitPeriod(replica.name, per_s, replica.limited_at, ended_at)
            self.limit_periods.append(period)

    def failure_domain_of(self, replica: str) -> str:
        """Return the failure domain of a replica, by the place in its name."""
        return FAILURE_DOMAINS[int(replica.split('-')[1]) % len(FAILURE_DOMAINS)]

    async def break_link(self, step: Step, link: Link, mode: LinkMode) -> None:
        """Break one link for a while."""
        link.set_mode(mode)
        await asyncio.sleep(step.duration_s)
        link.set_mode(LinkMode.PASS)

    async def partition_box(self, step: Step, box: BoxProcess) -> None:
        """Partition a box from all replicas for a while, unless it is already."""
        if box.partitions:
            return
        box.partitions += 1
        started_at = self.now()
        box.set_partition(PARTITIONS[step.link_mode].value)
        await asyncio.sleep(step.duration_s)
        box.set_partition('')
        self.partitions.append(BoxPeriod(box.number, started_at, self.now()))
        box.partitions -= 1

    async def disturb_box(self, step: Step, box: BoxProcess) -> None:
        """Kill, pause or stop a box, unless something is done to it already."""
        if box.has_fault:
            return
        box.has_fault = True
        started_at = self.now()
        try:
            if step.kind is FaultKind.PAUSE_BOX:
                box.send_signal(signal.SIGSTOP)
                await asyncio.sleep(step.duration_s)
                box.send_signal(signal.SIGCONT)
                return
            if step.kind is FaultKind.KILL_BOX:
                await box.kill()
            else:
                self.stops.append(await box.stop(self.now, BoxStop))
            await asyncio.sleep(RESTART_DELAY_S)
            await box.start()
        finally:
            box.has_fault = False
            self.disturbed.append(BoxPeriod(box.number, started_at, self.now()))

    async def replace_replica(self, step: Step, slot: ReplicaSlot) -> None:
        """Have a replica crash or leave as announced, and another come in its place.

        One that starts again under its name writes over its entry: nobody sees it go.
        """
        async with slot.lock:
            assert slot.replica is not None
            name = slot.replica.name
            if step.kind in (FaultKind.REPLICA_DRAINS, FaultKind.REPLICA_LEAVES):
                slot.replica.leaving = True
                if step.kind is FaultKind.REPLICA_DRAINS:
                    self.write_entry(slot, 'draining')
                    self.drained_at[name] = self.now()
                await asyncio.sleep(step.duration_s + 2.0)
            await slot.stack.aclose()
            if step.kind is FaultKind.REPLICA_RESTARTS:
                await self.start_replica(slot, name)
                return
            self.store.delete(names.REPLICA_KIND, name)
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start_replica(slot)
