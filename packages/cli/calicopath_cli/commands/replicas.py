"""Show which replicas the boxes that run the HTTP gateway exclude or limit, and why."""

from __future__ import annotations

from typing import Any, NamedTuple

import aiohttp

from calicopath_cli.commands.gateways import format_time
from calicopath_cli.utils.gateways import group_items, query_gateways
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
    """Hold one exclusion or limit of a replica; `bar` is its reason.

    `source` and `since` come from the box that learned of it first, `until` is the latest of all
    boxes. `boxes` counts the boxes that know it, `asked` those that responded. `per_s` is the
    lowest known limit in calls per second, `sent` the calls by all boxes since it was set.
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
    """Query all boxes, as listed by the one at `address`, and print their exclusions and limits."""
    async with aiohttp.ClientSession() as session:
        answers = await query_gateways(session, address, '/replicas')
    rows = rows_of(list(answers.values()))
    if output is OutputFormat.JSON:
        print_json([row._asdict() for row in rows])
        return
    print_table(HEADERS, [table_cells(row) for row in rows])


def rows_of(answers: list[Any]) -> list[ExcludedReplicaRow]:
    """Return one row per replica and reason, sorted by service and replica."""
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
    """Return the cells of a table row."""
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
