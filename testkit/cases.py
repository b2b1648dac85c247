"""Provide base classes for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import testtools

from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar('T')


class VirtualCase(testtools.TestCase):
    """Run coroutines on an event loop with virtual time."""

    def run_virtual(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine to its end and return its result."""
        return run_virtual(coroutine)
