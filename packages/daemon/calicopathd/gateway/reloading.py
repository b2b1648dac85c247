"""Reload the settings file at run time; keep the old settings if the file is invalid."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

import structlog

from calicopath_core.exceptions import CalicopathError
from calicopathd import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from calicopath_core.clock import Clock
    from calicopathd.gateway.settings import GatewaySettings

SETTINGS_CHECK_INTERVAL_S = 1.0
"""The file is polled because it may change without a signal, or may have been only partly written
when the signal arrived."""

DIGEST_BYTES = 6

log = structlog.get_logger(__name__)


class SettingsState(NamedTuple):
    """Describe the settings in force; `since` is in seconds since 1970.

    `digest` covers the settings that all boxes share, so that boxes can be compared. `problem` is
    the error of the current file, empty if the file is in force.
    """

    digest: str
    since: float
    problem: str = ''


class FileVersion(NamedTuple):
    """Identify a version of a file by its metadata."""

    modified_ns: int
    size: int


class SettingsFile:
    """Hold the settings in force and the file that they are read from."""

    def __init__(
        self,
        *,
        path: Path,
        read: Callable[[Path], GatewaySettings],
        settings: GatewaySettings,
        clock: Clock,
    ) -> None:
        self.path = path
        self.read = read
        self.settings = settings
        self.clock = clock
        self.state = SettingsState(digest_of(settings), clock.wall())
        self.version = self.current_version()
        self.reported_problem = ''

    def current_version(self) -> FileVersion | None:
        """Return the version of the file, `None` if the file does not exist."""
        try:
            found = self.path.stat()
        except OSError:
            return None
        return FileVersion(found.st_mtime_ns, found.st_size)

    def has_changed(self) -> bool:
        """Return whether the file has changed since the last check."""
        version = self.current_version()
        if version == self.version:
            return False
        self.version = version
        return True

    def reload(self) -> GatewaySettings | None:
        """Read the file and return its settings, or `None` if they are invalid."""
        try:
            settings = self.read(self.path)
        except CalicopathError as error:
            self.reject(str(error))
            return None
        self.reported_problem = ''
        digest = digest_of(settings)
        since = self.state.since if digest == self.state.digest else self.clock.wall()
        self.state = SettingsState(digest, since)
        self.settings = settings
        return settings

    def reject(self, problem: str) -> None:
        """Keep the settings in force, and log a new problem once."""
        self.state = self.state._replace(problem=problem)
        if problem != self.reported_problem:
            self.reported_problem = problem
            events.emit(log, events.RELOAD_FAILED, error=problem, in_force=self.state.digest)


def digest_of(settings: GatewaySettings) -> str:
    """Return a digest of the settings that are the same on all boxes."""
    shared = (settings.store, settings.drain_s, settings.stop_grace_s, settings.retry_budget)
    return hashlib.blake2b(repr(shared).encode(), digest_size=DIGEST_BYTES).hexdigest()
