"""Define the base class of errors that are shown to users."""

from __future__ import annotations


class CalicopathError(Exception):
    """Report a problem that is shown to the user in one line, without a traceback."""
