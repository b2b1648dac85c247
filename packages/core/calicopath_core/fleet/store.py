"""Define the interface of the platform's store: records by kind, with changes by revision."""

from __future__ import annotations

import enum
from abc import abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.exceptions import CalicopathError
from calicopath_core.fleet.deployment import Deployment
from calicopath_core.fleet.evacuations import Evacuation
from calicopath_core.fleet.replicas import Replica
from calicopath_core.scheduling.election import BoxAddress
from calicopath_core.versions.store import StreamStore

if TYPE_CHECKING:
    from calicopath_core.crashes.keeping import StoredRequest
    from calicopath_core.fleet.positions import Position

Record = Deployment | Replica | BoxAddress | Evacuation


class RecordKind(enum.Enum):
    """Name the kinds of records that a fleet follows."""

    DEPLOYMENT = 'deployment'
    REPLICA = 'replica'
    BOX = 'box'
    EVACUATION = 'evacuation'


class Listing(NamedTuple):
    """Hold all records of a kind by name, and the store's position."""

    records: dict[str, Record]
    position: Position


class Change(NamedTuple):
    """Hold a record's new state, `None` if it was removed."""

    name: str
    record: Record | None


class Changes(NamedTuple):
    """Hold changes in order, and the position from which to continue."""

    changes: tuple[Change, ...]
    position: Position


class FleetStoreError(CalicopathError):
    """Report a failed store call; a failed write may still have been applied."""


class StoreSilent(FleetStoreError):
    """Report a store call that was not answered in time."""


class StoreOutdated(FleetStoreError):
    """Report an answer of a state of the store that is older than the one known."""


class StoreAnswerTooLarge(FleetStoreError):
    """Report an answer of more bytes than any answer of the store should have."""


class HistoryLost(FleetStoreError):
    """Report that the store no longer has the changes since a revision."""


class FleetStore(StreamStore):
    """Read, follow and write the records of a fleet."""

    @abstractmethod
    async def list(self, kind: RecordKind) -> Listing:
        """Return all records of a kind; raise `FleetStoreError`."""

    @abstractmethod
    async def watch(self, kind: RecordKind, revision: int, wait_s: float) -> Changes:
        """Return the changes since a revision, or none after `wait_s`.

        Raise `HistoryLost` or `FleetStoreError`.
        """

    @abstractmethod
    async def read_relays(self) -> tuple[BoxAddress, ...] | None:
        """Return the recorded relays, `None` if none were ever recorded.

        Raise `FleetStoreError`.
        """

    @abstractmethod
    async def write_relays(self, relays: tuple[BoxAddress, ...]) -> int:
        """Record which boxes are relays; return the store's era or raise `FleetStoreError`.

        Starting boxes contact these relays first; correctness does not depend on the record.
        """

    @abstractmethod
    async def read_blocked(self) -> tuple[StoredRequest, ...]:
        """Return the requests stored as blocked; raise `FleetStoreError`."""

    @abstractmethod
    async def write_blocked(self, kept: tuple[StoredRequest, ...]) -> int:
        """Store these requests as blocked, in place of all stored before.

        Return the store's era or raise `FleetStoreError`.
        """

    @abstractmethod
    async def register(self, box: BoxAddress) -> None:
        """Write this box's own record; idempotent. Raise `FleetStoreError`."""

    @abstractmethod
    async def withdraw(self, box: BoxAddress) -> None:
        """Remove this box's own record; raise `FleetStoreError`."""

    def unreadable_objects(self) -> dict[str, str]:
        """Return why objects of the store are unreadable, by kind and name."""
        return {}
