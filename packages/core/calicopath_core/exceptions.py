"""Define the base of the errors that a user may see."""

from __future__ import annotations


class CalicopathError(Exception):
    """Report a problem to a user in one line, without a traceback."""
