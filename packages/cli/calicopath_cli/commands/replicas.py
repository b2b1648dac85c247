"""Show which replicas the boxes before callers do not call, or hold to a limit, and why."""

from __future__ import annotations

from typing import Any, NamedTuple

import aiohttp

from calicopath_cli.commands.gateways import format_time
from calicopath_cli.utils.gateways import query_gateways, group_items
from calicopath_cli.utils.output import OutputFormat, print_json, print_table

HEADERS = (
    'replica',
    'service',
    'not called as',
    'told by',
    'since',
    'until',
    'boxes',
    'a second',
    'sent',
)


class ExcludedReplicaRow(NamedTuple):
    """Hold why replicas are not called as the box tells that knows it longest.

    `boxes` counts those that know it, of those that answered. `per_s` is the lowest limit that is
    known, `sent` what all have sent since it was named.
    """

    replica: str
    service: str
    bar: str
    source: str
    since: float
    until: float
    boxes: int
    asked: int
    per_s: float | None
    sent: int


async def replicas(address: str, output: OutputFormat) -> None:
    """Ask one box for all, each for the replicas that it does not call, and show that."""
    async with aiohttp.ClientSession() as session:
        answers = await query_gateways(session, address, '/replicas')
    rows = rows_of(list(answers.values()))
    if output is OutputFormat.JSON:
        print_json([row._asdict() for row in rows])
        return
    print_table(HEADERS, [table_cells(row) for row in rows])


def rows_of(answers: list[Any]) -> list[ExcludedReplicaRow]:
    """Return a row a replica and reason, by service and name."""
    grouped = group_items(answers, 'service', 'replica', 'bar')
    rows = []
    for (service, replica, exclusion), items in sorted(grouped.items.items()):
        dated = [item for item in items if item['since']] or items
        first = min(dated, key=lambda item: float(item['since']))
        rows.append(
            ExcludedReplicaRow(
                replica=replica,
                service=service,
                bar=exclusion,
                source=first['source'],
                since=first['since'],
                until=max(float(item['until']) for item in items),
                boxes=len(items),
                asked=grouped.answered_boxes,
                per_s=min((item['per_s'] for item in items if item.get('per_s')), default=None),
                sent=sum(item.get('sent', 0) for item in items),
            )
        )
    return rows


def table_cells(row: ExcludedReplicaRow) -> tuple[Any, ...]:
    """Return a row as it is shown."""
    return (
        row.replica,
        row.service,
        row.bar,
        row.source,
        format_time(row.since),
        format_time(row.until),
        f'{row.boxes} of {row.asked}',
        '' if row.per_s is None else f'{row.per_s:g}',
        '' if row.per_s is None else row.sent,
    )
