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
from calicopath_platform.tests.soak_replicas import (
    INVALID_RETRY_AFTERS,
    SoakReplica,
    invalid_spec,
    soak_config,
    soak_settings,
)
from calicopath_platform.tests.standins import StoreStandIn
from testkit.ports import free_ports
from tools.soak.boxes import BoxProcess
from tools.soak.links import Link
from tools.soak.records import FailureDomainOut, LimitNamed, Run, StopSeen
from tools.soak.schedule import FaultKind, LinkMode

if TYPE_CHECKING:
    from tools.soak.schedule import Step

SERVICES = ('engine', 'look', 'desk')
REPLICAS_A_SERVICE = 3
REPLICAS = len(SERVICES) * REPLICAS_A_SERVICE
FAILURE_DOMAINS = ('north', 'south')
DOWN_S = 0.5
LONGEST_RUN_S = 0.06
"""How long a request runs that ends its replica: an engine has given its head then, or two events.
"""

PORT_TRIES = 5
"""How often a box is given other ports when somebody took one before it listened."""

STATUS_DOWN = 503
MOST_AWAY_S = 2.0
MOST_AGAIN_S = 1.0
"""How long a store is away that comes back from a copy, and until others write again."""

LIMITS_PER_S = (0.0, 0.5, 1.0, 4.0)
"""What replicas name, in requests a second."""

WRONG_SHARE = 0.2
"""How many of the wishes make no sense."""


class Slot:
    """Hold one place of a replica: its link, and the incarnation that is there."""

    def __init__(self, *, number: int, link: Link) -> None:
        self.number = number
        self.service = SERVICES[number % len(SERVICES)]
        self.failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        self.link = link
        self.life = 0
        self.replica: SoakReplica | None = None
        self.stack = contextlib.AsyncExitStack()
        self.lock = asyncio.Lock()


class World:
    """Own everything that runs; times are seconds since it was made."""

    def __init__(self, *, boxes: int) -> None:
        self.began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix='calicopath-soak-'))
        self.store = StoreStandIn()
        self.store_links: list[Link] = []
        self.slots: list[Slot] = []
        self.boxes: list[BoxProcess] = []
        self.count = boxes
        self.runs: list[Run] = []
        self.lives: list[SoakReplica] = []
        self.handles: dict[str, str] = {}
        self.drained: dict[str, float] = {}
        self.stops: list[StopSeen] = []
        self.failure_domains_out: list[FailureDomainOut] = []
        self.failure_domains_out_now: set[str] = set()
        self.limits_named: list[LimitNamed] = []
        self.ends: dict[str, list[float]] = {}
        self.ending: set[asyncio.Task[None]] = set()
        self.version = 1
        self.stack = contextlib.AsyncExitStack()

    def now(self) -> float:
        """Return the seconds since the world was made."""
        return time.monotonic() - self.began

    async def start(self) -> None:
        """Start store, replicas and boxes."""
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, soak_config(self.version))
        runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        store = '{}:{}'.format(*runner.addresses[0][:2])
        for number in range(REPLICAS):
            link = Link(target='')
            await self.stack.enter_async_context(link.served())
            self.slots.append(Slot(number=number, link=link))
            await self.enter_replica(self.slots[-1])
        for number in range(self.count):
            await self.add_box(number, store)

    async def add_box(self, number: int, store: str) -> None:
        """Start a box that reaches the store over a link of its own."""
        link = Link(target=store)
        address = await self.stack.enter_async_context(link.served())
        self.store_links.append(link)
        box = BoxProcess(
            number=number,
            path=self.folder / f'box-{number}.toml',
            log=self.folder / f'box-{number}.log',
        )
        self.boxes.append(box)
        for _ in range(PORT_TRIES):
            self.give_ports(box, address)
            await box.start()
            if await box.listens():
                return
        raise RuntimeError(f'box {number} does not listen: {box.log.read_text()}')

    def give_ports(self, box: BoxProcess, store: str) -> None:
        """Write a box's settings with ports that were free a moment ago."""
        frontend, ready, *internal = free_ports(4)
        peers, metrics = sorted(internal)
        failure_domain = FAILURE_DOMAINS[box.number % len(FAILURE_DOMAINS)]
        ports = (frontend, ready, peers, metrics)
        box.path.write_text(soak_settings(f'box-{box.number}', failure_domain, ports, store))
        box.frontend = f'127.0.0.1:{frontend}'

    async def enter_replica(self, slot: Slot, name: str | None = None) -> None:
        """Start a new incarnation, under a name of its own unless one is given, and announce it."""
        slot.life += 1
        slot.replica = SoakReplica(
            name=name or f'i-{slot.number}-{slot.life}',
            service=slot.service,
            failure_domain=slot.failure_domain,
            clock=self.now,
            runs=self.runs,
            handles=self.handles,
            on_crash_request=partial(self.on_deadly, slot),
        )
        self.lives.append(slot.replica)
        slot.link.target = await slot.stack.enter_async_context(slot.replica.served())
        self.announce(slot, 'ready')

    def on_deadly(self, slot: Slot, path: str) -> None:
        """Have the replica in a place end under a request that it is about to run."""
        assert slot.replica is not None
        task = asyncio.create_task(self.end_under(slot, slot.replica, path))
        self.ending.add(task)
        task.add_done_callback(self.ending.discard)

    async def end_under(self, slot: Slot, replica: SoakReplica, path: str) -> None:
        """End a replica with its port, some moments after a request began; its entry lapses."""
        await asyncio.sleep(random.uniform(0.0, LONGEST_RUN_S))
        self.ends.setdefault(path, []).append(self.now())
        if replica.has_crashed:
            return
        replica.has_crashed = True
        slot.link.shut()
        replica.crash()
        async with slot.lock:
            # Another may have come in its place while it was about to leave.
            if slot.replica is replica:
                await slot.stack.aclose()
                await asyncio.sleep(DOWN_S)
                self.store.delete(names.REPLICA_KIND, replica.name)
                await self.enter_replica(slot)
            await slot.link.reopen()

    def announce(self, slot: Slot, state: str) -> None:
        """Write a replica's entry."""
        assert slot.replica is not None
        spec = {
            'service': slot.service,
            'address': slot.link.address,
            'zone': slot.failure_domain,
            'version': '1',
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
            if box.handle is not None and box.handle.returncode is None:
                await box.kill()
        for slot in self.slots:
            await slot.stack.aclose()
        await self.stack.aclose()

    async def apply(self, step: Step) -> None:
        """Do what a step says, for as long as it says."""
        match step.kind:
            case FaultKind.KILL_BOX | FaultKind.PAUSE_BOX | FaultKind.STOP_BOX:
                await self.to_box(step, self.boxes[step.target])
            case FaultKind.RELOAD_BOX:
                self.boxes[step.target].send(signal.SIGHUP)
            case FaultKind.STORE_LINK:
                await self.to_link(step, self.store_links[step.target], step.link)
            case FaultKind.REPLICA_LINK:
                await self.to_link(step, self.slots[step.target].link, step.link)
            case FaultKind.STORE_SILENT:
                for link in self.store_links:
                    link.set_mode(LinkMode.SILENT)
                await asyncio.sleep(step.for_s)
                for link in self.store_links:
                    link.set_mode(LinkMode.PASS)
            case FaultKind.STORE_DOWN:
                self.store.fail_with = STATUS_DOWN
                await asyncio.sleep(step.for_s)
                self.store.fail_with = None
            case FaultKind.STORE_LOSES_ANSWERS:
                self.store.lose_answers = True
                await asyncio.sleep(step.for_s)
                self.store.lose_answers = False
            case FaultKind.STORE_GOES_BACK:
                await self.restore_store(step)
            case FaultKind.STORE_FORGETS:
                self.store.drop_history()
            case (
                FaultKind.REPLICA_CRASH
                | FaultKind.REPLICA_DRAINS
                | FaultKind.REPLICA_REBORN
                | FaultKind.REPLICA_LEAVES
            ):
                await self.to_replica(step, self.slots[step.target])
            case FaultKind.REPLICA_TURNS_AWAY:
                await self.turn_away(step, self.slots[step.target].replica)
            case FaultKind.REPLICA_LIMITS:
                await self.limit(step, self.slots[step.target].replica)
            case FaultKind.FOREIGN_ENTRY:
                await self.write_foreign(step)
            case FaultKind.FAILURE_DOMAIN_OUT:
                await self.take_failure_domain_out(FAILURE_DOMAINS[step.target], step.for_s)
            case FaultKind.DEADLY_REQUEST:
                # Its callers send it; the replicas that run it end by themselves.
                pass
            case FaultKind.CHANGE:
                self.version += 1
                self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, soak_config(self.version))

    async def restore_store(self, step: Step) -> None:
        """Have the store be away and come back in a new era, from a copy as old as the step."""
        copy = self.store.snapshot()
        await asyncio.sleep(step.for_s)
        rng = random.Random(step.at_s)
        away_s, again_s = rng.uniform(0.1, MOST_AWAY_S), rng.uniform(0.0, MOST_AGAIN_S)
        await self.store.restore(copy, away_s, again_s)

    async def take_failure_domain_out(self, failure_domain: str, for_s: float) -> None:
        """Take a failure domain out for a while, unless it is out already."""
        if failure_domain in self.failure_domains_out_now:
            return
        self.failure_domains_out_now.add(failure_domain)
        began = self.now()
        self.store.put(names.EVACUATION_KIND, failure_domain, {})
        await asyncio.sleep(for_s)
        self.store.delete(names.EVACUATION_KIND, failure_domain)
        self.failure_domains_out.append(FailureDomainOut(failure_domain, began, self.now()))
        self.failure_domains_out_now.discard(failure_domain)

    async def write_foreign(self, step: Step) -> None:
        """Have another writer's entry, which names no replica, stand among the replicas'."""
        name = f'foreign-{step.at_s}'
        self.store.put(names.REPLICA_KIND, name, invalid_spec(step.target))
        await asyncio.sleep(step.for_s)
        self.store.delete(names.REPLICA_KIND, name)

    async def turn_away(self, step: Step, replica: SoakReplica | None) -> None:
        """Have a replica turn calls away, with a wish that may make no sense."""
        assert replica is not None
        rng = random.Random(step.at_s)
        wish = b'%.2f' % rng.uniform(0.5, step.for_s + 1.0)
        replica.retry_after = (
            rng.choice(INVALID_RETRY_AFTERS) if rng.random() < WRONG_SHARE else wish
        )
        await asyncio.sleep(step.for_s)
        replica.retry_after = None

    async def limit(self, step: Step, replica: SoakReplica | None) -> None:
        """Have a replica name a limit, unless it does already."""
        assert replica is not None
        if replica.limit is not None:
            return
        per_s = random.Random(step.at_s).choice(LIMITS_PER_S)
        replica.limit, replica.limited_at = per_s, None
        await asyncio.sleep(step.for_s)
        replica.limit = None
        if replica.limited_at is not None:
            # Another life of that name may have come meanwhile, which names none.
            ended = min(self.now(), replica.crashed_at)
            named = LimitNamed(replica.name, per_s, replica.limited_at, ended)
            self.limits_named.append(named)

    def failure_domain_of(self, replica: str) -> str:
        """Return the failure domain of a replica, by the place in its name."""
        return FAILURE_DOMAINS[int(replica.split('-')[1]) % len(FAILURE_DOMAINS)]

    async def to_link(self, step: Step, link: Link, mode: LinkMode) -> None:
        """Break one link for a while."""
        link.set_mode(mode)
        await asyncio.sleep(step.for_s)
        link.set_mode(LinkMode.PASS)

    async def to_box(self, step: Step, box: BoxProcess) -> None:
        """Kill, pause or stop a box, unless something is done to it already."""
        if box.busy:
            return
        box.busy = True
        try:
            if step.kind is FaultKind.PAUSE_BOX:
                box.send(signal.SIGSTOP)
                await asyncio.sleep(step.for_s)
                box.send(signal.SIGCONT)
                return
            if step.kind is FaultKind.KILL_BOX:
                await box.kill()
            else:
                self.stops.append(await box.stop(self.now, StopSeen))
            await asyncio.sleep(DOWN_S)
            await box.start()
        finally:
            box.busy = False

    async def to_replica(self, step: Step, slot: Slot) -> None:
        """Have a replica crash or leave as announced, and another come in its place.

        One that starts again under its name writes over its entry: nobody sees it go.
        """
        async with slot.lock:
            assert slot.replica is not None
            name = slot.replica.name
            if step.kind in (FaultKind.REPLICA_DRAINS, FaultKind.REPLICA_LEAVES):
                slot.replica.leaving = True
                if step.kind is FaultKind.REPLICA_DRAINS:
                    self.announce(slot, 'draining')
                    self.drained[name] = self.now()
                await asyncio.sleep(step.for_s + 2.0)
            await slot.stack.aclose()
            if step.kind is FaultKind.REPLICA_REBORN:
                await self.enter_replica(slot, name)
                return
            self.store.delete(names.REPLICA_KIND, name)
            await asyncio.sleep(DOWN_S)
            await self.enter_replica(slot)
