"""Define the errors of the command line, each with its exit code."""

from __future__ import annotations

from calicopath_core.exceptions import CalicopathError

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNSETTLED = 4
EXIT_NOT_IN_FORCE = 5
EXIT_INTERRUPTED = 130


class CommandError(CalicopathError):
    """End a command with a message and an exit code."""

    exit_code = EXIT_FAILED


class InvalidInput(CommandError):
    """Report configuration or arguments that cannot be used; nothing was changed."""

    exit_code = EXIT_INVALID


class ChangeConflict(CommandError):
    """Report that somebody else changed the same object."""

    exit_code = EXIT_CONFLICT


class ChangeUnsettled(CommandError):
    """Report that a change may or may not have been accepted."""

    exit_code = EXIT_UNSETTLED


class NotInForce(CommandError):
    """Report that a change was accepted but is not in force everywhere yet."""

    exit_code = EXIT_NOT_IN_FORCE
