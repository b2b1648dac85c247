"""Follow a box from its start to its planned stop."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class Lifecycle:
    """Count the requests in progress and say whether new ones are taken.

    A stop goes in steps: first the box only says that it is not ready, because balancer and box
    list lag; then it refuses new requests as not run; it ends when none is in progress.
    """

    def __init__(self) -> None:
        self.leaving = False
        self.refusing = False
        self.in_progress = 0
        self.idle = asyncio.Event()
        self.idle.set()

    @contextlib.contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request while it is in progress."""
        self.in_progress += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.in_progress -= 1
            if self.in_progress == 0:
                self.idle.set()

    def leave(self) -> None:
        """Stop being ready."""
        self.leaving = True

    def refuse(self) -> None:
        """Take no new requests."""
        self.leaving = True
        self.refusing = True
