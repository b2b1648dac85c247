"""Show the boxes and on how many of them changes are in force."""

from __future__ import annotations

from typing import Any

from calicopath_cli.utils.inforce import InForce, query_boxes
from calicopath_cli.utils.operator import Operator, Options, open_operator
from calicopath_cli.utils.output import OutputFormat, print_json, print_table
from calicopath_core.structure.keys import CONFIG_PREFIX

BOX_HEADERS = ('box', 'failure domain', 'ready', 'objects', 'config digest', 'in progress')


async def status(options: Options, last: int) -> None:
    """Print all boxes and, for the latest changes, on how many boxes each is in force."""
    async with open_operator(options) as operator:
        boxes = await query_boxes(operator, '/admin/v1/status')
        versions = await query_boxes(operator, '/admin/v1/versions')
        changes = await latest_changes(operator, versions, last)
    if options.output is OutputFormat.JSON:
        print_json({'boxes': boxes, 'changes': [change._asdict() for change in changes]})
        return
    print_table(BOX_HEADERS, [box_row(name, answer) for name, answer in boxes.items()])
    print()
    rows = [(item.key, item.version, f'{item.in_force} of {item.boxes}') for item in changes]
    print_table(('change of', 'version', 'in force on'), rows)


def box_row(name: str, answer: dict[str, Any] | None) -> tuple[Any, ...]:
    """Return the table row of a box, with empty cells if it did not respond."""
    if answer is None:
        return (name, '', 'no answer', '', '', '')
    return (
        name,
        answer['failure_domain'],
        'yes' if answer['ready'] else 'no',
        answer['objects'],
        answer['config_digest'],
        answer['in_progress'],
    )


async def latest_changes(
    operator: Operator, versions: dict[str, dict[str, int] | None], last: int
) -> list[InForce]:
    """Return on how many boxes each of the latest `last` changes is in force, newest first."""
    objects = await operator.store.list(CONFIG_PREFIX)
    newest = sorted(objects, key=lambda item: item.value['change']['when'], reverse=True)[:last]
    silent = tuple(name for name, held in versions.items() if held is None)
    found = []
    for item in newest:
        count = sum(
            1 for held in versions.values() if held and held.get(item.key, 0) >= item.version
        )
        found.append(InForce(item.key, item.version, len(versions), count, silent))
    return found
