"""Show the settings and configuration in force on the boxes that run the HTTP gateway."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any, NamedTuple

import aiohttp

from calicopath_cli.utils.gateways import query_gateways
from calicopath_cli.utils.output import OutputFormat, print_json, print_table

HEADERS = (
    'box',
    'failure domain',
    'behind',
    'settings',
    'since',
    'configuration',
    'since',
    'taken out',
    'problem',
)
NO_ANSWER = 'no answer'


class GatewayRow(NamedTuple):
    """Hold the state of one box; `answer` is `None` if it did not respond."""

    box: str
    answer: dict[str, Any] | None
    behind: str


async def gateways(address: str, output: OutputFormat) -> None:
    """Query all boxes, as listed by the one at `address`, and print their states."""
    async with aiohttp.ClientSession() as session:
        answers = await query_gateways(session, address, '/state')
    rows = rows_of(answers)
    if output is OutputFormat.JSON:
        print_json([row._asdict() for row in rows])
        return
    print_table(HEADERS, [table_cells(row) for row in rows])


def rows_of(answers: dict[str, dict[str, Any] | None]) -> list[GatewayRow]:
    """Return one row per box, those behind the newest settings or configuration first."""
    answered = [answer for answer in answers.values() if answer is not None]
    version = max((answer['configuration'] for answer in answered), default=0)
    newest = max(answered, key=lambda answer: float(answer['settings_since']), default=None)
    settings = newest['settings'] if newest is not None else ''
    failure_domains = latest_taken_out(answered)
    rows = [
        GatewayRow(box, answer, describe_lag(answer, version, settings, failure_domains))
        for box, answer in answers.items()
    ]
    return sorted(rows, key=lambda row: (not row.behind, row.box))


def latest_taken_out(answers: list[dict[str, Any]]) -> frozenset[str]:
    """Return the failure domains taken out, from the box with the newest position in the store."""
    newest = max(answers, key=taken_out_position, default=None)
    return taken_out_by(newest) if newest is not None else frozenset()


def taken_out_position(answer: dict[str, Any]) -> tuple[int, int]:
    """Return the position (era, revision) in the store up to which a box knows evacuations."""
    return (int(answer.get('taken_out_era', 0)), int(answer['taken_out_revision']))


def taken_out_by(answer: dict[str, Any]) -> frozenset[str]:
    """Return the failure domains that a box treats as taken out."""
    return frozenset(item['failure_domain'] for item in answer['taken_out'])


def describe_lag(
    answer: dict[str, Any] | None, version: int, settings: str, failure_domains: frozenset[str]
) -> str:
    """Return the parts of its state in which a box is behind, an empty string if in none."""
    if answer is None:
        return NO_ANSWER
    parts = []
    if answer['problem'] or answer['settings'] != settings:
        parts.append('settings')
    if answer['configuration'] < version:
        parts.append('configuration')
    if taken_out_by(answer) != failure_domains:
        parts.append('failure domains taken out')
    return ', '.join(parts)


def table_cells(row: GatewayRow) -> tuple[Any, ...]:
    """Return the cells of a table row."""
    if row.answer is None:
        return (row.box, '', row.behind, '', '', '', '', '', '')
    answer = row.answer
    return (
        row.box,
        answer['failure_domain'],
        row.behind or 'no',
        answer['settings'],
        format_time(answer['settings_since']),
        answer['configuration'],
        format_time(answer['configuration_since']),
        '; '.join(format_taken_out(item) for item in answer['taken_out']),
        answer['problem'].splitlines()[0] if answer['problem'] else '',
    )


def format_taken_out(item: dict[str, Any]) -> str:
    """Format a failure domain that is taken out for the table."""
    return f'{item["failure_domain"]} since {format_time(item["since"])} (r{item["revision"]})'


def format_time(timestamp: float) -> str:
    """Format seconds since 1970 in UTC, 0 as an empty string."""
    return datetime.fromtimestamp(timestamp, UTC).strftime('%Y-%m-%d %H:%M:%S') if timestamp else ''
