"""Track the requests in progress and the planned stop of a box."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class Lifecycle:
    """Count the requests in progress and hold whether new ones are accepted.

    A planned stop has three steps. The box first reports that it is not ready but still serves,
    because the load balancer and the box list lag; then it refuses new requests without running
    them; it exits when no request is in progress.
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
        """Report the box as not ready; requests are still served."""
        self.leaving = True

    def refuse(self) -> None:
        """Refuse new requests."""
        self.leaving = True
        self.refusing = True
