"""Show the audit trail."""

from __future__ import annotations

import datetime

from calicopath_cli.utils.operator import Options, open_operator
from calicopath_cli.utils.output import OutputFormat, print_json, print_table
from calicopath_core.store.changes import read_audit_trail
from calicopath_core.structure.keys import CONFIG_PREFIX


async def audit(options: Options, key: str, last: int) -> None:
    """Print the latest changes below `key`; JSON also has the specs before and after each."""
    prefix = key if key.startswith(CONFIG_PREFIX) else CONFIG_PREFIX + key
    async with open_operator(options) as operator:
        records = (await read_audit_trail(operator.store, prefix))[-last:]
    if options.output is OutputFormat.JSON:
        print_json(records)
        return
    rows = [
        (
            datetime.datetime.fromtimestamp(item['when'], datetime.UTC).isoformat('T', 'seconds'),
            item['who'],
            item['action'],
            item['key'],
            item['sequence'],
            item['id'],
        )
        for item in records
    ]
    print_table(('when', 'who', 'action', 'key', 'number', 'change id'), rows)
