"""Assemble how a box remembers and looks up which software version began a stream."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from calicopath_core.versions.declaring import DeclarationWait
from calicopath_core.versions.directory import VersionDirectory, choose_holders
from calicopath_core.versions.keeping import StreamKeeper
from calicopath_core.versions.ledger import StreamLedger
from calicopath_core.versions.messages import StreamNews, VersionAnswer, VersionQuery

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from calicopath_core.clock import Clock
    from calicopath_core.fleet.replicas import ReplicaTable
    from calicopath_core.scheduling.election import BoxAddress
    from calicopath_core.scheduling.engine_pools import EnginePools
    from calicopath_core.versions.store import StreamStore
    from calicopathd.gateway.observer import GatewayObserver

Key = tuple[str, str]
"""A service and a version of it."""


class VersionState(msgspec.Struct, frozen=True):
    """Describe a software version of a service with engines, as one box sees it.

    `streams` counts the streams of this box's callers that only this version can continue.
    `declared` is `None` on boxes that do not know the declared versions.
    """

    service: str
    version: str
    replicas: int
    draining: int
    streams: int
    declared: bool | None


class BoxVersions:
    """Hold the records of streams on one box, and the declared versions while it schedules.

    `scheduler_address` returns the address of the scheduler, `is_scheduler` whether this box
    schedules, `group` its scheduling group and `era` the newest era of the store.
    `place_waiting_jobs` is called when streams may begin at other versions.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        observer: GatewayObserver,
        store: StreamStore,
        own: BoxAddress,
        replicas: ReplicaTable,
        pools: EnginePools,
        scheduler_address: Callable[[], str],
        is_scheduler: Callable[[], bool],
        group: Callable[[], int],
        era: Callable[[], int],
        send: Callable[[str, msgspec.Struct], None],
        place_waiting_jobs: Callable[[], None],
    ) -> None:
        self.own = own
        self.place_waiting_jobs = place_waiting_jobs
        self.observer = observer
        self.replicas = replicas
        self.pools = pools
        self.ledger = StreamLedger()
        self.declaration_wait = DeclarationWait(on_wait=self.on_wait)
        pools.declaration_wait = self.declaration_wait
        self.keeper = StreamKeeper(
            clock=clock,
            ledger=self.ledger,
            store=store,
            group=group,
            is_due=is_scheduler,
            listed=self.listed_versions,
            era=era,
            on_declared=self.on_declared,
            on_failed=observer.on_stream_records_failed,
            declaration_wait=self.declaration_wait,
        )
        self.directory = VersionDirectory(
            clock=clock,
            ledger=self.ledger,
            own_address=own.address,
            scheduler_address=scheduler_address,
            send=send,
            resolve=self.keeper.resolve,
        )
        self.directory.on_new_record = self.keeper.on_new_record
        replicas.listeners.append(self.keeper.on_replicas)

    def listed_versions(self) -> dict[str, frozenset[str]]:
        """Return the versions of the listed replicas of each service with engines."""
        found: dict[str, set[str]] = {name: set() for name in self.pools}
        for replica in self.replicas.replicas.values():
            if replica.service in found:
                found[replica.service].add(replica.version)
        return {name: frozenset(versions) for name, versions in found.items() if versions}

    def state(self) -> list[VersionState]:
        """Return the versions that replicas have or streams are bound to."""
        replicas, draining, streams = Counter[Key](), Counter[Key](), Counter[Key]()
        for replica in self.replicas.replicas.values():
            if replica.service in self.pools:
                replicas[replica.service, replica.version] += 1
                draining[replica.service, replica.version] += replica.draining
        for key in self.directory.own_keys:
            record = self.ledger.records.get(key)
            if record is not None:
                streams[record.service, record.version] += 1
        declared = self.keeper.versions
        return [
            VersionState(
                *key,
                replicas[key],
                draining[key],
                streams[key],
                None if declared is None else key[1] in declared.get(key[0], ()),
            )
            for key in sorted({*replicas, *streams})
        ]

    def on_wait(self) -> None:
        """Declare versions at once, since new streams wait for it."""
        self.keeper.wake.set()

    def on_declared(self, versions: dict[str, frozenset[str]] | None) -> None:
        """Let streams begin at the declared versions only."""
        self.pools.set_declared(versions)
        if versions is not None:
            self.place_waiting_jobs()
            self.observer.on_versions_declared(versions)

    def on_scheduler_changed(self, address: str) -> None:
        """Send the records held here to a new scheduler, or begin to keep them as such."""
        self.directory.on_scheduler_changed(address)
        self.declaration_wait.end()
        self.keeper.wake.set()

    def on_listed(self, boxes: Iterable[BoxAddress]) -> None:
        """Choose the boxes that hold copies of this box's records anew."""
        self.directory.holders = choose_holders(self.own, boxes)

    def handle(self, message: msgspec.Struct) -> None:
        """Handle a message about streams and their versions."""
        match message:
            case StreamNews():
                self.directory.on_news(message)
            case VersionQuery():
                self.directory.on_query(message)
            case VersionAnswer():
                self.directory.on_answer(message)
