"""Give tests what they share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import testtools

from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar('T')


class VirtualCase(testtools.TestCase):
    """Run coroutines on virtual time."""

    def run_virtual(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Return what a coroutine returns."""
        return run_virtual(coroutine)
