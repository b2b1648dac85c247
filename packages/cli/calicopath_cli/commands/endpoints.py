"""Add, drain, stop and list endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure

from calicopath_cli.commands.objects import get_existing
from calicopath_cli.exceptions import InvalidInput
from calicopath_cli.utils.inforce import wait_until_in_force
from calicopath_cli.utils.operator import Operator, Options, open_operator
from calicopath_cli.utils.output import OutputFormat, print_json, print_rows
from calicopath_core.config.parsers import parse_endpoint
from calicopath_core.store.base import ABSENT_VERSION, StoredObject
from calicopath_core.store.records import ChangeAction
from calicopath_core.structure.endpoints import EndpointState
from calicopath_core.structure.keys import ENDPOINT_PREFIX, endpoint_key

if TYPE_CHECKING:
    from calicopath_core.store.changes import Accepted

ACTIONS = {
    EndpointState.DRAINING: ChangeAction.DRAIN,
    EndpointState.STOPPED: ChangeAction.STOP,
}


async def list_endpoints(options: Options) -> None:
    """Print the endpoints with their configured states."""
    async with open_operator(options) as operator:
        objects = await operator.store.list(ENDPOINT_PREFIX)
    specs = [item.value['spec'] for item in sorted(objects) if item.value['spec'] is not None]
    headers = (
        'name',
        'service',
        'stage',
        'state',
        'failure_domain',
        'concurrency',
        'address',
        'version',
    )
    defaults = {'state': 'active', 'version': ''}
    rows = [[spec.get(name, defaults.get(name)) for name in headers] for spec in specs]
    print_rows(options.output, headers, rows)


async def add_endpoint(options: Options, spec: dict[str, Any], wait_s: float | None) -> None:
    """Add an endpoint, or reactivate a drained, stopped or deleted one."""
    checked = parse_endpoint(spec, spec['name'])
    if isinstance(checked, Failure):
        raise InvalidInput('\n'.join(str(problem) for problem in checked.failure()))
    key = endpoint_key(spec['name'])
    async with open_operator(options) as operator:
        found = await operator.store.get(key)
        if found is not None and is_active(found):
            raise InvalidInput(f'{key}: endpoint already exists')
        version = found.version if found else ABSENT_VERSION
        accepted = await operator.make_change(key, spec, ChangeAction.ADD, version)
        await print_change(operator, accepted, 'active', wait_s)


def is_active(found: StoredObject) -> bool:
    """Tell whether an endpoint is in service, which is the default state."""
    parsed = parse_endpoint(found.value['spec'], found.key)
    return parsed.map(lambda item: item.state is EndpointState.ACTIVE).value_or(False)


async def set_state(
    options: Options, name: str, state: EndpointState, wait_s: float | None
) -> None:
    """Drain an endpoint (no new calls) or stop it (out of service).

    Calls in progress are completed.
    """
    key = endpoint_key(name)
    async with open_operator(options) as operator:
        found = await get_existing(operator, key)
        spec = {**found.value['spec'], 'state': state.value}
        accepted = await operator.make_change(key, spec, ACTIONS[state], found.version)
        await print_change(operator, accepted, state.value, wait_s)


async def print_change(
    operator: Operator, accepted: Accepted, state: str, wait_s: float | None
) -> None:
    """Print an accepted change; unless `wait_s` is `None`, wait until it is in force."""
    result = {**accepted._asdict(), 'state': state}
    if wait_s is not None:
        in_force = await wait_until_in_force(operator, accepted, wait_s)
        result.update(boxes=in_force.boxes, in_force=in_force.in_force)
    if operator.options.output is OutputFormat.JSON:
        print_json(result)
        return
    print(f'{accepted.key}: {state}, accepted as version {accepted.version}')
    if wait_s is not None:
        print(f'{accepted.key}: in force on {result["in_force"]} of {result["boxes"]} boxes')
