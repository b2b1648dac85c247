"""Hold new streams until the versions of engines are declared in the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_WAIT_S = 1.0
"""How long new streams wait for a store that does not answer: less than callers wait for the first
event. Streams that begin after that may have begun at a version that the store does not show."""


class DeclarationWait:
    """Bound the wait of new streams at one scheduler; times are monotonic seconds.

    `on_wait` is called when the first stream has to wait. `expired` tells that streams have begun
    without a declaration.
    """

    def __init__(self, *, on_wait: Callable[[], None] = lambda: None) -> None:
        self.on_wait = on_wait
        self.since: float | None = None
        self.expired = False

    @property
    def is_waiting(self) -> bool:
        """Tell whether streams wait, or have waited in vain."""
        return self.since is not None

    def must_wait(self, now: float) -> bool:
        """Tell whether a new stream must wait for a declaration."""
        if self.since is None:
            self.since = now
            self.on_wait()
        if now - self.since < MAX_WAIT_S:
            return True
        self.expired = True
        return False

    def give_up(self) -> None:
        """Let waiting streams begin: the store does not answer."""
        if self.since is not None:
            self.since = -math.inf

    def end(self) -> None:
        """Let the next stream without a declared version wait anew."""
        self.since = None
