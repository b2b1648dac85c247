"""Define the platform's store as a fleet uses it: records by kind, with changes by revision."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.exceptions import CalicopathError
from calicopath_core.fleet.deployment import Deployment
from calicopath_core.fleet.evacuations import Evacuation
from calicopath_core.fleet.replicas import Replica
from calicopath_core.scheduling.election import BoxAddress

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
    """Hold every record of a kind by name, and the store's position."""

    records: dict[str, Record]
    position: Position


class Change(NamedTuple):
    """Hold a record's new state, or nothing if it is gone."""

    name: str
    record: Record | None


class Changes(NamedTuple):
    """Hold changes in order, and the position to go on from."""

    changes: tuple[Change, ...]
    position: Position


class FleetStoreError(CalicopathError):
    """Report that the store did not do what was asked; a write may have been done."""


class HistoryLost(FleetStoreError):
    """Report that the store does not know what has changed since a revision."""


class FleetStore(ABC):
    """Read and follow records."""

    @abstractmethod
    async def list(self, kind: RecordKind) -> Listing:
        """Return every record of a kind; raise `FleetStoreError`."""

    @abstractmethod
    async def watch(self, kind: RecordKind, revision: int, wait_s: float) -> Changes:
        """Return what has changed since a revision, after `wait_s` if nothing has.

        Raise `HistoryLost` or `FleetStoreError`.
        """

    @abstractmethod
    async def read_relays(self) -> tuple[BoxAddress, ...] | None:
        """Return the relays that are written down, nothing if none ever were.

        Raise `FleetStoreError`.
        """

    @abstractmethod
    async def write_relays(self, relays: tuple[BoxAddress, ...]) -> int:
        """Write down which boxes are relays; return the store's era or raise `FleetStoreError`.

        Boxes that start ask them first; nothing safe rests on it.
        """

    @abstractmethod
    async def read_blocked(self) -> tuple[StoredRequest, ...]:
        """Return the requests that are kept as blocked; raise `FleetStoreError`."""

    @abstractmethod
    async def write_blocked(self, kept: tuple[StoredRequest, ...]) -> int:
        """Keep these requests as blocked, whatever was there.

        Return the store's era or raise `FleetStoreError`.
        """

    @abstractmethod
    async def register(self, box: BoxAddress) -> None:
        """Write this box's own record; raise `FleetStoreError`. Doing it twice is harmless."""

    @abstractmethod
    async def withdraw(self, box: BoxAddress) -> None:
        """Remove this box's own record; raise `FleetStoreError`."""
