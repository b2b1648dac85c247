"""List, show and delete templates and pipelines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import yaml

from calicopath_cli.exceptions import InvalidInput
from calicopath_cli.utils.inforce import wait_until_in_force
from calicopath_cli.utils.operator import Operator, Options, open_operator
from calicopath_cli.utils.output import OutputFormat, print_json, print_rows
from calicopath_core.store.records import ChangeAction
from calicopath_core.structure.keys import PIPELINE_PREFIX

if TYPE_CHECKING:
    from calicopath_core.store.base import StoredObject


async def list_objects(options: Options, prefix: str) -> None:
    """List the objects below a prefix that are not deleted."""
    async with open_operator(options) as operator:
        objects = await operator.store.list(prefix)
    rows = [
        (item.key.removeprefix(prefix), item.version, item.value['change']['who'])
        for item in sorted(objects)
        if item.value['spec'] is not None
    ]
    print_rows(options.output, ('name', 'version', 'changed by'), rows)


async def get_existing(operator: Operator, key: str) -> StoredObject:
    """Return an object; raise `InvalidInput` if it does not exist or is deleted."""
    found = await operator.store.get(key)
    if found is None or found.value['spec'] is None:
        raise InvalidInput(f'{key}: object does not exist')
    return found


async def show_object(options: Options, key: str) -> None:
    """Print one object in the form of a configuration file."""
    async with open_operator(options) as operator:
        found = await get_existing(operator, key)
    if options.output is OutputFormat.JSON:
        print_json({'key': key, 'version': found.version, **found.value})
        return
    print(yaml.safe_dump(found.value['spec'], allow_unicode=True, sort_keys=False), end='')


async def delete_object(options: Options, key: str, wait_s: float | None) -> None:
    """Replace one object by a tombstone; raise `InvalidInput` if it is a template in use."""
    async with open_operator(options) as operator:
        found = await get_existing(operator, key)
        await check_unused(operator, found)
        accepted = await operator.make_change(key, None, ChangeAction.DELETE, found.version)
        print(f'{key}: deleted as version {accepted.version}')
        if wait_s is not None:
            in_force = await wait_until_in_force(operator, accepted, wait_s)
            print(f'{key}: in force on {in_force.in_force} of {in_force.boxes} boxes')


async def check_unused(operator: Operator, found: StoredObject) -> None:
    """Raise `InvalidInput` if an object is a template that pipelines use."""
    spec = found.value['spec']
    if spec['kind'] != 'template':
        return
    pipelines = await operator.store.list(PIPELINE_PREFIX)
    users = [
        item.key.removeprefix(PIPELINE_PREFIX)
        for item in pipelines
        if item.value['spec'] is not None and item.value['spec']['template'] == spec['name']
    ]
    if users:
        raise InvalidInput(f'{found.key}: in use by pipelines {", ".join(sorted(users))}')
