"""Run gateway boxes on one virtual-time loop, against fake replicas and a fake store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from calicopath_core.fleet.evacuations import Evacuation
from calicopath_core.fleet.store import (
    RecordKind,
)
from calicopathd.gateway.box import GatewayBox
from calicopathd.gateway.metrics import GatewayMetrics
from calicopathd.gateway.observer import GatewayObserver
from calicopathd.gateway.settings import GatewaySettings, HostPort
from testkit.fake_network import FakeNetwork, FakeTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from calicopath_core.exchanges.messages import (
        Exchange,
    )

from testkit.gateway_callers import BoxReplicas, BoxStages, ReplicaNotices
from testkit.gateway_replicas import FakeReplicas, FakeSink, FakeStages
from testkit.gateway_store import FakeStore, FakeStoreClient
from testkit.gateway_world import FAILURE_DOMAINS, RETRY_BUDGET_TERMS, deployment, replicas

EVACUATE_S = 5.0
"""Time after which no call may reach an evacuated failure domain."""


class FleetBox:
    """Run one box and hold its tasks."""

    def __init__(self, *, box: GatewayBox, store: FakeStoreClient) -> None:
        self.box = box
        self.store = store
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, *, register: bool = True) -> None:
        """Start the tasks that the runner starts, except the servers."""
        box = self.box
        if register:
            await box.store.register(box.own)
            box.store_follower.on_registered()
        work: list[Callable[[], Any]] = [
            box.link.run,
            box.scheduler.run,
            box.client.run,
            box.subscription.run,
            box.blocked_persister.run,
            box.versions.keeper.run,
            box.store_follower.registration.keep_registered,
        ]
        work.extend(feed.run for feed in box.feeds.values())
        self.tasks = [asyncio.create_task(item()) for item in work]

    def kill(self) -> None:
        """Cancel all tasks at once, as a killed process would."""
        for task in [*self.tasks, *self.box.scheduler.stages.tasks]:
            task.cancel()


class GatewayFleet:
    """Run boxes with a shared store, network and replicas."""

    def __init__(self, *, count: int = 4, seed: int = 1) -> None:
        self.store = FakeStore()
        self.network = FakeNetwork(seed=seed)
        self.replicas = self.new_replicas()
        self.stages = self.new_stages()
        self.notices = ReplicaNotices()
        self.boxes: dict[str, FleetBox] = {}
        self.request_tasks: list[asyncio.Task[None]] = []
        self.tasks_by_box: dict[str, list[asyncio.Task[None]]] = {}
        self.store.write(RecordKind.DEPLOYMENT, 'main', deployment())
        for replica in replicas():
            self.store.write(RecordKind.REPLICA, replica.id, replica)
        for number in range(count):
            self.add_box(f'box-{number}', FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)])

    def new_replicas(self) -> FakeReplicas:
        """Return the engines and plain services."""
        return FakeReplicas()

    def new_stages(self) -> FakeStages:
        """Return the replicas of stages."""
        return FakeStages()

    def add_box(self, name: str, failure_domain: str) -> FleetBox:
        """Return a new box, not started."""
        client = FakeStoreClient(store=self.store)
        box = GatewayBox(
            settings=settings(name, failure_domain),
            store=client,
            transport=FakeTransport(network=self.network, address=f'{name}:7'),
            replica_client=BoxReplicas(replicas=self.replicas, notices=self.notices, box=name),
            stage_caller=BoxStages(stages=self.stages, notices=self.notices, box=name),
            observer=GatewayObserver(metrics=GatewayMetrics(box=name)),
            seed=1,
        )
        self.boxes[name] = FleetBox(box=box, store=client)
        return self.boxes[name]

    async def start(self) -> None:
        """Start every box and wait until they know each other."""
        for box in self.boxes.values():
            await box.start()
        await asyncio.sleep(2.0)

    def kill(self, name: str) -> None:
        """Kill a box, cut the requests that it serves, and disconnect it from the network."""
        self.boxes.pop(name).kill()
        for task in self.tasks_by_box.pop(name, []):
            task.cancel()
        self.network.handlers.pop(f'{name}:7', None)

    def evacuate(self, failure_domain: str) -> None:
        """Evacuate a failure domain, as an operator does."""
        record = Evacuation(failure_domain, self.store.revision + 1)
        self.store.write(RecordKind.EVACUATION, failure_domain, record)

    def end_evacuation(self, failure_domain: str) -> None:
        """End a failure domain's evacuation."""
        self.store.write(RecordKind.EVACUATION, failure_domain, None)

    def schedulers(self) -> set[str]:
        """Return the scheduler addresses that the boxes use."""
        return {box.box.client.scheduler_address for box in self.boxes.values()}

    def serve(self, name: str, request: Exchange) -> FakeSink:
        """Have a box serve a request; return its reply sink."""
        sink = FakeSink()
        task = asyncio.create_task(self.boxes[name].box.executor.serve(request, sink))
        self.request_tasks.append(task)
        self.tasks_by_box.setdefault(name, []).append(task)
        return sink

    async def settle(self, timeout_s: float = 20.0) -> None:
        """Wait until every request has finished."""
        async with asyncio.timeout(timeout_s):
            await asyncio.gather(*self.request_tasks, return_exceptions=True)

    async def stop(self) -> None:
        """Stop every box."""
        for box in self.boxes.values():
            box.kill()
        await asyncio.sleep(0)


def settings(name: str, failure_domain: str) -> GatewaySettings:
    """Return a box's settings."""
    nowhere = HostPort('127.0.0.1', 0)
    return GatewaySettings(
        box=name,
        ip='127.0.0.1',
        failure_domain=failure_domain,
        exchange_listen=nowhere,
        ready_listen=nowhere,
        peer_listen=HostPort(name, 7),
        metrics_listen=nowhere,
        store=nowhere,
        drain_s=2.0,
        stop_grace_s=8.0,
        retry_budget=RETRY_BUDGET_TERMS,
        cpu_cores=1.0,
        link_mbps=1000.0,
        max_descriptors=1000,
        evacuate_s=EVACUATE_S,
    )
