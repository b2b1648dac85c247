"""Apply configuration files."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from calicopath_cli.commands.check import load_documents
from calicopath_cli.utils.inforce import wait_until_in_force
from calicopath_cli.utils.operator import Operator, Options, open_operator
from calicopath_cli.utils.output import OutputFormat, print_json
from calicopath_core.store.records import ChangeAction
from calicopath_core.structure.keys import CONFIG_PREFIX

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from calicopath_core.config.documents import Document
    from calicopath_core.store.changes import Accepted


class CurrentObject(NamedTuple):
    """Hold the version and spec of an object on the platform; a deleted one has no spec."""

    version: int
    spec: dict[str, Any] | None


async def apply(options: Options, paths: Sequence[Path], wait_s: float | None) -> None:
    """Check files and write the objects that differ, each only if unchanged since it was read."""
    async with open_operator(options) as operator:
        current = await read_current(operator)
        in_force = {key: item.spec for key, item in current.items() if item.spec is not None}
        documents = load_documents(paths, in_force)
        changed = [item for item in documents if in_force.get(item.key) != item.spec]
        print_summary(options, await apply_all(operator, changed, current, wait_s), documents)


async def read_current(operator: Operator) -> dict[str, CurrentObject]:
    """Return all configuration objects by key, including deleted ones."""
    objects = await operator.store.list(CONFIG_PREFIX)
    return {item.key: CurrentObject(item.version, item.value['spec']) for item in objects}


async def apply_all(
    operator: Operator,
    documents: Sequence[Document],
    current: dict[str, CurrentObject],
    wait_s: float | None,
) -> list[Accepted]:
    """Write documents one by one, stopping at the first error."""
    accepted = []
    for document in documents:
        known = current.get(document.key, CurrentObject(0, None))
        change = await operator.make_change(
            document.key, document.spec, ChangeAction.APPLY, known.version
        )
        if operator.options.output is OutputFormat.TEXT:
            print(f'{change.key}: accepted as version {change.version}')
        accepted.append(change)
    if wait_s is not None:
        for change in accepted:
            in_force = await wait_until_in_force(operator, change, wait_s)
            if operator.options.output is OutputFormat.TEXT:
                print(f'{in_force.key}: in force on {in_force.in_force} of {in_force.boxes} boxes')
    return accepted


def print_summary(
    options: Options, accepted: list[Accepted], documents: Sequence[Document]
) -> None:
    """Print how many objects were changed and how many were not."""
    unchanged = len(documents) - len(accepted)
    if options.output is OutputFormat.JSON:
        print_json({'accepted': [item._asdict() for item in accepted], 'unchanged': unchanged})
        return
    print(f'{len(accepted)} changed, {unchanged} unchanged')
