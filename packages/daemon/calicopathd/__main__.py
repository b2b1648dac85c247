"""Define the daemon's command line."""

from __future__ import annotations

import inspect
import os
import sys
from typing import Any

import typer

from calicopath_core.exceptions import CalicopathError
from calicopathd.commands.serve import serve
from calicopathd.config.reference import option_docs
from calicopathd.config.settings import Settings, SettingSource, load_settings

DAEMON_HELP = (
    'Serve callers on this box until SIGTERM; then finish the requests in progress and exit 0. '
    'Exits 2 when settings are wrong, 1 when it cannot start.'
)
EXIT_FAILED = 1
EXIT_USAGE = 2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def run(**flags: str | None) -> None:
    """Load the settings and serve; exit 2 on invalid settings, 1 if the daemon cannot start."""
    try:
        settings = load_settings(SettingSource(flags=flags, environment=os.environ))
    except CalicopathError as error:
        for line in str(error).splitlines():
            print(f'calicopathd: {line}', file=sys.stderr)
        raise typer.Exit(EXIT_USAGE) from None
    try:
        serve(settings)
    except CalicopathError as error:
        print(f'calicopathd: {error}', file=sys.stderr)
        raise typer.Exit(EXIT_FAILED) from None


def new_flag_parameter(
    name: str, flag: str, help_text: str, shown_default: str
) -> inspect.Parameter:
    """Return the keyword parameter that Typer turns into the flag of one setting."""
    option = typer.Option(None, flag, help=help_text, show_default=shown_default, metavar='VALUE')
    return inspect.Parameter(
        name, inspect.Parameter.KEYWORD_ONLY, default=option, annotation=str | None
    )


def declare_flags(command: Any) -> Any:
    """Set the signature of a command so that Typer offers one flag per setting of the schema."""
    parameters = [
        new_flag_parameter(
            item.name,
            item.flag,
            f'{item.doc} ({item.kind}; {item.variable})',
            item.default or 'required',
        )
        for item in option_docs(Settings)
    ]
    command.__signature__ = inspect.Signature(parameters)
    command.__annotations__ = {item.name: item.annotation for item in parameters}
    return command


app.command(help=DAEMON_HELP)(declare_flags(run))


def main() -> None:
    """Run the daemon's command line."""
    app()


if __name__ == '__main__':
    main()
