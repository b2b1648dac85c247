"""Define the interface of the platform's object store and its errors."""

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

    The versions of a key, which `store.versions` builds, only increase and are never reused. After
    a restore from a backup the store may return an earlier version.
    """

    key: str
    version: int
    value: dict[str, Any]


class BoxRecord(NamedTuple):
    """Describe a box in the platform's list of boxes; addresses are `host:port`."""

    name: str
    failure_domain: str
    address: str
    peer_address: str
    leaving: bool


class StoreError(CalicopathError):
    """Report that the object store did not perform an operation."""


class StoreUnavailable(StoreError):
    """Report that a read failed, or that a write provably did not happen."""


class WriteUnknown(StoreError):
    """Report that a write failed with an unknown outcome: it may have taken effect."""


class VersionConflict(StoreError):
    """Report that a conditional write found a version other than the expected one."""


class ObjectStore(ABC):
    """Read, conditionally write and watch objects."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or `None` if it does not exist; raise `StoreUnavailable`."""

    @abstractmethod
    async def list(self, prefix: str) -> list[StoredObject]:
        """Return every object below `prefix`; raise `StoreUnavailable`."""

    @abstractmethod
    async def put(self, key: str, value: dict[str, Any], expected_version: int) -> StoredObject:
        """Write if the version is still `expected_version` (`ABSENT_VERSION` to create).

        Raise `VersionConflict`, `WriteUnknown` or `StoreUnavailable`.
        """

    @abstractmethod
    def watch(self, prefix: str) -> AsyncIterator[StoredObject]:
        """Yield objects below `prefix` that change from now on; raise `StoreUnavailable`.

        Events may be duplicated or out of order, and may stop without an error.
        """


class BoxList(ABC):
    """Read the platform's list of boxes, which lags behind the real state."""

    @abstractmethod
    async def boxes(self) -> list[BoxRecord]:
        """Return the boxes in the platform's list; raise `StoreUnavailable`."""
