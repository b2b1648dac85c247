"""Show the requests blocked because replicas crashed during them, and unblock one."""

from __future__ import annotations

from typing import Any, NamedTuple

import aiohttp

from calicopath_cli.commands.gateways import format_time
from calicopath_cli.exceptions import CommandError
from calicopath_cli.utils.gateways import group_items, query_gateways
from calicopath_cli.utils.output import OutputFormat, print_json, print_table

HEADERS = ('request', 'service', 'since', 'until', 'replicas ended', 'boxes', 'all of', 'spared')
RELEASE_TIMEOUT_S = 3.0


class BlockedRow(NamedTuple):
    """Hold one blocked request.

    `since` and `replicas` come from the box that blocked it first, `until` is the latest of all
    boxes. `boxes` counts the boxes that block it, `asked` those that responded. `parts` are the
    parts of a prompt that a request must have to be blocked, `spared` others at the same crashes.
    """

    content: str
    service: str
    since: float
    until: float
    replicas: list[str]
    boxes: int
    asked: int
    parts: list[str]
    spared: list[str]


async def blocked(address: str, output: OutputFormat) -> None:
    """Query all boxes, as listed by the one at `address`, and print the blocked requests."""
    async with aiohttp.ClientSession() as session:
        answers = await query_gateways(session, address, '/blocked')
    rows = rows_of(list(answers.values()))
    if output is OutputFormat.JSON:
        print_json([row._asdict() for row in rows])
        return
    print_table(HEADERS, [table_cells(row) for row in rows])


def rows_of(answers: list[Any]) -> list[BlockedRow]:
    """Return one row per request and service, the most recently blocked first."""
    grouped = group_items(answers, 'content', 'service')
    rows = []
    for (content, service), items in grouped.items.items():
        first = min(items, key=lambda item: float(item['since']))
        rows.append(
            BlockedRow(
                content=content,
                service=service,
                since=first['since'],
                until=max(float(item['until']) for item in items),
                replicas=first['replicas'],
                boxes=len(items),
                asked=grouped.answered_boxes,
                parts=first.get('parts', []),
                spared=first.get('spared', []),
            )
        )
    return sorted(rows, key=lambda row: (-row.since, row.content, row.service))


def table_cells(row: BlockedRow) -> tuple[Any, ...]:
    """Return the cells of a table row."""
    return (
        row.content,
        row.service,
        format_time(row.since),
        format_time(row.until),
        ', '.join(row.replicas),
        f'{row.boxes} of {row.asked}',
        ', '.join(row.parts),
        ', '.join(row.spared),
    )


async def release(address: str, content: str, who: str) -> None:
    """Unblock a request at one box, which notifies the others."""
    timeout = aiohttp.ClientTimeout(total=RELEASE_TIMEOUT_S)
    url = f'http://{address}/blocked/release'
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url, params={'content': content, 'who': who}) as response,
        ):
            released = await response.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise CommandError(
            f'{address}: unknown whether the request was unblocked: {error!r}'
        ) from error
    if not released:
        raise CommandError(f'{address}: request {content} is not blocked at this box')
    print(f'{content} is unblocked: {", ".join(item["service"] for item in released)}')
