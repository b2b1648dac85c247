"""Define the errors of the daemon."""

from __future__ import annotations

from calicopath_core.exceptions import CalicopathError


class SettingsError(CalicopathError):
    """Report all invalid settings; each line of the message is one problem."""


class StartError(CalicopathError):
    """Report that the daemon cannot start."""


class BadRequest(CalicopathError):
    """Report a request that is malformed or names an unknown pipeline; no part of it was run."""

    def __init__(self, status: int, title: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.title = title
        self.detail = detail
