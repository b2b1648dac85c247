"""Run gossip and relay roles of many boxes in one process, on virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from calicopath_core.membership.gossip import Gossip
from calicopath_core.membership.members import MemberTable
from calicopath_core.membership.messages import MemberInfo
from calicopath_core.membership.roles import RelayController
from calicopath_core.store.base import BoxList, BoxRecord, StoreUnavailable
from calicopath_core.store.feed import StoreFeed
from calicopath_core.store.view import ConfigView
from testkit.fake_network import FakeNetwork, FakeTransport
from testkit.fake_store import FakeStore, StoreState
from testkit.virtual import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Iterable


class FakeBoxList(BoxList):
    """Return the platform's box list over one box's link."""

    def __init__(self, *, records: list[BoxRecord], store: FakeStore) -> None:
        self.records = records
        self.store = store

    async def boxes(self) -> list[BoxRecord]:
        """Return the list."""
        self.store.state.counts['box list'] += 1
        if self.store.cut or self.store.state.down:
            raise StoreUnavailable('the store cannot be reached')
        return list(self.records)


class PeerBox:
    """Run one box's view, store feed and gossip."""

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        state: StoreState,
        network: FakeNetwork,
        records: list[BoxRecord],
        started_ms: int = 0,
    ) -> None:
        self.name = name
        self.clock = VirtualClock()
        self.rng = random.Random(f'{name}{started_ms}')
        self.store = FakeStore(state=state)
        self.view = ConfigView()
        self.feed = StoreFeed(store=self.store, view=self.view, clock=self.clock)
        self.network = network
        own = MemberInfo(name, failure_domain, name, started_ms, 0, False)
        self.gossip = Gossip(
            view=self.view,
            members=MemberTable(own=own),
            transport=FakeTransport(network=network, address=name),
            clock=self.clock,
            rng=self.rng,
            is_ready=lambda: self.is_synced,
        )
        self.roles = RelayController(
            gossip=self.gossip,
            feed=self.feed,
            boxes=FakeBoxList(records=records, store=self.store),
            clock=self.clock,
            rng=self.rng,
        )
        self.task: asyncio.Task[None] | None = None

    @property
    def is_synced(self) -> bool:
        """Tell whether the view has been complete at least once."""
        return self.feed.synced or self.gossip.agreed_with_ready_peer

    def start(self) -> None:
        """Start the box."""
        self.task = asyncio.get_running_loop().create_task(self.roles.run())

    async def kill(self) -> None:
        """Stop the box without notifying its peers."""
        self.network.handlers.pop(self.name, None)
        assert self.task is not None
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class PeerFleet:
    """Hold boxes spread evenly over failure domains."""

    def __init__(
        self, *, count: int, failure_domains: int, seed: int = 1, loss: float = 0.0
    ) -> None:
        self.state = StoreState()
        self.network = FakeNetwork(seed=seed, loss=loss)
        self.records = [
            BoxRecord(f'box-{n}', f'domain-{n % failure_domains}', f'box-{n}', f'box-{n}', False)
            for n in range(count)
        ]
        self.boxes = {record.name: self.new_box(record) for record in self.records}

    def new_box(self, record: BoxRecord, started_ms: int = 0) -> PeerBox:
        """Return a box that is not started yet."""
        return PeerBox(
            name=record.name,
            failure_domain=record.failure_domain,
            state=self.state,
            network=self.network,
            records=self.records,
            started_ms=started_ms,
        )

    async def start(self, settle_s: float = 10.0) -> None:
        """Start every box and wait `settle_s` seconds for roles to settle."""
        for box in self.boxes.values():
            box.start()
        await asyncio.sleep(settle_s)

    async def stop(self) -> None:
        """Kill every box."""
        await asyncio.gather(*(box.kill() for box in self.boxes.values()))

    def relays(self) -> list[str]:
        """Return the boxes that watch the platform."""
        return [name for name, box in self.boxes.items() if box.roles.is_relaying]

    def put(self, key: str, content: int) -> int:
        """Write the next version of an object, as an operator does."""
        held = self.state.objects.get(key)
        value = {'spec': {'n': content}, 'change': {}}
        return self.state.write(key, value, held.version if held else 0).version

    async def wait_in_force(
        self, key: str, version: int, among: Iterable[str] | None = None, timeout_s: float = 60.0
    ) -> float:
        """Return the seconds until a version is in force on all boxes, or `limit_s`."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        names = list(among if among is not None else self.boxes)
        while any(self.boxes[name].view.version(key) < version for name in names):
            if loop.time() - started >= timeout_s:
                break
            await asyncio.sleep(0.01)
        return loop.time() - started
