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
    """Report an error that ends a command with a message and an exit code."""

    exit_code = EXIT_FAILED


class InvalidInput(CommandError):
    """Report invalid configuration or arguments; nothing was changed."""

    exit_code = EXIT_INVALID


class ChangeConflict(CommandError):
    """Report that another operator changed the same object."""

    exit_code = EXIT_CONFLICT


class ChangeUnsettled(CommandError):
    """Report that it is unknown whether a change was accepted."""

    exit_code = EXIT_UNSETTLED


class NotInForce(CommandError):
    """Report that a change was accepted but is not yet in force on all boxes."""

    exit_code = EXIT_NOT_IN_FORCE
