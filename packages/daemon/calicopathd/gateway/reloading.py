"""Follow the settings file while the box runs: what is sound is taken in, the rest is told once."""

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
"""How often the file is looked at: it may change without a signal, and one that was half written
when the signal came is whole soon after."""

DIGEST_BYTES = 6

log = structlog.get_logger(__name__)


class SettingsState(NamedTuple):
    """Say which settings are in force: `since` is in seconds since 1970.

    `digest` is of what all boxes share, so that boxes can be compared. `problem` says why the file
    as it stands is not in force, if it is not.
    """

    digest: str
    since: float
    problem: str = ''


class FileVersion(NamedTuple):
    """Tell versions of a file apart without reading it."""

    modified_ns: int
    size: int


class SettingsFile:
    """Hold the settings in force and the file they came from."""

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
        """Return the file's stamp, nothing if it is not there."""
        try:
            found = self.path.stat()
        except OSError:
            return None
        return FileVersion(found.st_mtime_ns, found.st_size)

    def has_changed(self) -> bool:
        """Tell whether the file is another than when it was last looked at."""
        version = self.current_version()
        if version == self.version:
            return False
        self.version = version
        return True

    def reload(self) -> GatewaySettings | None:
        """Read the file; return its settings if they are sound, and say once if they are not."""
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
        """Keep what is in force and say why."""
        self.state = self.state._replace(problem=problem)
        if problem != self.reported_problem:
            self.reported_problem = problem
            events.emit(log, events.RELOAD_FAILED, error=problem, in_force=self.state.digest)


def digest_of(settings: GatewaySettings) -> str:
    """Return a digest of the settings that are alike on all boxes."""
    shared = (settings.store, settings.drain_s, settings.stop_grace_s, settings.retry_budget)
    return hashlib.blake2b(repr(shared).encode(), digest_size=DIGEST_BYTES).hexdigest()
