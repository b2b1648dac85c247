"""Define how declared versions and records of streams are read from the store and written to it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from calicopath_core.versions.keeping import StoredStreams, Versions
    from calicopath_core.versions.messages import BegunStreams


class StreamStore(ABC):
    """Read and write what outlives all boxes; each call raises a `CalicopathError` if it fails."""

    @abstractmethod
    async def read_streams(self) -> StoredStreams:
        """Return the declared versions and the records of all scheduling groups."""

    @abstractmethod
    async def write_versions(self, versions: Versions, revision: int | None) -> int | None:
        """Replace the declared versions if their revision is as given, `None` for none yet.

        Return the new revision, or `None` if another box has written meanwhile.
        """

    @abstractmethod
    async def write_streams(self, group: int, groups: tuple[BegunStreams, ...]) -> None:
        """Replace the records of a scheduling group."""
