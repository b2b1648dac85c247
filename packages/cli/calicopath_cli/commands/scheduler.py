"""Show what waits at the boxes that schedule, what they rejected, and workspaces' shares."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from calicopath_cli.commands.gateways import NO_ANSWER
from calicopath_cli.utils.gateways import query_gateways
from calicopath_cli.utils.output import OutputFormat, print_json, print_table

if TYPE_CHECKING:
    from collections.abc import Sequence

SCHEDULING = 'yes'
HANDING_OVER = 'handing over'
NOT_SCHEDULING = 'no'
ORDER = (SCHEDULING, HANDING_OVER, NO_ANSWER, NOT_SCHEDULING)
HEADERS = ('box', 'scheduling', 'scheduler')

SECTIONS = (
    ('jobs', 'jobs without an engine'),
    ('pieces', 'pieces in no call'),
    ('rejections', 'rejections since the box started'),
    ('shares', 'workspaces, in seconds of stage work per second'),
)
"""The lists of an answer with their titles; the keys of their items are the columns."""


class SchedulerRow(NamedTuple):
    """Hold the scheduling state of one box; `answer` is `None` if it did not respond."""

    box: str
    scheduling: str
    answer: dict[str, Any] | None


class Table(NamedTuple):
    """Hold a table to print."""

    title: str
    headers: tuple[str, ...]
    rows: list[tuple[Any, ...]]


async def scheduler(address: str, output: OutputFormat) -> None:
    """Query all boxes, as listed by the one at `address`, and print what waits there."""
    async with aiohttp.ClientSession() as session:
        answers = await query_gateways(session, address, '/scheduler')
    rows = rows_of(answers)
    if output is OutputFormat.JSON:
        print_json([row._asdict() for row in rows])
        return
    boxes = box_table(rows)
    print_table(boxes.headers, boxes.rows)
    for table in section_tables(rows):
        print(f'\n{table.title}')
        print_table(table.headers, table.rows)


def rows_of(answers: dict[str, dict[str, Any] | None]) -> list[SchedulerRow]:
    """Return one row per box: those that schedule come first, then those that do not answer."""
    rows = [SchedulerRow(box, describe_role(answer), answer) for box, answer in answers.items()]
    return sorted(rows, key=lambda row: (ORDER.index(row.scheduling), row.box))


def describe_role(answer: dict[str, Any] | None) -> str:
    """Tell whether a box schedules, or still has jobs from when it did."""
    if answer is None:
        return NO_ANSWER
    if answer['scheduling']:
        return SCHEDULING
    return HANDING_OVER if answer['figures']['jobs'] else NOT_SCHEDULING


def box_table(rows: Sequence[SchedulerRow]) -> Table:
    """Return the table of boxes with their single figures."""
    figures = keys_of([row.answer['figures'] for row in rows if row.answer is not None])
    cells = [
        (row.box, row.scheduling, row.answer['scheduler'], *values(row.answer['figures'], figures))
        if row.answer is not None
        else (row.box, row.scheduling, '', *values({}, figures))
        for row in rows
    ]
    return Table('', (*HEADERS, *map(title_of, figures)), cells)


def section_tables(rows: Sequence[SchedulerRow]) -> list[Table]:
    """Return a table for each list of the answers that is not empty on all boxes."""
    tables = []
    for section, title in SECTIONS:
        items = [
            (row.box, item)
            for row in rows
            if row.answer is not None
            for item in row.answer[section]
        ]
        if items:
            keys = keys_of([item for _, item in items])
            cells = [(box, *values(item, keys)) for box, item in items]
            tables.append(Table(title, ('box', *map(title_of, keys)), cells))
    return tables


def keys_of(items: Sequence[dict[str, Any]]) -> tuple[str, ...]:
    """Return the keys of all items in the order in which they first appear.

    Boxes of two builds may send different ones.
    """
    return tuple(dict.fromkeys(key for item in items for key in item))


def values(item: dict[str, Any], keys: Sequence[str]) -> tuple[str, ...]:
    """Return the formatted values of some keys, empty where there is none."""
    return tuple(format_value(item.get(key, '')) for key in keys)


def format_value(value: Any) -> str:
    """Format a value for the table."""
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return f'{value:.3f}' if isinstance(value, float) else str(value)


def title_of(key: str) -> str:
    """Return the column title for a key."""
    return key.replace('_', ' ')
