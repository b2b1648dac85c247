"""Parse the operators' command line."""

from __future__ import annotations

import getpass
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer
import uvloop

from calicopath_cli.commands import apply as apply_command
from calicopath_cli.commands import audit as audit_command
from calicopath_cli.commands import (
    blocked,
    endpoints,
    gateways,
    objects,
    replicas,
    scheduler,
    versions,
)
from calicopath_cli.commands import check as check_command
from calicopath_cli.commands import status as status_command
from calicopath_cli.exceptions import (
    EXIT_FAILED,
    EXIT_INTERRUPTED,
    CommandError,
    InvalidInput,
)
from calicopath_cli.utils.operator import Options
from calicopath_cli.utils.output import OutputFormat
from calicopath_core.exceptions import CalicopathError
from calicopath_core.structure.endpoints import EndpointState
from calicopath_core.structure.keys import (
    PIPELINE_PREFIX,
    TEMPLATE_PREFIX,
    pipeline_key,
    template_key,
)
from calicopath_core.structure.stages import StageKind

if TYPE_CHECKING:
    from collections.abc import Coroutine

APP_HELP = (
    'Check and apply configuration, drain and stop endpoints, and see what is in force.\n\n'
    'Exit codes: 0 done; 1 failed, nothing changed; 2 invalid arguments or configuration, nothing '
    'changed; 3 another operator changed the same object; 4 unknown whether the change was '
    'accepted; 5 accepted, but not in force on every box within --wait; 130 interrupted.'
)
PLATFORM_HELP = "URL of the platform's object API."
WHO_HELP = 'Name that the audit trail records; by default the login name.'
OUTPUT_HELP = 'Output format: text for people, json for scripts.'
CHECK_HELP = 'Check files or folders without contacting the platform; report all problems.'
APPLY_HELP = 'Check files or folders and write the objects that differ from those in force.'
STATUS_HELP = 'Show the boxes, and on how many of them each of the latest changes is in force.'
GATEWAYS_HELP = (
    'Show the settings and configuration in force on every box that runs the HTTP gateway; boxes '
    'that are behind come first.'
)
REPLICAS_HELP = (
    'Show which replicas are excluded by the boxes that run the HTTP gateway, the reason, its '
    'source, and on how many boxes the exclusion is known.'
)
BLOCKED_HELP = (
    'Show the requests that the boxes that run the HTTP gateway block because replicas crashed '
    'during them; with --release, unblock one.'
)
SCHEDULER_HELP = (
    'Show which of the boxes that run the HTTP gateway schedule, what waits there, what they '
    'rejected and why, and the share of each workspace.'
)
RELEASE_HELP = 'Unblock this request, by its name in the list.'
GATEWAY_ADDRESS_HELP = 'IP:PORT of the metrics listener of any of those boxes.'
AUDIT_HELP = 'Show the audit trail: who changed which object, and when.'
TEMPLATE_HELP = 'List, show and delete templates.'
PIPELINE_HELP = "List, show and delete workspaces' pipelines."
ENDPOINT_HELP = 'Add, drain, stop and list endpoints.'
ADD_HELP = 'Add an endpoint, or reactivate one that was drained, stopped or deleted.'
DRAIN_HELP = 'Send an endpoint no new calls; calls in progress are completed.'
STOP_HELP = 'Take an endpoint out of service; calls in progress are completed.'
WAIT_HELP = 'Wait up to this many seconds until the change is in force on every live box.'
LAST_HELP = 'Number of the newest entries to show.'
KEY_HELP = 'Show only changes below this key, for example endpoints/drafting-1.'

app = typer.Typer(
    help=APP_HELP, no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False
)
template_app = typer.Typer(help=TEMPLATE_HELP, no_args_is_help=True)
pipeline_app = typer.Typer(help=PIPELINE_HELP, no_args_is_help=True)
endpoint_app = typer.Typer(help=ENDPOINT_HELP, no_args_is_help=True)
app.add_typer(template_app, name='template')
app.add_typer(pipeline_app, name='pipeline')
app.add_typer(endpoint_app, name='endpoint')

Paths = Annotated[list[Path], typer.Argument(help='YAML files, or folders of YAML files.')]
Wait = Annotated[float | None, typer.Option('--wait', help=WAIT_HELP, min=0.0)]
Last = Annotated[int, typer.Option('--last', help=LAST_HELP, min=1)]


@app.callback()
def set_shared_options(
    context: typer.Context,
    platform: Annotated[str, typer.Option(envvar='CALICOPATH_PLATFORM', help=PLATFORM_HELP)] = '',
    who: Annotated[str, typer.Option(envvar='CALICOPATH_WHO', help=WHO_HELP)] = '',
    output: Annotated[
        OutputFormat, typer.Option(envvar='CALICOPATH_OUTPUT', help=OUTPUT_HELP)
    ] = OutputFormat.TEXT,
) -> None:
    """Store the options that all commands share in the context."""
    context.obj = Options(platform, who or getpass.getuser(), output)


def run_command(command: Coroutine[Any, Any, None]) -> None:
    """Run the coroutine of a command; exit with `EXIT_INTERRUPTED` on Ctrl+C."""
    try:
        uvloop.run(command)
    except KeyboardInterrupt:
        print('calicopath: interrupted', file=sys.stderr)
        raise typer.Exit(EXIT_INTERRUPTED) from None


def platform_options(context: typer.Context) -> Options:
    """Return the shared options; raise `InvalidInput` if they name no platform."""
    options: Options = context.obj
    if not options.platform:
        raise InvalidInput('--platform or CALICOPATH_PLATFORM is required')
    return options


@app.command(help=CHECK_HELP)
def check(context: typer.Context, paths: Paths) -> None:
    """Check files."""
    check_command.check(paths, context.obj.output)


@app.command(help=APPLY_HELP)
def apply(context: typer.Context, paths: Paths, wait: Wait = None) -> None:
    """Apply files."""
    run_command(apply_command.apply(platform_options(context), paths, wait))


@app.command(help=STATUS_HELP)
def status(context: typer.Context, last: Last = 10) -> None:
    """Show boxes and changes."""
    run_command(status_command.status(platform_options(context), last))


@app.command('gateways', help=GATEWAYS_HELP)
def show_gateways(
    context: typer.Context,
    address: Annotated[str, typer.Argument(help=GATEWAY_ADDRESS_HELP)],
) -> None:
    """Show the settings and configuration in force on the gateway boxes."""
    run_command(gateways.gateways(address, context.obj.output))


@app.command('replicas', help=REPLICAS_HELP)
def show_replicas(
    context: typer.Context,
    address: Annotated[str, typer.Argument(help=GATEWAY_ADDRESS_HELP)],
) -> None:
    """Show the replicas that the gateway boxes exclude, and the reasons."""
    run_command(replicas.replicas(address, context.obj.output))


@app.command('blocked', help=BLOCKED_HELP)
def show_blocked(
    context: typer.Context,
    address: Annotated[str, typer.Argument(help=GATEWAY_ADDRESS_HELP)],
    release: Annotated[str, typer.Option(help=RELEASE_HELP)] = '',
) -> None:
    """Show the requests blocked by the gateway boxes, or unblock one."""
    if release:
        run_command(blocked.release(address, release, context.obj.who))
        return
    run_command(blocked.blocked(address, context.obj.output))


@app.command('versions')
def show_versions(
    context: typer.Context,
    address: Annotated[str, typer.Argument(help=GATEWAY_ADDRESS_HELP)],
) -> None:
    """Show the software versions of replicas and the streams that are bound to each."""
    run_command(versions.versions(address, context.obj.output))


@app.command('scheduler', help=SCHEDULER_HELP)
def show_scheduler(
    context: typer.Context,
    address: Annotated[str, typer.Argument(help=GATEWAY_ADDRESS_HELP)],
) -> None:
    """Show what waits at the boxes that schedule, and what they rejected."""
    run_command(scheduler.scheduler(address, context.obj.output))


@app.command(help=AUDIT_HELP)
def audit(
    context: typer.Context,
    key: Annotated[str, typer.Option(help=KEY_HELP)] = '',
    last: Last = 50,
) -> None:
    """Show the audit trail."""
    run_command(audit_command.audit(platform_options(context), key, last))


@template_app.command('list')
def template_list(context: typer.Context) -> None:
    """List the templates."""
    run_command(objects.list_objects(platform_options(context), TEMPLATE_PREFIX))


@template_app.command('show')
def template_show(context: typer.Context, name: str) -> None:
    """Print a template."""
    run_command(objects.show_object(platform_options(context), template_key(name)))


@template_app.command('delete')
def template_delete(context: typer.Context, name: str, wait: Wait = None) -> None:
    """Delete a template that no pipeline uses."""
    run_command(objects.delete_object(platform_options(context), template_key(name), wait))


@pipeline_app.command('list')
def pipeline_list(context: typer.Context) -> None:
    """List the pipelines of all workspaces."""
    run_command(objects.list_objects(platform_options(context), PIPELINE_PREFIX))


@pipeline_app.command('show')
def pipeline_show(context: typer.Context, workspace: str, name: str) -> None:
    """Print a workspace's pipeline."""
    run_command(objects.show_object(platform_options(context), pipeline_key(workspace, name)))


@pipeline_app.command('delete')
def pipeline_delete(context: typer.Context, workspace: str, name: str, wait: Wait = None) -> None:
    """Delete a workspace's pipeline."""
    run_command(
        objects.delete_object(platform_options(context), pipeline_key(workspace, name), wait)
    )


@endpoint_app.command('list')
def endpoint_list(context: typer.Context) -> None:
    """List the endpoints."""
    run_command(endpoints.list_endpoints(platform_options(context)))


@endpoint_app.command('add', help=ADD_HELP)
def endpoint_add(
    context: typer.Context,
    name: str,
    service: Annotated[str, typer.Option(help='Service that the endpoint belongs to.')],
    stage: Annotated[StageKind, typer.Option(help='Kind of stage that the endpoint runs.')],
    address: Annotated[str, typer.Option(help='URL, for example http://127.0.0.1:9000.')],
    failure_domain: Annotated[str, typer.Option(help='Failure domain of the endpoint.')],
    concurrency: Annotated[
        int, typer.Option(help='Number of calls that the endpoint serves at a time.')
    ],
    version: Annotated[str, typer.Option(help="Version of the endpoint's software.")] = '',
    wait: Wait = None,
) -> None:
    """Add an endpoint."""
    spec = {
        'kind': 'endpoint',
        'name': name,
        'service': service,
        'stage': stage.value,
        'address': address,
        'failure_domain': failure_domain,
        'concurrency': concurrency,
        'state': EndpointState.ACTIVE.value,
    }
    if version:
        spec['version'] = version
    run_command(endpoints.add_endpoint(platform_options(context), spec, wait))


@endpoint_app.command('drain', help=DRAIN_HELP)
def endpoint_drain(context: typer.Context, name: str, wait: Wait = None) -> None:
    """Drain an endpoint."""
    run_command(endpoints.set_state(platform_options(context), name, EndpointState.DRAINING, wait))


@endpoint_app.command('stop', help=STOP_HELP)
def endpoint_stop(context: typer.Context, name: str, wait: Wait = None) -> None:
    """Stop an endpoint."""
    run_command(endpoints.set_state(platform_options(context), name, EndpointState.STOPPED, wait))


def main() -> None:
    """Run the command line; print errors to stderr and exit with their codes."""
    try:
        app()
    except CalicopathError as error:
        print(f'calicopath: {error}', file=sys.stderr)
        sys.exit(error.exit_code if isinstance(error, CommandError) else EXIT_FAILED)


if __name__ == '__main__':
    main()
