"""Show the software versions of replicas, and how many streams are bound to each."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from calicopath_cli.utils.gateways import group_items, query_gateways
from calicopath_cli.utils.output import OutputFormat, print_json, print_table

if TYPE_CHECKING:
    from collections.abc import Iterable

HEADERS = ('service', 'version', 'replicas', 'draining', 'streams', 'declared')


class VersionRow(NamedTuple):
    """Hold the replicas of one version of a service, and the streams that only it can continue.

    `declared` is `None` if no box that answered schedules and knows the declared versions.
    """

    service: str
    version: str
    replicas: int
    draining: int
    streams: int
    declared: bool | None


async def versions(address: str, output: OutputFormat) -> None:
    """Query all boxes, as listed by the one at `address`, and print a row for each version."""
    async with aiohttp.ClientSession() as session:
        answers = await query_gateways(session, address, '/versions')
    rows = rows_of(answers.values())
    if output is OutputFormat.JSON:
        print_json([row._asdict() for row in rows])
        return
    print_table(HEADERS, [(*row[:-1], format_declared(row.declared)) for row in rows])


def rows_of(answers: Iterable[list[dict[str, Any]] | None]) -> list[VersionRow]:
    """Return one row per service and version; each box counts its own callers' streams."""
    rows = []
    for (service, version), items in group_items(answers, 'service', 'version').items.items():
        known = [item['declared'] for item in items if item['declared'] is not None]
        rows.append(
            VersionRow(
                service,
                version,
                max(item['replicas'] for item in items),
                max(item['draining'] for item in items),
                sum(item['streams'] for item in items),
                any(known) if known else None,
            )
        )
    return sorted(rows, key=lambda row: row[:2])


def format_declared(declared: bool | None) -> str:
    """Format whether streams may begin at a version."""
    return {True: 'yes', False: 'no', None: 'unknown'}[declared]
