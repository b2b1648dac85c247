"""Keep in the platform's store which versions may have begun streams, and which began which.

Boxes keep nothing, so after a restart of all of them only the store can tell. The box that
schedules declares each version of a service there before a stream begins at it. While a service has
one declared version, that one began every stream, and no stream needs a record in the store. While
it has several, the scheduler also writes the records of its ledger.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.exceptions import CalicopathError
from calicopath_core.versions.declaring import DeclarationWait
from calicopath_core.versions.directory import FoundVersion
from calicopath_core.versions.ledger import RECORD_TTL_S

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from calicopath_core.clock import Clock
    from calicopath_core.versions.ledger import StreamLedger
    from calicopath_core.versions.messages import BegunStreams
    from calicopath_core.versions.store import StreamStore

WRITE_INTERVAL_S = 0.25
"""How often records are written while they change; those of the last interval are lost if all boxes
end at once."""

SETTLE_S = 0.4
"""How long this box must have scheduled before it reads, unless streams wait for it: when all boxes
start, each one schedules until it hears of the others."""

IDLE_INTERVAL_S = 1.0
"""How often a box that does not schedule checks whether it does."""

RETRY_DELAY_S = 0.5
READ_INTERVAL_S = 0.25
"""Least time between two reads for streams without a record."""

MAX_STORED = 20_000
"""Most records written at once: 0.4 MB of the 1 MB that an object may have."""

VERSION_TTL_S = RECORD_TTL_S
"""How long after its last replica was listed a version stays declared: by then no stream that it
began can be resumed."""

UNNAMED = frozenset({''})
"""The versions of a service whose replicas name none."""

UNKNOWN_VERSIONS = frozenset({'\x00unknown'})
"""Stands for the versions of a service whose declaration was unreadable: no replica has it, so that
no other version counts as the only one until it expires."""

ANY_SERVICE = ''
"""Declares versions of all services; no service has this name."""

Versions = dict[str, frozenset[str]]
"""The declared versions of each service."""


class StoredStreams(NamedTuple):
    """Hold what the store has: declared versions with their revision, and records."""

    versions: Versions
    revision: int | None
    groups: tuple[BegunStreams, ...]


class StreamKeeper:
    """Declare versions and write records while `is_due` is true for this box.

    `group` returns the scheduling group whose records this box writes, `listed` the versions of the
    listed replicas of each service with engines, and `era` the newest era of the store.
    `on_declared` is called with all declared versions when they have changed, and with `None` when
    this box no longer knows them. New streams wait by `declaration_wait` until then.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: StreamLedger,
        store: StreamStore,
        group: Callable[[], int],
        is_due: Callable[[], bool],
        listed: Callable[[], Versions],
        era: Callable[[], int],
        on_declared: Callable[[Versions | None], None],
        on_failed: Callable[[Exception], None],
        declaration_wait: DeclarationWait | None = None,
    ) -> None:
        self.clock = clock
        self.ledger = ledger
        self.store = store
        self.declaration_wait = declaration_wait or DeclarationWait()
        self.group = group
        self.is_due = is_due
        self.listed = listed
        self.era = era
        self.on_declared = on_declared
        self.on_failed = on_failed
        self.versions: Versions | None = None
        self.revision: int | None = None
        self.last_listed_at: dict[tuple[str, str], float] = {}
        self.known_era = 0
        self.due_since: float | None = None
        self.read_at = 0.0
        self.reading: asyncio.Task[None] | None = None
        self.records_changed = False
        self.wake = asyncio.Event()

    def on_replicas(self) -> None:
        """Check at once whether the listed replicas have a version that is not declared."""
        if self.versions is not None and self.undeclared():
            self.wake.set()

    def on_new_record(self) -> None:
        """Record that there is something to write."""
        self.records_changed = True

    async def run(self) -> None:
        """Read what is stored when this box begins to schedule, and write changes."""
        while True:
            self.wake.clear()
            delay_s = WRITE_INTERVAL_S if self.is_due() else IDLE_INTERVAL_S
            try:
                await self.step()
            except CalicopathError as error:
                self.on_failed(error)
                self.declaration_wait.give_up()
                delay_s = RETRY_DELAY_S
            await self.wait(delay_s)

    async def wait(self, delay_s: float) -> None:
        """Wait for the next step, less if there is a new version to declare."""
        try:
            async with asyncio.timeout(delay_s):
                await self.wake.wait()
        except TimeoutError:
            pass

    async def step(self) -> None:
        """Do what is due now; raise a `CalicopathError` if the store fails."""
        if not self.has_been_due():
            if self.versions is not None:
                self.versions = None
                # Another box may list versions meanwhile that this one then has to count as recent.
                self.last_listed_at.clear()
                self.on_declared(None)
            return
        if self.versions is None or self.known_era < self.era():
            self.known_era = self.era()
            await self.read()
        self.note_listed()
        if self.undeclared() or self.outdated() or self.declaration_wait.expired:
            await self.declare()
        if self.records_changed and self.mixed_services():
            self.records_changed = False
            await self.write_records()

    def has_been_due(self) -> bool:
        """Tell whether this box has scheduled for a while, and there is anything to know.

        Nothing is read or declared before the first stream, or a second version, has come.
        """
        now = self.clock.monotonic()
        if not self.is_due():
            self.due_since = None
        elif self.due_since is None:
            self.due_since = now
        is_awaited = self.declaration_wait.is_waiting
        if self.due_since is None or not (is_awaited or now - self.due_since >= SETTLE_S):
            return False
        is_known = self.versions is not None
        return bool(is_known or is_awaited or self.ledger.records or mixed(self.listed()))

    async def read(self) -> None:
        """Read declared versions and records, and keep the records."""
        self.read_at = self.clock.monotonic()
        stored = await self.store.read_streams()
        self.ledger.merge(stored.groups, self.clock.monotonic())
        self.revision = stored.revision
        if stored.versions != self.versions:
            self.set_versions(stored.versions)

    def set_versions(self, versions: Versions) -> None:
        """Take over the declared versions."""
        now = self.clock.monotonic()
        for service, names in versions.items():
            for name in names:
                self.last_listed_at.setdefault((service, name), now)
        if self.versions is None or self.mixed_services() != mixed(versions):
            # Streams that began before the service had several versions have no record there yet.
            self.records_changed = True
        self.versions = versions
        self.on_declared(versions)

    def note_listed(self) -> None:
        """Record when each listed version was seen."""
        now = self.clock.monotonic()
        for service, names in self.listed().items():
            for name in names:
                self.last_listed_at[service, name] = now

    def undeclared(self) -> bool:
        """Tell whether a listed version is not declared."""
        declared = self.versions or {}
        return any(
            names - declared.get(service, frozenset()) for service, names in self.listed().items()
        )

    def outdated(self) -> bool:
        """Tell whether a declared version has long had no replica."""
        return any(
            not self.is_current(service, name)
            for service, names in (self.versions or {}).items()
            for name in names
        )

    def is_current(self, service: str, version: str) -> bool:
        """Tell whether a version was listed recently."""
        at = self.last_listed_at.get((service, version))
        return at is not None and self.clock.monotonic() - at < VERSION_TTL_S

    async def declare(self) -> None:
        """Write the versions that are listed, or were recently, in place of those read last.

        Another box may have written meanwhile; then its versions are read, and the next step
        declares again.
        """
        listed, declared = self.listed(), self.versions or {}
        was_unseen = self.declaration_wait.expired
        if was_unseen:
            # Streams have begun at versions that nobody had declared, and that may be gone by now.
            listed = {**listed, ANY_SERVICE: UNKNOWN_VERSIONS}
            for name in UNKNOWN_VERSIONS:
                self.last_listed_at[ANY_SERVICE, name] = self.clock.monotonic()
        wanted: Versions = {}
        for service in {*listed, *declared}:
            names = frozenset(
                name
                for name in listed.get(service, frozenset()) | declared.get(service, frozenset())
                if self.is_current(service, name)
            )
            if not names and service != ANY_SERVICE:
                # The last version of a service without replicas stays: streams may go on at it.
                names = declared.get(service, frozenset())
            if names:
                wanted[service] = names
        if wanted == declared:
            self.declaration_wait.expired = False
            return
        revision = await self.store.write_versions(wanted, self.revision)
        if revision is None:
            await self.read()
            self.wake.set()
            return
        self.revision = revision
        self.declaration_wait.expired = self.declaration_wait.expired and not was_unseen
        self.set_versions(wanted)

    def mixed_services(self) -> frozenset[str]:
        """Return the services with several declared versions."""
        return mixed(self.versions or {})

    async def write_records(self) -> None:
        """Write the newest records of services with several declared versions."""
        services = self.mixed_services()
        groups = self.ledger.groups(
            self.clock.monotonic(), lambda key, record: record.service in services
        )
        try:
            await self.store.write_streams(self.group(), newest(groups, MAX_STORED))
        except CalicopathError:
            self.records_changed = True
            raise

    async def resolve(self, service: str, key: str) -> FoundVersion | None:
        """Return the version that began a stream without a record here, by what the store shows.

        A version counts as the only one if the store, read now, declares no other and a replica of
        it is listed, or if neither the store nor any listed replica names a version.
        """
        try:
            await self.read_again()
        except CalicopathError as error:
            self.on_failed(error)
            return None
        version = self.ledger.find(key, self.clock.monotonic())
        if version is not None:
            return FoundVersion(version, 'store')
        if self.declaration_wait.expired:
            return None
        listed = self.listed().get(service, frozenset())
        declared = declared_versions(self.versions or {}, service)
        if not declared and listed == UNNAMED:
            declared = UNNAMED
        if len(declared) == 1 and declared <= listed:
            return FoundVersion(next(iter(declared)), 'only-version')
        return None

    async def read_again(self) -> None:
        """Read the store, or wait for a read that others have begun."""
        if self.reading is None or self.reading.done():
            if (
                self.versions is not None
                and self.clock.monotonic() - self.read_at < READ_INTERVAL_S
            ):
                return
            self.reading = asyncio.get_running_loop().create_task(self.read())
        await asyncio.shield(self.reading)


def declared_versions(versions: Mapping[str, frozenset[str]], service: str) -> frozenset[str]:
    """Return the versions declared for a service, those of all services included."""
    return versions.get(service, frozenset()) | versions.get(ANY_SERVICE, frozenset())


def mixed(versions: Mapping[str, frozenset[str]]) -> frozenset[str]:
    """Return the services that have several versions."""
    return frozenset(
        service for service in versions if len(declared_versions(versions, service)) > 1
    )


def newest(groups: tuple[BegunStreams, ...], count: int) -> tuple[BegunStreams, ...]:
    """Return the groups with at most `count` keys in all, without the oldest of each."""
    total = sum(len(group.keys) for group in groups)
    if total <= count:
        return groups
    share = count / total
    return tuple(
        type(group)(
            group.service, group.version, group.keys[-max(1, int(share * len(group.keys))) :]
        )
        for group in groups
    )
