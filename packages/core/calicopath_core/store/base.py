"""Define the object store that the platform gives."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, NamedTuple

from calicopath_core.exceptions import CalicopathError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ABSENT_VERSION = 0
"""The version of an object that does not exist."""


class StoredObject(NamedTuple):
    """Hold an object as the store returns it.

    Versions of a key only grow and are never given out again, as `store.versions` makes them. A
    store that comes back from a copy may hold an earlier one.
    """

    key: str
    version: int
    value: dict[str, Any]


class BoxRecord(NamedTuple):
    """Describe a box of the platform's lagging list; addresses are `host:port`."""

    name: str
    failure_domain: str
    address: str
    peer_address: str
    leaving: bool


class StoreError(CalicopathError):
    """Report that the object store did not do what was asked."""


class StoreUnavailable(StoreError):
    """Report that the store could not be read, or that a write certainly did not happen."""


class WriteUnknown(StoreError):
    """Report that a write may or may not have taken effect."""


class VersionConflict(StoreError):
    """Report that a conditional update met another version than expected."""


class ObjectStore(ABC):
    """Read, conditionally update and watch objects."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or nothing; raise `StoreUnavailable`."""

    @abstractmethod
    async def list(self, prefix: str) -> list[StoredObject]:
        """Return every object below `prefix`; raise `StoreUnavailable`."""

    @abstractmethod
    async def put(self, key: str, value: dict[str, Any], expected_version: int) -> StoredObject:
        """Write if the version is still `expected_version` (`ABSENT` to create).

        Raise `VersionConflict`, `WriteUnknown` or `StoreUnavailable`.
        """

    @abstractmethod
    def watch(self, prefix: str) -> AsyncIterator[StoredObject]:
        """Yield objects below `prefix` as they change, from now on.

        Events may come twice, out of order or stop without notice; raise `StoreUnavailable`.
        """


class BoxList(ABC):
    """Read the platform's lagging list of boxes."""

    @abstractmethod
    async def boxes(self) -> list[BoxRecord]:
        """Return the boxes that the platform believes to exist; raise `StoreUnavailable`."""
